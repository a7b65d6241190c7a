//! Codec for the platform's messages. A message consists of a length, a type, a task id and parameters, in big-endian
//! byte order. Both directions use the same format.
//!
//! The names in this module are those of the platform's protocol; other modules use the usual terms of scheduling.
//!
//! ```text
//! message   = length:2 type:1 task:8 parameters      length excludes the length field
//! parameter = code:1 length:2 value
//! ```

use bytes::{Buf, Bytes, BytesMut};
use std::fmt;

#[cfg(test)]
mod tests;

/// Maximum size of a message in bytes, including the length field.
pub const MAX_MESSAGE_BYTES: usize = 16 << 10;
/// Size of a length field in bytes.
const LENGTH_BYTES: usize = 2;
/// Size of the type and task id in bytes.
const HEADER_BYTES: usize = 9;
/// Size of a parameter's code and length in bytes.
const PARAMETER_HEADER_BYTES: usize = 3;

/// Type of a message, named as in the platform's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A request to place a task, or the handover of a running task.
    SetUp = 1,
    /// Ignored.
    Progress = 6,
    /// The task is running.
    Answer = 9,
    /// A rejection, failure, end or cancellation, depending on its cause.
    Release = 12,
    /// Acknowledges a release. Ignored.
    Heard = 16,
    /// An update on a running task.
    Note = 44,
    /// Asks the client to request a new placement for a task.
    Move = 51,
    /// A health check of the connection.
    Test = 52,
    /// The answer to a health check.
    Tested = 53,
}

impl TryFrom<u8> for MessageKind {
    type Error = DecodeError;

    fn try_from(byte: u8) -> Result<MessageKind, DecodeError> {
        match byte {
            1 => Ok(MessageKind::SetUp),
            6 => Ok(MessageKind::Progress),
            9 => Ok(MessageKind::Answer),
            12 => Ok(MessageKind::Release),
            16 => Ok(MessageKind::Heard),
            44 => Ok(MessageKind::Note),
            51 => Ok(MessageKind::Move),
            52 => Ok(MessageKind::Test),
            53 => Ok(MessageKind::Tested),
            unknown => Err(DecodeError::Type(unknown)),
        }
    }
}

/// Parameter codes, named as in the platform's protocol.
pub mod code {
    /// Name of the class.
    pub const CLASS: u8 = 3;
    /// Timeout of the sender in milliseconds, as text.
    pub const WAIT: u8 = 4;
    /// Marks a request as a client's retry.
    pub const RETRY: u8 = 6;
    /// Name of the task.
    pub const TASK: u8 = 7;
    /// Attributes of the request: `name:value` pairs separated by `;`.
    pub const FIGURES: u8 = 8;
    /// Name of a note, or reason for a release.
    pub const NOTE: u8 = 10;
    /// Load report of a node.
    pub const REPORT: u8 = 12;
    /// Value of a note.
    pub const FIGURE: u8 = 15;
    /// Idempotency key; the same for all attempts.
    pub const KEY: u8 = 16;
    /// Cause of a release, or status of a health check; one byte.
    pub const CAUSE: u8 = 17;
    /// Description of the task; opaque bytes.
    pub const DESCRIPTION: u8 = 18;
}

/// Causes of releases, named as in the platform's protocol.
pub mod cause {
    /// The task ended normally. From a client whose request has not been answered: the request is cancelled.
    pub const ORDINARY: u8 = 16;
    /// The task was cancelled because it is migrated or because its client ended it.
    pub const CALLED_OFF: u8 = 31;
    /// The node rejected the task for lack of capacity; it never ran.
    pub const FULL: u8 = 34;
    /// The attempt failed before its task started, or the task was ended while it ran.
    pub const CUT: u8 = 41;
    /// The request was rejected; a retry is safe.
    pub const TURNED_AWAY: u8 = 42;
    /// The node reports an error.
    pub const ERROR: u8 = 47;
    /// The attempt was never sent.
    pub const MOOT: u8 = 102;
}

/// Why bytes cannot be decoded as a message. The connection that they came from cannot be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The length field is out of range.
    #[error("message length {0} is out of range")]
    Length(usize),
    /// The message type is unknown.
    #[error("unknown message type {0}")]
    Type(u8),
    /// A parameter extends past the end of its message.
    #[error("parameter {code} at byte {at} extends past the end of the message")]
    Overrun {
        /// Code of the parameter.
        code: u8,
        /// Offset of the parameter, in bytes from the start of the parameters.
        at: usize,
    },
}

/// A message.
#[derive(Clone, PartialEq, Eq)]
pub struct Message {
    /// Type of the message.
    pub kind: MessageKind,
    /// Id of the task or health check; any value.
    pub id: u64,
    parameters: Bytes,
}

impl fmt::Debug for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {:016x}", self.kind, self.id)?;
        for (code, value) in self.parameters() {
            write!(f, " {code}={}", value.escape_ascii())?;
        }
        Ok(())
    }
}

impl Message {
    /// Creates a message without parameters.
    pub fn new(kind: MessageKind, id: u64) -> Message {
        Message {
            kind,
            id,
            parameters: Bytes::new(),
        }
    }

    /// Creates a release with a cause.
    pub fn release(id: u64, cause: u8) -> Message {
        Message::new(MessageKind::Release, id).with(code::CAUSE, &[cause])
    }

    /// Appends a parameter. A parameter that would exceed the maximum message size is omitted. This does not normally
    /// happen, because values are copied from messages with the same limit.
    #[must_use]
    pub fn with(mut self, code: u8, value: &[u8]) -> Message {
        let parameters_len = self.parameters.len() + PARAMETER_HEADER_BYTES + value.len();
        if LENGTH_BYTES + HEADER_BYTES + parameters_len <= MAX_MESSAGE_BYTES {
            let mut bytes = Vec::with_capacity(parameters_len);
            bytes.extend_from_slice(&self.parameters);
            bytes.push(code);
            bytes.extend_from_slice(&(value.len() as u16).to_be_bytes());
            bytes.extend_from_slice(value);
            self.parameters = bytes.into();
        }
        self
    }

    /// Codes and values of the parameters, in order.
    pub fn parameters(&self) -> impl Iterator<Item = (u8, &[u8])> {
        let mut rest = &self.parameters[..];
        std::iter::from_fn(move || {
            let (&[code, high, low], after) = rest.split_first_chunk()?;
            let length = usize::from(u16::from_be_bytes([high, low]));
            let (value, after) = after.split_at_checked(length)?;
            rest = after;
            Some((code, value))
        })
    }

    /// The first parameter with this code.
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters()
            .find(|(other, _)| *other == code)
            .map(|(_, value)| value)
    }

    /// The first parameter with this code, if it is valid UTF-8.
    pub fn text(&self, code: u8) -> Option<&str> {
        std::str::from_utf8(self.get(code)?).ok()
    }

    /// The cause, if there is one and it is one byte long.
    pub fn cause(&self) -> Option<u8> {
        match self.get(code::CAUSE) {
            Some([cause]) => Some(*cause),
            Some(_) | None => None,
        }
    }

    /// Encodes the message.
    pub fn encode(&self) -> Bytes {
        let length = HEADER_BYTES + self.parameters.len();
        let mut bytes = Vec::with_capacity(LENGTH_BYTES + length);
        bytes.extend_from_slice(&(length as u16).to_be_bytes());
        bytes.push(self.kind as u8);
        bytes.extend_from_slice(&self.id.to_be_bytes());
        bytes.extend_from_slice(&self.parameters);
        bytes.into()
    }
}

/// Removes and returns one message from the front of `buffer`, or `None` if it is not complete yet.
///
/// The length and the type are checked before the rest of the message arrives, so that an invalid length never causes
/// an allocation and an unknown message is not waited for.
///
/// # Errors
/// Returns a [`DecodeError`] if the message is invalid. The bytes after it cannot be decoded either.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Message>, DecodeError> {
    let Some(&length) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = usize::from(u16::from_be_bytes(length));
    if !(HEADER_BYTES..=MAX_MESSAGE_BYTES - LENGTH_BYTES).contains(&length) {
        return Err(DecodeError::Length(length));
    }
    let Some(&kind) = buffer.get(LENGTH_BYTES) else {
        return Ok(None);
    };
    let kind = MessageKind::try_from(kind)?;
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    let mut body = &buffer[LENGTH_BYTES + size_of::<u8>()..LENGTH_BYTES + length];
    let id = body.get_u64();
    check_parameters(body)?;
    // A copy, because a part of the buffer would keep all of it in memory.
    let parameters = Bytes::copy_from_slice(body);
    buffer.advance(LENGTH_BYTES + length);
    Ok(Some(Message {
        kind,
        id,
        parameters,
    }))
}

fn check_parameters(parameters: &[u8]) -> Result<(), DecodeError> {
    let mut at = 0;
    while let Some(&code) = parameters.get(at) {
        let overrun = DecodeError::Overrun { code, at };
        let after_code = parameters.get(at + 1..).unwrap_or_default();
        let Some(&length) = after_code.first_chunk::<LENGTH_BYTES>() else {
            return Err(overrun);
        };
        at += PARAMETER_HEADER_BYTES + usize::from(u16::from_be_bytes(length));
        if at > parameters.len() {
            return Err(overrun);
        }
    }
    Ok(())
}
