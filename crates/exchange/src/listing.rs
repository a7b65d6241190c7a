//! News of the node list.

use peppercove::{ListUpdateKind, NodeStatus};
use peppercove_core::Input;
use peppercove_core::nodes::ListedNode;
use peppercove_protocol::list::{FromList, ListEntry, NodeState, Scope};

/// The input that a message of the list is; `None` where it holds no news.
pub fn node_list_input(news: FromList) -> Option<Input> {
    let FromList::Update {
        generation,
        scope,
        entries: lines,
    } = news
    else {
        return None;
    };
    let scope = match scope {
        Scope::Delta => ListUpdateKind::Incremental,
        Scope::Full => ListUpdateKind::Full,
    };
    Some(Input::NodeList {
        scope,
        generation,
        lines: lines.into_iter().map(line).collect(),
    })
}

fn line(line: ListEntry) -> ListedNode {
    let finite = |x: Option<f64>| x.filter(|x| x.is_finite());
    ListedNode {
        address: line.address,
        name: line.name,
        state: match line.state {
            NodeState::Ready => NodeStatus::Ready,
            NodeState::Draining => NodeStatus::Draining,
            NodeState::Removed => NodeStatus::Gone,
        },
        kind: line.kind,
        rack: line.rack,
        zone: line.zone,
        life: line.incarnation,
        age: line.age,
        free_cores: finite(line.free_cores),
        free_memory: finite(line.free_memory),
    }
}
