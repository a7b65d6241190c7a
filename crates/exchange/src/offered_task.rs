//! Conversion between submissions and the tasks sent to nodes.

use peppercove::{Idempotency, ServiceId, TaskKey};
use peppercove_config::Config;
use peppercove_core::{Program, Submission};
use peppercove_protocol::node::{self, OfferedTask};

/// Separates session and key of a submission in the single key that nodes store.
const KEY_SEPARATOR: char = '\n';

/// Converts a submission to the task sent to a node.
pub fn offered_task_of(config: &Config, submission: &Submission) -> OfferedTask {
    let class = config.scheduler.classes.get(usize::from(submission.class));
    let program = &submission.program;
    OfferedTask {
        task: submission.task.0,
        service: submission.service.0,
        class: submission.class,
        tenant: submission.tenant,
        cores: submission.cores,
        memory: submission.memory,
        priority: class.map_or(0, |class| class.priority),
        idempotency: offered_idempotency(class.map(|class| class.idempotency)),
        program: node::Program {
            command: program.command.clone(),
            args: program.args.clone(),
            env: program.env.clone(),
            working_directory: program.working_directory.clone(),
            key: format!("{}{KEY_SEPARATOR}{}", submission.session, submission.key),
        },
    }
}

/// Converts the idempotency of a class. Tasks of an unknown class count as non-idempotent.
fn offered_idempotency(idempotency: Option<Idempotency>) -> node::Idempotency {
    match idempotency {
        Some(Idempotency::Idempotent) => node::Idempotency::Idempotent,
        Some(Idempotency::Keyed { .. }) => node::Idempotency::Keyed,
        Some(Idempotency::NonIdempotent) | None => node::Idempotency::NonIdempotent,
    }
}

/// Reconstructs the submission of a running task, as far as its node knows it.
pub fn submission_of(task: OfferedTask) -> Submission {
    let program = task.program;
    let (session, key) = program
        .key
        .split_once(KEY_SEPARATOR)
        .unwrap_or(("", &program.key));
    Submission {
        session: session.into(),
        key: key.into(),
        task: TaskKey(task.task),
        service: ServiceId(task.service),
        class: task.class,
        tenant: task.tenant,
        cores: task.cores,
        memory: task.memory,
        deadline_in: 0,
        expected_duration: None,
        is_retry: true,
        requested_elsewhere: false,
        on_hold: false,
        program: Program {
            command: program.command,
            args: program.args,
            env: program.env,
            working_directory: program.working_directory,
        },
    }
}
