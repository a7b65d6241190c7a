//! The simulated nodes of a hollow instance.

use super::{Delivery, NETWORK_DELAY, RunningTask, ServeHarness};
use crate::error::MeasureError;
use crate::roles::serve::format::DESCRIPTION;
use crate::workload::answer::{DelayedAnswer, NodeAnswer};
use bytes::{Bytes, BytesMut};
use peppercove::NodeId;
use peppercove_platform::wire::{Message, MessageKind, cause, code, decode};
use peppercove_platform::{Input, NodeConnectionId};

impl ServeHarness {
    pub(super) fn send_to_node(&mut self, connection: NodeConnectionId, frame: &Bytes) {
        let message = decode(&mut BytesMut::from(&frame[..])).ok().flatten();
        let (Some(message), Some(&node)) = (message, self.nodes_by_connection.get(&connection))
        else {
            return;
        };
        let is_test = message.kind == MessageKind::Test;
        self.traffic
            .entry(if is_test { "test_out" } else { "host_out" })
            .add(frame.len());
        let (delay, answer) = match message.kind {
            MessageKind::Test => {
                let tested = Message::new(MessageKind::Tested, message.id);
                (NETWORK_DELAY, tested.with(code::CAUSE, &[1]))
            }
            MessageKind::SetUp => {
                let service = self
                    .requested_services
                    .get(&message.id)
                    .copied()
                    .unwrap_or_default();
                let cluster = &mut self.simulation.cluster;
                let DelayedAnswer { delay, answer } = cluster.answer(NodeId(node), service);
                (delay, self.answer_message(node, message.id, answer))
            }
            MessageKind::Progress
            | MessageKind::Answer
            | MessageKind::Release
            | MessageKind::Heard
            | MessageKind::Note
            | MessageKind::Move
            | MessageKind::Tested => return,
        };
        let delivery = Delivery::NodeMessage(connection, answer);
        self.simulation
            .deliver_after(NETWORK_DELAY + delay, delivery);
    }

    fn answer_message(&mut self, node: u64, id: u64, answer: NodeAnswer) -> Message {
        match answer {
            NodeAnswer::Running => {
                Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, &DESCRIPTION)
            }
            NodeAnswer::Rejected => {
                let release = Message::release(id, cause::FULL).with(code::NOTE, b"no_cores");
                self.with_load_report(node, release)
            }
            NodeAnswer::Failed => self.with_load_report(node, Message::release(id, cause::ERROR)),
        }
    }

    fn with_load_report(&mut self, node: u64, message: Message) -> Message {
        let free = self.simulation.cluster.free_capacity(node);
        let report = format!(
            "x0:{:.2};x1:{:.2};cpu:0.5;waiting:0",
            free.cores, free.memory
        );
        message.with(code::REPORT, report.as_bytes())
    }

    pub(super) fn receive_from_node(
        &mut self,
        connection: NodeConnectionId,
        message: &Message,
    ) -> Result<(), MeasureError> {
        let kind = match (message.kind, message.cause()) {
            (MessageKind::Tested, _) => "tested",
            (MessageKind::Answer, _) => "answer",
            (_, Some(cause::ORDINARY)) => "end",
            _ => "refused",
        };
        let direction = if kind == "tested" {
            "test_in"
        } else {
            "host_in"
        };
        self.traffic.entry(direction).add(message.encode().len());
        if kind == "answer" {
            self.requested_services.remove(&message.id);
            let node = self
                .nodes_by_connection
                .get(&connection)
                .copied()
                .unwrap_or(0);
            self.running.push_back(RunningTask {
                id: message.id,
                node,
            });
        }
        self.receive_message(kind, message, |message| {
            Input::NodeMessage(connection, message)
        })
    }

    pub(super) fn end_oldest_tasks(&mut self) -> Result<(), MeasureError> {
        while self.running.len() as u64 > self.simulation.sizes().running_tasks {
            let Some(RunningTask { id, node }) = self.running.pop_front() else {
                break;
            };
            let Some(&connection) = self.connections_by_node.get(&node) else {
                continue;
            };
            let end = self.with_load_report(node, Message::release(id, cause::ORDINARY));
            self.receive_from_node(connection, &end)?;
        }
        Ok(())
    }
}
