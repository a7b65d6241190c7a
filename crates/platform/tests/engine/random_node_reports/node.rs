//! The node: it runs tasks and reports as the platform says.

use super::world::{AttemptState, NodeAttempt, Transit, World};
use crate::harness::*;

impl World {
    pub(super) fn send_from_node(&mut self, number: u64, message: Message) {
        if let Some(connection) = self
            .connections
            .get_mut(&number)
            .filter(|connection| connection.node_has)
        {
            connection
                .to_engine
                .push_back((self.now, Transit::Message(message)));
        }
    }

    /// Over the connection of the request, else any open one, and again over the next that is opened.
    pub(super) fn report_end(&mut self, n: usize, cause: u8) {
        let (id, number) = (self.attempts[n].id, self.attempts[n].connection);
        self.attempts[n].state = AttemptState::Ended(self.now);
        let end = Message::release(id, cause);
        let open: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.node_has)
            .map(|(number, _)| *number)
            .collect();
        let used = match open.contains(&number) {
            true => Some(number),
            false => self.rng.choice(&open).copied(),
        };
        if let Some(used) = used {
            self.send_from_node(used, end.clone());
        }
        self.repeated_ends.push(end);
    }

    pub(super) fn on_node_read(&mut self, number: u64, message: &Message) {
        let id = message.id;
        match message.kind {
            MessageKind::SetUp if self.rng.u8(0..8) == 0 => {
                self.send_from_node(number, Message::release(id, cause::FULL))
            }
            MessageKind::SetUp => self.attempts.push(NodeAttempt {
                id,
                connection: number,
                state: AttemptState::Starting,
            }),
            MessageKind::Test => self.send_from_node(
                number,
                Message::new(MessageKind::Tested, id).with(code::CAUSE, &[1]),
            ),
            MessageKind::Release => {
                let is_starting = |attempt: &&mut NodeAttempt| {
                    attempt.id == id
                        && attempt.connection == number
                        && attempt.state == AttemptState::Starting
                };
                if let Some(attempt) = self.attempts.iter_mut().find(is_starting) {
                    attempt.state = AttemptState::Ended(self.now);
                    return;
                }
                for n in 0..self.attempts.len() {
                    if self.attempts[n].id == id && self.attempts[n].state == AttemptState::Running
                    {
                        self.report_end(n, cause::CALLED_OFF);
                    }
                }
            }
            _ => {}
        }
    }

    /// Attempts that start are abandoned with their connection; running tasks run on.
    pub(super) fn on_node_disconnected(&mut self, number: u64) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.node_has = false;
            connection.to_node.clear();
        }
        for attempt in self.attempts.iter_mut().filter(|attempt| {
            attempt.connection == number && attempt.state == AttemptState::Starting
        }) {
            attempt.state = AttemptState::Ended(self.now);
        }
    }
}

/// Describes an attempt, so that the answer that is forwarded shows which one it came from.
pub(super) fn description(attempt: &NodeAttempt) -> Vec<u8> {
    format!("{} over {}", attempt.id, attempt.connection).into_bytes()
}
