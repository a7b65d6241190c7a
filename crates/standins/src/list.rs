//! The node list: whole lists, changes, generations, lateness, and being out of reach.

use crate::node::FakeNode;
use crate::node_model::Micros;
use crate::node_registry::{Facts, NodeRegistry};
use crate::{Clock, QUEUE};
use futures_util::{SinkExt, StreamExt};
use peppercove_protocol::codec::{MAX_LIST_FRAME_BYTES, MessageCodec};
use peppercove_protocol::list::{FromList, NodeState, ToList};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio_util::codec::Framed;

/// What is wrong with the list now, and how late it is.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// Changes are told this late.
    pub late: Micros,
    /// It answers nobody, and subscriptions break.
    pub down: bool,
}

struct State {
    nodes: BTreeMap<SocketAddrV4, FakeNode>,
    roster: NodeRegistry,
    watchers: Vec<mpsc::Sender<FromList>>,
    down: bool,
}

struct Inner {
    clock: Clock,
    state: RefCell<State>,
    down: watch::Sender<u64>,
}

/// A stand-in node list on loopback.
#[derive(Clone)]
pub struct FakeNodeList {
    inner: Rc<Inner>,
    address: SocketAddrV4,
}

impl FakeNodeList {
    /// Starts a list that tells changes `late` and refreshes free room every `refresh`; within a `LocalSet`.
    ///
    /// # Errors
    /// Where no port can be had.
    pub async fn start(clock: Clock, late: Micros, refresh: Duration) -> io::Result<FakeNodeList> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::Error::other("an IPv4 address was expected"));
        };
        let roster = NodeRegistry::new(late, refresh.as_micros() as Micros);
        let state = State {
            nodes: BTreeMap::new(),
            roster,
            watchers: Vec::new(),
            down: false,
        };
        let inner = Rc::new(Inner {
            clock,
            state: RefCell::new(state),
            down: watch::Sender::new(0),
        });
        spawn_local(accept(inner.clone(), listener));
        spawn_local(publish(inner.clone()));
        Ok(FakeNodeList { inner, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Version of what it tells now.
    pub fn generation(&self) -> u64 {
        self.inner.state.borrow().roster.generation()
    }

    /// Adds a node that controllers reach at `address`, at once.
    pub fn add(&self, node: &FakeNode, address: SocketAddrV4) {
        let mut state = self.inner.state.borrow_mut();
        state.nodes.insert(address, node.clone());
        state.roster.add(address, node.read(Facts::of));
    }

    /// Something is to be told of a node: its state, or that it came up again.
    pub fn change(&self, node: &str, to: NodeState) {
        let now = self.inner.clock.now();
        let mut state = self.inner.state.borrow_mut();
        let found = state.nodes.iter().find(|(_, n)| n.name() == node);
        if let Some((address, facts)) = found.map(|(a, n)| (*a, n.read(Facts::of))) {
            state.roster.change(now, address, to, facts);
        }
    }

    /// Changes what is wrong with the list.
    pub fn change_faults(&self, change: impl FnOnce(&mut Trouble)) {
        let mut state = self.inner.state.borrow_mut();
        let mut trouble = Trouble {
            late: state.roster.late,
            down: state.down,
        };
        change(&mut trouble);
        (state.roster.late, state.down) = (trouble.late, trouble.down);
        if trouble.down {
            state.watchers.clear();
            drop(state);
            self.inner.down.send_modify(|n| *n += 1);
        }
    }
}

async fn publish(inner: Rc<Inner>) {
    let mut tick = tokio::time::interval(Duration::from_millis(5));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tick.tick().await;
        let now = inner.clock.now();
        let mut state = inner.state.borrow_mut();
        let State {
            nodes,
            roster,
            watchers,
            down,
        } = &mut *state;
        let news = roster.publish(now, |address| {
            nodes.get(&address).map(|n| n.read(Facts::of))
        });
        if let Some(news) = news.filter(|_| !*down) {
            watchers.retain(|w| w.try_send(news.clone()).is_ok());
        }
    }
}

async fn accept(inner: Rc<Inner>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if inner.state.borrow().down => drop(stream),
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                spawn_local(serve(inner.clone(), stream));
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn serve(inner: Rc<Inner>, stream: TcpStream) {
    let mut down = inner.down.subscribe();
    let mut link = Framed::new(
        stream,
        MessageCodec::<ToList, FromList>::new(MAX_LIST_FRAME_BYTES),
    );
    let Some(Ok(ToList::Hello { version, .. })) = link.next().await else {
        return;
    };
    if version != peppercove_protocol::VERSION
        || link.send(&FromList::Welcome { version }).await.is_err()
    {
        return;
    }
    let (sender, mut queue) = mpsc::channel(QUEUE);
    loop {
        tokio::select! {
            call = link.next() => {
                let Some(Ok(call)) = call else { return };
                let now = inner.clock.now();
                let news = match call {
                    ToList::Hello { .. } => FromList::Failed,
                    ToList::Fetch => inner.state.borrow().roster.news(now, None),
                    ToList::Watch { after } => {
                        let mut state = inner.state.borrow_mut();
                        let news = state.roster.news(now, after);
                        state.watchers.retain(|w| !w.same_channel(&sender));
                        state.watchers.push(sender.clone());
                        news
                    }
                };
                if link.send(&news).await.is_err() {
                    return;
                }
            }
            news = queue.recv() => {
                let Some(news) = news else { return };
                if link.send(&news).await.is_err() {
                    return;
                }
            }
            _ = down.changed() => return,
        }
    }
}
