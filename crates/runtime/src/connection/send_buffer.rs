//! Send buffers, with a memory budget shared by all connections.

use bytes::{Buf, BytesMut};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Memory budget for the send buffers of all connections together.
///
/// The buffer of a connection may be at most as large as the rest of the budget. If few connections are busy, they can
/// use most of the budget; no matter how many peers do not read, some of it is left for the next connection.
#[derive(Debug)]
pub struct SendBudget {
    max_bytes: usize,
    used_bytes: Cell<usize>,
}

impl SendBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Rc<SendBudget> {
        Rc::new(SendBudget {
            max_bytes,
            used_bytes: Cell::new(0),
        })
    }

    /// Number of bytes that are currently buffered.
    pub fn used(&self) -> usize {
        self.used_bytes.get()
    }

    fn available(&self) -> usize {
        self.max_bytes.saturating_sub(self.used_bytes.get())
    }

    fn reserve(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get() + bytes);
    }

    fn release(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get() - bytes);
    }
}

/// The send buffer of one connection, and how the connection is closed.
#[derive(Debug)]
pub struct SendBuffer {
    bytes: RefCell<BytesMut>,
    budget: Rc<SendBudget>,
    bytes_written: Cell<u64>,
    closing: Cell<Option<Closing>>,
    is_closed_by_peer: Cell<bool>,
    changed: Notify,
    /// The stream to write to, while [`drive`](super::drive) runs.
    stream: RefCell<Weak<TcpStream>>,
}

/// When a connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Closing {
    /// Once the buffer is empty.
    AfterFlush,
    /// Immediately.
    Now,
}

impl SendBuffer {
    /// Creates an empty buffer that uses the given budget.
    pub fn new(budget: &Rc<SendBudget>) -> SendBuffer {
        SendBuffer {
            bytes: RefCell::default(),
            budget: budget.clone(),
            bytes_written: Cell::new(0),
            closing: Cell::new(None),
            is_closed_by_peer: Cell::new(false),
            changed: Notify::new(),
            stream: RefCell::default(),
        }
    }

    /// Appends a message, which is sent with the next [`SendBuffer::flush`]. Returns false if the connection is being
    /// closed. Also returns false, and closes the connection, if the message exceeds the available budget because the
    /// peer does not read.
    pub fn push(&self, message: &[u8]) -> bool {
        let mut bytes = self.bytes.borrow_mut();
        if self.closing.get().is_some() {
            return false;
        }
        if bytes.len() + message.len() > self.budget.available() {
            self.close();
            return false;
        }
        bytes.extend_from_slice(message);
        self.budget.reserve(message.len());
        true
    }

    /// Writes as much as the socket takes now, without waiting for [`drive`](super::drive) to be polled. Returns false
    /// if bytes are left; `drive` writes those later.
    ///
    /// Race: the order in which connections are polled is undefined, and polling many connections takes a long time.
    pub fn flush(&self) -> bool {
        if let Some(stream) = self.stream.borrow().upgrade() {
            // `drive` gets the same error again and reports it.
            let _ = self.write_to(&stream);
        }
        if !self.is_empty() || self.closing.get().is_some() {
            self.changed.notify_one();
        }
        self.is_empty()
    }

    /// Writes until the buffer is empty or the socket takes no more.
    pub(super) fn write_to(&self, stream: &TcpStream) -> io::Result<()> {
        while !self.is_empty() && self.closing.get() != Some(Closing::Now) {
            let written = stream.try_write(&self.bytes.borrow())?;
            let mut bytes = self.bytes.borrow_mut();
            bytes.advance(written);
            self.budget.release(written);
            self.bytes_written
                .set(self.bytes_written.get() + written as u64);
            if bytes.is_empty() {
                // Idle connections hold no buffer.
                *bytes = BytesMut::new();
            }
        }
        Ok(())
    }

    /// Closes the connection immediately, discarding buffered bytes.
    pub fn close(&self) {
        self.closing.set(Some(Closing::Now));
        self.changed.notify_one();
    }

    /// Closes the connection once the buffer is empty.
    pub fn close_after_flush(&self) {
        if self.closing.get().is_none() {
            self.closing.set(Some(Closing::AfterFlush));
            self.changed.notify_one();
        }
    }

    /// Reverts [`SendBuffer::close_after_flush`], for example because a message arrived that must be answered.
    pub fn cancel_close(&self) {
        if self.closing.get() == Some(Closing::AfterFlush) {
            self.closing.set(None);
        }
    }

    /// Whether the connection is being closed.
    pub fn is_closing(&self) -> bool {
        self.closing.get().is_some()
    }

    /// Whether the peer has closed the connection. Messages that it sent before may be left to read.
    pub fn is_closed_by_peer(&self) -> bool {
        self.is_closed_by_peer.get()
    }

    pub(super) fn set_closed_by_peer(&self) {
        self.is_closed_by_peer.set(true);
    }

    /// Number of bytes that the operating system has accepted so far.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.get()
    }

    /// Number of bytes that the operating system has accepted or that are buffered.
    pub fn bytes_pushed(&self) -> u64 {
        self.bytes_written.get() + self.bytes.borrow().len() as u64
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_empty()
    }

    pub(super) fn attach(&self, stream: &Rc<TcpStream>) {
        *self.stream.borrow_mut() = Rc::downgrade(stream);
    }

    pub(super) fn closing(&self) -> Option<Closing> {
        self.closing.get()
    }

    /// Waits until there is something to send or the connection must be closed.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }
}

impl Drop for SendBuffer {
    fn drop(&mut self) {
        self.budget.release(self.bytes.get_mut().len());
    }
}
