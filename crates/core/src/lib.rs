//! One controller's state machine, without sockets, clock or threads.
//!
//! [`Core::handle`] takes one [`Input`] with the time it happened and returns [`Output`]s. Every placement decision
//! comes from the decision module, behind [`Decide`]; the core carries its actions out and gives it events, in
//! order, with their time. The core itself holds facts: the state of each request ([`request_state`]), the
//! jobs that clients see ([`jobs`]), the nodes that the list names ([`nodes`]) and the attempts at tasks that must not
//! run twice ([`attempt_log`]). The same inputs give the same outputs ([`recording`]).
//!
//! May use: the decision module's interface and plain data. Must not know: sockets, frames, JSON, XML, files.

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
pub use timers::Timers;

use peppercove::{Action, Event, Micros, Scheduler};

/// What decides: the decision module, or a substitute for it in a test.
pub trait Decide {
    /// Takes in what happened at `now`, in order, and answers with what to do.
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
