//! The state machine of a request, with checked transitions, and the state of its attempts.
//!
//! ```text
//! Pending --dispatch--> Dispatched --acknowledge--> Placed --end--> Completed
//!    ^                     |  \                                        ^
//!    +---attempt ended-----+   +--------------- answer ----------------+
//!    +--------------------------------------- answer ------------------+
//! ```

use crate::attempt_log::{AttemptId, TaskSpec};
use crate::jobs::{JobId, TaskEnd};
use peppercove::{AttemptOutcome, Micros, NodeId, PlacementRequest, RequestId};

#[cfg(test)]
mod tests;

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// No attempt is in flight.
    Pending,
    /// The attempt with this index is in flight and not acknowledged yet.
    Dispatched(u16),
    /// The attempt with this index placed the task, which is the final answer.
    Placed(u16),
    /// Another final answer was given, or the placed task has ended.
    Completed,
}

/// An invalid state transition, caused by a bug and never by an input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid state transition of a request from {from:?} to {to:?}")]
pub struct InvalidTransition {
    /// The current state, which is kept.
    pub from: RequestState,
    /// The requested state.
    pub to: RequestState,
}

impl RequestState {
    /// Whether the request has no final answer yet.
    pub fn is_open(self) -> bool {
        matches!(self, RequestState::Pending | RequestState::Dispatched(_))
    }

    /// Changes the state to `to` if that transition is valid.
    ///
    /// # Errors
    /// [`InvalidTransition`]; the state is unchanged.
    pub fn transition_to(&mut self, to: RequestState) -> Result<(), InvalidTransition> {
        if !self.can_transition_to(to) {
            return Err(InvalidTransition { from: *self, to });
        }
        *self = to;
        Ok(())
    }

    fn can_transition_to(self, to: RequestState) -> bool {
        use RequestState::{Completed, Dispatched, Pending, Placed};
        match (self, to) {
            (Pending, Dispatched(_)) | (Dispatched(_), Pending) => true,
            (Dispatched(in_flight), Placed(acknowledged)) => in_flight == acknowledged,
            // An adopted task is placed without a dispatch of its new request.
            (Pending, Placed(number)) => number == 0,
            (Pending | Dispatched(_) | Placed(_), Completed) => true,
            (Pending, Pending)
            | (Dispatched(_), Dispatched(_))
            | (Placed(_), Pending | Dispatched(_) | Placed(_))
            | (Completed, Pending | Dispatched(_) | Placed(_) | Completed) => false,
        }
    }
}

/// An attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The node it was sent to.
    pub node: NodeId,
    /// Its outcome; `None` while it is in flight or its task runs.
    pub ended: Option<AttemptOutcome>,
    /// What its node reported on it after it was given up.
    pub late_report: LateReport,
}

/// What a node reported on an attempt that was given up while its request stayed open.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LateReport {
    /// Nothing that answers the request, for example that it never ran.
    #[default]
    None,
    /// Its task is running.
    Running,
    /// Its task has run and ended in this way.
    Ended(TaskEnd),
}

impl Attempt {
    /// Creates an attempt in flight at a node.
    pub fn new(node: NodeId) -> Attempt {
        Attempt {
            node,
            ended: None,
            late_report: LateReport::None,
        }
    }

    /// Whether its outcome proves that the task never ran.
    pub fn never_ran(&self) -> bool {
        match self.ended {
            Some(
                AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent,
            ) => true,
            Some(
                AttemptOutcome::Completed
                | AttemptOutcome::Error
                | AttemptOutcome::TimedOut
                | AttemptOutcome::Lost
                | AttemptOutcome::Cancelled,
            )
            | None => false,
        }
    }
}

/// A placement request with its state and attempts.
#[derive(Clone, Debug)]
pub struct RequestEntry {
    /// The request as passed to the scheduler.
    pub request: PlacementRequest,
    /// The job whose task is to be placed.
    pub job: JobId,
    /// When its client stops waiting.
    pub deadline: Micros,
    /// Its current state.
    pub state: RequestState,
    /// Its attempts, in order of the scheduler's dispatches.
    pub attempts: Vec<Attempt>,
}

impl RequestEntry {
    /// Its id.
    pub fn id(&self) -> RequestId {
        self.request.id
    }

    /// Whether none of its attempts can have run, so that a retry by its client does no harm.
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(Attempt::never_ran)
    }

    /// Whether it can be removed: it is completed and no attempt is in flight.
    pub fn is_done(&self) -> bool {
        self.state == RequestState::Completed && self.attempts.iter().all(|a| a.ended.is_some())
    }

    /// Its attempts with their ids.
    pub(crate) fn numbered_attempts(&self) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        let request = self.id();
        let attempts = self.attempts.iter().enumerate();
        attempts.map(move |(i, a)| (AttemptId::new(a.node, request, i as u16), a))
    }

    /// The attempt that placed its task, while the task runs.
    pub(crate) fn placed_attempt(&self) -> Option<AttemptId> {
        let RequestState::Placed(number) = self.state else {
            return None;
        };
        let node = self.attempts.get(usize::from(number))?.node;
        Some(AttemptId::new(node, self.id(), number))
    }

    /// Its attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = AttemptId> {
        let is_placed = |id: &AttemptId| self.state == RequestState::Placed(id.number);
        let in_flight = self
            .numbered_attempts()
            .filter(move |(id, a)| a.ended.is_none() && !is_placed(id));
        in_flight.map(|(id, _)| id)
    }

    /// The first attempt on which its node reported after it was given up.
    pub(crate) fn late_report(&self) -> Option<(AttemptId, LateReport)> {
        let mut attempts = self.numbered_attempts();
        attempts
            .find(|(_, a)| a.late_report != LateReport::None)
            .map(|(id, a)| (id, a.late_report))
    }
}

impl From<&PlacementRequest> for TaskSpec {
    /// Extracts the properties of the request's task.
    fn from(request: &PlacementRequest) -> TaskSpec {
        let PlacementRequest {
            task,
            service,
            class,
            tenant,
            cores,
            memory,
            ..
        } = *request;
        TaskSpec {
            task,
            service,
            class,
            tenant,
            cores,
            memory,
        }
    }
}
