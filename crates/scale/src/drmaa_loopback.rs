//! The real DRMAA controller on loopback within this process, with a client session, a fake node list and fake nodes.
//! Relays between them count frames and lines.

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

/// Maximum number of fake nodes in a run.
pub const MAX_FAKE_NODES: u64 = 64;

/// Timeout of the controller's start and of each client call.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time for the controller to acknowledge the last task end to its node; it notifies the client before that.
const ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(100);
/// Interval at which the number of connected nodes is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Delay in microseconds before the fake node list sends a change.
const LIST_DELAY: Micros = 100_000;
/// Interval at which the fake node list refreshes the free capacity of the nodes.
const LIST_REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// The counts of one kind of connection, before the first job and after the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountsAroundJobs {
    /// Counts once the session is open and all handshakes are complete.
    pub before_jobs: ConnectionCounts,
    /// Counts once all jobs have ended.
    pub after_jobs: ConnectionCounts,
}

/// The counts of all connections of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunCounts {
    /// Connections between client and controller.
    pub client: CountsAroundJobs,
    /// Connections between controller and nodes.
    pub nodes: CountsAroundJobs,
    /// Number of placed jobs.
    pub placed: u64,
}

/// The counts of a run in progress.
#[derive(Clone, Default)]
struct RunningCounts {
    client: SharedCounts,
    nodes: SharedCounts,
}

/// Submits `jobs` jobs, one after the other, to a controller with `nodes` nodes, and waits for the end of each.
///
/// # Errors
/// [`MeasureError`] if the controller does not start, a DRMAA call fails, or no job is placed.
pub fn run_jobs(nodes: usize, jobs: u64) -> Result<RunCounts, MeasureError> {
    let counts = RunningCounts::default();
    let (ready, contact) = mpsc::channel();
    let (stop, stopped) = oneshot::channel();
    let server_counts = counts.clone();
    let servers = thread::spawn(move || serve(nodes, &server_counts, &ready, stopped));
    let contact = contact
        .recv_timeout(TIMEOUT)
        .map_err(|_| MeasureError::ControllerNotStarted);
    let outcome = contact.and_then(|contact| submit_jobs(contact, jobs, &counts));
    let _ = stop.send(());
    let served = servers
        .join()
        .map_err(|_| MeasureError::ThreadPanicked("serves the fake nodes"))?;
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
            "none of {jobs} jobs was placed, expected at least one"
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

/// Runs the node list, the nodes and the controller until `stopped` fires. Sends the address for clients to `ready`.
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
