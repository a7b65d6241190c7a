//! Sampling: which node is taken.

use crate::api::NodeId;

/// Scores that differ by no more than rounding are equal.
const SCORE_TOLERANCE: f64 = 1e-9;

/// A node that may be taken.
pub(super) struct ScoredNode {
    pub(super) node: NodeId,
    pub(super) cores: f64,
    pub(super) score: f64,
}

/// Takes a node at or below the mean score at random, with probability by cores; `None` if there is
/// none.
///
/// This is the sampling of L-JBA (Zhou, Shroff and Wierman, 2020, example 2 of section 3.2.1). One
/// random number is drawn in any case.
pub(super) fn sample(mut nodes: Vec<ScoredNode>, rng: &mut fastrand::Rng) -> Option<NodeId> {
    let mean = nodes.iter().map(|node| node.score).sum::<f64>() / nodes.len().max(1) as f64;
    nodes.retain(|node| node.score <= mean + SCORE_TOLERANCE);
    let total: f64 = nodes.iter().map(|node| node.cores).sum();
    let mut left = rng.f64() * total;
    let sampled = nodes.iter().find(|node| {
        left -= node.cores;
        left < 0.0
    });
    // Rounding may leave a little after the last node.
    sampled.or(nodes.last()).map(|node| node.node)
}
