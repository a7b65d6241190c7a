//! Reading of plain values from the body of a frame.

use super::ProtocolError;
use crate::api::NodeId;

/// A position in the body of a frame.
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

    /// Bytes that have not been read.
    pub(super) fn remaining(&self) -> usize {
        self.bytes.len() - self.position
    }

    pub(super) fn take(&mut self, count: usize) -> Result<&'a [u8], ProtocolError> {
        let (at, left) = (self.position, self.remaining());
        if count > left {
            return Err(ProtocolError::Truncated {
                at,
                wanted: count,
                left,
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

    /// A single-precision number, widened.
    pub(super) fn f32(&mut self) -> Result<f64, ProtocolError> {
        Ok(f64::from(f32::from_le_bytes(self.array()?)))
    }

    /// A node by its IPv4 address, big-endian, and port.
    pub(super) fn node(&mut self) -> Result<NodeId, ProtocolError> {
        let address = u32::from_be_bytes(self.array()?);
        let port = self.u16()?;
        Ok(NodeId((u64::from(address) << u16::BITS) | u64::from(port)))
    }
}
