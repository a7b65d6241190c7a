//! Nodes and controllers that a fault affects.

use peppercove_standins::node_model::NodeSpec;

/// Selects the nodes or controllers that a fault affects.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultTarget {
    /// A random share of all; at least one.
    Share(f64),
    /// The node with this name.
    Node(String),
    /// The nodes of this rack.
    Rack(u16),
    /// The controller with this index.
    Controller(usize),
}

impl FaultTarget {
    /// Returns the indices of the affected nodes.
    pub fn select_nodes(&self, nodes: &[&NodeSpec], rng: &mut fastrand::Rng) -> Vec<usize> {
        let matching = |matches: &dyn Fn(&NodeSpec) -> bool| {
            let all = nodes.iter().enumerate();
            all.filter(|(_, node)| matches(node))
                .map(|(index, _)| index)
                .collect()
        };
        match self {
            FaultTarget::Node(name) => matching(&|node| node.name == *name),
            FaultTarget::Rack(rack) => matching(&|node| node.rack == *rack),
            FaultTarget::Share(share) => draw_share(nodes.len(), *share, rng),
            FaultTarget::Controller(_) => Vec::new(),
        }
    }

    /// Returns the indices of the affected controllers.
    pub fn select_controllers(&self, controllers: usize, rng: &mut fastrand::Rng) -> Vec<usize> {
        match self {
            FaultTarget::Controller(index) => vec![*index],
            FaultTarget::Share(share) => draw_share(controllers, *share, rng),
            FaultTarget::Node(_) | FaultTarget::Rack(_) => Vec::new(),
        }
    }
}

/// Draws a random share of the indices `0..count`, at least one.
pub fn draw_share(count: usize, share: f64, rng: &mut fastrand::Rng) -> Vec<usize> {
    let mut drawn: Vec<usize> = (0..count).collect();
    rng.shuffle(&mut drawn);
    drawn.truncate(((count as f64 * share).round() as usize).max(1));
    drawn
}
