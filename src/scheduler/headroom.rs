//! Headroom: capacity that a class leaves free for tasks of higher priority.
//!
//! A task that takes the last capacity of a node is soon preempted by one of a higher priority,
//! which has a cost and forces a restart of the task. Each class therefore leaves a fraction of
//! each node free, which follows the share of its tasks that were preempted recently.

/// Headroom of a class whose tasks are all preempted: half of a node, so that the class still finds
/// capacity on nodes that other classes use little.
const MAX_HEADROOM: f64 = 0.5;
/// Weight of a new sample in the moving average, equivalent to about ten tasks.
const LEARNING_RATE: f64 = 0.1;

/// The headroom of each class, as a fraction of a node.
pub(super) struct Headroom {
    by_class: Vec<f64>,
}

impl Headroom {
    pub(super) fn new(classes: usize) -> Headroom {
        Headroom {
            by_class: vec![0.0; classes],
        }
    }

    /// Fraction of a node that tasks of this class may fill.
    pub(super) fn usable_share(&self, class: u16) -> f64 {
        1.0 - self.by_class[usize::from(class)]
    }

    /// Updates the headroom of a class after one of its tasks was preempted or ran to its end.
    pub(super) fn learn(&mut self, class: u16, was_preempted: bool) {
        let target = if was_preempted { MAX_HEADROOM } else { 0.0 };
        let headroom = &mut self.by_class[usize::from(class)];
        *headroom += LEARNING_RATE * (target - *headroom);
    }
}
