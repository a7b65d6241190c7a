//! Encodes replies.

use crate::api::{Action, Micros, NodeId, RequestId};

/// Action codes.
mod code {
    pub const WATCH_NODES: u8 = 1;
    pub const PROBE: u8 = 2;
    /// Selects the instance that issued the following actions.
    pub const INSTANCE: u8 = 3;
    pub const MIGRATE: u8 = 5;
    pub const CANCEL_ATTEMPT: u8 = 6;
    pub const BROADCAST: u8 = 7;
    pub const FAIL: u8 = 8;
    pub const LOG: u8 = 9;
    pub const SET_TIMER: u8 = 10;
    pub const DISPATCH: u8 = 11;
    pub const REJECT: u8 = 14;
}

/// Size of the length field at the start of a frame.
const LENGTH_BYTES: usize = 4;
/// Mode of a `WATCH_NODES` action: subscribe to the node list.
const SUBSCRIBE: u8 = 1;
/// Recipient of a `BROADCAST` action: all other schedulers.
const ALL_SCHEDULERS: u32 = u32::MAX;

/// The reply frame for one batch.
#[derive(Debug)]
pub struct Reply {
    frame: Vec<u8>,
    instance: Option<u16>,
}

impl Default for Reply {
    fn default() -> Reply {
        Reply {
            frame: vec![0; LENGTH_BYTES],
            instance: None,
        }
    }
}

impl Reply {
    /// Appends the actions of one instance.
    pub fn push(&mut self, instance: u16, actions: &[Action]) {
        if !actions.is_empty() && self.instance != Some(instance) {
            self.instance = Some(instance);
            self.frame.push(code::INSTANCE);
            self.frame.extend(instance.to_le_bytes());
        }
        for action in actions {
            self.push_action(action);
        }
    }

    /// Fills in the length and returns the frame.
    pub fn finish(mut self) -> Vec<u8> {
        let length = (self.frame.len() - LENGTH_BYTES) as u32;
        self.frame[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        self.frame
    }

    fn push_action(&mut self, action: &Action) {
        match action {
            Action::WatchNodes => self.frame.extend([code::WATCH_NODES, SUBSCRIBE]),
            Action::Dispatch {
                request,
                node,
                timeout,
                // The simulator sends at once.
                send_by: _,
            } => {
                self.push_request(code::DISPATCH, *request);
                self.push_duration(timeout.unwrap_or(0));
                self.push_node(*node);
            }
            Action::CancelAttempt { request, attempt } => {
                self.push_request(code::CANCEL_ATTEMPT, *request);
                self.frame.extend(attempt.to_le_bytes());
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.push_request(code::REJECT, *request);
                self.push_duration(retry_after.unwrap_or(0));
            }
            Action::Fail(request) => self.push_request(code::FAIL, *request),
            Action::Migrate(request) => self.push_request(code::MIGRATE, *request),
            Action::SetTimer { label, at } => {
                self.frame.push(code::SET_TIMER);
                self.frame.extend(label.to_le_bytes());
                self.frame.extend(at.to_le_bytes());
            }
            Action::Probe(node) => {
                self.frame.push(code::PROBE);
                self.push_node(*node);
            }
            Action::Broadcast(message) => {
                self.frame.push(code::BROADCAST);
                self.frame.extend(ALL_SCHEDULERS.to_le_bytes());
                self.push_bytes(message);
            }
            Action::Log(line) => {
                self.frame.push(code::LOG);
                self.push_bytes(line.as_bytes());
            }
        }
    }

    fn push_request(&mut self, code: u8, request: RequestId) {
        self.frame.push(code);
        self.frame.extend(request.0.to_le_bytes());
    }

    /// Appends a duration in 32 bits; longer durations saturate.
    fn push_duration(&mut self, duration: Micros) {
        let duration = u32::try_from(duration).unwrap_or(u32::MAX);
        self.frame.extend(duration.to_le_bytes());
    }

    /// Appends a node as its IPv4 address (big-endian) and port.
    fn push_node(&mut self, node: NodeId) {
        let (address, port) = ((node.0 >> u16::BITS) as u32, node.0 as u16);
        self.frame.extend(address.to_be_bytes());
        self.frame.extend(port.to_le_bytes());
    }

    /// Appends bytes preceded by their length in 16 bits; longer input is truncated.
    fn push_bytes(&mut self, bytes: &[u8]) {
        let length = u16::try_from(bytes.len()).unwrap_or(u16::MAX);
        self.frame.extend(length.to_le_bytes());
        self.frame.extend(&bytes[..usize::from(length)]);
    }
}
