//! How long a point is run.

use crate::row::Sizes;
use std::time::{Duration, Instant};

/// What a start costs decides how many of them fit into a window; this is their number times the number of nodes.
const NODE_STARTS_PER_WINDOW: u64 = 900_000;
const QUICK_NODE_STARTS_PER_WINDOW: u64 = 300_000;

/// Fewest starts in a window that give a median.
const FEWEST_STARTS: u64 = 60;
const MOST_STARTS: u64 = 1_000;
const QUICK_MOST_STARTS: u64 = 400;

/// Preferred nodes grow by a tenth with each start in time, for each class by itself: so many starts of each class let
/// them grow as far as they may.
const WARM_UP_STARTS_PER_CLASS: u64 = 100;
const MOST_WARM_UP_STARTS: u64 = 2_000;

/// How long a point is run.
#[derive(Clone, Copy, Debug)]
pub struct RunLength {
    /// Starts before anything is recorded.
    pub warm_up_starts: u64,
    /// Starts in a window.
    pub window_starts: u64,
    /// Wall time after which a window ends early; the warm-up has four times as much.
    pub window_time: Duration,
}

impl RunLength {
    /// As many starts in a window as fit into a fraction of a second (into some seconds, where the run is not quick) by
    /// what a start costs on this many nodes, and no fewer than make a median.
    pub fn for_sizes(sizes: &Sizes, is_quick: bool) -> RunLength {
        let (node_starts, most, millis) = if is_quick {
            (QUICK_NODE_STARTS_PER_WINDOW, QUICK_MOST_STARTS, 700)
        } else {
            (NODE_STARTS_PER_WINDOW, MOST_STARTS, 1_500)
        };
        let window_starts = (node_starts / sizes.nodes.max(1)).clamp(FEWEST_STARTS, most);
        // As many tasks come as end once the longest start is over, two seconds.
        let settled = sizes.starts_per_second * 2;
        let warm_up = (sizes.classes * WARM_UP_STARTS_PER_CLASS).max(settled);
        RunLength {
            warm_up_starts: warm_up.min(MOST_WARM_UP_STARTS),
            window_starts,
            window_time: Duration::from_millis(millis),
        }
    }

    /// When a window that begins now ends at the latest.
    pub fn window_deadline(&self) -> Instant {
        Instant::now() + self.window_time
    }

    /// When a warm-up that begins now ends at the latest.
    pub fn warm_up_deadline(&self) -> Instant {
        Instant::now() + self.window_time * 4
    }
}
