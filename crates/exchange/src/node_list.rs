//! Updates of the node list.

use peppercove::{ListUpdateKind, NodeStatus};
use peppercove_core::Input;
use peppercove_core::nodes::ListedNode;
use peppercove_protocol::list::{FromList, ListEntry, NodeState, Scope};

/// Converts a message of the node list to an input; `None` if it contains no update.
pub fn node_list_input(message: FromList) -> Option<Input> {
    let FromList::Update {
        generation,
        scope,
        entries,
    } = message
    else {
        return None;
    };
    let kind = match scope {
        Scope::Delta => ListUpdateKind::Incremental,
        Scope::Full => ListUpdateKind::Full,
    };
    let entries = entries.into_iter().map(listed_node).collect();
    Some(Input::NodeList {
        kind,
        generation,
        entries,
    })
}

fn listed_node(entry: ListEntry) -> ListedNode {
    let finite = |x: Option<f64>| x.filter(|x| x.is_finite());
    ListedNode {
        address: entry.address,
        name: entry.name,
        state: match entry.state {
            NodeState::Ready => NodeStatus::Ready,
            NodeState::Draining => NodeStatus::Draining,
            NodeState::Removed => NodeStatus::Gone,
        },
        kind: entry.kind,
        rack: entry.rack,
        zone: entry.zone,
        incarnation: entry.incarnation,
        uptime: entry.age,
        free_cores: finite(entry.free_cores),
        free_memory: finite(entry.free_memory),
    }
}
