//! One task on a node: its identity, its state, and the behaviour of its program.

use super::Micros;
use super::fleet_state::StartIndex;
use super::resources::Resources;
use peppercove_protocol::node::{AttemptId, OfferedTask, ProcessIdentity, Usage};

/// Identity of a task on its node. Attempt ids are unique only within one incarnation of a controller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskId {
    pub(super) controller: String,
    pub(super) incarnation: u64,
    pub(super) attempt: AttemptId,
}

impl TaskId {
    /// An attempt of the controller's current incarnation.
    pub(super) fn current(controller: &ProcessIdentity, attempt: AttemptId) -> TaskId {
        TaskId::of_incarnation(controller, controller.incarnation, attempt)
    }

    /// An attempt of the given incarnation of the controller.
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
    /// Admitted, waits to be started.
    Accepted,
    /// Its program is starting, and runs from `until` on.
    Starting { until: Micros },
    /// Runs.
    Running {
        since: Micros,
        until: Micros,
        start: StartIndex,
    },
    /// Suspended with `left` of its run time remaining.
    Suspended {
        since: Micros,
        left: Micros,
        start: StartIndex,
    },
}

impl TaskState {
    /// Whether nothing of it has been started, so that it can be dropped without effects.
    pub(super) fn is_before_start(self) -> bool {
        match self {
            TaskState::Queued | TaskState::Accepted => true,
            TaskState::Starting { .. }
            | TaskState::Running { .. }
            | TaskState::Suspended { .. } => false,
        }
    }

    /// Whether its program was started and has not ended.
    pub(super) fn is_started(self) -> bool {
        self.start().is_some()
    }

    /// Index of its start in the log.
    pub(super) fn start(self) -> Option<StartIndex> {
        match self {
            TaskState::Running { start, .. } | TaskState::Suspended { start, .. } => Some(start),
            TaskState::Queued | TaskState::Accepted | TaskState::Starting { .. } => None,
        }
    }

    /// Time of its next state change without a message.
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
    /// The task must not start at this time or later.
    pub(super) expires: Micros,
    /// Share of its requested resources that it uses once it runs.
    pub(super) usage_share: Resources,
}

impl Task {
    /// Whether it was admitted, so that it counts against the capacity of the node.
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

/// Run time of a task: `PEPPERCOVE_LIFE_US` in its environment, or else the time of its command if that is known.
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

/// Exit status of a task: `PEPPERCOVE_EXIT` in its environment, or else 1 for `false` and 0 for any other command.
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
