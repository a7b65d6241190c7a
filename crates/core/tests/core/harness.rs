//! Test harness: a core with a scripted scheduler, and functions that build its inputs.

use peppercove::{
    Action, AttemptOutcome, EndReason, Event, ListUpdateKind, Micros, NodeId, NodeStatus,
    RequestId, ServiceId, Settings, TaskKey,
};
use peppercove_core::nodes::{ListedNode, node_id_of};
use peppercove_core::{
    Answer, AttemptUpdate, Core, Decide, Input, Limits, Output, Program, ReportedTask, Submission,
    TaskEnd,
};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::rc::Rc;

pub const SECOND: Micros = 1_000_000;

/// The incarnation of the controller under test.
pub const INCARNATION: u64 = 77;

/// Indexes of the classes of [`Settings::sample`].
pub const IDEMPOTENT: u16 = 0;
pub const KEYED: u16 = 1;
pub const NON_IDEMPOTENT: u16 = 2;

/// A scheduler that returns the actions given by the test and records the events it receives.
#[derive(Clone, Default)]
pub struct ScriptedScheduler {
    actions: Rc<RefCell<VecDeque<Vec<Action>>>>,
    events: Rc<RefCell<Vec<Event>>>,
}

impl Decide for ScriptedScheduler {
    fn decide(&mut self, _now: Micros, events: &[Event]) -> Vec<Action> {
        self.events.borrow_mut().extend_from_slice(events);
        self.actions.borrow_mut().pop_front().unwrap_or_default()
    }
}

pub fn limits() -> Limits {
    let settings = Settings::sample();
    Limits {
        incarnation: INCARNATION,
        classes: settings.classes.clone(),
        placement_ack: settings.placement_ack,
        max_attempts: 3,
        max_open_requests: 100,
        max_jobs: 200,
        max_session_jobs: 100,
        deadline_margin: 20_000,
        retry_after: SECOND,
        ambiguous_retry_delay: 3 * SECOND,
        outcome_retention: 60 * SECOND,
        max_ambiguous_tasks: 10,
        unreachable_timeout: 30 * SECOND,
        has_journal: true,
    }
}

// ---- Inputs ----

pub fn node(i: u16) -> NodeId {
    node_id_of(address(i))
}

fn address(i: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 1000 + i)
}

pub fn listed(i: u16, state: NodeStatus) -> ListedNode {
    ListedNode {
        address: address(i),
        name: format!("n{i}"),
        state,
        kind: 0,
        rack: i,
        zone: 0,
        incarnation: 1,
        uptime: None,
        free_cores: Some(16.0),
        free_memory: Some(32.0),
    }
}

pub fn node_list(generation: u64, entries: Vec<ListedNode>) -> Input {
    Input::NodeList {
        kind: ListUpdateKind::Full,
        generation,
        entries,
    }
}

pub fn connected(i: u16, incarnation: u64, reported_tasks: Vec<ReportedTask>) -> Input {
    Input::NodeConnected {
        node: node(i),
        incarnation,
        is_complete: true,
        reported_tasks,
    }
}

/// A task reported by a node: attempt 0 of a request of the given incarnation.
pub fn reported(incarnation: u64, request: u64, submission: Submission) -> ReportedTask {
    ReportedTask {
        incarnation,
        request: RequestId(request),
        attempt: 0,
        submission,
        end: None,
        reason: EndReason::Unknown,
    }
}

/// A submission in session `s`; the same key means the same task.
pub fn submission(key: &str, class: u16) -> Submission {
    Submission {
        session: "s".into(),
        key: key.into(),
        task: TaskKey(key.bytes().map(u64::from).sum()),
        service: ServiceId(1),
        class,
        tenant: 0,
        cores: 1.0,
        memory: 2.0,
        deadline_in: 5 * SECOND,
        expected_duration: None,
        is_retry: false,
        requested_elsewhere: false,
        on_hold: false,
        program: Program::default(),
    }
}

pub fn submit(submission: Submission) -> Input {
    Input::Submit {
        ticket: 1,
        submission: Box::new(submission),
    }
}

pub fn updated(i: u16, request: u64, attempt: u16, update: AttemptUpdate) -> Input {
    Input::AttemptUpdated {
        node: node(i),
        request: RequestId(request),
        attempt,
        update,
        load: None,
    }
}

pub fn exited() -> AttemptUpdate {
    AttemptUpdate::Ended(
        TaskEnd::Exited {
            status: 0,
            wall: 1,
            cpu: 1,
            memory: 0.0,
        },
        EndReason::Unknown,
    )
}

// ---- The core ----

pub struct Harness {
    pub core: Core<ScriptedScheduler>,
    scheduler: ScriptedScheduler,
}

impl Harness {
    /// Creates a core with two nodes, both listed and connected.
    pub fn new() -> Harness {
        let scheduler = ScriptedScheduler::default();
        let mut core = Core::new(scheduler.clone(), limits());
        let entries = vec![listed(0, NodeStatus::Ready), listed(1, NodeStatus::Ready)];
        core.handle(0, node_list(1, entries));
        for i in 0..2 {
            core.handle(0, connected(i, 1, Vec::new()));
        }
        scheduler.events.borrow_mut().clear();
        Harness { core, scheduler }
    }

    /// Passes the input to the core; the scheduler returns these actions on its next call.
    pub fn step(&mut self, now: Micros, input: Input, actions: Vec<Action>) -> Vec<Output> {
        self.scheduler.actions.borrow_mut().clear();
        self.scheduler.actions.borrow_mut().push_back(actions);
        self.core.handle(now, input)
    }

    /// Returns the events passed to the scheduler since the last call.
    pub fn take_events(&self) -> Vec<Event> {
        std::mem::take(&mut self.scheduler.events.borrow_mut())
    }
}

pub fn dispatch(request: u64, i: u16, timeout: Option<Micros>) -> Action {
    Action::Dispatch {
        request: RequestId(request),
        node: node(i),
        timeout,
        send_by: None,
    }
}

// ---- Outputs and events ----

/// Index, outcome and `is_final` of each ended attempt.
pub fn ended_attempts(events: &[Event]) -> Vec<(u16, AttemptOutcome, bool)> {
    let ended = events.iter().filter_map(|e| match e {
        Event::AttemptEnded {
            attempt,
            outcome,
            is_final,
            ..
        } => Some((*attempt, *outcome, *is_final)),
        _ => None,
    });
    ended.collect()
}

pub fn answers(outputs: &[Output]) -> Vec<Answer> {
    let answers = outputs.iter().filter_map(|o| match o {
        Output::Answered { answer, .. } => Some(*answer),
        _ => None,
    });
    answers.collect()
}

pub fn has_dispatch(outputs: &[Output]) -> bool {
    outputs.iter().any(|o| matches!(o, Output::Dispatch { .. }))
}
