//! The life of one ask, as one enum whose transitions are checked, and of its attempts.
//!
//! ```text
//! Waiting --offer--> Offered --confirm--> Placed --end--> Over
//!    ^                  |  \                                ^
//!    +----back----------+   +----------- answer -----------+
//!    +------------------------------------ answer ---------+
//! ```

use crate::jobs::{JobId, TaskEnd};
use peppercove::{AttemptOutcome, Micros, NodeId, PlacementRequest, RequestId};
use std::fmt;

/// Where an ask stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Taken in, no attempt is out.
    Pending,
    /// This attempt is out, not confirmed yet.
    Dispatched(u16),
    /// This attempt placed it: the final answer is given.
    Placed(u16),
    /// Answered otherwise, or its task has ended.
    Completed,
}

/// A step of a life that does not follow from where it stands: a fault of the program, never of its input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IllegalStep {
    /// Where it stood.
    pub from: RequestState,
    /// Where it should have gone.
    pub to: RequestState,
}

impl fmt::Display for IllegalStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "an ask that is {:?} cannot become {:?}",
            self.from, self.to
        )
    }
}

impl std::error::Error for IllegalStep {}

impl RequestState {
    /// The final answer is still owed.
    pub fn is_open(self) -> bool {
        matches!(self, RequestState::Pending | RequestState::Dispatched(_))
    }

    /// Steps to `to`, where that follows.
    ///
    /// # Errors
    /// [`IllegalStep`] leaves the life as it was.
    pub fn transition_to(&mut self, to: RequestState) -> Result<(), IllegalStep> {
        let legal = match (*self, to) {
            (RequestState::Pending, RequestState::Dispatched(_))
            | (RequestState::Dispatched(_), RequestState::Pending) => true,
            (RequestState::Dispatched(out), RequestState::Placed(confirmed)) => out == confirmed,
            // A task found running is placed without an offer of this life.
            (RequestState::Pending, RequestState::Placed(0)) => true,
            (
                RequestState::Pending | RequestState::Dispatched(_) | RequestState::Placed(_),
                RequestState::Completed,
            ) => true,
            _ => false,
        };
        if !legal {
            return Err(IllegalStep { from: *self, to });
        }
        *self = to;
        Ok(())
    }
}

/// One attempt of an ask.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where it was sent.
    pub node: NodeId,
    /// When it was sent.
    pub sent_at: Micros,
    /// When the controller stops waiting for it.
    pub expires_at: Micros,
    /// The node said that it has accepted it.
    pub accepted: bool,
    /// How it ended; `None` while it is out or its task runs.
    pub ended: Option<AttemptOutcome>,
    /// What its node said of it after the attempt was given up.
    pub after: After,
}

/// What became of an attempt that was given up while its ask went on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum After {
    /// Nothing is known, or it is proved that it never ran.
    #[default]
    Nothing,
    /// Its task runs.
    Runs,
    /// Its task ran, and ended so.
    Ended(TaskEnd),
}

impl Attempt {
    /// The outcome proves that the task never ran, or nothing was sent.
    pub fn never_ran(&self) -> bool {
        matches!(
            self.ended,
            Some(AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent)
        )
    }
}

/// One ask for a placing.
#[derive(Clone, Debug)]
pub struct Ask {
    /// As the decision module was told of it.
    pub request: PlacementRequest,
    /// The job that asks.
    pub job: JobId,
    /// When its owner gives up.
    pub deadline: Micros,
    /// Where it stands.
    pub life: RequestState,
    /// Its attempts, in the order of the module's binds.
    pub attempts: Vec<Attempt>,
}

impl Ask {
    /// Its id.
    pub fn id(&self) -> RequestId {
        self.request.id
    }

    /// Nothing of it may have run: a retry by its owner does no harm.
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(Attempt::never_ran)
    }

    /// It can be forgotten: it is over and no attempt is out.
    pub fn is_done(&self) -> bool {
        self.life == RequestState::Completed && self.attempts.iter().all(|a| a.ended.is_some())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_ask_is_answered_once_and_never_revived() {
        let all = [
            RequestState::Pending,
            RequestState::Dispatched(0),
            RequestState::Dispatched(1),
            RequestState::Placed(0),
            RequestState::Placed(1),
            RequestState::Completed,
        ];
        for to in all {
            let mut over = RequestState::Completed;
            assert_eq!(
                over.transition_to(to),
                Err(IllegalStep {
                    from: RequestState::Completed,
                    to
                })
            );
            let mut placed = RequestState::Placed(1);
            assert_eq!(
                placed.transition_to(to).is_ok(),
                to == RequestState::Completed,
                "{to:?}"
            );
        }
        let mut offered = RequestState::Dispatched(0);
        assert!(
            offered.transition_to(RequestState::Placed(1)).is_err(),
            "another attempt cannot confirm"
        );
        assert!(
            offered.transition_to(RequestState::Dispatched(1)).is_err(),
            "two attempts cannot be out"
        );
        assert!(offered.transition_to(RequestState::Placed(0)).is_ok());
    }
}
