//! The simulated nodes of a hollow controller.

use super::{ControllerHarness, Delivery, INCARNATION, NETWORK_DELAY, RunningTask};
use crate::error::MeasureError;
use crate::roles::controller::format::{
    decode, encode, node_address, node_name, node_number, submission,
};
use crate::workload::SECOND;
use crate::workload::answer::{DelayedAnswer, NodeAnswer};
use bytes::BytesMut;
use peppercove::{Micros, NodeId, ServiceId};
use peppercove_core::Output;
use peppercove_core::nodes::node_id_of;
use peppercove_exchange::{
    DecodedMessage, Handshake, HandshakeProgress, decode_message, encode_output, offered_task_of,
};
use peppercove_protocol::VERSION;
use peppercove_protocol::codec::MAX_NODE_FRAME_BYTES;
use peppercove_protocol::node::{
    AttemptId, FromNode, NodeLoad, NodeReason, ProcessIdentity, TaskExit, ToNode, Usage,
};

/// Reported wall time of a task in microseconds.
const TASK_WALL_TIME: Micros = 60 * SECOND;

impl ControllerHarness {
    /// Sends an output to its node. Outputs that are not for a node are ignored.
    pub(super) fn send_to_node(&mut self, output: &Output) -> Result<(), MeasureError> {
        let (core, config) = (&self.core, &self.config);
        let encode_frame = || {
            let job = |job| core.jobs().get(job);
            let Some((node, message)) = encode_output(config, 0, output, job) else {
                return Ok(None);
            };
            Ok(Some((
                node,
                encode(&message, MAX_NODE_FRAME_BYTES)?,
                message,
            )))
        };
        let (sent, nanos) = self.simulation.timings.time(encode_frame);
        let sent: Result<Option<(NodeId, BytesMut, ToNode)>, MeasureError> = sent;
        let Some((node, bytes, message)) = sent? else {
            return Ok(());
        };
        self.simulation.timings.record("send", nanos);
        self.traffic.entry("node_out").add(bytes.len());
        self.receive_at_node(node_number(node), &message);
        Ok(())
    }

    fn receive_at_node(&mut self, node: u64, message: &ToNode) {
        match message {
            ToNode::Offer { attempt, task, .. } => {
                self.answer_offer(node, *attempt, ServiceId(task.service));
            }
            ToNode::Adopt { new_attempt, .. } => {
                self.running.push_back(RunningTask {
                    attempt: *new_attempt,
                    node,
                });
            }
            ToNode::Hello { .. }
            | ToNode::CancelAttempt { .. }
            | ToNode::Discard { .. }
            | ToNode::Control { .. }
            | ToNode::AcknowledgeEnd { .. }
            | ToNode::Probe { .. } => {}
        }
    }

    fn answer_offer(&mut self, node: u64, attempt: AttemptId, service: ServiceId) {
        let DelayedAnswer { delay, answer } = self.simulation.cluster.answer(NodeId(node), service);
        let load = Some(self.load_report(node));
        let message = match answer {
            NodeAnswer::Running => {
                let accepted = FromNode::Accepted {
                    attempt,
                    load: None,
                };
                self.deliver_message(NETWORK_DELAY * 2, node, accepted);
                FromNode::Running {
                    attempt,
                    load: None,
                }
            }
            NodeAnswer::Rejected => FromNode::Rejected {
                attempt,
                reason: NodeReason::InsufficientCores,
                load,
            },
            NodeAnswer::Failed => FromNode::Ended {
                attempt,
                end: TaskExit::Error,
                load,
            },
        };
        self.deliver_message(NETWORK_DELAY * 2 + delay, node, message);
    }

    fn deliver_message(&mut self, delay: Micros, node: u64, message: FromNode) {
        self.simulation
            .deliver_after(delay, Delivery::NodeMessage(node, Box::new(message)));
    }

    fn load_report(&mut self, node: u64) -> NodeLoad {
        let free = self.simulation.cluster.free_capacity(node);
        NodeLoad {
            free_cores: Some(free.cores),
            free_memory: Some(free.memory),
            cpu_utilization: Some(0.5),
            queue_depth: Some(0.0),
        }
    }

    pub(super) fn receive_from_node(
        &mut self,
        node: u64,
        message: &FromNode,
    ) -> Result<(), MeasureError> {
        let kind = match message {
            FromNode::Accepted { .. } => "accepted",
            FromNode::Running { attempt, .. } => {
                self.running.push_back(RunningTask {
                    attempt: *attempt,
                    node,
                });
                "running"
            }
            FromNode::Ended {
                end: TaskExit::Exited { .. },
                ..
            } => "end",
            FromNode::Welcome { .. }
            | FromNode::KnownTask { .. }
            | FromNode::Rejected { .. }
            | FromNode::Ended { .. }
            | FromNode::Measurement { .. }
            | FromNode::ProbeReply { .. } => "refused",
        };
        let mut bytes = encode(message, MAX_NODE_FRAME_BYTES)?;
        self.traffic.entry("node_in").add(bytes.len());
        let id = node_id_of(node_address(node));
        let mut acknowledgement = None;
        self.input(kind, || {
            let message: FromNode = decode(&mut bytes, MAX_NODE_FRAME_BYTES)?;
            let DecodedMessage { input, reply } = decode_message(id, message);
            acknowledgement = reply;
            input.ok_or(MeasureError::Incomplete(
                "a node message that is an input of the core",
            ))
        })?;
        if let Some(reply) = acknowledgement {
            let bytes = encode(&reply, MAX_NODE_FRAME_BYTES)?;
            self.traffic.entry("node_out").add(bytes.len());
        }
        Ok(())
    }

    /// Connects a node: it answers the handshake and reports the tasks of the previous incarnation that it holds.
    pub(super) fn connect_node(&mut self, node: u64) -> Result<(), MeasureError> {
        let tasks = self.unreported.remove(&node).unwrap_or_default();
        let kind = if tasks.is_empty() {
            "link_up"
        } else {
            "adopted"
        };
        self.connected_nodes += 1;
        let mut bytes = self.handshake_frames(node, tasks)?;
        let (id, name) = (node_id_of(node_address(node)), node_name(node));
        let max_tasks = self.config.limits.jobs;
        self.input(kind, || {
            let mut handshake = Handshake::new(id, &name, max_tasks);
            loop {
                let message: FromNode = decode(&mut bytes, MAX_NODE_FRAME_BYTES)?;
                if let HandshakeProgress::Complete(_, input) = handshake.on_message(message)? {
                    return Ok(input);
                }
            }
        })
    }

    /// Returns the frames that a node sends in the handshake: a welcome message, and the tasks that it holds.
    fn handshake_frames(&self, node: u64, tasks: Vec<u64>) -> Result<BytesMut, MeasureError> {
        let welcome = FromNode::Welcome {
            version: VERSION,
            node: ProcessIdentity {
                name: node_name(node),
                incarnation: 1,
            },
            known_tasks: tasks.len() as u32,
            is_complete: true,
        };
        let mut bytes = encode(&welcome, MAX_NODE_FRAME_BYTES)?;
        let cluster = &self.simulation.cluster;
        for task in tasks {
            let submission = submission(cluster, task, &cluster.running_task(task));
            let known = FromNode::KnownTask {
                incarnation: INCARNATION - 1,
                attempt: AttemptId {
                    request: task,
                    number: 0,
                },
                task: offered_task_of(&self.config, &submission),
                ended: None,
            };
            bytes.extend_from_slice(&encode(&known, MAX_NODE_FRAME_BYTES)?);
        }
        Ok(bytes)
    }

    pub(super) fn end_oldest_tasks(&mut self) -> Result<(), MeasureError> {
        while self.running.len() as u64 > self.simulation.sizes().running_tasks {
            let Some(RunningTask { attempt, node }) = self.running.pop_front() else {
                break;
            };
            let memory = self.simulation.cluster.requested.memory;
            let usage = Usage {
                wall: TASK_WALL_TIME,
                cpu: SECOND,
                memory,
            };
            let load = Some(self.load_report(node));
            let end = TaskExit::Exited { status: 0, usage };
            self.receive_from_node(node, &FromNode::Ended { attempt, end, load })?;
        }
        Ok(())
    }
}
