//! The greeting of a node: what it says of itself, and then all that it holds of this controller.

use crate::nodes::{DecodedMessage, decode_message, past, request_id_of, submission_of};
use peppercove::{EndReason, NodeId};
use peppercove_config::Config;
use peppercove_core::{Input, Standing};
use peppercove_protocol::node::{FromNode, ProcessIdentity, ToNode};

/// Why a node's greeting was not accepted.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum HandshakeError {
    /// The list names another node at its address.
    #[error("the node answers to the name {0}")]
    WrongName(String),
    /// It speaks another version of the frames.
    #[error("the node speaks version {0}")]
    WrongVersion(u16),
    /// A node is not trusted to hold no more than this controller could ever have sent.
    #[error("the node says that it holds {0} tasks of this controller, more than limits/jobs")]
    TooMuch(u32),
    /// Something else came first.
    #[error("a greeting was expected")]
    NotGreeted,
}

/// What a message of the greeting leads to.
#[derive(Debug, PartialEq)]
pub enum HandshakeProgress {
    /// More is to come; this is to be taken in meanwhile.
    Pending(Option<DecodedMessage>),
    /// The node has told all that it holds; what it told last is to be taken in before.
    Complete(Option<DecodedMessage>, Input),
}

/// A greeting under way on one link.
#[derive(Debug)]
pub struct Handshake {
    node: NodeId,
    name: String,
    most: usize,
    life: Option<u64>,
    whole: bool,
    left: u32,
    standing: Vec<Standing>,
}

impl Handshake {
    /// A greeting with the node that the list calls `name`; it may hold `most` tasks of this controller.
    pub fn new(node: NodeId, name: &str, most: usize) -> Handshake {
        Handshake {
            node,
            name: name.into(),
            most,
            life: None,
            whole: false,
            left: 0,
            standing: Vec::new(),
        }
    }

    /// The message that opens a link.
    pub fn hello(config: &Config, life: u64) -> ToNode {
        let controller = ProcessIdentity {
            name: config.name.clone(),
            incarnation: life,
        };
        ToNode::Hello {
            version: peppercove_protocol::VERSION,
            controller,
        }
    }

    /// Takes one message of the node in.
    ///
    /// # Errors
    /// [`HandshakeError`]: the link is of no use.
    pub fn on_message(&mut self, message: FromNode) -> Result<HandshakeProgress, HandshakeError> {
        let mut meanwhile = None;
        match (self.life, message) {
            (
                None,
                FromNode::Welcome {
                    version,
                    node,
                    known_tasks: standing,
                    is_complete: whole,
                },
            ) => {
                if version != peppercove_protocol::VERSION {
                    return Err(HandshakeError::WrongVersion(version));
                }
                if node.name != self.name {
                    return Err(HandshakeError::WrongName(node.name));
                }
                if standing as usize > self.most {
                    return Err(HandshakeError::TooMuch(standing));
                }
                (self.life, self.left, self.whole) = (Some(node.incarnation), standing, whole);
            }
            (None, _) => return Err(HandshakeError::NotGreeted),
            (
                Some(_),
                FromNode::KnownTask {
                    incarnation: life,
                    attempt,
                    task: work,
                    ended,
                },
            ) => {
                let (request, submission) = (request_id_of(attempt), submission_of(work));
                let (ended, why) = ended.map_or((None, EndReason::Unknown), past);
                let attempt = attempt.number;
                self.standing.push(Standing {
                    life,
                    request,
                    attempt,
                    submission,
                    ended,
                    why,
                });
                self.left = self.left.saturating_sub(1);
            }
            // An end that was not acknowledged counts among what follows.
            (Some(_), other) => {
                meanwhile = Some(decode_message(self.node, other));
                self.left = self.left.saturating_sub(1);
            }
        }
        match self.life {
            Some(life) if self.left == 0 => {
                let standing = std::mem::take(&mut self.standing);
                let up = Input::NodeConnected {
                    node: self.node,
                    life,
                    whole: self.whole,
                    standing,
                };
                Ok(HandshakeProgress::Complete(meanwhile, up))
            }
            _ => Ok(HandshakeProgress::Pending(meanwhile)),
        }
    }
}
