//! Stand-ins for what a controller talks to: nodes with faults, and the node list. Only for tests and experiments.
//!
//! [`node_model`] is the behaviour of one node without sockets; [`node`] puts it behind one; [`list`] is the node list.
//! They share the frames with the controller and nothing else. Everything binds to loopback, port 0.

pub mod list;
pub mod node;
pub mod node_model;
pub mod node_registry;
pub mod receiver;

use std::time::Instant;

/// The longest that a stand-in's queue of messages to one controller may grow.
pub(crate) const QUEUE: usize = 8192;

/// The time of all stand-ins of one run, from its beginning.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Clock {
        Clock(Instant::now())
    }
}

impl Clock {
    /// Microseconds since the beginning.
    pub fn now(&self) -> node_model::Micros {
        u64::try_from(self.0.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// The instant of a time.
    pub fn instant(&self, at: node_model::Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.0 + std::time::Duration::from_micros(at))
    }
}
