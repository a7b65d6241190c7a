//! Headroom: how much capacity a class leaves to higher priorities.
//!
//! A task that takes the last capacity of a node is preempted moments later by one of a higher
//! priority, which has its price and starts the task anew. A class leaves a part of each node free
//! that follows the share of its tasks preempted lately.

/// Part of a node that a class leaves when all of its tasks are preempted: half, so that it still
/// finds capacity on nodes that the other classes use little.
const MAX_HEADROOM: f64 = 0.5;
/// Weight of a new sample: about the last ten tasks count.
const LEARNING_RATE: f64 = 0.1;

/// The headroom of each class, as a share of a node.
pub(super) struct Headroom {
    by_class: Vec<f64>,
}

impl Headroom {
    pub(super) fn new(classes: usize) -> Headroom {
        Headroom {
            by_class: vec![0.0; classes],
        }
    }

    /// Share of a node that tasks of this class may fill.
    pub(super) fn usable_share(&self, class: u16) -> f64 {
        1.0 - self.by_class[usize::from(class)]
    }

    /// A task of the class was preempted, or ran to its end.
    pub(super) fn learn(&mut self, class: u16, was_preempted: bool) {
        let wanted = if was_preempted { MAX_HEADROOM } else { 0.0 };
        let headroom = &mut self.by_class[usize::from(class)];
        *headroom += LEARNING_RATE * (wanted - *headroom);
    }
}
