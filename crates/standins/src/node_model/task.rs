//! One task on a node: its identity, its state, and what its program does.

use super::Micros;
use super::fleet_state::StartIndex;
use super::resources::Resources;
use peppercove_protocol::node::{AttemptId, OfferedTask, ProcessIdentity, Usage};

/// An attempt as its node knows it: attempt numbers are unique within one incarnation of a controller only.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskId {
    pub(super) controller: String,
    pub(super) incarnation: u64,
    pub(super) attempt: AttemptId,
}

impl TaskId {
    /// An attempt of the controller's present incarnation.
    pub(super) fn current(controller: &ProcessIdentity, attempt: AttemptId) -> TaskId {
        TaskId::of_incarnation(controller, controller.incarnation, attempt)
    }

    /// An attempt of a stated incarnation of the controller.
    pub(super) fn of_incarnation(
        controller: &ProcessIdentity,
        incarnation: u64,
        attempt: AttemptId,
    ) -> TaskId {
        TaskId {
            controller: controller.name.clone(),
            incarnation,
            attempt,
        }
    }
}

/// State of a task that has not ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum TaskState {
    /// Waits for admission.
    Queued,
    /// Admitted, waits for its start.
    Accepted,
    /// Its program starts and runs from `until` on.
    Starting { until: Micros },
    /// Runs.
    Running {
        since: Micros,
        until: Micros,
        start: StartIndex,
    },
    /// Suspended with this much of its run time left.
    Suspended {
        since: Micros,
        left: Micros,
        start: StartIndex,
    },
}

impl TaskState {
    /// Nothing of it has been started: it can be dropped without a trace.
    pub(super) fn is_before_start(self) -> bool {
        match self {
            TaskState::Queued | TaskState::Accepted => true,
            TaskState::Starting { .. }
            | TaskState::Running { .. }
            | TaskState::Suspended { .. } => false,
        }
    }

    /// Its program was started and has not ended.
    pub(super) fn is_started(self) -> bool {
        self.start().is_some()
    }

    /// Entry of its start in the log.
    pub(super) fn start(self) -> Option<StartIndex> {
        match self {
            TaskState::Running { start, .. } | TaskState::Suspended { start, .. } => Some(start),
            TaskState::Queued | TaskState::Accepted | TaskState::Starting { .. } => None,
        }
    }

    /// Time of its next change that comes by itself.
    pub(super) fn next_change(self) -> Option<Micros> {
        match self {
            TaskState::Starting { until } | TaskState::Running { until, .. } => Some(until),
            TaskState::Queued | TaskState::Accepted | TaskState::Suspended { .. } => None,
        }
    }
}

/// A task that has not ended.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) offered: OfferedTask,
    pub(super) state: TaskState,
    /// Must not start from this time on.
    pub(super) expires: Micros,
    /// Share of its requested resources that it uses once it runs.
    pub(super) usage_share: Resources,
}

impl Task {
    /// Admitted and not ended: counts against the node's capacity.
    pub(super) fn is_active(&self) -> bool {
        self.state != TaskState::Queued
    }

    /// Resources used from its start until `now`.
    pub(super) fn usage(&self, now: Micros) -> Usage {
        let since = match self.state {
            TaskState::Running { since, .. } | TaskState::Suspended { since, .. } => since,
            TaskState::Queued | TaskState::Accepted | TaskState::Starting { .. } => now,
        };
        let wall = now.saturating_sub(since);
        Usage {
            wall,
            cpu: (wall as f64 * self.offered.cores * self.usage_share.cores) as u64,
            memory: self.offered.memory * self.usage_share.memory,
        }
    }
}

/// Run time of a task: `PEPPERCOVE_LIFE_US` of its environment, or the seconds of a `sleep`.
pub(super) fn run_time(task: &OfferedTask) -> Option<Micros> {
    let stated = environment(task, "PEPPERCOVE_LIFE_US").and_then(|value| value.parse().ok());
    stated.or_else(|| match command_name(task)? {
        "sleep" => sleep_time(task),
        "true" | "false" => Some(0),
        _ => None,
    })
}

fn sleep_time(task: &OfferedTask) -> Option<Micros> {
    let seconds: f64 = task.program.args.first()?.parse().ok()?;
    (0.0..1e6)
        .contains(&seconds)
        .then_some((seconds * 1e6) as Micros)
}

/// Exit status of a task: `PEPPERCOVE_EXIT` of its environment, or that of the command.
pub(super) fn exit_status(task: &OfferedTask) -> i32 {
    let stated = environment(task, "PEPPERCOVE_EXIT").and_then(|value| value.parse().ok());
    stated.unwrap_or(i32::from(command_name(task) == Some("false")))
}

fn command_name(task: &OfferedTask) -> Option<&str> {
    task.program.command.rsplit('/').next()
}

fn environment<'a>(task: &'a OfferedTask, name: &str) -> Option<&'a str> {
    task.program
        .env
        .iter()
        .filter_map(|entry| entry.split_once('='))
        .find(|(variable, _)| *variable == name)
        .map(|(_, value)| value)
}
