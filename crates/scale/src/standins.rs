//! The DRMAA front as it is, on loopback in this process: a client session, a controller, a node list and nodes, with
//! relays between them that count frames and lines.

use crate::hollow::Traffic;
use anyhow::{Context, Result, ensure};
use bytes::BytesMut;
use peppercove_config::{Config, embedded_default};
use peppercove_controller::Controller;
use peppercove_day::cluster::node_spec;
use peppercove_drmaa::{JobTemplate, PlacementOutcome, Session};
use peppercove_protocol::codec::MAX_NODE_FRAME_BYTES;
use peppercove_standins::Clock;
use peppercove_standins::list::FakeNodeList;
use peppercove_standins::node::FakeNode;
use peppercove_standins::node_model::FleetState;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio_util::codec::{Decoder, LengthDelimitedCodec, LinesCodec};

/// No answer takes longer.
const LONG: Duration = Duration::from_secs(20);

/// What crossed one kind of wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crossed {
    /// Connections taken.
    pub connections: u64,
    /// Frames or lines, both ways.
    pub traffic: Traffic,
}

/// What crossed all wires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wires {
    /// Between client and controller when the session stands, and when all jobs have ended.
    pub client: [Crossed; 2],
    /// Between controller and nodes when all greetings are over, and when all jobs have ended.
    pub nodes: [Crossed; 2],
    /// Jobs that were placed.
    pub placed: u64,
}

type Count = Arc<Mutex<Crossed>>;

fn read(count: &Count) -> Crossed {
    *count.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Submits `jobs`, one after the other, to a controller with so many nodes, and waits for the end of each.
pub fn play(nodes: usize, jobs: u64) -> Result<Wires> {
    let (client, node) = (Count::default(), Count::default());
    let (ready, told) = mpsc::channel();
    let (stop, stopped) = oneshot::channel();
    let counts = (client.clone(), node.clone());
    let thread = std::thread::spawn(move || serve(nodes, counts, &ready, stopped));
    let outcome = told
        .recv_timeout(LONG)
        .context("the controller did not start");
    let outcome = outcome.and_then(|contact| submit(contact, jobs, &client, &node));
    let _ = stop.send(());
    let served = thread
        .join()
        .map_err(|_| anyhow::anyhow!("the stand-ins panicked"))?;
    served.and(outcome)
}

fn submit(contact: SocketAddr, jobs: u64, client: &Count, node: &Count) -> Result<Wires> {
    let session = Session::init(&contact.to_string())?;
    let first = (read(client), read(node));
    let mut placed = 0;
    for i in 0..jobs {
        let mut template = JobTemplate::default();
        let mut set =
            |name: &str, value: &str| template.attributes.insert(name.into(), value.into());
        set("drmaa_remote_command", "sleep");
        set("drmaa_job_name", &format!("job-{}", i % 5));
        set("drmaa_native_specification", "life=5ms");
        let job = session.run_job(&template)?;
        let settled = session.outcome(&job, Some(LONG))?;
        if settled.outcome == PlacementOutcome::Placed {
            placed += 1;
            session.wait(&job, Some(LONG))?;
        }
    }
    ensure!(placed > 0, "of {jobs} jobs none was placed");
    // The controller takes note of the last end once its client was told.
    std::thread::sleep(Duration::from_millis(100));
    let last = (read(client), read(node));
    session.exit()?;
    Ok(Wires {
        client: [first.0, last.0],
        nodes: [first.1, last.1],
        placed,
    })
}

fn serve(
    nodes: usize,
    (client, node): (Count, Count),
    ready: &mpsc::Sender<SocketAddr>,
    stopped: oneshot::Receiver<()>,
) -> Result<()> {
    let mut config = Config::parse(embedded_default())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let (clock, shared) = (Clock::default(), FleetState::default());
        let list = FakeNodeList::start(clock, 100_000, Duration::from_millis(250)).await?;
        for i in 0..nodes {
            let one =
                FakeNode::start(node_spec(&config, i), shared.clone(), clock, i as u64).await?;
            let frames = || {
                let mut frames = LengthDelimitedCodec::builder()
                    .max_frame_length(MAX_NODE_FRAME_BYTES)
                    .new_codec();
                move |bytes: &mut BytesMut| frames.decode(bytes).is_ok_and(|f| f.is_some())
            };
            list.add(
                &one,
                relay(one.address().into(), node.clone(), frames).await?,
            );
        }
        config.network.node_list = list.address().into();
        let controller = Controller::start(config).await?;
        while controller.status().connected_nodes < nodes {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let lines = || {
            let mut lines = LinesCodec::new();
            move |bytes: &mut BytesMut| lines.decode(bytes).is_ok_and(|l| l.is_some())
        };
        let contact = relay(controller.address(), client, lines).await?;
        let _ = ready.send(contact.into());
        let _ = stopped.await;
        controller.shut_down().await;
        Ok(())
    })
}

/// Passes bytes on and counts them; `split` makes what takes one message off the front.
async fn relay<S, M>(to: SocketAddr, count: Count, split: S) -> Result<SocketAddrV4>
where
    S: Fn() -> M + 'static,
    M: FnMut(&mut BytesMut) -> bool + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let SocketAddr::V4(address) = listener.local_addr()? else {
        anyhow::bail!("an IPv4 address was expected")
    };
    spawn_local(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(to).await else {
                continue;
            };
            count
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .connections += 1;
            let _ = near.set_nodelay(true).and(far.set_nodelay(true));
            let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
            spawn_local(pump(near_in, far_out, count.clone(), split()));
            spawn_local(pump(far_in, near_out, count.clone(), split()));
        }
    });
    Ok(address)
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    count: Count,
    mut message: impl FnMut(&mut BytesMut) -> bool,
) {
    let mut buffer = BytesMut::new();
    let mut part = vec![0; 64 << 10];
    while let Ok(n @ 1..) = from.read(&mut part).await {
        buffer.extend_from_slice(&part[..n]);
        {
            let mut count = count.lock().unwrap_or_else(PoisonError::into_inner);
            count.traffic.bytes += n as u64;
            while message(&mut buffer) {
                count.traffic.messages += 1;
            }
        }
        if to.write_all(&part[..n]).await.is_err() {
            return;
        }
    }
}
