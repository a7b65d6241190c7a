//! The DRMAA front as it is, on loopback in this process: a client session, a controller, a node list and nodes, with
//! relays between them that count frames and lines.

mod relay;

use crate::error::MeasureError;
use peppercove::Micros;
use peppercove_config::{Config, embedded_default};
use peppercove_controller::Controller;
use peppercove_day::cluster::node_spec;
use peppercove_drmaa::{JobTemplate, PlacementOutcome, Session};
use peppercove_standins::Clock;
use peppercove_standins::list::FakeNodeList;
use peppercove_standins::node::FakeNode;
use peppercove_standins::node_model::FleetState;
use relay::{SharedCounts, start_relay};
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

pub use relay::ConnectionCounts;

/// Most fake nodes of a run.
pub const MAX_FAKE_NODES: u64 = 64;

/// No answer takes longer.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Until the controller has acknowledged the last end, of which its client is notified before.
const ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(100);
/// How often it is looked whether all nodes are connected.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Until the fake node list sends a change, microseconds.
const LIST_DELAY: Micros = 100_000;
/// How often the fake node list refreshes the free capacity of the nodes.
const LIST_REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// What crossed one kind of connection, before the first job and after the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountsAroundJobs {
    /// When the session is open and all handshakes are over.
    pub before_jobs: ConnectionCounts,
    /// When all jobs have ended.
    pub after_jobs: ConnectionCounts,
}

/// What crossed all connections of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunCounts {
    /// Between client and controller.
    pub client: CountsAroundJobs,
    /// Between controller and nodes.
    pub nodes: CountsAroundJobs,
    /// Jobs that were placed.
    pub placed: u64,
}

/// The counts of a run under way.
#[derive(Clone, Default)]
struct RunningCounts {
    client: SharedCounts,
    nodes: SharedCounts,
}

/// Submits `jobs`, one after the other, to a controller with so many nodes, and waits for the end of each.
///
/// # Errors
/// [`MeasureError`] where the controller does not start, a call fails, or no job is placed.
pub fn run_jobs(nodes: usize, jobs: u64) -> Result<RunCounts, MeasureError> {
    let counts = RunningCounts::default();
    let (ready, contact) = mpsc::channel();
    let (stop, stopped) = oneshot::channel();
    let of_servers = counts.clone();
    let servers = thread::spawn(move || serve(nodes, &of_servers, &ready, stopped));
    let contact = contact
        .recv_timeout(TIMEOUT)
        .map_err(|_| MeasureError::ControllerNotStarted);
    let outcome = contact.and_then(|contact| submit_jobs(contact, jobs, &counts));
    let _ = stop.send(());
    let served = servers
        .join()
        .map_err(|_| MeasureError::ThreadPanicked("the fake nodes"))?;
    served.and(outcome)
}

fn submit_jobs(
    contact: SocketAddr,
    jobs: u64,
    counts: &RunningCounts,
) -> Result<RunCounts, MeasureError> {
    let session = Session::init(&contact.to_string())?;
    let (client_before, nodes_before) = (counts.client.read(), counts.nodes.read());
    let mut placed = 0;
    for i in 0..jobs {
        let job = session.run_job(&job_template(i))?;
        if session.outcome(&job, Some(TIMEOUT))?.outcome == PlacementOutcome::Placed {
            placed += 1;
            session.wait(&job, Some(TIMEOUT))?;
        }
    }
    if placed == 0 {
        return Err(MeasureError::Implausible(format!(
            "of {jobs} jobs none was placed"
        )));
    }
    thread::sleep(ACKNOWLEDGEMENT_DELAY);
    let (client_after, nodes_after) = (counts.client.read(), counts.nodes.read());
    session.exit()?;
    Ok(RunCounts {
        client: CountsAroundJobs {
            before_jobs: client_before,
            after_jobs: client_after,
        },
        nodes: CountsAroundJobs {
            before_jobs: nodes_before,
            after_jobs: nodes_after,
        },
        placed,
    })
}

fn job_template(i: u64) -> JobTemplate {
    let mut template = JobTemplate::default();
    let mut set = |name: &str, value: &str| template.attributes.insert(name.into(), value.into());
    set("drmaa_remote_command", "sleep");
    set("drmaa_job_name", &format!("job-{}", i % 5));
    set("drmaa_native_specification", "life=5ms");
    template
}

/// Runs node list, nodes and controller until `stopped`; sends the address for clients to `ready`.
fn serve(
    nodes: usize,
    counts: &RunningCounts,
    ready: &mpsc::Sender<SocketAddr>,
    stopped: oneshot::Receiver<()>,
) -> Result<(), MeasureError> {
    let mut config = Config::parse(embedded_default())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let (clock, state) = (Clock::default(), FleetState::default());
        let list = FakeNodeList::start(clock, LIST_DELAY, LIST_REFRESH_INTERVAL).await?;
        for i in 0..nodes {
            let spec = node_spec(&config, i);
            let node = FakeNode::start(spec, state.clone(), clock, i as u64).await?;
            let address = node.address().into();
            let relay = start_relay(address, counts.nodes.clone(), relay::node_frames).await?;
            list.add(&node, relay);
        }
        config.network.node_list = list.address().into();
        let controller = Controller::start(config).await?;
        while controller.status().connected_nodes < nodes {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let address = controller.address();
        let contact = start_relay(address, counts.client.clone(), relay::lines).await?;
        let _ = ready.send(contact.into());
        let _ = stopped.await;
        controller.shut_down().await;
        Ok(())
    })
}
