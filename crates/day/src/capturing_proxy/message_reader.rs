//! Reads the messages of one proxied connection and records them.

use super::CaptureLog;
use bytes::{Buf, BytesMut};
use peppercove_audit::Observation;
use peppercove_protocol::codec::decode_frame;
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::list::{FromList, ToList};
use peppercove_protocol::native;
use peppercove_protocol::node::{FromNode, Idempotency, ProcessIdentity, ToNode};
use peppercove_protocol::rpc;
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Bytes of a frame's length, which precedes it.
const LENGTH_BYTES: usize = 4;

/// Calls without a reply that are remembered at most.
const MAX_OPEN_CALLS: usize = 1 << 16;

/// What the settings say of a class, for jobs that state nothing else.
#[derive(Clone, Copy, Debug)]
pub struct ClassDefaults {
    /// How long a client waits, in microseconds.
    pub deadline: u64,
    /// Whether a task may run more than once.
    pub idempotency: Idempotency,
}

/// The classes of the settings.
#[derive(Clone, Debug, Default)]
pub struct ClassTable {
    /// The classes, by name.
    pub classes: BTreeMap<String, ClassDefaults>,
    /// Name of the class of a job that names none.
    pub default: String,
}

/// What is behind a proxy, and so how its bytes are read.
#[derive(Clone)]
pub enum Protocol {
    /// Controllers connect to the node of that name.
    Node(String),
    /// Controllers connect to the node list.
    NodeList,
    /// Clients connect to a controller.
    Clients {
        /// Name of the controller.
        controller: String,
        /// Classes of its settings.
        classes: Rc<ClassTable>,
    },
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    ToTarget,
    FromTarget,
}

/// Bytes that cannot be read as a message: the connection is not read any further.
struct Unreadable;

/// Reads one connection.
pub(super) struct MessageReader {
    protocol: Protocol,
    log: CaptureLog,
    /// The controller that connected, from its first message.
    controller: Option<ProcessIdentity>,
    /// Session of the client that connected; empty before it has one.
    session: String,
    /// Calls without a reply, by id.
    open_calls: BTreeMap<String, Value>,
    is_unreadable: bool,
}

impl MessageReader {
    pub(super) fn new(protocol: Protocol, log: CaptureLog) -> MessageReader {
        MessageReader {
            protocol,
            log,
            controller: None,
            session: String::new(),
            open_calls: BTreeMap::new(),
            is_unreadable: false,
        }
    }

    /// The connection was closed.
    pub(super) fn on_closed(&self) {
        match (&self.protocol, &self.controller) {
            (Protocol::Node(node), Some(controller)) => {
                self.log.record(Observation::LinkClosed {
                    controller: controller.clone(),
                    node: node.clone(),
                });
            }
            (Protocol::Clients { .. }, _) if !self.session.is_empty() => {
                let session = self.session.clone();
                self.log.record(Observation::ClientGone { session });
            }
            (Protocol::Node(_) | Protocol::NodeList | Protocol::Clients { .. }, _) => {}
        }
    }

    /// Reads all complete messages from `unread`, and leaves the rest in it.
    pub(super) fn read(&mut self, unread: &mut BytesMut, direction: Direction) {
        while !self.is_unreadable {
            let message = match self.protocol {
                Protocol::Clients { .. } => split_line(unread),
                Protocol::Node(_) | Protocol::NodeList => split_frame(unread),
            };
            let Some(message) = message else { return };
            self.is_unreadable = self.on_message(&message, direction).is_err();
        }
        unread.clear();
    }

    fn on_message(&mut self, bytes: &[u8], direction: Direction) -> Result<(), Unreadable> {
        match (self.protocol.clone(), direction) {
            (Protocol::Node(node), Direction::ToTarget) => self.on_message_to_node(bytes, node),
            (Protocol::Node(node), Direction::FromTarget) => {
                let message: FromNode = decode_frame(bytes).map_err(|_| Unreadable)?;
                let controller = self.controller.clone().ok_or(Unreadable)?;
                self.log.record(Observation::FromNode {
                    controller,
                    node,
                    message,
                });
                Ok(())
            }
            (Protocol::NodeList, Direction::ToTarget) => {
                let message = decode_frame(bytes).map_err(|_| Unreadable)?;
                if let ToList::Hello { controller, .. } = message {
                    self.controller = Some(ProcessIdentity {
                        name: controller,
                        incarnation: 0,
                    });
                }
                Ok(())
            }
            (Protocol::NodeList, Direction::FromTarget) => {
                let news: FromList = decode_frame(bytes).map_err(|_| Unreadable)?;
                let controller = self.controller.as_ref().ok_or(Unreadable)?;
                let controller = controller.name.clone();
                self.log.record(Observation::List { controller, news });
                Ok(())
            }
            (Protocol::Clients { .. }, Direction::ToTarget) => {
                self.on_call(bytes);
                Ok(())
            }
            (
                Protocol::Clients {
                    controller,
                    classes,
                },
                Direction::FromTarget,
            ) => {
                self.on_controller_line(&controller, &classes, bytes);
                Ok(())
            }
        }
    }

    #[expect(
        clippy::wildcard_enum_match_arm,
        reason = "every message but the handshake is recorded as it is"
    )]
    fn on_message_to_node(&mut self, bytes: &[u8], node: String) -> Result<(), Unreadable> {
        match decode_frame(bytes).map_err(|_| Unreadable)? {
            ToNode::Hello { controller, .. } => self.controller = Some(controller),
            message => {
                if let Some(controller) = self.controller.clone() {
                    self.log.record(Observation::ToNode {
                        controller,
                        node,
                        message,
                    });
                }
            }
        }
        Ok(())
    }

    /// A client calls its controller: calls whose replies are recorded are remembered.
    fn on_call(&mut self, line: &[u8]) {
        let Ok(call) = serde_json::from_slice::<Value>(line) else {
            return;
        };
        let is_recorded = matches!(call["method"].as_str(), Some("init" | "runJob"));
        if is_recorded && self.open_calls.len() < MAX_OPEN_CALLS {
            self.open_calls.insert(call["id"].to_string(), call);
        }
    }

    /// A controller sends a notification or a reply to a client.
    fn on_controller_line(&mut self, controller: &str, classes: &ClassTable, line: &[u8]) {
        let Ok(message) = serde_json::from_slice::<Value>(line) else {
            return;
        };
        if message["method"] == "settled" {
            return self.on_result(message["params"].clone());
        }
        let call = self.open_calls.remove(&message["id"].to_string());
        let Some(call) = call else { return };
        if call["method"] == "init" {
            if !message["result"].is_null() {
                let session = call["params"]["session"].as_str();
                self.session = session.unwrap_or_default().into();
            }
        } else if let Some(job) = message["result"]["jobId"].as_str() {
            self.on_accepted(controller, classes, &call["params"], job);
        } else {
            let errno = message["error"]["data"]["errno"].as_str();
            if let Some(errno) = errno.and_then(Errno::from_name) {
                self.log.record(Observation::TurnedAway { errno });
            }
        }
    }

    fn on_result(&self, params: Value) {
        if let Ok(result) = serde_json::from_value::<rpc::PlacementResult>(params) {
            self.log.record(Observation::Settled {
                session: self.session.clone(),
                key: result.submission_key,
                job: result.job_id,
                outcome: result.outcome,
            });
        }
    }

    /// The job of a `runJob` call with these parameters was accepted.
    fn on_accepted(&self, controller: &str, classes: &ClassTable, params: &Value, job: &str) {
        let attributes = &params["jobTemplate"]["attributes"];
        let native = attributes["drmaa_native_specification"].as_str();
        let native = native::parse(native.unwrap_or_default()).unwrap_or_default();
        let category = attributes["drmaa_job_category"].as_str();
        let class = native.class.as_deref();
        let class = class.or(category).unwrap_or(&classes.default);
        let defaults = classes.classes.get(class);
        let deadline = native.deadline.map(|deadline| deadline.as_micros() as u64);
        self.log.record(Observation::Taken {
            controller: controller.into(),
            session: self.session.clone(),
            key: params["submissionKey"].as_str().unwrap_or_default().into(),
            job: job.into(),
            deadline: deadline.unwrap_or(defaults.map_or(0, |class| class.deadline)),
            repeat: defaults.map_or(Idempotency::NonIdempotent, |class| class.idempotency),
        });
    }
}

/// Takes a line, if it is complete.
fn split_line(unread: &mut BytesMut) -> Option<BytesMut> {
    let end = unread.iter().position(|byte| *byte == b'\n')?;
    Some(unread.split_to(end + 1))
}

/// Takes a frame without its length, if it is complete.
fn split_frame(unread: &mut BytesMut) -> Option<BytesMut> {
    let length = u32::from_be_bytes(*unread.first_chunk::<LENGTH_BYTES>()?) as usize;
    if unread.len() < LENGTH_BYTES + length {
        return None;
    }
    let mut frame = unread.split_to(LENGTH_BYTES + length);
    frame.advance(LENGTH_BYTES);
    Some(frame)
}
