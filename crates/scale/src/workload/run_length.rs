//! The length of the run of a point.

use crate::row::Sizes;
use std::time::{Duration, Instant};

/// Starts per window times the number of nodes. The cost of a start grows with the nodes, so fewer starts fit into a
/// window on more nodes.
const NODE_STARTS_PER_WINDOW: u64 = 900_000;
const QUICK_NODE_STARTS_PER_WINDOW: u64 = 300_000;

/// Minimum number of starts in a window for a meaningful median.
const MIN_STARTS: u64 = 60;
const MAX_STARTS: u64 = 1_000;
const QUICK_MAX_STARTS: u64 = 400;

/// Warm-up starts per class. The set of preferred nodes grows by a tenth with each start within the latency objective,
/// separately for each class; after this many starts it has reached its maximum.
const WARM_UP_STARTS_PER_CLASS: u64 = 100;
const MAX_WARM_UP_STARTS: u64 = 2_000;

/// The length of the run of a point.
#[derive(Clone, Copy, Debug)]
pub struct RunLength {
    /// Number of starts before anything is recorded.
    pub warm_up_starts: u64,
    /// Number of starts in a window.
    pub window_starts: u64,
    /// Wall-clock limit of a window; that of the warm-up is four times as long.
    pub window_time: Duration,
}

impl RunLength {
    /// Returns the run length for these sizes. A window has as many starts as fit into a fraction of a second in a
    /// quick run, or a few seconds in a full run, given the cost of a start on this many nodes, and at least enough for
    /// a median.
    pub fn for_sizes(sizes: &Sizes, is_quick: bool) -> RunLength {
        let (node_starts, max_starts, millis) = if is_quick {
            (QUICK_NODE_STARTS_PER_WINDOW, QUICK_MAX_STARTS, 700)
        } else {
            (NODE_STARTS_PER_WINDOW, MAX_STARTS, 1_500)
        };
        let window_starts = (node_starts / sizes.nodes.max(1)).clamp(MIN_STARTS, max_starts);
        // The number of running tasks is stable once the longest start, two seconds, is over.
        let starts_until_stable = sizes.starts_per_second * 2;
        let warm_up = (sizes.classes * WARM_UP_STARTS_PER_CLASS).max(starts_until_stable);
        RunLength {
            warm_up_starts: warm_up.min(MAX_WARM_UP_STARTS),
            window_starts,
            window_time: Duration::from_millis(millis),
        }
    }

    /// Returns the deadline of a window that begins now.
    pub fn window_deadline(&self) -> Instant {
        Instant::now() + self.window_time
    }

    /// Returns the deadline of a warm-up that begins now.
    pub fn warm_up_deadline(&self) -> Instant {
        Instant::now() + self.window_time * 4
    }
}
