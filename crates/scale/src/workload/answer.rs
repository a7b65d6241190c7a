//! Simulated answers of nodes to offered tasks.

use super::SECOND;
use peppercove::{Micros, NodeId, ServiceId};
use std::collections::HashSet;
use std::ops::Range;

/// Microseconds until a task runs on a node that has its program in the cache.
const CACHED_START: Range<Micros> = 150_000..165_000;

/// Microseconds until a task runs on a node that does not have its program in the cache. This is still within the
/// latency objective, so the set of preferred nodes of a service grows to its maximum, which is the worst case for the
/// selection of a node.
const UNCACHED_START: Range<Micros> = 700_000..770_000;

/// Microseconds until a node answers that a task does not run there.
const FAILURE_DELAY: Micros = SECOND / 200;

/// The answer of a node to an offered task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeAnswer {
    /// The task runs.
    Running,
    /// There are no free cores.
    Rejected,
    /// The start failed.
    Failed,
}

/// A node's answer and its delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayedAnswer {
    /// Microseconds from the offer to the answer.
    pub delay: Micros,
    /// The answer.
    pub answer: NodeAnswer,
}

/// The state of the nodes that determines their answers.
#[derive(Clone, Debug, Default)]
pub struct NodeAnswers {
    /// The programs in the cache of each node.
    cached_programs: HashSet<(NodeId, ServiceId)>,
}

impl NodeAnswers {
    /// Returns the answer of a node to a task of a service. 2% of the tasks are rejected and 1% fail.
    pub fn answer(
        &mut self,
        node: NodeId,
        service: ServiceId,
        rng: &mut fastrand::Rng,
    ) -> DelayedAnswer {
        let failure = |answer| DelayedAnswer {
            delay: FAILURE_DELAY,
            answer,
        };
        let start = match rng.u8(0..100) {
            0 | 1 => return failure(NodeAnswer::Rejected),
            2 => return failure(NodeAnswer::Failed),
            _ if self.cached_programs.insert((node, service)) => UNCACHED_START,
            _ => CACHED_START,
        };
        let jitter = rng.u64(0..start.end - start.start);
        DelayedAnswer {
            delay: start.start + jitter,
            answer: NodeAnswer::Running,
        }
    }
}
