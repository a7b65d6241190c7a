//! A request and its attempts.

use crate::api::{Micros, NodeEntry, NodeId, PlacementRequest, TaskReporter};

/// State of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// No attempt is in flight.
    Queued,
    /// An attempt is in flight.
    Dispatched,
    /// Its task is placed.
    Placed,
    /// The request is answered or cancelled. It is kept until its attempts have ended.
    Completed,
}

/// A request managed by this scheduler.
pub(super) struct TrackedRequest {
    pub(super) spec: PlacementRequest,
    pub(super) arrived_at: Micros,
    pub(super) deadline: Micros,
    /// Time before which no further attempt is made.
    pub(super) backoff_until: Micros,
    state: RequestState,
    /// The attempts in order; the index is the attempt number.
    pub(super) attempts: Vec<Attempt>,
}

impl TrackedRequest {
    /// Creates the state of a new request.
    pub(super) fn queued(spec: &PlacementRequest, now: Micros) -> TrackedRequest {
        let deadline = now.saturating_add(spec.deadline_in);
        TrackedRequest::new(spec, now, deadline, RequestState::Queued)
    }

    /// Creates the state of a request whose task already runs. The caller adds its attempt.
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

    /// Records a new attempt in flight.
    pub(super) fn dispatch(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
        self.state = RequestState::Dispatched;
    }

    /// Records that an attempt has placed the task. Returns false if no attempt was in flight.
    pub(super) fn confirm_placement(&mut self) -> bool {
        let was_dispatched = self.is_dispatched();
        if was_dispatched {
            self.state = RequestState::Placed;
        }
        was_dispatched
    }

    /// Records the end of an attempt, which completes the request if `is_final`. Returns whether
    /// the task needs another attempt.
    pub(super) fn end_attempt(&mut self, is_final: bool) -> bool {
        let needs_attempt = !is_final && self.is_dispatched();
        if needs_attempt {
            self.state = RequestState::Queued;
        } else if is_final {
            self.state = RequestState::Completed;
        }
        needs_attempt
    }

    /// Marks the request as answered or cancelled.
    pub(super) fn complete(&mut self) {
        self.state = RequestState::Completed;
    }

    /// Returns the first attempt that may have started the task.
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
    /// Whether the node had the program of the task.
    pub(super) had_program: bool,
    /// Whether its end has not been reported yet.
    pub(super) is_open: bool,
    /// Whether the start of its task has not been reported yet.
    pub(super) is_starting: bool,
    /// Whether it has ended and its task may have started.
    pub(super) may_have_run: bool,
    /// Whether it ended with an error.
    pub(super) has_failed: bool,
    /// Whether only a client has reported that its task runs.
    pub(super) is_unconfirmed: bool,
}

impl Attempt {
    pub(super) fn new(entry: &NodeEntry, sent_at: Micros, start: AttemptStart) -> Attempt {
        let (had_program, is_starting, is_unconfirmed) = match start {
            AttemptStart::Dispatched { has_program, .. } => (has_program, true, false),
            AttemptStart::AlreadyRunning { reported_by } => {
                (true, false, reported_by == TaskReporter::Client)
            }
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
            is_unconfirmed,
        }
    }
}

/// How an attempt begins.
#[derive(Clone, Copy)]
pub(super) enum AttemptStart {
    /// The attempt is sent to the node.
    Dispatched {
        /// Expected duration of its start, in microseconds.
        estimate: f64,
        /// Whether the node has the program.
        has_program: bool,
    },
    /// The task already runs on the node.
    AlreadyRunning {
        /// Who has reported that it runs there.
        reported_by: TaskReporter,
    },
}
