//! How nodes answer an offered task.

use super::SECOND;
use peppercove::{Micros, NodeId, ServiceId};
use std::collections::HashSet;
use std::ops::Range;

/// Until a task runs on a node that has its program, microseconds.
const CACHED_START: Range<Micros> = 150_000..165_000;

/// Until a task runs on a node that does not have its program, microseconds. This is still within the latency objective:
/// the preferred nodes of a service then grow as far as they may, which gives the draw most to go through.
const UNCACHED_START: Range<Micros> = 700_000..770_000;

/// Until a node says that a task does not run there, microseconds.
const FAILURE_DELAY: Micros = SECOND / 200;

/// How a node answers an offered task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeAnswer {
    /// The task runs.
    Running,
    /// There are no free cores.
    Rejected,
    /// The start failed.
    Failed,
}

/// A node's answer, and when it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayedAnswer {
    /// Microseconds from the offer to the answer.
    pub delay: Micros,
    /// The answer.
    pub answer: NodeAnswer,
}

/// What the nodes hold that decides how they answer.
#[derive(Clone, Debug, Default)]
pub struct NodeAnswers {
    /// The programs that nodes have.
    cached_programs: HashSet<(NodeId, ServiceId)>,
}

impl NodeAnswers {
    /// The answer of a node to a task of a service. Two in a hundred tasks are rejected and one fails.
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
