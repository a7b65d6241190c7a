//! Node lists as the controllers were sent them.

use crate::Micros;
use peppercove_protocol::list::{FromList, ListEntry, NodeState, Scope};
use std::collections::BTreeMap;

/// What a controller was told of a node.
#[derive(Clone, Copy)]
pub(crate) struct ListedNode {
    pub(crate) state: NodeState,
    /// When it was first told of this state and incarnation.
    pub(crate) told_at: Micros,
    pub(crate) rack: u16,
    pub(crate) zone: u8,
    pub(crate) incarnation: u64,
    /// When the process of the node started; `None` if that is long ago.
    pub(crate) started: Option<Micros>,
}

impl ListedNode {
    fn new(at: Micros, entry: &ListEntry) -> ListedNode {
        ListedNode {
            state: entry.state,
            told_at: at,
            rack: entry.rack,
            zone: entry.zone,
            incarnation: entry.incarnation,
            started: entry.age.map(|age| at.saturating_sub(age)),
        }
    }
}

/// The list of each controller, by the controller's name and the node's.
#[derive(Default)]
pub(crate) struct NodeLists {
    lists: BTreeMap<String, BTreeMap<String, ListedNode>>,
}

impl NodeLists {
    pub(crate) fn get(&self, controller: &str, node: &str) -> Option<&ListedNode> {
        self.lists.get(controller)?.get(node)
    }

    /// The controller was killed: it starts with an empty list.
    pub(crate) fn forget(&mut self, controller: &str) {
        self.lists.remove(controller);
    }

    /// The controller is sent an update.
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

fn mark_missing_as_removed(
    at: Micros,
    list: &mut BTreeMap<String, ListedNode>,
    entries: &[ListEntry],
) {
    for (name, node) in list.iter_mut() {
        let is_missing = !entries.iter().any(|entry| entry.name == *name);
        if is_missing && node.state != NodeState::Removed {
            node.state = NodeState::Removed;
            node.told_at = at;
        }
    }
}

fn update_node(at: Micros, list: &mut BTreeMap<String, ListedNode>, entry: &ListEntry) {
    match list.get_mut(&entry.name) {
        // The grace period runs from the first notice.
        Some(known) if known.state == entry.state && known.incarnation == entry.incarnation => {}
        Some(known) if known.state != NodeState::Ready && entry.state != NodeState::Ready => {
            known.state = entry.state;
        }
        Some(_) | None => {
            list.insert(entry.name.clone(), ListedNode::new(at, entry));
        }
    }
}
