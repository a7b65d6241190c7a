//! The scheduler of the `random_node_reports` tests.

use crate::harness::*;
use peppercove::TaskKey;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A scheduler that dispatches each request to the same node, up to three times.
pub(super) struct PersistentScheduler {
    pub(super) rng: fastrand::Rng,
    pub(super) node: NodeId,
    pub(super) dispatches: BTreeMap<RequestId, u32>,
    pub(super) tasks: BTreeMap<RequestId, TaskKey>,
    /// Tasks whose end was reported to the scheduler.
    pub(super) ended_tasks: Rc<RefCell<Vec<TaskKey>>>,
}

impl Decide for PersistentScheduler {
    fn decide(&mut self, _: Micros, events: &[Event]) -> Vec<Action> {
        for event in events {
            match event {
                Event::Place(r) => drop(self.tasks.insert(r.id, r.task)),
                Event::AttemptEnded {
                    request,
                    is_final: true,
                    ..
                } => self
                    .ended_tasks
                    .borrow_mut()
                    .extend(self.tasks.get(request)),
                _ => {}
            }
        }
        let pending = |event: &Event| match event {
            Event::Place(r) => Some(r.id),
            Event::AttemptEnded {
                request,
                is_final: false,
                ..
            } => Some(*request),
            _ => None,
        };
        let next = |request| {
            let dispatches = self.dispatches.entry(request).or_default();
            *dispatches += 1;
            if *dispatches > 3 {
                return Action::Fail(request);
            }
            let timeout = Some(self.rng.u64(20 * MS..400 * MS));
            Action::Dispatch {
                request,
                node: self.node,
                timeout,
                send_by: None,
            }
        };
        events.iter().filter_map(pending).map(next).collect()
    }
}
