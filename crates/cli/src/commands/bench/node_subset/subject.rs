//! The scheduler under measurement: the decision module alone, or with its node subset.

use peppercove::{Action, Event, ListUpdateKind, Micros, NodeId, NodeStatus, Scheduler, Settings};
use peppercove_core::Decide;
use peppercove_fleet::NodeSubset;
use std::collections::BTreeSet;

/// The decision module, with the node list that it is given counted.
pub struct CountingScheduler {
    scheduler: Scheduler,
    /// The nodes that it knows.
    known: BTreeSet<NodeId>,
    /// List entries that it was given.
    entries: u64,
}

impl CountingScheduler {
    /// Nodes that it knows.
    pub fn known_nodes(&self) -> usize {
        self.known.len()
    }

    /// List entries that it was given.
    pub fn list_entries(&self) -> u64 {
        self.entries
    }
}

impl Decide for CountingScheduler {
    fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        for event in events {
            let Event::NodeList { kind, entries, .. } = event else {
                continue;
            };
            self.entries += entries.len() as u64;
            if matches!(kind, ListUpdateKind::Full | ListUpdateKind::Cached) {
                self.known.clear();
            }
            for entry in entries {
                if entry.state == NodeStatus::Gone {
                    self.known.remove(&entry.node);
                } else {
                    self.known.insert(entry.node);
                }
            }
        }
        self.scheduler.decide(now, events)
    }
}

/// A scheduler under measurement.
pub enum Subject {
    /// The decision module, which sees the whole fleet.
    Module(Box<CountingScheduler>),
    /// The decision module with a bounded subset of the nodes.
    Subset(Box<NodeSubset<CountingScheduler>>),
}

impl Subject {
    /// A scheduler; with a subset of about so many nodes where there is a size.
    pub fn new(settings: &Settings, seed: u64, subset_size: Option<u64>) -> Subject {
        let scheduler = Scheduler::new(settings.clone(), seed);
        let counting = CountingScheduler {
            scheduler,
            known: BTreeSet::new(),
            entries: 0,
        };
        match subset_size {
            Some(size) => Subject::Subset(Box::new(NodeSubset::with_target_size(
                counting, settings, size,
            ))),
            None => Subject::Module(Box::new(counting)),
        }
    }

    /// The decision module in it.
    pub fn scheduler(&self) -> &CountingScheduler {
        match self {
            Subject::Module(scheduler) => scheduler,
            Subject::Subset(subset) => subset.inner(),
        }
    }

    /// Whether it sees a part of the fleet alone.
    pub fn is_bounded(&self) -> bool {
        match self {
            Subject::Module(_) => false,
            Subject::Subset(subset) => subset.is_bounded(),
        }
    }

    /// Hands it one event.
    pub fn decide(&mut self, now: Micros, event: Event) -> Vec<Action> {
        match self {
            Subject::Module(scheduler) => scheduler.decide(now, &[event]),
            Subject::Subset(subset) => subset.decide(now, &[event]),
        }
    }
}
