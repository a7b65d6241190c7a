//! Sampling: which of the candidate nodes is selected.

use crate::api::NodeId;

/// Tolerance for rounding errors in the comparison of scores.
const SCORE_TOLERANCE: f64 = 1e-9;

/// A candidate node.
pub(super) struct ScoredNode {
    pub(super) node: NodeId,
    pub(super) cores: f64,
    pub(super) score: f64,
}

/// Samples one of the nodes whose score does not exceed the mean, with probability proportional to
/// cores. Returns `None` if there are no nodes.
///
/// This is the sampling of L-JBA (Zhou, Shroff and Wierman, 2020, example 2 of section 3.2.1).
/// Exactly one random number is drawn in every case.
pub(super) fn sample(mut nodes: Vec<ScoredNode>, rng: &mut fastrand::Rng) -> Option<NodeId> {
    let mean = nodes.iter().map(|node| node.score).sum::<f64>() / nodes.len().max(1) as f64;
    nodes.retain(|node| node.score <= mean + SCORE_TOLERANCE);
    let total: f64 = nodes.iter().map(|node| node.cores).sum();
    let mut remaining = rng.f64() * total;
    let sampled = nodes.iter().find(|node| {
        remaining -= node.cores;
        remaining < 0.0
    });
    // Due to rounding, a remainder may be left after the last node.
    sampled.or(nodes.last()).map(|node| node.node)
}
