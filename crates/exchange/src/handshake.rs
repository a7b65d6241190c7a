//! The handshake with a node: what it says of itself, and then all that it holds of this controller.

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
    /// The list names another node at its address.
    #[error("the node answers to the name {given}, expected {expected}")]
    WrongName {
        /// The name that the node gave.
        given: String,
        /// The name that the list has.
        expected: String,
    },
    /// It speaks another version of the frames.
    #[error("the node speaks version {given}, expected {expected}")]
    WrongVersion {
        /// The version that the node gave.
        given: u16,
        /// The controller's version.
        expected: u16,
    },
    /// A node is not trusted to hold no more than this controller could ever have sent.
    #[error(
        "the node says that it holds {reported} tasks of this controller, more than limits/jobs ({limit})"
    )]
    TooManyTasks {
        /// The number that the node gave.
        reported: u32,
        /// The number of jobs that this controller keeps at the most.
        limit: usize,
    },
    /// Another message came first.
    #[error("the first message of the node is no welcome")]
    NoWelcome,
}

/// What a message of the handshake leads to.
#[derive(Debug, PartialEq)]
pub enum HandshakeProgress {
    /// More is to come; this is to be taken in meanwhile.
    Pending(Option<DecodedMessage>),
    /// The node has reported all that it holds; what it reported last is to be taken in before the input.
    Complete(Option<DecodedMessage>, Input),
}

/// A handshake on one connection.
#[derive(Debug)]
pub struct Handshake {
    node: NodeId,
    name: String,
    max_tasks: usize,
    /// What the node said of itself, once it has.
    welcome: Option<Welcome>,
    /// Messages that the node has still to send.
    remaining: u32,
    reported_tasks: Vec<ReportedTask>,
}

/// What a node says of itself.
#[derive(Clone, Copy, Debug)]
struct Welcome {
    incarnation: u64,
    /// It has forgotten nothing that it held of this controller.
    is_complete: bool,
}

impl Handshake {
    /// A handshake with the node that the list calls `name`; it may hold `max_tasks` tasks of this controller.
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

    /// The message that opens a connection of the controller's `incarnation`.
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

    /// Takes one message of the node in.
    ///
    /// # Errors
    /// [`HandshakeError`]: the connection is of no use.
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
            // An end that was not acknowledged counts among what the node has to send.
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
    // An error proves nothing of how the task ended.
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
