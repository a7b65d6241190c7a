//! Length-delimited frames of one message each, bounded in size before anything is allocated for them.

use bytes::{Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use std::marker::PhantomData;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Longest frame on a link to a node, in bytes: an offer with its command, arguments and environment.
pub const MAX_NODE_FRAME_BYTES: usize = 256 << 10;
/// Longest frame of the node list, in bytes: a whole list of some ten thousand nodes.
pub const MAX_LIST_FRAME_BYTES: usize = 4 << 20;

/// Why a link's bytes could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The stream failed, or a frame was longer than the link allows.
    #[error("link: {0}")]
    Io(#[from] std::io::Error),
    /// A frame held something else than one message of this version.
    #[error("frame of {length} bytes is not a message of version {version}: {source}", version = crate::VERSION)]
    Malformed {
        /// Bytes in the frame.
        length: usize,
        /// What the decoder met.
        source: postcard::Error,
    },
}

/// Encodes messages of type `Out` and decodes those of type `In`.
#[derive(Debug)]
pub struct MessageCodec<In, Out> {
    frames: LengthDelimitedCodec,
    types: PhantomData<fn(Out) -> In>,
}

impl<In, Out> MessageCodec<In, Out> {
    /// A codec whose frames hold at most `longest` bytes each way.
    pub fn new(longest: usize) -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(longest)
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

/// Decodes the body of one frame; bytes left over after the message are an error as well.
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::node::{FromNode, ToNode};

    type Link = MessageCodec<FromNode, ToNode>;

    #[test]
    fn a_frame_too_long_is_an_error_before_its_bytes_arrive() {
        let mut bytes = BytesMut::from(&(MAX_NODE_FRAME_BYTES as u32 + 1).to_be_bytes()[..]);
        assert!(matches!(
            Link::new(MAX_NODE_FRAME_BYTES).decode(&mut bytes),
            Err(FrameError::Io(_))
        ));
    }

    #[test]
    fn half_a_frame_waits_and_rubbish_is_named() {
        let mut link = Link::new(MAX_NODE_FRAME_BYTES);
        let mut bytes = BytesMut::from(&[0, 0, 0, 4, 255, 255][..]);
        assert!(matches!(link.decode(&mut bytes), Ok(None)));
        bytes.extend_from_slice(&[255, 255]);
        assert!(matches!(
            link.decode(&mut bytes),
            Err(FrameError::Malformed { length: 4, .. })
        ));
    }

    #[test]
    fn bytes_after_the_message_are_not_ignored() {
        let mut frame = postcard::to_stdvec(&ToNode::Probe { nonce: 7 }).unwrap();
        assert!(decode_frame::<ToNode>(&frame).is_ok());
        frame.push(0);
        assert!(decode_frame::<ToNode>(&frame).is_err());
    }
}
