//! A request and its attempts.

use crate::api::{Micros, NodeEntry, NodeId, PlacementRequest};

/// Where a request stands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// It has no attempt in flight.
    Queued,
    /// An attempt is in flight.
    Dispatched,
    /// Its task is placed.
    Placed,
    /// It is answered or cancelled; kept until its attempts have ended.
    Completed,
}

/// A request that this scheduler has taken on.
pub(super) struct TrackedRequest {
    pub(super) spec: PlacementRequest,
    pub(super) arrived_at: Micros,
    pub(super) deadline: Micros,
    /// No attempt before this time.
    pub(super) backoff_until: Micros,
    state: RequestState,
    /// In the order in which they were made: the index is the attempt's number.
    pub(super) attempts: Vec<Attempt>,
}

impl TrackedRequest {
    /// A request that has just arrived.
    pub(super) fn queued(spec: &PlacementRequest, now: Micros) -> TrackedRequest {
        let deadline = now.saturating_add(spec.deadline_in);
        TrackedRequest::new(spec, now, deadline, RequestState::Queued)
    }

    /// The request of a task that already runs; its attempt is to be added.
    pub(super) fn placed(spec: &PlacementRequest, now: Micros) -> TrackedRequest {
        TrackedRequest::new(spec, now, now, RequestState::Placed)
    }

    fn new(
        spec: &PlacementRequest,
        arrived_at: Micros,
        deadline: Micros,
        state: RequestState,
    ) -> TrackedRequest {
        TrackedRequest {
            spec: spec.clone(),
            arrived_at,
            deadline,
            backoff_until: 0,
            state,
            attempts: Vec::new(),
        }
    }

    pub(super) fn is_queued(&self) -> bool {
        self.state == RequestState::Queued
    }

    pub(super) fn is_dispatched(&self) -> bool {
        self.state == RequestState::Dispatched
    }

    pub(super) fn is_completed(&self) -> bool {
        self.state == RequestState::Completed
    }

    /// An attempt is sent.
    pub(super) fn dispatch(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
        self.state = RequestState::Dispatched;
    }

    /// An attempt has placed the task; false if the request was not waiting for that.
    pub(super) fn confirm_placement(&mut self) -> bool {
        let was_dispatched = self.is_dispatched();
        if was_dispatched {
            self.state = RequestState::Placed;
        }
        was_dispatched
    }

    /// An attempt has ended, and with it the request if `is_final`. Returns whether the task waits
    /// for another attempt.
    pub(super) fn end_attempt(&mut self, is_final: bool) -> bool {
        let is_unplaced = !is_final && self.is_dispatched();
        if is_unplaced {
            self.state = RequestState::Queued;
        } else if is_final {
            self.state = RequestState::Completed;
        }
        is_unplaced
    }

    /// The request is answered or cancelled.
    pub(super) fn complete(&mut self) {
        self.state = RequestState::Completed;
    }

    /// The first attempt that may have started the task.
    pub(super) fn first_possible_start(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }

    pub(super) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_open)
    }
}

/// One attempt to place a task on a node.
pub(super) struct Attempt {
    pub(super) node: NodeId,
    pub(super) rack: u16,
    pub(super) zone: u8,
    pub(super) sent_at: Micros,
    /// The node had the program of the task.
    pub(super) had_program: bool,
    /// Its end has not been reported.
    pub(super) is_open: bool,
    /// The start of its task has not been reported.
    pub(super) is_starting: bool,
    /// It has ended, and its task may have started.
    pub(super) may_have_run: bool,
    /// It has ended with an error.
    pub(super) has_failed: bool,
}

impl Attempt {
    pub(super) fn new(entry: &NodeEntry, sent_at: Micros, start: AttemptStart) -> Attempt {
        let (had_program, is_starting) = match start {
            AttemptStart::Dispatched { has_program, .. } => (has_program, true),
            AttemptStart::AlreadyRunning => (true, false),
        };
        Attempt {
            node: entry.node,
            rack: entry.rack,
            zone: entry.zone,
            sent_at,
            had_program,
            is_open: true,
            is_starting,
            may_have_run: false,
            has_failed: false,
        }
    }
}

/// How an attempt comes to be.
#[derive(Clone, Copy)]
pub(super) enum AttemptStart {
    /// It is sent to the node.
    Dispatched {
        /// How long its start is expected to take, in microseconds.
        estimate: f64,
        /// The node has the program.
        has_program: bool,
    },
    /// Its task already runs there.
    AlreadyRunning,
}
