//! What waits to be sent on a connection, within a budget of memory for all connections.

use bytes::{Buf, BytesMut};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Memory for what waits to be sent on all connections together.
///
/// One connection may use as much as is left beside it: where few are busy they use what the others leave, and however
/// many peers do not read, there is some left for the next connection.
#[derive(Debug)]
pub struct SendBudget {
    max_bytes: usize,
    used_bytes: Cell<usize>,
}

impl SendBudget {
    /// A budget of so many bytes.
    pub fn new(max_bytes: usize) -> Rc<SendBudget> {
        Rc::new(SendBudget {
            max_bytes,
            used_bytes: Cell::new(0),
        })
    }

    /// Bytes that wait now.
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

/// What waits to be sent on one connection.
#[derive(Debug)]
pub struct SendBuffer {
    bytes: RefCell<BytesMut>,
    budget: Rc<SendBudget>,
    bytes_written: Cell<u64>,
    closing: Cell<Option<Closing>>,
    changed: Notify,
    /// The stream that the bytes go to, while it is driven.
    stream: RefCell<Weak<TcpStream>>,
}

/// When a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Closing {
    /// Once all that waits is sent.
    AfterFlush,
    /// At once.
    Now,
}

impl SendBuffer {
    /// An empty buffer within a budget.
    pub fn new(budget: &Rc<SendBudget>) -> SendBuffer {
        SendBuffer {
            bytes: RefCell::default(),
            budget: budget.clone(),
            bytes_written: Cell::new(0),
            closing: Cell::new(None),
            changed: Notify::new(),
            stream: RefCell::default(),
        }
    }

    /// Appends a message, which is sent with the next [`SendBuffer::flush`]. False where the connection is being closed,
    /// or where the peer has left too much unread, and then the connection is closed.
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

    /// Sends what the system takes now, without waiting for the turn of [`drive`](super::drive); false where something is
    /// left, which is sent in that turn.
    ///
    /// Race: which of two connections has its turn first is not determined, and the turns of many connections take long.
    pub fn flush(&self) -> bool {
        if let Some(stream) = self.stream.borrow().upgrade() {
            // An error is met again, and reported, by the one that drives the connection.
            let _ = self.write_to(&stream);
        }
        if !self.is_empty() || self.closing.get().is_some() {
            self.changed.notify_one();
        }
        self.is_empty()
    }

    /// Writes until nothing is left or the system takes no more.
    pub(super) fn write_to(&self, stream: &TcpStream) -> io::Result<()> {
        while !self.is_empty() && self.closing.get() != Some(Closing::Now) {
            let written = stream.try_write(&self.bytes.borrow())?;
            let mut bytes = self.bytes.borrow_mut();
            bytes.advance(written);
            self.budget.release(written);
            self.bytes_written
                .set(self.bytes_written.get() + written as u64);
            if bytes.is_empty() {
                // A connection on which nothing waits holds no buffer.
                *bytes = BytesMut::new();
            }
        }
        Ok(())
    }

    /// Closes the connection at once.
    pub fn close(&self) {
        self.closing.set(Some(Closing::Now));
        self.changed.notify_one();
    }

    /// Closes the connection once all that waits is sent.
    pub fn close_after_flush(&self) {
        if self.closing.get().is_none() {
            self.closing.set(Some(Closing::AfterFlush));
            self.changed.notify_one();
        }
    }

    /// Keeps a connection open that was to be closed after its flush, since something came that is owed an answer.
    pub fn cancel_close(&self) {
        if self.closing.get() == Some(Closing::AfterFlush) {
            self.closing.set(None);
        }
    }

    /// The connection is to be closed.
    pub fn is_closing(&self) -> bool {
        self.closing.get().is_some()
    }

    /// Bytes that the system has taken so far.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.get()
    }

    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_empty()
    }

    pub(super) fn attach(&self, stream: &Rc<TcpStream>) {
        *self.stream.borrow_mut() = Rc::downgrade(stream);
    }

    pub(super) fn closing(&self) -> Option<Closing> {
        self.closing.get()
    }

    /// Something waits to be sent, or the connection is to be closed.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }
}

impl Drop for SendBuffer {
    fn drop(&mut self) {
        self.budget.release(self.bytes.get_mut().len());
    }
}
