//! The node list: whole lists, changes, generations, lateness, and being out of reach.

use crate::model::Micros;
use crate::node::Node;
use crate::{Clock, QUEUE};
use futures_util::{SinkExt, StreamExt};
use peppercove_protocol::codec::{LIST_FRAME, Messages};
use peppercove_protocol::list::{FromList, Line, NodeState, Scope, ToList};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio_util::codec::Framed;

/// Changes remembered for watchers that come back.
const CHANGES: usize = 10_000;

/// What is wrong with the list now, and how late it is.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// Changes are told this late.
    pub late: Micros,
    /// It answers nobody, and subscriptions break.
    pub down: bool,
}

struct Listed {
    node: Node,
    /// Where controllers are told to find it.
    address: SocketAddrV4,
    state: NodeState,
}

#[derive(Clone)]
struct Told {
    line: Line,
    started: Option<Micros>,
}

struct State {
    nodes: BTreeMap<SocketAddrV4, Listed>,
    pending: VecDeque<(Micros, Told)>,
    told: BTreeMap<SocketAddrV4, Told>,
    changes: VecDeque<(u64, Told)>,
    generation: u64,
    watchers: Vec<mpsc::Sender<FromList>>,
    trouble: Trouble,
}

struct Inner {
    clock: Clock,
    state: RefCell<State>,
    down: watch::Sender<u64>,
}

/// A stand-in node list on loopback.
#[derive(Clone)]
pub struct List {
    inner: Rc<Inner>,
    address: SocketAddrV4,
}

impl List {
    /// Starts a list that tells changes `late` and refreshes free room every `refresh`; within a `LocalSet`.
    ///
    /// # Errors
    /// Where no port can be had.
    pub async fn start(clock: Clock, late: Micros, refresh: Duration) -> io::Result<List> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::Error::other("an IPv4 address was expected"));
        };
        let state = State {
            nodes: BTreeMap::new(),
            pending: VecDeque::new(),
            told: BTreeMap::new(),
            changes: VecDeque::new(),
            generation: 0,
            watchers: Vec::new(),
            trouble: Trouble { late, down: false },
        };
        let inner = Rc::new(Inner { clock, state: RefCell::new(state), down: watch::Sender::new(0) });
        spawn_local(accept(inner.clone(), listener));
        spawn_local(publish(inner.clone(), refresh));
        Ok(List { inner, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Version of what it tells now.
    pub fn generation(&self) -> u64 {
        self.inner.state.borrow().generation
    }

    /// Adds a node that controllers reach at `address`, at once.
    pub fn add(&self, node: &Node, address: SocketAddrV4) {
        let mut state = self.inner.state.borrow_mut();
        state.nodes.insert(address, Listed { node: node.clone(), address, state: NodeState::Ready });
        let told = state.line(address, self.inner.clock.now());
        state.tell(told.into_iter().collect());
    }

    /// Something is to be told of a node: its state, or that it came up again.
    pub fn change(&self, node: &str, to: NodeState) {
        let now = self.inner.clock.now();
        let mut state = self.inner.state.borrow_mut();
        let found = state.nodes.values_mut().find(|l| l.node.name() == node);
        let Some(address) = found.map(|l| {
            l.state = to;
            l.address
        }) else {
            return;
        };
        let due = now + state.trouble.late;
        let told = state.line(address, now);
        state.pending.extend(told.map(|t| (due, t)));
    }

    /// Changes what is wrong with the list.
    pub fn trouble(&self, change: impl FnOnce(&mut Trouble)) {
        let mut state = self.inner.state.borrow_mut();
        change(&mut state.trouble);
        if state.trouble.down {
            state.watchers.clear();
            drop(state);
            self.inner.down.send_modify(|n| *n += 1);
        }
    }
}

impl State {
    fn line(&self, address: SocketAddrV4, _now: Micros) -> Option<Told> {
        let listed = self.nodes.get(&address)?;
        let (spec, life, started, free) =
            listed.node.read(|m| (m.spec().clone(), m.life(), m.started(), m.free()));
        let line = Line {
            address,
            name: spec.name,
            state: listed.state,
            kind: spec.kind,
            rack: spec.rack,
            zone: spec.zone,
            life,
            age: None,
            free_cores: Some(free.0),
            free_memory: Some(free.1),
        };
        Some(Told { line, started })
    }

    fn tell(&mut self, lines: Vec<Told>) {
        if lines.is_empty() {
            return;
        }
        self.generation += 1;
        for told in &lines {
            if told.line.state == NodeState::Gone {
                self.told.remove(&told.line.address);
            } else {
                self.told.insert(told.line.address, told.clone());
            }
            self.changes.push_back((self.generation, told.clone()));
        }
        while self.changes.len() > CHANGES {
            self.changes.pop_front();
        }
    }

    fn news(&self, now: Micros, after: Option<u64>) -> FromList {
        let aged = |t: &Told| Line { age: t.started.map(|at| now.saturating_sub(at)), ..t.line.clone() };
        let oldest = self.changes.front().map_or(self.generation + 1, |(g, _)| *g);
        let generation = self.generation;
        match after.filter(|a| *a <= generation && *a + 1 >= oldest) {
            Some(after) => {
                // The last word on each node, so that a long gap costs a line a node at most.
                let since = self.changes.iter().filter(|(g, _)| *g > after);
                let last: BTreeMap<SocketAddrV4, Line> =
                    since.map(|(_, t)| (t.line.address, aged(t))).collect();
                FromList::News { generation, scope: Scope::Delta, lines: last.into_values().collect() }
            }
            None => {
                let lines = self.told.values().map(aged).collect();
                FromList::News { generation, scope: Scope::Full, lines }
            }
        }
    }
}

async fn publish(inner: Rc<Inner>, refresh: Duration) {
    let mut refreshed = 0;
    let mut tick = tokio::time::interval(Duration::from_millis(5));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tick.tick().await;
        let now = inner.clock.now();
        let mut state = inner.state.borrow_mut();
        let before = state.generation;
        let mut due = Vec::new();
        while state.pending.front().is_some_and(|(at, _)| *at <= now) {
            due.extend(state.pending.pop_front().map(|(_, told)| told));
        }
        state.tell(due);
        if now >= refreshed + refresh.as_micros() as Micros {
            refreshed = now;
            // Free room is as late as everything else; what the list has not told of a node's life stays untold.
            let lines: Vec<SocketAddrV4> = state.told.keys().copied().collect();
            let due = now + state.trouble.late;
            for address in lines {
                let old = state.told.get(&address).cloned();
                let new = state.line(address, now);
                if let (Some(old), Some(new)) = (old, new) {
                    let moved = old.line.free_cores != new.line.free_cores
                        || old.line.free_memory != new.line.free_memory;
                    if moved && old.line.life == new.line.life && old.line.state == new.line.state {
                        state.pending.push_back((due, new));
                    }
                }
            }
            let mut pending: Vec<(Micros, Told)> = state.pending.drain(..).collect();
            pending.sort_by_key(|(at, _)| *at);
            state.pending = pending.into();
        }
        if state.generation > before && !state.trouble.down {
            let news = state.news(now, Some(before));
            state.watchers.retain(|w| w.try_send(news.clone()).is_ok());
        }
    }
}

async fn accept(inner: Rc<Inner>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if inner.state.borrow().trouble.down => drop(stream),
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
    let mut link = Framed::new(stream, Messages::<ToList, FromList>::new(LIST_FRAME));
    let Some(Ok(ToList::Hello { version, .. })) = link.next().await else { return };
    if version != peppercove_protocol::VERSION || link.send(&FromList::Welcome { version }).await.is_err() {
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
                    ToList::Fetch => inner.state.borrow().news(now, None),
                    ToList::Watch { after } => {
                        let mut state = inner.state.borrow_mut();
                        let news = state.news(now, after);
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
