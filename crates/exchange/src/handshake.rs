//! The handshake with a node: the node identifies itself and then reports all tasks that it holds for this controller.

use crate::node_messages::{DecodedMessage, decode_message, request_id_of, task_end};
use crate::offered_task::submission_of;
use peppercove::{EndReason, NodeId};
use peppercove_config::Config;
use peppercove_core::{Input, ReportedTask, TaskEnd};
use peppercove_protocol::node::{
    AttemptId, FromNode, OfferedTask, ProcessIdentity, TaskExit, ToNode,
};

/// Why the handshake with a node failed.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum HandshakeError {
    /// The node list gives another name for the node's address.
    #[error("node name mismatch: expected {expected}, got {given}")]
    WrongName {
        /// The name that the node sent.
        given: String,
        /// The name in the node list.
        expected: String,
    },
    /// The node uses another protocol version.
    #[error("protocol version mismatch: expected {expected}, got {given}")]
    WrongVersion {
        /// The version that the node sent.
        given: u16,
        /// The controller's version.
        expected: u16,
    },
    /// The node announced more tasks than the controller can have sent; it is not trusted.
    #[error(
        "the node reports {reported} tasks of this controller, but limits/jobs allows only {limit}"
    )]
    TooManyTasks {
        /// The announced number of tasks.
        reported: u32,
        /// The maximum number of jobs of this controller.
        limit: usize,
    },
    /// The first message was not a welcome.
    #[error("the first message of the node was not a welcome")]
    NoWelcome,
}

/// The result of a handshake message.
#[derive(Debug, PartialEq)]
pub enum HandshakeProgress {
    /// More messages are expected. A decoded message, if any, is to be handled now.
    Pending(Option<DecodedMessage>),
    /// The node has reported all its tasks. The last message, if any, is to be handled before the input.
    Complete(Option<DecodedMessage>, Input),
}

/// The state of a handshake on one connection.
#[derive(Debug)]
pub struct Handshake {
    node: NodeId,
    name: String,
    max_tasks: usize,
    /// The node's welcome, once received.
    welcome: Option<Welcome>,
    /// Number of messages that the node still has to send.
    remaining: u32,
    reported_tasks: Vec<ReportedTask>,
}

/// What the welcome reports about the node.
#[derive(Clone, Copy, Debug)]
struct Welcome {
    incarnation: u64,
    /// Whether the node has lost no records of this controller's tasks.
    is_complete: bool,
}

impl Handshake {
    /// Creates a handshake with the node called `name` in the node list, which may report at most `max_tasks` tasks.
    pub fn new(node: NodeId, name: &str, max_tasks: usize) -> Handshake {
        Handshake {
            node,
            name: name.into(),
            max_tasks,
            welcome: None,
            remaining: 0,
            reported_tasks: Vec::new(),
        }
    }

    /// Creates the message with which the controller's `incarnation` opens a connection.
    pub fn hello(config: &Config, incarnation: u64) -> ToNode {
        let controller = ProcessIdentity {
            name: config.name.clone(),
            incarnation,
        };
        ToNode::Hello {
            version: peppercove_protocol::VERSION,
            controller,
        }
    }

    /// Handles one message of the node.
    ///
    /// # Errors
    /// [`HandshakeError`] if the connection cannot be used.
    pub fn on_message(&mut self, message: FromNode) -> Result<HandshakeProgress, HandshakeError> {
        let decoded = if self.welcome.is_none() {
            self.on_welcome(message)?;
            None
        } else {
            self.remaining = self.remaining.saturating_sub(1);
            self.on_report(message)
        };
        Ok(match self.welcome {
            Some(welcome) if self.remaining == 0 => {
                HandshakeProgress::Complete(decoded, self.node_connected(welcome))
            }
            Some(_) | None => HandshakeProgress::Pending(decoded),
        })
    }

    fn on_welcome(&mut self, message: FromNode) -> Result<(), HandshakeError> {
        let FromNode::Welcome {
            version,
            node,
            known_tasks,
            is_complete,
        } = message
        else {
            return Err(HandshakeError::NoWelcome);
        };
        let expected = peppercove_protocol::VERSION;
        if version != expected {
            return Err(HandshakeError::WrongVersion {
                given: version,
                expected,
            });
        }
        if node.name != self.name {
            let expected = self.name.clone();
            return Err(HandshakeError::WrongName {
                given: node.name,
                expected,
            });
        }
        let limit = self.max_tasks;
        if known_tasks as usize > limit {
            return Err(HandshakeError::TooManyTasks {
                reported: known_tasks,
                limit,
            });
        }
        self.welcome = Some(Welcome {
            incarnation: node.incarnation,
            is_complete,
        });
        self.remaining = known_tasks;
        Ok(())
    }

    fn on_report(&mut self, message: FromNode) -> Option<DecodedMessage> {
        match message {
            FromNode::KnownTask {
                incarnation,
                attempt,
                task,
                ended,
            } => {
                self.reported_tasks
                    .push(reported_task(incarnation, attempt, task, ended));
                None
            }
            // An unacknowledged end is one of the announced messages.
            message @ (FromNode::Ended { .. }
            | FromNode::Accepted { .. }
            | FromNode::Running { .. }
            | FromNode::Rejected { .. }
            | FromNode::Measurement { .. }
            | FromNode::ProbeReply { .. }
            | FromNode::Welcome { .. }) => Some(decode_message(self.node, message)),
        }
    }

    fn node_connected(&mut self, welcome: Welcome) -> Input {
        Input::NodeConnected {
            node: self.node,
            incarnation: welcome.incarnation,
            is_complete: welcome.is_complete,
            reported_tasks: std::mem::take(&mut self.reported_tasks),
        }
    }
}

fn reported_task(
    incarnation: u64,
    attempt: AttemptId,
    task: OfferedTask,
    exit: Option<TaskExit>,
) -> ReportedTask {
    // An error does not show how the task ended.
    let end = exit.map(|exit| task_end(exit).unwrap_or((TaskEnd::Lost, EndReason::Unknown)));
    ReportedTask {
        incarnation,
        request: request_id_of(attempt),
        attempt: attempt.number,
        submission: submission_of(task),
        end: end.map(|(end, _)| end),
        reason: end.map_or(EndReason::Unknown, |(_, reason)| reason),
    }
}
