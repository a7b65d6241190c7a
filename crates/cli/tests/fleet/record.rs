//! What the nodes of a run know together.

use peppercove_platform::wire::{Message, code};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Nodes of one rack discard a second copy of a task with an idempotency key within this; as in the settings.
const DEDUP_WINDOW: Duration = Duration::from_secs(3);
/// The starts of one task.
#[derive(Default)]
pub struct Starts {
    pub count: u32,
    pub class: String,
}

/// What all nodes know together: keys of their rack, and which tasks ran.
#[derive(Default)]
pub struct NodeRecord {
    /// When a task with this key ran last.
    keys: BTreeMap<Vec<u8>, Instant>,
    /// Tasks that ran, by name.
    pub starts: BTreeMap<String, Starts>,
    /// Requests that arrived.
    pub requests: u64,
    /// Descriptions that were sent.
    pub descriptions: BTreeSet<Vec<u8>>,
}

impl NodeRecord {
    /// Notes that a task runs; false where a copy of it ran in this rack within the window.
    pub fn start(&mut self, request: &Message) -> bool {
        let class = request.text(code::CLASS).unwrap_or_default().to_owned();
        if class == "key" {
            let key = request.get(code::KEY).unwrap_or_default().to_vec();
            if self
                .keys
                .get(&key)
                .is_some_and(|at| at.elapsed() < DEDUP_WINDOW)
            {
                return false;
            }
            self.keys.insert(key, Instant::now());
        }
        let task = request.text(code::TASK).unwrap_or_default().to_owned();
        self.starts
            .entry(task)
            .or_insert(Starts { count: 0, class })
            .count += 1;
        true
    }
}
