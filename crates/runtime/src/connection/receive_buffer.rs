//! Receive buffers, with a memory budget shared by all connections.

use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use tokio::net::TcpStream;

/// Maximum number of bytes per read.
const READ_CHUNK_BYTES: usize = 8 << 10;
/// Maximum number of bytes per read while the budget is exhausted.
const SMALL_READ_CHUNK_BYTES: usize = 1 << 10;
/// Size of an incomplete message from which its connection is not read while the budget is exhausted. Messages of
/// well-behaved peers are mostly smaller, or complete after one read.
const LARGE_MESSAGE_BYTES: usize = 1 << 10;
/// Capacities are multiples of this, so that a message that arrives in many parts is not copied for each of them.
const CAPACITY_STEP_BYTES: usize = 1 << 10;

/// Memory budget for the incomplete messages of all connections together.
///
/// While it is exhausted, connections with a large incomplete message are not read. Their peers are slowed down by TCP,
/// and other connections are served as before.
#[derive(Debug)]
pub struct ReceiveBudget {
    max_bytes: usize,
    used_bytes: Cell<usize>,
    /// Space for one read, shared by all connections, since a buffer of this size for each would exceed any budget.
    chunk: RefCell<Box<[u8]>>,
}

impl ReceiveBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Rc<ReceiveBudget> {
        Rc::new(ReceiveBudget {
            max_bytes,
            used_bytes: Cell::new(0),
            chunk: RefCell::new(vec![0; READ_CHUNK_BYTES].into()),
        })
    }

    /// Number of bytes that are currently buffered.
    pub fn used(&self) -> usize {
        self.used_bytes.get()
    }

    fn is_exhausted(&self) -> bool {
        self.used_bytes.get() >= self.max_bytes
    }

    fn replace(&self, before: usize, after: usize) {
        let others = self.used_bytes.get() - before;
        self.used_bytes.set(others + after);
    }
}

/// The bytes of one connection that were received and do not form a complete message yet.
#[derive(Debug)]
pub(super) struct ReceiveBuffer {
    pub(super) bytes: BytesMut,
    /// Size of the allocation. `BytesMut` does not count the part whose bytes were removed.
    allocated: usize,
    budget: Rc<ReceiveBudget>,
    /// Number of bytes taken from the budget.
    reserved: usize,
}

impl ReceiveBuffer {
    pub(super) fn new(budget: &Rc<ReceiveBudget>) -> ReceiveBuffer {
        ReceiveBuffer {
            bytes: BytesMut::new(),
            allocated: 0,
            budget: budget.clone(),
            reserved: 0,
        }
    }

    /// Whether the connection must not be read, because the budget is exhausted.
    pub(super) fn is_blocked(&self) -> bool {
        self.budget.is_exhausted() && self.bytes.len() >= LARGE_MESSAGE_BYTES
    }

    /// Appends what can be read from the stream at once, up to a limit. Returns the number of bytes.
    ///
    /// # Errors
    /// Returns the error of the read.
    pub(super) fn read_from(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let max = if self.budget.is_exhausted() {
            SMALL_READ_CHUNK_BYTES
        } else {
            READ_CHUNK_BYTES
        };
        let budget = self.budget.clone();
        let mut chunk = budget.chunk.borrow_mut();
        let count = stream.try_read(&mut chunk[..max])?;
        self.append(&chunk[..count]);
        Ok(count)
    }

    /// Returns the memory that is not needed after complete messages were removed.
    pub(super) fn shrink(&mut self) {
        let needed = self.bytes.len();
        if needed == 0 {
            // Idle connections hold no buffer.
            self.bytes = BytesMut::new();
            self.allocated = 0;
        } else if self.allocated >= needed + 2 * CAPACITY_STEP_BYTES {
            self.reallocate(needed);
        }
        self.budget.replace(self.reserved, needed);
        self.reserved = needed;
    }

    fn append(&mut self, received: &[u8]) {
        let needed = self.bytes.len() + received.len();
        if needed > self.bytes.capacity() {
            self.reallocate(needed);
        }
        self.bytes.extend_from_slice(received);
    }

    /// Moves the bytes to an allocation with at least the given capacity and little more.
    fn reallocate(&mut self, capacity: usize) {
        let capacity = capacity.next_multiple_of(CAPACITY_STEP_BYTES);
        let mut moved = BytesMut::with_capacity(capacity);
        moved.extend_from_slice(&self.bytes);
        self.bytes = moved;
        self.allocated = capacity;
    }
}

impl Drop for ReceiveBuffer {
    fn drop(&mut self) {
        self.budget.replace(self.reserved, 0);
    }
}
