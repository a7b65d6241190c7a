//! The state machine of one controller, without sockets, clock or threads.
//!
//! [`Core::handle`] takes one [`Input`] with its timestamp and returns a list of [`Output`]s. All placement decisions
//! are made by the scheduler (the decision module), which is called through the [`Decide`] trait: the core passes it
//! timestamped events in order and executes the actions that it returns. The core itself keeps the state of each
//! request ([`request_state`]), the jobs that clients see ([`jobs`]), the nodes of the node list ([`nodes`]) and the
//! attempts of tasks that must not run twice ([`attempt_log`]). It is deterministic: the same inputs give the same
//! outputs ([`recording`]).
//!
//! This crate may use the scheduler's interface and plain data. It must not depend on sockets, frames, JSON, XML or
//! files.

pub mod attempt_log;
mod backoff;
mod engine;
pub mod jobs;
pub mod nodes;
pub mod recording;
pub mod request_state;
mod timers;

pub use backoff::Backoff;
pub use engine::{
    AttemptUpdate, Control, Core, Counters, Input, Limits, Output, Rejection, ReportedTask,
};
pub use jobs::{Answer, Job, JobId, JobState, Program, Submission, TaskEnd};
pub use timers::{TimerId, Timers};

use peppercove::{Action, Event, Micros, Scheduler};

/// Makes placement decisions: the scheduler, or a substitute for it in a test.
pub trait Decide {
    /// Processes the events that happened up to `now`, in order, and returns the actions to execute.
    fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action>;
}

impl<D: Decide + ?Sized> Decide for Box<D> {
    fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        (**self).decide(now, events)
    }
}

impl Decide for Scheduler {
    fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.handle(now, events)
    }
}
