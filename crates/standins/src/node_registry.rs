//! What a node list knows and tells, without sockets or clock: lines, their lateness, and changes for watchers.

use crate::node_model::{Micros, NodeModel};
use peppercove_protocol::list::{FromList, ListEntry, NodeState, Scope};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// Changes remembered for watchers that come back.
const CHANGES: usize = 10_000;

/// What the list sees of a node when it looks.
#[derive(Clone, Debug)]
pub struct Facts {
    name: String,
    kind: u8,
    rack: u16,
    zone: u8,
    life: u64,
    started: Option<Micros>,
    free: (f64, f64),
}

impl Facts {
    /// Of a node's model.
    pub fn of(model: &NodeModel) -> Facts {
        let spec = model.spec();
        Facts {
            name: spec.name.clone(),
            kind: spec.kind,
            rack: spec.rack,
            zone: spec.zone,
            life: model.life(),
            started: model.started(),
            free: model.free(),
        }
    }
}

#[derive(Clone, Debug)]
struct Told {
    line: ListEntry,
    started: Option<Micros>,
}

/// The list: what is so, what has been told, and what waits to be told.
#[derive(Debug, Default)]
pub struct NodeRegistry {
    states: BTreeMap<SocketAddrV4, NodeState>,
    pending: VecDeque<(Micros, Told)>,
    told: BTreeMap<SocketAddrV4, Told>,
    changes: VecDeque<(u64, Told)>,
    generation: u64,
    refreshed: Micros,
    refresh: Micros,
    /// Changes are told this late.
    pub late: Micros,
}

impl NodeRegistry {
    /// A list that tells changes `late` and looks at free room every `refresh`.
    pub fn new(late: Micros, refresh: Micros) -> NodeRegistry {
        NodeRegistry {
            late,
            refresh,
            ..NodeRegistry::default()
        }
    }

    /// Version of what it tells now.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Adds a node that controllers reach at `address`, at once.
    pub fn add(&mut self, address: SocketAddrV4, facts: Facts) {
        self.states.insert(address, NodeState::Ready);
        let told = line(address, NodeState::Ready, facts);
        self.tell(vec![told]);
    }

    /// Something is to be told of a node: its state, or that it came up again.
    pub fn change(&mut self, now: Micros, address: SocketAddrV4, to: NodeState, facts: Facts) {
        self.states.insert(address, to);
        self.pending
            .push_back((now + self.late, line(address, to, facts)));
    }

    /// When there is something to publish.
    pub fn next(&self) -> Micros {
        let pending = self.pending.iter().map(|(at, _)| *at).min();
        pending
            .unwrap_or(Micros::MAX)
            .min(self.refreshed + self.refresh)
    }

    /// Time has passed: what became due is told, and gone through for those who watch.
    pub fn publish(
        &mut self,
        now: Micros,
        look: impl Fn(SocketAddrV4) -> Option<Facts>,
    ) -> Option<FromList> {
        let before = self.generation;
        let mut due = Vec::new();
        while self.pending.front().is_some_and(|(at, _)| *at <= now) {
            due.extend(self.pending.pop_front().map(|(_, told)| told));
        }
        self.tell(due);
        if now >= self.refreshed + self.refresh {
            self.refreshed = now;
            // Free room is as late as everything else; what the list has not told of a node's life stays untold.
            for (address, old) in &self.told {
                let (Some(state), Some(facts)) = (self.states.get(address), look(*address)) else {
                    continue;
                };
                let new = line(*address, *state, facts);
                let moved = old.line.free_cores != new.line.free_cores
                    || old.line.free_memory != new.line.free_memory;
                if moved
                    && old.line.incarnation == new.line.incarnation
                    && old.line.state == new.line.state
                {
                    self.pending.push_back((now + self.late, new));
                }
            }
            let mut pending: Vec<(Micros, Told)> = self.pending.drain(..).collect();
            pending.sort_by_key(|(at, _)| *at);
            self.pending = pending.into();
        }
        (self.generation > before).then(|| self.news(now, Some(before)))
    }

    /// All that is told, or what changed after a version.
    pub fn news(&self, now: Micros, after: Option<u64>) -> FromList {
        let aged = |t: &Told| ListEntry {
            age: t.started.map(|at| now.saturating_sub(at)),
            ..t.line.clone()
        };
        let oldest = self
            .changes
            .front()
            .map_or(self.generation + 1, |(g, _)| *g);
        let generation = self.generation;
        match after.filter(|a| *a <= generation && *a + 1 >= oldest) {
            Some(after) => {
                // The last word on each node, so that a long gap costs a line a node at most.
                let since = self.changes.iter().filter(|(g, _)| *g > after);
                let last: BTreeMap<SocketAddrV4, ListEntry> =
                    since.map(|(_, t)| (t.line.address, aged(t))).collect();
                FromList::Update {
                    generation,
                    scope: Scope::Delta,
                    entries: last.into_values().collect(),
                }
            }
            None => {
                let lines = self.told.values().map(aged).collect();
                FromList::Update {
                    generation,
                    scope: Scope::Full,
                    entries: lines,
                }
            }
        }
    }

    fn tell(&mut self, lines: Vec<Told>) {
        if lines.is_empty() {
            return;
        }
        self.generation += 1;
        for told in &lines {
            if told.line.state == NodeState::Removed {
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
}

fn line(address: SocketAddrV4, state: NodeState, facts: Facts) -> Told {
    let line = ListEntry {
        address,
        name: facts.name,
        state,
        kind: facts.kind,
        rack: facts.rack,
        zone: facts.zone,
        incarnation: facts.life,
        age: None,
        free_cores: Some(facts.free.0),
        free_memory: Some(facts.free.1),
    };
    Told {
        line,
        started: facts.started,
    }
}
