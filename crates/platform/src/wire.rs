//! The platform's messages: a length, a type, the id of a task, and parameters. Big-endian, the same both ways.
//!
//! Names here are the platform's; behind the codec the field's terms are used.
//!
//! ```text
//! message   = length:2 type:1 task:8 parameters      length counts all that follows it
//! parameter = code:1 length:2 value
//! ```

use bytes::{Buf, Bytes, BytesMut};
use std::fmt;

#[cfg(test)]
mod tests;

/// Longest message in bytes, with its length field.
pub const MAX_MESSAGE_BYTES: usize = 16 << 10;
/// Bytes of the length field.
const LENGTH_BYTES: usize = 2;
/// Bytes of type and task.
const HEADER_BYTES: usize = 9;
/// Bytes of a parameter's code and length.
const PARAMETER_HEADER_BYTES: usize = 3;

/// Type of a message. The names are the platform's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A request to place a task, or the handover of one that runs.
    SetUp = 1,
    /// Without meaning.
    Progress = 6,
    /// The task runs.
    Answer = 9,
    /// A rejection, a failure, an end or a cancellation, according to its cause.
    Release = 12,
    /// Without meaning: a release was received.
    Heard = 16,
    /// An update on a running task.
    Note = 44,
    /// The client is to have a task placed anew.
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

/// Codes of the parameters. The names are the platform's.
pub mod code {
    /// Name of the class.
    pub const CLASS: u8 = 3;
    /// How long the sender waits, in milliseconds, as text.
    pub const WAIT: u8 = 4;
    /// Marks a client's retry.
    pub const RETRY: u8 = 6;
    /// Name of the task.
    pub const TASK: u8 = 7;
    /// Attributes of the request, as `name:value` with `;` between.
    pub const FIGURES: u8 = 8;
    /// Name of a note, or reason of a release.
    pub const NOTE: u8 = 10;
    /// Load report.
    pub const REPORT: u8 = 12;
    /// Value of a note.
    pub const FIGURE: u8 = 15;
    /// Idempotency key: the same for all attempts.
    pub const KEY: u8 = 16;
    /// Cause, one byte.
    pub const CAUSE: u8 = 17;
    /// Description, opaque.
    pub const DESCRIPTION: u8 = 18;
}

/// Causes of releases. The names are the platform's.
pub mod cause {
    /// The ordinary end of a task; before an answer, a client cancels its request.
    pub const ORDINARY: u8 = 16;
    /// The task was cancelled: migrated, or ended by its client.
    pub const CALLED_OFF: u8 = 31;
    /// Rejected by a node for lack of capacity: it never ran.
    pub const FULL: u8 = 34;
    /// It failed on its way, or was ended while it ran.
    pub const CUT: u8 = 41;
    /// Rejected; a retry is harmless.
    pub const TURNED_AWAY: u8 = 42;
    /// The node reports an error.
    pub const ERROR: u8 = 47;
    /// It was never sent.
    pub const MOOT: u8 = 102;
}

/// Why bytes are not a message. The connection that they came on is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// A length that no message has.
    #[error("a message of {0} bytes after its length")]
    Length(usize),
    /// A type that no message has.
    #[error("unknown type {0}")]
    Type(u8),
    /// A parameter that reaches past the end of its message.
    #[error("parameter {code} at byte {at} reaches past the end")]
    Overrun {
        /// Its code.
        code: u8,
        /// Where it begins, in bytes from the start of the parameters.
        at: usize,
    },
}

/// One message.
#[derive(Clone, PartialEq, Eq)]
pub struct Message {
    /// Its type.
    pub kind: MessageKind,
    /// Id of the task; any value.
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
    /// A message without parameters.
    pub fn new(kind: MessageKind, id: u64) -> Message {
        Message {
            kind,
            id,
            parameters: Bytes::new(),
        }
    }

    /// A release with a cause.
    pub fn release(id: u64, cause: u8) -> Message {
        Message::new(MessageKind::Release, id).with(code::CAUSE, &[cause])
    }

    /// Adds a parameter. One that does not fit into a message any more is left out: values come from messages that have
    /// the same limit.
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

    /// The first parameter with this code, where it is text.
    pub fn text(&self, code: u8) -> Option<&str> {
        std::str::from_utf8(self.get(code)?).ok()
    }

    /// The cause, where there is one of one byte.
    pub fn cause(&self) -> Option<u8> {
        match self.get(code::CAUSE) {
            Some([cause]) => Some(*cause),
            Some(_) | None => None,
        }
    }

    /// The bytes of the message.
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

/// Takes one message off the front of `buffer`; `None` where it is not complete yet.
///
/// Nothing is allocated for a length before it was checked, and a message of an unknown type is not waited for.
///
/// # Errors
/// [`DecodeError`]: what follows cannot be decoded either.
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
    let mut body = buffer.split_to(LENGTH_BYTES + length).freeze();
    body.advance(LENGTH_BYTES + size_of::<u8>());
    let id = body.get_u64();
    check_parameters(&body)?;
    Ok(Some(Message {
        kind,
        id,
        parameters: body,
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
