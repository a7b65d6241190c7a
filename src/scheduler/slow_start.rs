//! Slow start: how many attempts a node gets after its own start.
//!
//! A recently started node fails if the schedulers together send it too many tasks. Its budget is
//! the number of attempts per window that it can always handle. The budget is divided among the
//! schedulers until the node is certain to have warmed up. Attempts that the node rejects count,
//! too.

use super::Scheduler;
use super::hash::mix_bits;
use super::node::Node;
use crate::api::{Micros, Settings};
use std::collections::VecDeque;

/// Divisor of the overload window. The quotient is added to it to get the budget window, since
/// attempts do not arrive as evenly as they are sent.
const WINDOW_PER_BUDGET_MARGIN: Micros = 4;
/// Divisor of the slow-start window. The quotient is a margin during which nodes still count as
/// warming up, since clocks differ.
const WINDOW_PER_WARM_UP_MARGIN: Micros = 8;
/// Number of overload windows for which attempts are remembered.
const RETAINED_WINDOWS: Micros = 2;

/// Returns the window to which the slow-start budget of a node applies.
pub(super) fn budget_window(settings: &Settings) -> Micros {
    settings.overload_window + settings.overload_window / WINDOW_PER_BUDGET_MARGIN
}

/// Send times of the recent attempts on a node, in order.
#[derive(Default)]
pub(super) struct RecentAttempts {
    sent_at: VecDeque<Micros>,
}

impl RecentAttempts {
    pub(super) fn record(&mut self, settings: &Settings, now: Micros) {
        let retention = settings.overload_window * RETAINED_WINDOWS;
        // Beyond the budget, further attempts make no difference.
        let budget = settings.slow_start_budget.max(0.0) as usize;
        let max_attempts = budget.saturating_add(1);
        let is_expired = |at: &Micros| at + retention <= now;
        while self.sent_at.front().is_some_and(is_expired) || self.sent_at.len() >= max_attempts {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }

    pub(super) fn any_after(&self, time: Micros) -> bool {
        self.sent_at.back().is_some_and(|at| *at > time)
    }

    fn count_within(&self, window: Micros, now: Micros) -> u64 {
        self.sent_at.iter().filter(|at| **at + window > now).count() as u64
    }
}

impl Scheduler {
    /// Invariant: in any window, the schedulers together send a node in slow start no more attempts
    /// than its budget.
    pub(super) fn slow_start_allows(&self, node: &Node) -> bool {
        if !self.is_warming_up(node) {
            return true;
        }
        let window = budget_window(&self.settings);
        // Attempts that this scheduler sent within the window before its own restart are unknown.
        let has_just_started = self.started_at.is_some_and(|at| self.now < at + window);
        if has_just_started {
            return false;
        }
        node.recent_attempts.count_within(window, self.now) < self.slow_start_share(node)
    }

    pub(super) fn is_warming_up(&self, node: &Node) -> bool {
        let window = self.settings.slow_start_window;
        let warm_at = node.entry.started_at + window + window / WINDOW_PER_WARM_UP_MARGIN;
        node.entry.started_at > 0 && self.now < warm_at
    }

    /// Returns this scheduler's share of the budget of a node.
    ///
    /// The remainder of the division goes to the schedulers whose index follows a hash of the node
    /// and its incarnation. All schedulers compute the same result, so each attempt of the budget
    /// belongs to exactly one of them.
    fn slow_start_share(&self, node: &Node) -> u64 {
        let schedulers = u64::from(self.settings.schedulers.max(1));
        let budget = self.settings.slow_start_budget.max(0.0) as u64;
        let first_index = mix_bits(node.id().0 ^ mix_bits(node.entry.incarnation)) % schedulers;
        let own_index = u64::from(self.settings.own_index);
        let rank = (own_index + schedulers - first_index) % schedulers;
        let even_share = budget / schedulers + u64::from(rank < budget % schedulers);
        node.entry.slow_start_share.map_or(even_share, u64::from)
    }
}
