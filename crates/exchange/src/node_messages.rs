//! Conversion of frames from nodes to inputs, and of outputs to frames for nodes.

use crate::offered_task::offered_task_of;
use peppercove::{EndReason, LoadReport, NodeId, RequestId, TaskUpdate};
use peppercove_config::Config;
use peppercove_core::{AttemptUpdate, Control, Input, Job, JobId, Output, TaskEnd};
use peppercove_protocol::node::{
    self, AttemptId, FromNode, NodeLoad, NodeReason, TaskExit, TaskMeasurement, ToNode,
};

// ---- Outputs to frames ----

/// Converts an output to a frame, with the node that it is for; `None` if the output is not for a node. `job` finds the
/// job of a dispatch; `nonce` identifies a probe.
#[expect(clippy::too_many_lines, reason = "one arm for each output")]
pub fn encode_output<'a>(
    config: &Config,
    nonce: u64,
    output: &Output,
    job: impl FnOnce(JobId) -> Option<&'a Job>,
) -> Option<(NodeId, ToNode)> {
    Some(match *output {
        Output::Dispatch {
            node,
            request,
            attempt,
            expires_in,
            job: id,
        } => {
            let task = offered_task_of(config, &job(id)?.submission);
            (
                node,
                ToNode::Offer {
                    attempt: attempt_id(request, attempt),
                    expires_in,
                    task,
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
                attempt: attempt_id(request, attempt),
            },
        ),
        Output::ControlTask {
            node,
            request,
            attempt,
            control,
        } => {
            let action = node_control(control);
            (
                node,
                ToNode::Control {
                    attempt: attempt_id(request, attempt),
                    action,
                },
            )
        }
        Output::Adopt {
            node,
            incarnation,
            previous_request,
            attempt,
            request,
        } => {
            let (attempt, new_attempt) = (
                attempt_id(previous_request, attempt),
                attempt_id(request, 0),
            );
            (
                node,
                ToNode::Adopt {
                    incarnation,
                    attempt,
                    new_attempt,
                },
            )
        }
        Output::DiscardOrphan {
            node,
            incarnation,
            previous_request,
            attempt,
        } => (
            node,
            ToNode::Discard {
                incarnation,
                attempt: attempt_id(previous_request, attempt),
            },
        ),
        Output::Probe(node) => (node, ToNode::Probe { nonce }),
        Output::Accepted { .. }
        | Output::ControlAccepted { .. }
        | Output::Rejected { .. }
        | Output::Answered { .. }
        | Output::Finished(_)
        | Output::Connect { .. }
        | Output::Disconnect(_)
        | Output::Journal(_)
        | Output::WatchNodes
        | Output::Broadcast(_)
        | Output::Log(_) => return None,
    })
}

fn attempt_id(request: RequestId, number: u16) -> AttemptId {
    AttemptId {
        request: request.0,
        number,
    }
}

fn node_control(control: Control) -> node::Control {
    match control {
        Control::Suspend => node::Control::Suspend,
        Control::Resume => node::Control::Resume,
        Control::Terminate | Control::Hold | Control::Release => node::Control::Terminate,
    }
}

// ---- Frames to inputs ----

/// A decoded message of a node.
#[derive(Debug, Default, PartialEq)]
pub struct DecodedMessage {
    /// The input for the core.
    pub input: Option<Input>,
    /// The reply to send to the node after the core has processed the input.
    pub reply: Option<ToNode>,
}

impl From<Input> for DecodedMessage {
    /// Creates a message without a reply.
    fn from(input: Input) -> DecodedMessage {
        DecodedMessage {
            input: Some(input),
            reply: None,
        }
    }
}

/// Decodes a message of a node whose handshake is complete.
pub fn decode_message(node: NodeId, message: FromNode) -> DecodedMessage {
    let updated = |attempt, update, load| attempt_updated(node, attempt, update, load);
    match message {
        FromNode::Accepted { attempt, load } => {
            updated(attempt, AttemptUpdate::Accepted, load).into()
        }
        FromNode::Running { attempt, load } => {
            updated(attempt, AttemptUpdate::Running, load).into()
        }
        FromNode::Rejected {
            attempt,
            reason,
            load,
        } => updated(attempt, AttemptUpdate::Rejected(end_reason(reason)), load).into(),
        // The node keeps an end until it is acknowledged, since an earlier report of it may have been lost with a
        // connection.
        FromNode::Ended { attempt, end, load } => DecodedMessage {
            input: Some(updated(attempt, attempt_update(end), load)),
            reply: Some(ToNode::AcknowledgeEnd { attempt }),
        },
        FromNode::Measurement {
            attempt,
            measurement,
        } => updated(attempt, AttemptUpdate::Task(task_update(measurement)), None).into(),
        FromNode::ProbeReply { load, .. } => Input::Probed {
            node,
            answered: true,
            load: load.map(load_report),
        }
        .into(),
        // Unexpected here: these belong to the handshake.
        FromNode::Welcome { .. } | FromNode::KnownTask { .. } => DecodedMessage::default(),
    }
}

fn attempt_updated(
    node: NodeId,
    attempt: AttemptId,
    update: AttemptUpdate,
    load: Option<NodeLoad>,
) -> Input {
    Input::AttemptUpdated {
        node,
        request: request_id_of(attempt),
        attempt: attempt.number,
        update,
        load: load.map(load_report),
    }
}

/// The request that an attempt belongs to.
pub fn request_id_of(attempt: AttemptId) -> RequestId {
    RequestId(attempt.request)
}

/// Values that are not finite are treated as not reported.
fn load_report(load: NodeLoad) -> LoadReport {
    let finite = |x: Option<f64>| x.filter(|x| x.is_finite());
    LoadReport {
        free_cores: finite(load.free_cores),
        free_memory: finite(load.free_memory),
        cpu_utilization: finite(load.cpu_utilization),
        queue_depth: finite(load.queue_depth),
    }
}

fn end_reason(reason: NodeReason) -> EndReason {
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

/// Converts the end of a task to an update. An error is not an end, since it proves nothing about the task.
fn attempt_update(exit: TaskExit) -> AttemptUpdate {
    match task_end(exit) {
        Some((end, reason)) => AttemptUpdate::Ended(end, reason),
        None => AttemptUpdate::Error,
    }
}

/// How a task ended, and why; `None` if the node answered with an error.
pub(crate) fn task_end(exit: TaskExit) -> Option<(TaskEnd, EndReason)> {
    Some(match exit {
        TaskExit::Exited { status, usage } => {
            let (wall, cpu, memory) = (usage.wall, usage.cpu, usage.memory);
            (
                TaskEnd::Exited {
                    status,
                    wall,
                    cpu,
                    memory,
                },
                EndReason::Unknown,
            )
        }
        TaskExit::Signalled { signal, usage } => {
            let (wall, cpu, memory) = (usage.wall, usage.cpu, usage.memory);
            (
                TaskEnd::Signalled {
                    signal,
                    wall,
                    cpu,
                    memory,
                },
                EndReason::Unknown,
            )
        }
        TaskExit::Error => return None,
        TaskExit::Evicted(reason) => (TaskEnd::Evicted, end_reason(reason)),
    })
}

fn task_update(measurement: TaskMeasurement) -> TaskUpdate {
    match measurement {
        TaskMeasurement::CoresUsed(x) => TaskUpdate::CoresUsed(x),
        TaskMeasurement::MemoryUsed(x) => TaskUpdate::MemoryUsed(x),
        TaskMeasurement::ServedShare(x) => TaskUpdate::ServedShare(x),
        TaskMeasurement::NodeMemoryShare(x) => TaskUpdate::NodeMemoryShare(x),
    }
}
