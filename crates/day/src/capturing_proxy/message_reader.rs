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

/// Size of the length prefix of a frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Limit on the calls without a reply that are kept for one connection.
const MAX_OPEN_CALLS: usize = 1 << 16;

/// Properties of a class in the settings, for jobs that do not override them.
#[derive(Clone, Copy, Debug)]
pub struct ClassDefaults {
    /// Deadline of a placement request, in microseconds.
    pub deadline: u64,
    /// Whether a task of the class may run more than once.
    pub idempotency: Idempotency,
}

/// The classes in the settings of a controller.
#[derive(Clone, Debug, Default)]
pub struct ClassTable {
    /// Classes by name.
    pub classes: BTreeMap<String, ClassDefaults>,
    /// Name of the class of jobs that do not name one.
    pub default: String,
}

/// Which kind of process listens behind a proxy, and with it the protocol of the connections.
#[derive(Clone)]
pub enum Protocol {
    /// Controllers connect to the node with this name.
    Node(String),
    /// Controllers connect to the node list.
    NodeList,
    /// Clients connect to a controller.
    Clients {
        /// Name of the controller.
        controller: String,
        /// Classes in its settings.
        classes: Rc<ClassTable>,
    },
}

/// Direction in which bytes flow through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    ToTarget,
    FromTarget,
}

/// The bytes are not a valid message. The rest of the connection is forwarded and no longer decoded.
struct DecodeFailed;

/// Decoder and state of one proxied connection.
pub(super) struct MessageReader {
    protocol: Protocol,
    log: CaptureLog,
    /// Identity of the connected controller, from its first message.
    controller: Option<ProcessIdentity>,
    /// Session of the connected client; empty until `init` succeeds.
    session: String,
    /// Calls without a reply, by JSON-RPC id.
    open_calls: BTreeMap<String, Value>,
    has_failed: bool,
}

impl MessageReader {
    pub(super) fn new(protocol: Protocol, log: CaptureLog) -> MessageReader {
        MessageReader {
            protocol,
            log,
            controller: None,
            session: String::new(),
            open_calls: BTreeMap::new(),
            has_failed: false,
        }
    }

    /// Records that the connection was closed.
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

    /// Consumes all complete messages in `unread`, and leaves an incomplete one in it.
    pub(super) fn read(&mut self, unread: &mut BytesMut, direction: Direction) {
        while !self.has_failed {
            let message = match self.protocol {
                Protocol::Clients { .. } => split_line(unread),
                Protocol::Node(_) | Protocol::NodeList => split_frame(unread),
            };
            let Some(message) = message else { return };
            self.has_failed = self.on_message(&message, direction).is_err();
        }
        unread.clear();
    }

    fn on_message(&mut self, bytes: &[u8], direction: Direction) -> Result<(), DecodeFailed> {
        match (self.protocol.clone(), direction) {
            (Protocol::Node(node), Direction::ToTarget) => self.on_message_to_node(bytes, node),
            (Protocol::Node(node), Direction::FromTarget) => {
                let message: FromNode = decode_frame(bytes).map_err(|_| DecodeFailed)?;
                let controller = self.controller.clone().ok_or(DecodeFailed)?;
                self.log.record(Observation::FromNode {
                    controller,
                    node,
                    message,
                });
                Ok(())
            }
            (Protocol::NodeList, Direction::ToTarget) => {
                let message = decode_frame(bytes).map_err(|_| DecodeFailed)?;
                if let ToList::Hello { controller, .. } = message {
                    self.controller = Some(ProcessIdentity {
                        name: controller,
                        incarnation: 0,
                    });
                }
                Ok(())
            }
            (Protocol::NodeList, Direction::FromTarget) => {
                let news: FromList = decode_frame(bytes).map_err(|_| DecodeFailed)?;
                let controller = self.controller.as_ref().ok_or(DecodeFailed)?;
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
    fn on_message_to_node(&mut self, bytes: &[u8], node: String) -> Result<(), DecodeFailed> {
        match decode_frame(bytes).map_err(|_| DecodeFailed)? {
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

    /// Handles a call from a client. Calls whose reply will be recorded are kept until it arrives.
    fn on_call(&mut self, line: &[u8]) {
        let Ok(call) = serde_json::from_slice::<Value>(line) else {
            return;
        };
        let is_recorded = matches!(call["method"].as_str(), Some("init" | "runJob"));
        if is_recorded && self.open_calls.len() < MAX_OPEN_CALLS {
            self.open_calls.insert(call["id"].to_string(), call);
        }
    }

    /// Handles a notification or a reply from the controller to a client.
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

    /// Records that the job of a `runJob` call with these parameters was accepted.
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

/// Removes the first line from `unread` and returns it with its newline, if it is complete.
fn split_line(unread: &mut BytesMut) -> Option<BytesMut> {
    let end = unread.iter().position(|byte| *byte == b'\n')?;
    Some(unread.split_to(end + 1))
}

/// Removes the first frame from `unread` and returns it without its length prefix, if it is complete.
fn split_frame(unread: &mut BytesMut) -> Option<BytesMut> {
    let length = u32::from_be_bytes(*unread.first_chunk::<LENGTH_PREFIX_BYTES>()?) as usize;
    if unread.len() < LENGTH_PREFIX_BYTES + length {
        return None;
    }
    let mut frame = unread.split_to(LENGTH_PREFIX_BYTES + length);
    frame.advance(LENGTH_PREFIX_BYTES);
    Some(frame)
}
