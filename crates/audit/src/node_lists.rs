//! The node list, as each controller received it.

use crate::Micros;
use peppercove_protocol::list::{FromList, ListEntry, NodeState, Scope};
use std::collections::BTreeMap;

/// A node in the node list of a controller.
#[derive(Clone, Copy)]
pub(crate) struct ListedNode {
    pub(crate) state: NodeState,
    /// When the controller was first notified of this state and incarnation.
    pub(crate) notified_at: Micros,
    pub(crate) rack: u16,
    pub(crate) zone: u8,
    pub(crate) incarnation: u64,
    /// When the process of the node started; `None` if the list states no age because it was long ago.
    pub(crate) started: Option<Micros>,
}

impl ListedNode {
    fn new(at: Micros, entry: &ListEntry) -> ListedNode {
        ListedNode {
            state: entry.state,
            notified_at: at,
            rack: entry.rack,
            zone: entry.zone,
            incarnation: entry.incarnation,
            started: entry.age.map(|age| at.saturating_sub(age)),
        }
    }
}

/// The node list of each controller, by names of the controller and the node.
#[derive(Default)]
pub(crate) struct NodeLists {
    lists: BTreeMap<String, BTreeMap<String, ListedNode>>,
}

impl NodeLists {
    pub(crate) fn get(&self, controller: &str, node: &str) -> Option<&ListedNode> {
        self.lists.get(controller)?.get(node)
    }

    /// Clears the list of a controller that was killed: it restarts with an empty one.
    pub(crate) fn clear(&mut self, controller: &str) {
        self.lists.remove(controller);
    }

    /// Applies an update that a controller receives.
    pub(crate) fn on_message(&mut self, at: Micros, controller: &str, message: &FromList) {
        let FromList::Update { scope, entries, .. } = message else {
            return;
        };
        let list = self.lists.entry(controller.to_owned()).or_default();
        if *scope == Scope::Full {
            mark_missing_as_removed(at, list, entries);
        }
        for entry in entries {
            update_node(at, list, entry);
        }
    }
}

/// Marks nodes that a full list no longer contains as removed.
fn mark_missing_as_removed(
    at: Micros,
    list: &mut BTreeMap<String, ListedNode>,
    entries: &[ListEntry],
) {
    for (name, node) in list.iter_mut() {
        let is_missing = !entries.iter().any(|entry| entry.name == *name);
        if is_missing && node.state != NodeState::Removed {
            node.state = NodeState::Removed;
            node.notified_at = at;
        }
    }
}

fn update_node(at: Micros, list: &mut BTreeMap<String, ListedNode>, entry: &ListEntry) {
    match list.get_mut(&entry.name) {
        // A repeated notification does not restart the grace period.
        Some(known) if known.state == entry.state && known.incarnation == entry.incarnation => {}
        Some(known) if known.state != NodeState::Ready && entry.state != NodeState::Ready => {
            known.state = entry.state;
        }
        Some(_) | None => {
            list.insert(entry.name.clone(), ListedNode::new(at, entry));
        }
    }
}
