//! A fake node: serves the node model on a loopback socket.

use crate::node_model::{Faults, FleetState, NodeModel, NodeSpec, Outgoing};
use crate::{Clock, MAX_QUEUED_MESSAGES, listen_on_loopback};
use futures_util::{SinkExt, StreamExt};
use peppercove_protocol::codec::{MAX_NODE_FRAME_BYTES, MessageCodec};
use peppercove_protocol::node::{FromNode, ProcessIdentity, ToNode};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;
use tokio_util::codec::Framed;

type Link = Framed<TcpStream, MessageCodec<ToNode, FromNode>>;

/// Command to the task that serves a link.
enum LinkCommand {
    /// Send a message.
    Send(Box<FromNode>),
    /// Close the link in the middle of a frame.
    CloseMidFrame,
    /// Close the link, because the same controller has opened a newer one.
    Replace,
}

/// The start of a frame whose length prefix announces more bytes than are sent.
const PARTIAL_FRAME: [u8; 7] = [0, 0, 1, 0, 7, 7, 7];

/// Delay after a failed `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Mutable state of a fake node.
struct State {
    model: NodeModel,
    /// The newest link of each controller, by controller name.
    links: BTreeMap<String, mpsc::Sender<LinkCommand>>,
    /// Number of the newest link.
    last_link: u64,
    is_dead: bool,
}

/// State that the handles and tasks of a fake node share.
struct Inner {
    clock: Clock,
    state: RefCell<State>,
    /// Signals that the next wake-up time of the model may have changed.
    wake: Notify,
    /// All links close when this changes.
    epoch: watch::Sender<u64>,
}

/// Handle to a fake node on loopback. The node runs until its runtime ends, even when all handles are dropped.
#[derive(Clone)]
pub struct FakeNode {
    inner: Rc<Inner>,
    address: SocketAddrV4,
    name: String,
}

impl FakeNode {
    /// Starts a node. Must be called within a `LocalSet`.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(
        spec: NodeSpec,
        fleet: FleetState,
        clock: Clock,
        seed: u64,
    ) -> io::Result<FakeNode> {
        let (listener, address) = listen_on_loopback().await?;
        let name = spec.name.clone();
        let state = State {
            model: NodeModel::new(spec, fleet, 1, seed),
            links: BTreeMap::new(),
            last_link: 0,
            is_dead: false,
        };
        let inner = Rc::new(Inner {
            clock,
            state: RefCell::new(state),
            wake: Notify::new(),
            epoch: watch::Sender::new(0),
        });
        spawn_local(accept_links(inner.clone(), listener));
        spawn_local(run_timers(inner.clone()));
        Ok(FakeNode {
            inner,
            address,
            name,
        })
    }

    /// Address that the node listens on.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Name of the node.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Calls `read` with the model.
    pub fn read<T>(&self, read: impl FnOnce(&NodeModel) -> T) -> T {
        read(&self.inner.state.borrow().model)
    }

    /// Whether the process has been killed or has crashed.
    pub fn is_dead(&self) -> bool {
        self.inner.state.borrow().is_dead
    }

    /// Changes the active faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        let now = self.inner.clock.now();
        let mut faults = self.read(|model| model.faults().clone());
        change(&mut faults);
        self.inner.act(|model| model.set_faults(now, faults));
    }

    /// Starts to drain the node.
    pub fn drain(&self) {
        let now = self.inner.clock.now();
        self.inner.act(|model| model.drain(now));
    }

    /// Evicts about this share of the unused programs from the program cache, chosen at random.
    pub fn flush(&self, share: f64) {
        self.inner.state.borrow_mut().model.flush(share);
    }

    /// Kills the process: its links close and its state is lost.
    pub fn kill(&self) {
        let now = self.inner.clock.now();
        let mut state = self.inner.state.borrow_mut();
        state.model.die(now);
        state.is_dead = true;
        state.links.clear();
        drop(state);
        self.inner.break_links();
    }

    /// Restarts the process under the same address, in slow start.
    pub fn restart(&self) {
        let now = self.inner.clock.now();
        let mut state = self.inner.state.borrow_mut();
        let incarnation = state.model.incarnation() + 1;
        state.model.restart(now, incarnation);
        state.is_dead = false;
        state.links.clear();
        drop(state);
        self.inner.break_links();
        self.inner.wake.notify_one();
    }

    /// Closes all links.
    pub fn disconnect(&self) {
        self.inner.break_links();
    }

    /// Closes all links, each in the middle of a frame to the controller.
    pub fn disconnect_mid_frame(&self) {
        for link in self.inner.state.borrow().links.values() {
            let _ = link.try_send(LinkCommand::CloseMidFrame);
        }
    }
}

impl Inner {
    fn break_links(&self) {
        self.epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Calls `act` with the model, sends the messages that it returns, and handles a crash.
    fn act(&self, act: impl FnOnce(&mut NodeModel) -> Vec<Outgoing>) {
        let mut state = self.state.borrow_mut();
        for outgoing in act(&mut state.model) {
            if let Some(link) = state.links.get(&outgoing.controller) {
                // Messages to a controller that does not read are dropped when its queue is full.
                let _ = link.try_send(LinkCommand::Send(Box::new(outgoing.message)));
            }
        }
        if state.model.has_crashed() && !state.is_dead {
            state.is_dead = true;
            state.links.clear();
            drop(state);
            self.break_links();
        }
        self.wake.notify_one();
    }

    /// Queues the reply to the handshake on a new link. Returns the number of the link, or `None` if the node is dead.
    fn open_link(
        &self,
        controller: &ProcessIdentity,
        commands: &mpsc::Sender<LinkCommand>,
    ) -> Option<u64> {
        let mut state = self.state.borrow_mut();
        if state.is_dead {
            return None;
        }
        let now = self.clock.now();
        state.last_link += 1;
        let link = state.last_link;
        for message in state.model.handshake(now, controller, link) {
            let _ = commands.try_send(LinkCommand::Send(Box::new(message)));
        }
        let older = state
            .links
            .insert(controller.name.clone(), commands.clone());
        // Messages now go to the newer link. The older one is closed, so that it does not appear to be alive.
        if let Some(older) = older {
            let _ = older.try_send(LinkCommand::Replace);
        }
        Some(link)
    }

    fn close_link(
        &self,
        controller: &ProcessIdentity,
        link: u64,
        commands: &mpsc::Sender<LinkCommand>,
    ) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let newest = state.links.get(&controller.name);
        if newest.is_some_and(|newest| newest.same_channel(commands)) {
            state.links.remove(&controller.name);
            state.model.disconnect(now, &controller.name, link);
        }
    }

    fn on_message(&self, from: &ProcessIdentity, link: u64, message: ToNode) {
        let now = self.clock.now();
        if self.state.borrow().model.is_current(&from.name, link) {
            self.act(|model| model.on_message(now, from, message));
        }
    }
}

/// Calls the model each time that one of its timers is due.
async fn run_timers(inner: Rc<Inner>) {
    loop {
        let next = inner.state.borrow().model.next_wake();
        let sleep = async {
            match next {
                Some(at) => tokio::time::sleep_until(inner.clock.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = sleep => {
                let now = inner.clock.now();
                if inner.state.borrow().is_dead {
                    inner.wake.notified().await;
                } else {
                    inner.act(|model| model.tick(now));
                }
            }
            // The model was called in the meantime, so its next wake-up may have changed.
            () = inner.wake.notified() => {}
        }
    }
}

async fn accept_links(inner: Rc<Inner>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            // A dead process serves no connections. The listener stays open so that a restart has the same address.
            Ok((stream, _)) if inner.state.borrow().is_dead => drop(stream),
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let link = Framed::new(stream, MessageCodec::new(MAX_NODE_FRAME_BYTES));
                spawn_local(serve(inner.clone(), link));
            }
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Serves one link until either end closes it.
async fn serve(inner: Rc<Inner>, mut stream: Link) {
    let mut epoch = inner.epoch.subscribe();
    let Some(controller) = read_hello(&mut stream).await else {
        return;
    };
    let (commands, mut queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let Some(link) = inner.open_link(&controller, &commands) else {
        return;
    };
    loop {
        tokio::select! {
            message = stream.next() => match message {
                Some(Ok(message)) => inner.on_message(&controller, link, message),
                Some(Err(_)) | None => break,
            },
            command = queue.recv() => match command {
                Some(LinkCommand::Send(message)) => {
                    if stream.send(&*message).await.is_err() {
                        break;
                    }
                }
                Some(LinkCommand::CloseMidFrame) => {
                    let _ = stream.get_mut().write_all(&PARTIAL_FRAME).await;
                    break;
                }
                Some(LinkCommand::Replace) | None => break,
            },
            // All links of the node close.
            _ = epoch.changed() => break,
        }
    }
    inner.close_link(&controller, link, &commands);
}

/// Reads the first message of a link. Returns the identity of the controller if the protocol version matches.
async fn read_hello(stream: &mut Link) -> Option<ProcessIdentity> {
    match stream.next().await {
        Some(Ok(ToNode::Hello {
            version,
            controller,
        })) if version == peppercove_protocol::VERSION => Some(controller),
        _ => None,
    }
}
