//! A fake node list: serves the node registry on a loopback socket.

use crate::node::FakeNode;
use crate::node_model::Micros;
use crate::node_registry::{NodeRegistry, NodeSnapshot};
use crate::{Clock, MAX_QUEUED_MESSAGES, listen_on_loopback};
use futures_util::{SinkExt, StreamExt};
use peppercove_protocol::codec::{MAX_LIST_FRAME_BYTES, MessageCodec};
use peppercove_protocol::list::{FromList, NodeState, ToList};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio_util::codec::Framed;

/// Interval at which due changes are published.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(5);

/// Delay after a failed `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Active faults of the node list.
#[derive(Clone, Debug)]
pub struct ListFaults {
    /// Time from a change to its publication, in microseconds.
    pub delay: Micros,
    /// Unreachable: open connections break, and new ones are closed.
    pub down: bool,
}

struct State {
    nodes: BTreeMap<SocketAddrV4, FakeNode>,
    registry: NodeRegistry,
    watchers: Vec<mpsc::Sender<FromList>>,
    is_down: bool,
}

struct Inner {
    clock: Clock,
    state: RefCell<State>,
    /// Number of outages. All connections close when it changes.
    outages: watch::Sender<u64>,
}

/// Handle to a fake node list on loopback.
#[derive(Clone)]
pub struct FakeNodeList {
    inner: Rc<Inner>,
    address: SocketAddrV4,
}

impl FakeNodeList {
    /// Starts a list that publishes changes after `delay` (microseconds) and refreshes free resources every
    /// `refresh_interval`. Must be called within a `LocalSet`.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(
        clock: Clock,
        delay: Micros,
        refresh_interval: Duration,
    ) -> io::Result<FakeNodeList> {
        let (listener, address) = listen_on_loopback().await?;
        let state = State {
            nodes: BTreeMap::new(),
            registry: NodeRegistry::new(delay, refresh_interval.as_micros() as Micros),
            watchers: Vec::new(),
            is_down: false,
        };
        let inner = Rc::new(Inner {
            clock,
            state: RefCell::new(state),
            outages: watch::Sender::new(0),
        });
        spawn_local(accept_connections(inner.clone(), listener));
        spawn_local(publish_changes(inner.clone()));
        Ok(FakeNodeList { inner, address })
    }

    /// Address that the list listens on.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Version of the published entries.
    pub fn generation(&self) -> u64 {
        self.inner.state.borrow().registry.generation()
    }

    /// Adds a node that controllers reach at `address`. It is published immediately.
    pub fn add(&self, node: &FakeNode, address: SocketAddrV4) {
        let mut state = self.inner.state.borrow_mut();
        state.nodes.insert(address, node.clone());
        state.registry.add(address, node.read(NodeSnapshot::of));
    }

    /// Reports that a node changed its state or was restarted. The change is published after the delay. Unknown names
    /// are ignored.
    pub fn change(&self, node: &str, state: NodeState) {
        let now = self.inner.clock.now();
        let mut list = self.inner.state.borrow_mut();
        let found = list.nodes.iter().find(|(_, other)| other.name() == node);
        if let Some((address, node)) = found {
            let (address, snapshot) = (*address, node.read(NodeSnapshot::of));
            list.registry.change(now, address, state, snapshot);
        }
    }

    /// Changes the active faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut ListFaults)) {
        let mut state = self.inner.state.borrow_mut();
        let mut faults = ListFaults {
            delay: state.registry.delay,
            down: state.is_down,
        };
        change(&mut faults);
        state.registry.delay = faults.delay;
        state.is_down = faults.down;
        if faults.down {
            state.watchers.clear();
            drop(state);
            self.inner.outages.send_modify(|outages| *outages += 1);
        }
    }
}

async fn publish_changes(inner: Rc<Inner>) {
    let mut interval = tokio::time::interval(PUBLISH_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        let now = inner.clock.now();
        let mut state = inner.state.borrow_mut();
        let State {
            nodes,
            registry,
            watchers,
            is_down,
        } = &mut *state;
        let look_up = |address| {
            let node: &FakeNode = nodes.get(&address)?;
            Some(node.read(NodeSnapshot::of))
        };
        let update = registry.publish(now, look_up);
        if let Some(update) = update.filter(|_| !*is_down) {
            watchers.retain(|watcher| watcher.try_send(update.clone()).is_ok());
        }
    }
}

async fn accept_connections(inner: Rc<Inner>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if inner.state.borrow().is_down => drop(stream),
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                spawn_local(serve(inner.clone(), stream));
            }
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

impl Inner {
    /// Answers a request from a controller. A watch sends further updates through `updates`.
    fn answer(&self, request: ToList, updates: &mpsc::Sender<FromList>) -> FromList {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match request {
            ToList::Hello { .. } => FromList::Failed,
            ToList::Fetch => state.registry.update(now, None),
            ToList::Watch { after } => {
                let update = state.registry.update(now, after);
                let watchers = &mut state.watchers;
                watchers.retain(|watcher| !watcher.same_channel(updates));
                watchers.push(updates.clone());
                update
            }
        }
    }
}

/// Serves one controller until either end closes the connection.
async fn serve(inner: Rc<Inner>, stream: TcpStream) {
    let mut outages = inner.outages.subscribe();
    let codec = MessageCodec::<ToList, FromList>::new(MAX_LIST_FRAME_BYTES);
    let mut link = Framed::new(stream, codec);
    let Some(Ok(ToList::Hello { version, .. })) = link.next().await else {
        return;
    };
    if version != peppercove_protocol::VERSION
        || link.send(&FromList::Welcome { version }).await.is_err()
    {
        return;
    }
    let (updates, mut queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
    loop {
        let message = tokio::select! {
            request = link.next() => match request {
                Some(Ok(request)) => inner.answer(request, &updates),
                Some(Err(_)) | None => return,
            },
            update = queue.recv() => match update {
                Some(update) => update,
                // An outage dropped the watchers.
                None => return,
            },
            // The list became unreachable.
            _ = outages.changed() => return,
        };
        if link.send(&message).await.is_err() {
            return;
        }
    }
}
