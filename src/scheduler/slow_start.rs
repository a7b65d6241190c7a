//! Slow start: how many attempts a node gets while it warms up.
//!
//! A node that has just started fails when all schedulers together send it too much. The attempts
//! that it always bears in a window are its budget, which is split among the schedulers until the
//! node is warm for sure. Attempts that it rejects count too.

use super::Scheduler;
use super::hash::mix_bits;
use super::node::Node;
use crate::api::{Micros, Settings};
use std::collections::VecDeque;

/// The budget holds in any window longer than the one in which nodes fail by this part: attempts do
/// not arrive as evenly as they are sent.
const BUDGET_WINDOW_MARGIN: Micros = 4;
/// Nodes count as warming up for longer than they do by this part, since clocks differ.
const WARM_UP_MARGIN: Micros = 8;
/// Attempts are remembered for so many windows.
const REMEMBERED_WINDOWS: Micros = 2;

/// The window in which the budget of a node that warms up holds.
pub(super) fn budget_window(settings: &Settings) -> Micros {
    settings.overload_window + settings.overload_window / BUDGET_WINDOW_MARGIN
}

/// Times of the attempts that a node was sent lately, in order.
#[derive(Default)]
pub(super) struct RecentAttempts {
    sent_at: VecDeque<Micros>,
}

impl RecentAttempts {
    pub(super) fn record(&mut self, settings: &Settings, now: Micros) {
        let retention = settings.overload_window * REMEMBERED_WINDOWS;
        self.sent_at.retain(|at| at + retention > now);
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
    /// Invariant: all schedulers together send a node that warms up no more than its budget in any
    /// window.
    pub(super) fn slow_start_allows(&self, node: &Node) -> bool {
        if !self.is_warming_up(node) {
            return true;
        }
        let window = budget_window(&self.settings);
        // What this scheduler sent within the window before its own restart is not known.
        let has_just_started = self.started_at.is_some_and(|at| self.now < at + window);
        if has_just_started {
            return false;
        }
        node.recent_attempts.count_within(window, self.now) < self.slow_start_share(node)
    }

    pub(super) fn is_warming_up(&self, node: &Node) -> bool {
        let window = self.settings.slow_start_window;
        let warm_at = node.entry.started_at + window + window / WARM_UP_MARGIN;
        node.entry.started_at > 0 && self.now < warm_at
    }

    /// This scheduler's part of a node's budget.
    ///
    /// What does not divide goes to the schedulers whose index follows a hash of the node and its
    /// incarnation. All schedulers compute the same, so that each attempt of the budget has one
    /// owner.
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
