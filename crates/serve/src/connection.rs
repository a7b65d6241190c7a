//! State of a connection to a client or a node.

use peppercove::Micros;
use peppercove_runtime::{SendBudget, SendBuffer};
use std::cell::Cell;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// The send buffer of a connection, and the times by which unused and stuck connections are detected.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) send_buffer: SendBuffer,
    pub(crate) opened_at: Micros,
    /// Number of bytes up to the end of the last message to a client that is sent on no other connection.
    answers_end: Cell<u64>,
    /// Whether such a message could not be buffered, because the connection was being closed.
    pub(crate) has_lost_answers: Cell<bool>,
    /// Whether the engine knows of the connection although nothing has been received on it.
    pub(crate) is_reported_silent: Cell<bool>,
    /// When the last complete message was read.
    pub(crate) last_message_at: Cell<Option<Micros>>,
    /// When the first part of an incomplete message was read.
    pub(crate) incomplete_since: Cell<Option<Micros>>,
}

impl Connection {
    /// Creates the state of a new connection.
    pub(crate) fn new(opened_at: Micros, budget: &Rc<SendBudget>) -> Rc<Connection> {
        Rc::new(Connection {
            send_buffer: SendBuffer::new(budget),
            opened_at,
            answers_end: Cell::new(0),
            has_lost_answers: Cell::new(false),
            is_reported_silent: Cell::new(false),
            last_message_at: Cell::new(None),
            incomplete_since: Cell::new(None),
        })
    }

    /// Sends a message to a node immediately. Returns false if bytes are left in the buffer.
    ///
    /// Invariant: a message to a node is written before any answer that is decided later. If the write were left to the
    /// connection's own task, the client's task could run first, and the request could reach the node after the client
    /// had received its final answer.
    pub(crate) fn send(&self, frame: &[u8]) -> bool {
        self.send_buffer.push(frame) && self.send_buffer.flush()
    }

    /// Buffers a message to a client that is sent on no other connection.
    pub(crate) fn push_answer(&self, frame: &[u8]) {
        if self.send_buffer.push(frame) {
            self.answers_end.set(self.send_buffer.bytes_pushed());
        } else {
            self.has_lost_answers.set(true);
        }
    }

    /// Whether messages are left to write that are sent on no other connection.
    pub(crate) fn has_unsent_answers(&self) -> bool {
        self.send_buffer.bytes_written() < self.answers_end.get()
    }

    /// Closes the connection once all answers are written. Notifications that its peer does not read do not delay that.
    pub(crate) fn close_after_answers(&self) {
        if self.send_buffer.is_empty() || self.has_unsent_answers() {
            self.send_buffer.close_after_flush();
        } else {
            self.send_buffer.close();
        }
    }

    /// Sends a cancellation. If it cannot be sent immediately, the connection is closed, so that a node that does not
    /// read is not sent the buffered attempt later.
    pub(crate) fn send_cancel(&self, frame: &[u8]) {
        if !self.send(frame) {
            self.send_buffer.close();
        }
    }

    /// Closes the connection unless at least this many bytes were written to it, so that a message that waits for a full
    /// socket is not sent later.
    pub(crate) fn close_unless_written(&self, bytes: u64) {
        if self.send_buffer.bytes_written() < bytes {
            self.send_buffer.close();
        }
    }

    /// Records the result of a read: whether it completed any message, and whether a partial message is left.
    pub(crate) fn record_read(&self, now: Micros, has_complete: bool, has_partial: bool) {
        if has_complete {
            self.last_message_at.set(Some(now));
        }
        let incomplete_since = match (has_partial, self.incomplete_since.get()) {
            (false, _) => None,
            // The partial message that is left is not the one from before.
            (true, Some(_)) if has_complete => Some(now),
            (true, Some(since)) => Some(since),
            (true, None) => Some(now),
        };
        self.incomplete_since.set(incomplete_since);
    }
}
