//! The log that the proxies of a run write their observations to.

use peppercove_audit::{Event, Observation};
use peppercove_protocol::node::FromNode;
use peppercove_standins::Clock;
use std::cell::RefCell;
use std::rc::Rc;

/// Observations of all proxies of a run, in the order in which they were recorded. Clones share one log.
#[derive(Clone)]
pub struct CaptureLog {
    clock: Clock,
    events: Rc<RefCell<Vec<Event>>>,
}

impl CaptureLog {
    /// An empty log.
    pub fn new(clock: Clock) -> CaptureLog {
        CaptureLog {
            clock,
            events: Rc::default(),
        }
    }

    /// Records an observation with the current time.
    pub fn record(&self, observation: Observation) {
        let at = self.clock.now();
        self.events.borrow_mut().push(Event { at, observation });
    }

    /// Number of completed handshakes with nodes.
    pub fn handshakes(&self) -> usize {
        let is_welcome = |event: &&Event| {
            matches!(
                event.observation,
                Observation::FromNode {
                    message: FromNode::Welcome { .. },
                    ..
                }
            )
        };
        self.events.borrow().iter().filter(is_welcome).count()
    }

    /// Takes all recorded events and leaves the log empty.
    pub fn take(&self) -> Vec<Event> {
        std::mem::take(&mut self.events.borrow_mut())
    }
}
