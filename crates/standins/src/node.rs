//! A node model behind a socket.

use crate::node_model::{Faults, FleetState, NodeModel, NodeSpec, Outgoing};
use crate::{Clock, QUEUE};
use futures_util::{SinkExt, StreamExt};
use peppercove_protocol::codec::{MAX_NODE_FRAME_BYTES, MessageCodec};
use peppercove_protocol::node::{FromNode, ProcessIdentity, ToNode};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;
use tokio_util::codec::Framed;

type Link = Framed<TcpStream, MessageCodec<ToNode, FromNode>>;

/// What a connection's writer is told.
enum Say {
    Message(Box<FromNode>),
    /// Close in the middle of a frame.
    Cut,
    /// Another link of the same controller has taken its place.
    Replaced,
}

struct State {
    model: NodeModel,
    links: BTreeMap<String, (u64, mpsc::Sender<Say>)>,
    /// Links so far: each has a number.
    greeted: u64,
    dead: bool,
}

struct Inner {
    clock: Clock,
    state: RefCell<State>,
    wake: Notify,
    epoch: watch::Sender<u64>,
}

/// One stand-in node that listens on loopback. Dropping it does not end it; its runtime does.
#[derive(Clone)]
pub struct FakeNode {
    inner: Rc<Inner>,
    address: SocketAddrV4,
    name: String,
}

impl FakeNode {
    /// Starts a node; must be called within a `LocalSet`.
    ///
    /// # Errors
    /// Where no port can be had.
    pub async fn start(
        spec: NodeSpec,
        shared: FleetState,
        clock: Clock,
        seed: u64,
    ) -> io::Result<FakeNode> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::Error::other("an IPv4 address was expected"));
        };
        let name = spec.name.clone();
        let model = NodeModel::new(spec, shared, 1, seed);
        let state = RefCell::new(State {
            model,
            links: BTreeMap::new(),
            greeted: 0,
            dead: false,
        });
        let inner = Rc::new(Inner {
            clock,
            state,
            wake: Notify::new(),
            epoch: watch::Sender::new(0),
        });
        spawn_local(accept(inner.clone(), listener));
        spawn_local(keep_time(inner.clone()));
        Ok(FakeNode {
            inner,
            address,
            name,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Reads the model.
    pub fn read<T>(&self, f: impl FnOnce(&NodeModel) -> T) -> T {
        f(&self.inner.state.borrow().model)
    }

    /// Its process is gone.
    pub fn is_dead(&self) -> bool {
        self.inner.state.borrow().dead
    }

    /// Changes what is wrong with it.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        let now = self.inner.clock.now();
        let mut faults = self.read(|m| m.faults().clone());
        change(&mut faults);
        self.inner.act(|model| model.set_faults(now, faults));
    }

    /// It drains.
    pub fn drain(&self) {
        let now = self.inner.clock.now();
        self.inner.act(|model| model.drain(now));
    }

    /// It forgets this share of its idle programs.
    pub fn flush(&self, share: f64) {
        self.inner.state.borrow_mut().model.flush(share);
    }

    /// Its process is killed: links break and everything on it is gone.
    pub fn kill(&self) {
        let now = self.inner.clock.now();
        let mut state = self.inner.state.borrow_mut();
        state.model.die(now);
        state.dead = true;
        state.links.clear();
        drop(state);
        self.inner.epoch.send_modify(|e| *e += 1);
    }

    /// Its process starts anew, cold.
    pub fn restart(&self) {
        let now = self.inner.clock.now();
        let mut state = self.inner.state.borrow_mut();
        let life = state.model.life() + 1;
        state.model.restart(now, life);
        state.dead = false;
        state.links.clear();
        drop(state);
        self.inner.epoch.send_modify(|e| *e += 1);
        self.inner.wake.notify_one();
    }

    /// All its links break; with `midway` in the middle of a frame.
    pub fn cut(&self, midway: bool) {
        let state = self.inner.state.borrow();
        if midway {
            for (_, link) in state.links.values() {
                let _ = link.try_send(Say::Cut);
            }
        } else {
            drop(state);
            self.inner.epoch.send_modify(|e| *e += 1);
        }
    }
}

impl Inner {
    fn act(&self, f: impl FnOnce(&mut NodeModel) -> Vec<Outgoing>) {
        let mut state = self.state.borrow_mut();
        let out = f(&mut state.model);
        for (to, message) in out {
            if let Some((_, link)) = state.links.get(&to) {
                // A controller that does not read loses its own messages.
                let _ = link.try_send(Say::Message(Box::new(message)));
            }
        }
        if state.model.is_fallen() && !state.dead {
            state.dead = true;
            state.links.clear();
            drop(state);
            self.epoch.send_modify(|e| *e += 1);
        }
        self.wake.notify_one();
    }
}

async fn keep_time(inner: Rc<Inner>) {
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
                if inner.state.borrow().dead {
                    inner.wake.notified().await;
                } else {
                    inner.act(|model| model.tick(now));
                }
            }
            () = inner.wake.notified() => {}
        }
    }
}

async fn accept(inner: Rc<Inner>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            // A dead process accepts nothing; the port is kept so that it can come back under its address.
            Ok((stream, _)) if inner.state.borrow().dead => drop(stream),
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                spawn_local(serve(
                    inner.clone(),
                    Framed::new(stream, MessageCodec::new(MAX_NODE_FRAME_BYTES)),
                ));
            }
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(10)).await,
        }
    }
}

async fn serve(inner: Rc<Inner>, mut link: Link) {
    let mut epoch = inner.epoch.subscribe();
    let Some(Ok(ToNode::Hello {
        version,
        controller,
    })) = link.next().await
    else {
        return;
    };
    if version != peppercove_protocol::VERSION {
        return;
    }
    let (sender, mut queue) = mpsc::channel(QUEUE);
    let number;
    {
        let mut state = inner.state.borrow_mut();
        if state.dead {
            return;
        }
        let now = inner.clock.now();
        state.greeted += 1;
        number = state.greeted;
        for message in state.model.greet(now, &controller, number) {
            let _ = sender.try_send(Say::Message(Box::new(message)));
        }
        let new = (controller.incarnation, sender.clone());
        // Two links of one controller: what is said goes to the newer, and the older must not seem to stand.
        if let Some((_, old)) = state.links.insert(controller.name.clone(), new) {
            let _ = old.try_send(Say::Replaced);
        }
    }
    loop {
        tokio::select! {
            message = link.next() => match message {
                Some(Ok(message)) => take(&inner, &controller, number, message),
                _ => break,
            },
            say = queue.recv() => match say {
                Some(Say::Message(message)) => {
                    if link.send(&*message).await.is_err() {
                        break;
                    }
                }
                Some(Say::Cut) => {
                    let _ = link.get_mut().write_all(&[0, 0, 1, 0, 7, 7, 7]).await;
                    break;
                }
                Some(Say::Replaced) | None => break,
            },
            _ = epoch.changed() => break,
        }
    }
    let now = inner.clock.now();
    let mut state = inner.state.borrow_mut();
    if state
        .links
        .get(&controller.name)
        .is_some_and(|(_, s)| s.same_channel(&sender))
    {
        state.links.remove(&controller.name);
        state.model.part(now, &controller.name, number);
    }
}

fn take(inner: &Inner, from: &ProcessIdentity, link: u64, message: ToNode) {
    let now = inner.clock.now();
    if !inner.state.borrow().model.is_current(&from.name, link) {
        return;
    }
    inner.act(|model| match message {
        ToNode::Hello { .. } => Vec::new(),
        ToNode::Offer {
            attempt,
            expires_in,
            task: work,
        } => model.offer(now, from, attempt, expires_in, work),
        ToNode::CancelAttempt { attempt } => model.withdraw(now, from, attempt),
        ToNode::Adopt {
            incarnation: life,
            attempt,
            new_attempt: named,
        } => model.adopt(now, from, life, attempt, named),
        ToNode::AcknowledgeEnd { attempt } => {
            model.noted(from, attempt);
            Vec::new()
        }
        ToNode::Discard {
            incarnation: life,
            attempt,
        } => model.discard(now, from, life, attempt),
        ToNode::Control { attempt, action } => model.control(now, from, attempt, action),
        ToNode::Probe { nonce } => model.probe(now, from, nonce),
    });
}
