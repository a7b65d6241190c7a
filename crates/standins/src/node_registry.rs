//! Node list without sockets or a clock: entries, delayed publication, and changes for watchers.

use crate::node_model::{Micros, NodeModel, Resources};
use peppercove_protocol::list::{FromList, ListEntry, NodeState, Scope};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// Limit on the changes that are kept for watchers that reconnect. A watcher further behind gets the full list.
const MAX_CHANGES: usize = 10_000;

/// State of a node that goes into its list entry.
#[derive(Clone, Debug)]
pub struct NodeSnapshot {
    name: String,
    kind: u8,
    rack: u16,
    zone: u8,
    incarnation: u64,
    started: Option<Micros>,
    free: Resources,
}

impl NodeSnapshot {
    /// Takes the current state of a node.
    pub fn of(model: &NodeModel) -> NodeSnapshot {
        let spec = model.spec();
        NodeSnapshot {
            name: spec.name.clone(),
            kind: spec.kind,
            rack: spec.rack,
            zone: spec.zone,
            incarnation: model.incarnation(),
            started: model.started(),
            free: model.free(),
        }
    }
}

/// An entry of the list. The age of the node is filled in when the entry is sent.
#[derive(Clone, Debug)]
struct Entry {
    listed: ListEntry,
    started: Option<Micros>,
}

impl Entry {
    fn new(address: SocketAddrV4, state: NodeState, node: NodeSnapshot) -> Entry {
        let listed = ListEntry {
            address,
            name: node.name,
            state,
            kind: node.kind,
            rack: node.rack,
            zone: node.zone,
            incarnation: node.incarnation,
            age: None,
            free_cores: Some(node.free.cores),
            free_memory: Some(node.free.memory),
        };
        Entry {
            listed,
            started: node.started,
        }
    }

    fn with_age(&self, now: Micros) -> ListEntry {
        ListEntry {
            age: self.started.map(|at| now.saturating_sub(at)),
            ..self.listed.clone()
        }
    }

    /// Whether the free resources differ, but neither incarnation nor state.
    fn differs_in_free_resources_only(&self, newer: &Entry) -> bool {
        let (old, new) = (&self.listed, &newer.listed);
        let differs = old.free_cores != new.free_cores || old.free_memory != new.free_memory;
        differs && old.incarnation == new.incarnation && old.state == new.state
    }
}

/// A change that has not been published yet.
#[derive(Debug)]
struct PendingChange {
    due: Micros,
    entry: Entry,
}

/// A published change, with the version of the list that introduced it.
#[derive(Debug)]
struct PublishedChange {
    generation: u64,
    entry: Entry,
}

/// The current states of the nodes, the published entries, and the changes that are not published yet.
#[derive(Debug, Default)]
pub struct NodeRegistry {
    states: BTreeMap<SocketAddrV4, NodeState>,
    pending: VecDeque<PendingChange>,
    published: BTreeMap<SocketAddrV4, Entry>,
    changes: VecDeque<PublishedChange>,
    generation: u64,
    last_refresh: Micros,
    refresh_interval: Micros,
    /// Time from a change to its publication, in microseconds.
    pub delay: Micros,
}

impl NodeRegistry {
    /// Creates an empty list that publishes changes after `delay` and refreshes free resources every
    /// `refresh_interval`, both in microseconds.
    pub fn new(delay: Micros, refresh_interval: Micros) -> NodeRegistry {
        NodeRegistry {
            delay,
            refresh_interval,
            ..NodeRegistry::default()
        }
    }

    /// Version of the published entries.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Adds a node that controllers reach at `address`. It is published immediately.
    pub fn add(&mut self, address: SocketAddrV4, node: NodeSnapshot) {
        self.states.insert(address, NodeState::Ready);
        let entry = Entry::new(address, NodeState::Ready, node);
        self.publish_entries(vec![entry]);
    }

    /// Reports that a node changed its state or was restarted. The change is published after the delay.
    pub fn change(
        &mut self,
        now: Micros,
        address: SocketAddrV4,
        state: NodeState,
        node: NodeSnapshot,
    ) {
        self.states.insert(address, state);
        self.pending.push_back(PendingChange {
            due: now + self.delay,
            entry: Entry::new(address, state, node),
        });
    }

    /// Time at which [`NodeRegistry::publish`] must be called next.
    pub fn next_publication(&self) -> Micros {
        let pending = self.pending.iter().map(|change| change.due).min();
        let refresh = self.last_refresh + self.refresh_interval;
        pending.unwrap_or(Micros::MAX).min(refresh)
    }

    /// Publishes due changes and refreshes free resources, if that is due. Returns the update for watchers, if anything
    /// was published.
    pub fn publish(
        &mut self,
        now: Micros,
        look_up: impl Fn(SocketAddrV4) -> Option<NodeSnapshot>,
    ) -> Option<FromList> {
        let before = self.generation;
        let mut due = Vec::new();
        while let Some(change) = self.pending.pop_front_if(|change| change.due <= now) {
            due.push(change.entry);
        }
        self.publish_entries(due);
        if now >= self.last_refresh + self.refresh_interval {
            self.last_refresh = now;
            self.refresh(now, look_up);
        }
        (self.generation > before).then(|| self.update(now, Some(before)))
    }

    /// Schedules the publication of changed free resources, with the same delay as other changes. Nodes whose
    /// incarnation or state differs are skipped, so that this change is not published early.
    fn refresh(&mut self, now: Micros, look_up: impl Fn(SocketAddrV4) -> Option<NodeSnapshot>) {
        for (address, published) in &self.published {
            let (Some(state), Some(node)) = (self.states.get(address), look_up(*address)) else {
                continue;
            };
            let entry = Entry::new(*address, *state, node);
            if published.differs_in_free_resources_only(&entry) {
                let due = now + self.delay;
                self.pending.push_back(PendingChange { due, entry });
            }
        }
        // The delay may have been shortened since earlier changes were queued.
        self.pending
            .make_contiguous()
            .sort_by_key(|change| change.due);
    }

    /// The changes after version `after` if they are all kept, or else the full list.
    pub fn update(&self, now: Micros, after: Option<u64>) -> FromList {
        let generation = self.generation;
        let oldest = self.changes.front();
        let oldest = oldest.map_or(generation + 1, |change| change.generation);
        let known = after.filter(|after| *after <= generation && *after + 1 >= oldest);
        let (scope, entries) = match known {
            Some(after) => (Scope::Delta, self.changed_after(now, after)),
            None => {
                let entries = self.published.values().map(|entry| entry.with_age(now));
                (Scope::Full, entries.collect())
            }
        };
        FromList::Update {
            generation,
            scope,
            entries,
        }
    }

    /// The last change of each node after a version, so that there is at most one entry per node.
    fn changed_after(&self, now: Micros, after: u64) -> Vec<ListEntry> {
        let newer = self
            .changes
            .iter()
            .filter(|change| change.generation > after);
        let last: BTreeMap<SocketAddrV4, ListEntry> = newer
            .map(|change| (change.entry.listed.address, change.entry.with_age(now)))
            .collect();
        last.into_values().collect()
    }

    fn publish_entries(&mut self, entries: Vec<Entry>) {
        if entries.is_empty() {
            return;
        }
        self.generation += 1;
        for entry in entries {
            let address = entry.listed.address;
            if entry.listed.state == NodeState::Removed {
                self.published.remove(&address);
            } else {
                self.published.insert(address, entry.clone());
            }
            self.changes.push_back(PublishedChange {
                generation: self.generation,
                entry,
            });
        }
        while self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}
