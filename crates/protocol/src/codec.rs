//! Length-delimited frames with one message each. The length is checked before memory is allocated for a frame.

use bytes::{Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use std::marker::PhantomData;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum length of a frame on a connection to a node. It leaves room for an offer with its command, arguments and
/// environment.
pub const MAX_NODE_FRAME_BYTES: usize = 256 << 10;
/// Maximum length of a frame of the node list. It leaves room for a full list of about ten thousand nodes.
pub const MAX_LIST_FRAME_BYTES: usize = 4 << 20;

/// Errors of reading or writing frames.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The stream failed, or a frame exceeds the maximum length.
    #[error("cannot read or write a frame: {0}")]
    Io(#[from] std::io::Error),
    /// The frame does not contain exactly one message of this version.
    #[error("frame of {length} bytes is not a message of version {version}: {source}", version = crate::VERSION)]
    Malformed {
        /// Length of the frame in bytes.
        length: usize,
        /// Error of the postcard encoding.
        source: postcard::Error,
    },
}

/// Encodes messages of type `Out` and decodes messages of type `In`.
#[derive(Debug)]
pub struct MessageCodec<In, Out> {
    frames: LengthDelimitedCodec,
    types: PhantomData<fn(Out) -> In>,
}

impl<In, Out> MessageCodec<In, Out> {
    /// Creates a codec that rejects frames longer than `max_bytes` in both directions.
    pub fn new(max_bytes: usize) -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(max_bytes)
            .new_codec();
        MessageCodec {
            frames,
            types: PhantomData,
        }
    }
}

impl<In: DeserializeOwned, Out> Decoder for MessageCodec<In, Out> {
    type Item = In;
    type Error = FrameError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<In>, FrameError> {
        let Some(frame) = self.frames.decode(bytes)? else {
            return Ok(None);
        };
        decode_frame(&frame).map(Some)
    }
}

impl<In, Out: Serialize> Encoder<&Out> for MessageCodec<In, Out> {
    type Error = FrameError;

    fn encode(&mut self, message: &Out, bytes: &mut BytesMut) -> Result<(), FrameError> {
        let frame = postcard::to_stdvec(message)
            .map_err(|source| FrameError::Malformed { length: 0, source })?;
        Ok(self.frames.encode(Bytes::from(frame), bytes)?)
    }
}

/// Decodes the body of one frame.
///
/// # Errors
/// [`FrameError::Malformed`] if the frame does not contain a valid message, or has trailing bytes after it.
pub fn decode_frame<In: DeserializeOwned>(frame: &[u8]) -> Result<In, FrameError> {
    let malformed = |source| FrameError::Malformed {
        length: frame.len(),
        source,
    };
    let (message, rest) = postcard::take_from_bytes(frame).map_err(malformed)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(malformed(postcard::Error::DeserializeBadEncoding))
    }
}
