//! The platform's messages: a length, a type, the id of a task, and parameters. Big-endian, the same both ways.
//!
//! ```text
//! message   = length:2 type:1 task:8 parameters      length counts all that follows it
//! parameter = code:1 length:2 value
//! ```

use bytes::{Buf, Bytes, BytesMut};
use std::fmt;

/// Longest message in bytes, its length field included.
pub const MAX_MESSAGE_BYTES: usize = 16 << 10;
/// Bytes of type and task.
const HEADER: usize = 9;

/// What a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A task to place, or one that stands already.
    SetUp = 1,
    /// Means nothing.
    Progress = 6,
    /// The task stands.
    Answer = 9,
    /// A refusal, a failure, an end, or the set-up is given up, by its cause.
    Release = 12,
    /// Means nothing: a release was heard.
    Heard = 16,
    /// News of a task that stands.
    Note = 44,
    /// A task is to be placed anew.
    Move = 51,
    /// Does the connection work?
    Test = 52,
    /// It does, or does not.
    Tested = 53,
}

impl MessageKind {
    fn of(byte: u8) -> Option<MessageKind> {
        Some(match byte {
            1 => MessageKind::SetUp,
            6 => MessageKind::Progress,
            9 => MessageKind::Answer,
            12 => MessageKind::Release,
            16 => MessageKind::Heard,
            44 => MessageKind::Note,
            51 => MessageKind::Move,
            52 => MessageKind::Test,
            53 => MessageKind::Tested,
            _ => return None,
        })
    }
}

/// Codes of the parameters.
pub mod code {
    /// Name of the class.
    pub const CLASS: u8 = 3;
    /// How long the sender waits, in milliseconds, as text.
    pub const WAIT: u8 = 4;
    /// Marks an owner's retry.
    pub const RETRY: u8 = 6;
    /// Name of the task.
    pub const TASK: u8 = 7;
    /// Figures of the request, as `name:value` with `;` between.
    pub const FIGURES: u8 = 8;
    /// Name of a note.
    pub const NOTE: u8 = 10;
    /// Load report.
    pub const REPORT: u8 = 12;
    /// Figure of a note.
    pub const FIGURE: u8 = 15;
    /// Key of a keyed class: the same for all tries.
    pub const KEY: u8 = 16;
    /// Cause, one byte.
    pub const CAUSE: u8 = 17;
    /// Description, opaque.
    pub const DESCRIPTION: u8 = 18;
}

/// Causes of releases.
pub mod cause {
    /// The ordinary end; before an answer, the set-up is given up.
    pub const ORDINARY: u8 = 16;
    /// Called off: moved, or ended by its owner.
    pub const CALLED_OFF: u8 = 31;
    /// Full: it never ran.
    pub const FULL: u8 = 34;
    /// It broke on its way, or was cut.
    pub const CUT: u8 = 41;
    /// Turned away; a retry is harmless.
    pub const TURNED_AWAY: u8 = 42;
    /// Error.
    pub const ERROR: u8 = 47;
    /// Moot: it never left.
    pub const MOOT: u8 = 102;
}

/// Why bytes are not a message. The connection they came on is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// A length that no message has.
    #[error("a message of {0} bytes after its length")]
    Length(usize),
    /// No message has this type.
    #[error("unknown type {0}")]
    Type(u8),
    /// A parameter reaches past the end of its message.
    #[error("parameter {code} at byte {at} reaches past the end")]
    Overrun {
        /// Its code.
        code: u8,
        /// Where it begins, from the start of the parameters.
        at: usize,
    },
}

/// One message.
#[derive(Clone, PartialEq, Eq)]
pub struct Message {
    /// What it is.
    pub kind: MessageKind,
    /// The task; any value.
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

    /// Adds a parameter. One that does not fit into a message any more is left out: no caller adds what was not read
    /// from a message of the same bound.
    #[must_use]
    pub fn with(mut self, code: u8, value: &[u8]) -> Message {
        if 2 + HEADER + self.parameters.len() + 3 + value.len() <= MAX_MESSAGE_BYTES {
            let mut bytes = Vec::with_capacity(self.parameters.len() + 3 + value.len());
            bytes.extend_from_slice(&self.parameters);
            bytes.push(code);
            bytes.extend_from_slice(&(value.len() as u16).to_be_bytes());
            bytes.extend_from_slice(value);
            self.parameters = bytes.into();
        }
        self
    }

    /// Its parameters in order.
    pub fn parameters(&self) -> impl Iterator<Item = (u8, &[u8])> {
        let mut rest = &self.parameters[..];
        std::iter::from_fn(move || {
            let (&[code, high, low], after) = rest.split_first_chunk::<3>()?;
            let (value, after) =
                after.split_at_checked(usize::from(u16::from_be_bytes([high, low])))?;
            rest = after;
            Some((code, value))
        })
    }

    /// The first parameter with this code.
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters()
            .find(|(c, _)| *c == code)
            .map(|(_, value)| value)
    }

    /// The same as text, where it is text.
    pub fn text(&self, code: u8) -> Option<&str> {
        std::str::from_utf8(self.get(code)?).ok()
    }

    /// The cause, where there is one of one byte.
    pub fn cause(&self) -> Option<u8> {
        match self.get(code::CAUSE) {
            Some([cause]) => Some(*cause),
            _ => None,
        }
    }

    /// A release with a cause.
    pub fn release(id: u64, cause: u8) -> Message {
        Message::new(MessageKind::Release, id).with(code::CAUSE, &[cause])
    }

    /// The bytes of the message.
    pub fn encode(&self) -> Bytes {
        let length = HEADER + self.parameters.len();
        let mut out = Vec::with_capacity(2 + length);
        out.extend_from_slice(&(length as u16).to_be_bytes());
        out.push(self.kind as u8);
        out.extend_from_slice(&self.id.to_be_bytes());
        out.extend_from_slice(&self.parameters);
        out.into()
    }
}

/// Takes one message off the front of `buffer`; `None` where it is not whole yet. Nothing is allocated for a length
/// before it was checked, and no type is waited for that no message has.
///
/// # Errors
/// [`DecodeError`]: what follows cannot be read either.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Message>, DecodeError> {
    let Some(&[high, low]) = buffer.first_chunk::<2>() else {
        return Ok(None);
    };
    let length = usize::from(u16::from_be_bytes([high, low]));
    if !(HEADER..=MAX_MESSAGE_BYTES - 2).contains(&length) {
        return Err(DecodeError::Length(length));
    }
    let Some(&byte) = buffer.get(2) else {
        return Ok(None);
    };
    let kind = MessageKind::of(byte).ok_or(DecodeError::Type(byte))?;
    if buffer.len() < 2 + length {
        return Ok(None);
    }
    let mut body = buffer.split_to(2 + length).freeze();
    body.advance(3);
    let id = body.get_u64();
    let mut at = 0;
    while at < body.len() {
        let overrun = DecodeError::Overrun { code: body[at], at };
        let Some(&[high, low]) = body.get(at + 1..).and_then(|b| b.first_chunk::<2>()) else {
            return Err(overrun);
        };
        at += 3 + usize::from(u16::from_be_bytes([high, low]));
        if at > body.len() {
            return Err(overrun);
        }
    }
    Ok(Some(Message {
        kind,
        id,
        parameters: body,
    }))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Worked out by hand from the platform's page: 12 is a release, parameter 17 its cause.
    #[test]
    fn bytes_of_messages_are_as_the_page_has_them() {
        let release = [
            0, 13, 12, 0x7f, 0x3a, 0x9c, 0x21, 0xe0, 0xb4, 0xd6, 0x55, 17, 0, 1, 42,
        ];
        assert_eq!(
            Message::release(0x7f3a_9c21_e0b4_d655, 42).encode()[..],
            release
        );
        // 9 of type and task, 8 of the class, 7 of the wait, 4 of the description: 28.
        let set_up = b"\0\x1c\x01\0\0\0\0\0\0\0\x09\x03\0\x05batch\x04\0\x041500\x12\0\x01\xffnext";
        let mut cut = BytesMut::from(&set_up[..29]);
        assert_eq!(
            decode(&mut cut),
            Ok(None),
            "a byte of the description is missing"
        );
        let mut whole = BytesMut::from(&set_up[..]);
        let message = decode(&mut whole).ok().flatten().expect("whole");
        assert_eq!((message.kind, message.id), (MessageKind::SetUp, 9));
        assert_eq!(
            (message.text(3), message.text(4)),
            (Some("batch"), Some("1500"))
        );
        assert_eq!(message.get(18), Some(&b"\xff"[..]));
        assert_eq!(whole[..], b"next"[..], "what follows stays");
        assert_eq!(message.encode()[..], set_up[..30]);
    }

    #[test]
    fn what_cannot_be_a_message_is_told_before_it_is_whole() {
        let told = |bytes: &[u8]| decode(&mut BytesMut::from(bytes));
        assert_eq!(told(&[0, 8]), Err(DecodeError::Length(8)));
        assert_eq!(told(&[0xff, 0xff]), Err(DecodeError::Length(0xffff)));
        assert_eq!(
            told(&[0x3f, 0xff]),
            Err(DecodeError::Length(0x3fff)),
            "longest is 16 KiB with its length"
        );
        assert_eq!(told(&[0x3f, 0xfe]), Ok(None));
        assert_eq!(told(&[0x3f, 0xfe, 99]), Err(DecodeError::Type(99)));
        let overrun = [0, 12, 9, 0, 0, 0, 0, 0, 0, 0, 1, 18, 0, 1];
        assert_eq!(
            told(&overrun),
            Err(DecodeError::Overrun { code: 18, at: 0 })
        );
        let cut = [0, 10, 9, 0, 0, 0, 0, 0, 0, 0, 1, 18];
        assert_eq!(told(&cut), Err(DecodeError::Overrun { code: 18, at: 0 }));
    }

    proptest! {
        #[test]
        fn any_message_comes_back_whole_from_any_cuts(
            id: u64, values in prop::collection::vec((any::<u8>(), prop::collection::vec(any::<u8>(), 0..300)), 0..9),
            cut in 1usize..40,
        ) {
            let message = values.iter().fold(Message::new(MessageKind::Note, id), |m, (code, v)| m.with(*code, v));
            let (mut buffer, mut seen) = (BytesMut::new(), None);
            for part in message.encode().chunks(cut) {
                prop_assert!(seen.is_none());
                buffer.extend_from_slice(part);
                seen = decode(&mut buffer).expect("valid");
            }
            prop_assert_eq!(seen.as_ref(), Some(&message));
            let back: Vec<(u8, Vec<u8>)> = message.parameters().map(|(c, v)| (c, v.to_vec())).collect();
            prop_assert_eq!(back, values);
        }

        #[test]
        fn arbitrary_bytes_end_or_wait_and_never_hold_more_than_a_message(
            bytes in prop::collection::vec(any::<u8>(), 0..40_000),
        ) {
            let mut buffer = BytesMut::from(&bytes[..]);
            while let Ok(Some(_)) = decode(&mut buffer) {}
            if let Ok(None) = decode(&mut buffer) {
                prop_assert!(buffer.len() < MAX_MESSAGE_BYTES);
            }
        }
    }
}
