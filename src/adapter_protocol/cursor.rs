//! Reads primitive values from the body of a frame.

use super::ProtocolError;
use crate::api::NodeId;

/// A read position in the body of a frame.
pub(super) struct Cursor<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Cursor<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Cursor<'a> {
        Cursor { bytes, position: 0 }
    }

    pub(super) fn position(&self) -> usize {
        self.position
    }

    /// Number of bytes that have not been read yet.
    pub(super) fn remaining(&self) -> usize {
        self.bytes.len() - self.position
    }

    /// Returns the next `count` bytes and advances past them.
    pub(super) fn take(&mut self, count: usize) -> Result<&'a [u8], ProtocolError> {
        let (at, remaining) = (self.position, self.remaining());
        if count > remaining {
            return Err(ProtocolError::Truncated {
                at,
                expected: count,
                remaining,
            });
        }
        self.position += count;
        Ok(&self.bytes[at..self.position])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], ProtocolError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    pub(super) fn u8(&mut self) -> Result<u8, ProtocolError> {
        Ok(u8::from_le_bytes(self.array()?))
    }

    pub(super) fn u16(&mut self) -> Result<u16, ProtocolError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub(super) fn u32(&mut self) -> Result<u32, ProtocolError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub(super) fn u64(&mut self) -> Result<u64, ProtocolError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    /// Reads a single-precision number and widens it.
    pub(super) fn f32(&mut self) -> Result<f64, ProtocolError> {
        Ok(f64::from(f32::from_le_bytes(self.array()?)))
    }

    /// Reads a node as its IPv4 address (big-endian) and port.
    pub(super) fn node(&mut self) -> Result<NodeId, ProtocolError> {
        let address = u32::from_be_bytes(self.array()?);
        let port = self.u16()?;
        Ok(NodeId((u64::from(address) << u16::BITS) | u64::from(port)))
    }
}
