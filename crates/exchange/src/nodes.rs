//! Frames of nodes to inputs, outputs to frames of nodes.

use peppercove::{EndReason, LoadReport, NodeId, RequestId, TaskUpdate};
use peppercove_config::Config;
use peppercove_core::{Control, Input, Job, Limits, NodeNews, Output, Submission, TaskEnd};
use peppercove_protocol::node::{
    self, AttemptId, FromNode, NodeLoad, NodeReason, OfferedTask, Program, TaskMeasurement, ToNode,
};
use std::time::Duration;

/// What bounds a core, by the settings.
pub fn core_limits(config: &Config, life: u64) -> Limits {
    let micros = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
    Limits {
        life,
        classes: config.scheduler.classes.clone(),
        confirms: config.scheduler.placement_ack,
        max_attempts: config.scheduler.max_attempts,
        most_open: config.limits.open_requests,
        most_jobs: config.limits.jobs,
        most_session_jobs: config.limits.session_jobs,
        answer_reserve: micros(config.limits.deadline_margin),
        retry_after: micros(config.limits.retry_after),
        settle: config.scheduler.ambiguous_retry_delay,
        fate_memory: micros(config.limits.outcome_retention),
        most_fates: config.limits.ambiguous_tasks,
        lost_after: micros(config.limits.lost_after),
        journal: config.journal_path.is_some(),
    }
}

/// A task as nodes know it.
pub fn work_of(config: &Config, s: &Submission) -> OfferedTask {
    let class = config.scheduler.classes.get(usize::from(s.class));
    let repeat = match class.map(|c| c.idempotency) {
        Some(peppercove::Idempotency::Idempotent) => node::Idempotency::Idempotent,
        Some(peppercove::Idempotency::Keyed { .. }) => node::Idempotency::Keyed,
        _ => node::Idempotency::NonIdempotent,
    };
    let program = Program {
        command: s.program.command.clone(),
        args: s.program.args.clone(),
        env: s.program.env.clone(),
        working_directory: s.program.working_directory.clone(),
        key: format!("{}\n{}", s.session, s.key),
    };
    OfferedTask {
        task: s.task.0,
        service: s.service.0,
        class: s.class,
        tenant: s.tenant,
        cores: s.cores,
        memory: s.memory,
        priority: class.map_or(0, |c| c.priority),
        idempotency: repeat,
        program,
    }
}

/// A standing task as the core knows submissions.
pub fn submission_of(work: OfferedTask) -> Submission {
    let (session, key) = work
        .program
        .key
        .split_once('\n')
        .unwrap_or(("", &work.program.key));
    Submission {
        session: session.into(),
        key: key.into(),
        task: peppercove::TaskKey(work.task),
        service: peppercove::ServiceId(work.service),
        class: work.class,
        tenant: work.tenant,
        cores: work.cores,
        memory: work.memory,
        deadline_in: 0,
        expected_duration: None,
        is_retry: true,
        requested_elsewhere: false,
        on_hold: false,
        program: peppercove_core::Program {
            command: work.program.command,
            args: work.program.args,
            env: work.program.env,
            working_directory: work.program.working_directory,
        },
    }
}

/// The ask that an attempt belongs to.
pub fn request_id_of(attempt: AttemptId) -> RequestId {
    RequestId(attempt.request)
}

/// The frame that an output is, and the node that it is for; `None` where it is for somebody else. `job` finds the job
/// of an offer.
pub fn encode_output<'a>(
    config: &Config,
    nonce: u64,
    output: &Output,
    job: impl FnOnce(peppercove_core::JobId) -> Option<&'a Job>,
) -> Option<(NodeId, ToNode)> {
    let id = |request: RequestId, number: u16| AttemptId {
        request: request.0,
        number,
    };
    Some(match *output {
        Output::Dispatch {
            node,
            request,
            attempt,
            expires_in,
            job: number,
        } => {
            let work = work_of(config, &job(number)?.submission);
            (
                node,
                ToNode::Offer {
                    attempt: id(request, attempt),
                    expires_in,
                    task: work,
                },
            )
        }
        Output::CancelAttempt {
            node,
            request,
            attempt,
        } => (
            node,
            ToNode::CancelAttempt {
                attempt: id(request, attempt),
            },
        ),
        Output::ControlTask {
            node,
            request,
            attempt,
            control,
        } => {
            let action = match control {
                Control::Suspend => node::Control::Suspend,
                Control::Resume => node::Control::Resume,
                Control::Terminate | Control::Hold | Control::Release => node::Control::Terminate,
            };
            (
                node,
                ToNode::Control {
                    attempt: id(request, attempt),
                    action,
                },
            )
        }
        Output::Adopt {
            node,
            life,
            was,
            attempt,
            request,
        } => (
            node,
            ToNode::Adopt {
                incarnation: life,
                attempt: id(was, attempt),
                new_attempt: id(request, 0),
            },
        ),
        Output::DiscardOrphan {
            node,
            life,
            was,
            attempt,
        } => (
            node,
            ToNode::Discard {
                incarnation: life,
                attempt: id(was, attempt),
            },
        ),
        Output::Probe(node) => (node, ToNode::Probe { nonce }),
        _ => return None,
    })
}

/// What a message of a node comes to.
#[derive(Debug, Default, PartialEq)]
pub struct DecodedMessage {
    /// To be taken in.
    pub input: Option<Input>,
    /// To be answered once that is done.
    pub reply: Option<ToNode>,
}

/// Reads a message of a node that has greeted.
pub fn decode_message(node: NodeId, message: FromNode) -> DecodedMessage {
    let mut reply = None;
    let (attempt, news, load) = match message {
        FromNode::Accepted { attempt, load } => (attempt, NodeNews::Accepted, load),
        FromNode::Running { attempt, load } => (attempt, NodeNews::Running, load),
        FromNode::Rejected {
            attempt,
            reason,
            load,
        } => (attempt, NodeNews::Refused(why(reason)), load),
        FromNode::Ended { attempt, end, load } => {
            // The node keeps an end until it is taken note of; it may have been told on a link that broke.
            reply = Some(ToNode::AcknowledgeEnd { attempt });
            (attempt, ended(end), load)
        }
        FromNode::Measurement {
            attempt,
            measurement: note,
        } => (attempt, NodeNews::Note(noted(note)), None),
        FromNode::ProbeReply { load, .. } => {
            let input = Some(Input::Probed {
                node,
                answered: true,
                load: load.map(loaded),
            });
            return DecodedMessage { input, reply };
        }
        // Out of turn: a node tells what it holds when it is greeted.
        FromNode::Welcome { .. } | FromNode::KnownTask { .. } => return DecodedMessage::default(),
    };
    let (request, attempt) = (request_id_of(attempt), attempt.number);
    let input = Some(Input::News {
        node,
        request,
        attempt,
        news,
        load: load.map(loaded),
    });
    DecodedMessage { input, reply }
}

fn loaded(report: NodeLoad) -> LoadReport {
    let finite = |x: Option<f64>| x.filter(|x| x.is_finite());
    LoadReport {
        free_cores: finite(report.free_cores),
        free_memory: finite(report.free_memory),
        cpu_utilization: finite(report.cpu_utilization),
        queue_depth: finite(report.queue_depth),
    }
}

fn why(reason: NodeReason) -> EndReason {
    match reason {
        NodeReason::Unknown => EndReason::Unknown,
        NodeReason::InsufficientCores => EndReason::InsufficientCores,
        NodeReason::InsufficientMemory => EndReason::InsufficientMemory,
        NodeReason::QueueFull => EndReason::QueueFull,
        NodeReason::Ineligible => EndReason::Ineligible,
        NodeReason::Evicted => EndReason::Evicted,
        NodeReason::Preempted => EndReason::Preempted,
        NodeReason::Drained => EndReason::Drained,
    }
}

fn ended(end: node::TaskExit) -> NodeNews {
    match end {
        node::TaskExit::Exited { status, usage: u } => NodeNews::Ended(
            TaskEnd::Exited {
                status,
                wall: u.wall,
                cpu: u.cpu,
                memory: u.memory,
            },
            EndReason::Unknown,
        ),
        node::TaskExit::Signalled { signal, usage: u } => NodeNews::Ended(
            TaskEnd::Signalled {
                signal,
                wall: u.wall,
                cpu: u.cpu,
                memory: u.memory,
            },
            EndReason::Unknown,
        ),
        node::TaskExit::Error => NodeNews::Error,
        node::TaskExit::Evicted(reason) => NodeNews::Ended(TaskEnd::GivenUp, why(reason)),
    }
}

pub(crate) fn past(end: node::TaskExit) -> (Option<TaskEnd>, EndReason) {
    match ended(end) {
        NodeNews::Ended(end, why) => (Some(end), why),
        _ => (Some(TaskEnd::Lost), EndReason::Unknown),
    }
}

fn noted(note: TaskMeasurement) -> TaskUpdate {
    match note {
        TaskMeasurement::CoresUsed(x) => TaskUpdate::CoresUsed(x),
        TaskMeasurement::MemoryUsed(x) => TaskUpdate::MemoryUsed(x),
        TaskMeasurement::ServedShare(x) => TaskUpdate::ServedShare(x),
        TaskMeasurement::NodeMemoryShare(x) => TaskUpdate::NodeMemoryShare(x),
    }
}
