//! One connection, of a client or to a node, as the server holds it.

use peppercove::Micros;
use peppercove_runtime::{SendBudget, SendBuffer};
use std::cell::Cell;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// A connection, with what is needed to judge whether it is alive.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) send_buffer: SendBuffer,
    pub(crate) opened_at: Micros,
    /// When a complete message was read last.
    pub(crate) last_message_at: Cell<Option<Micros>>,
    /// Since when a part of a message waits for the rest.
    pub(crate) incomplete_since: Cell<Option<Micros>>,
}

impl Connection {
    /// A connection on which nothing was sent or read.
    pub(crate) fn new(opened_at: Micros, budget: &Rc<SendBudget>) -> Rc<Connection> {
        Rc::new(Connection {
            send_buffer: SendBuffer::new(budget),
            opened_at,
            last_message_at: Cell::new(None),
            incomplete_since: Cell::new(None),
        })
    }

    /// Sends to a node at once; false where something is left.
    ///
    /// Invariant: what is sent to a node is out before any answer that is decided later. In its connection's turn, a
    /// request could reach its node after the final answer had reached the client, whose connection had its turn first.
    pub(crate) fn send(&self, frame: &[u8]) -> bool {
        self.send_buffer.push(frame) && self.send_buffer.flush()
    }

    /// Sends a cancellation. Where it cannot be sent at once the connection is closed, so that a node which does not
    /// read is not sent the attempt later.
    pub(crate) fn send_cancel(&self, frame: &[u8]) {
        if !self.send(frame) {
            self.send_buffer.close();
        }
    }

    /// Notes what a read brought: whether there were complete messages, and whether a part of one is left.
    pub(crate) fn record_read(&self, now: Micros, has_complete: bool, has_partial: bool) {
        if has_complete {
            self.last_message_at.set(Some(now));
        }
        let incomplete_since = match (has_partial, self.incomplete_since.get()) {
            (false, _) => None,
            // The part that is left now belongs to another message than the one before.
            (true, Some(_)) if has_complete => Some(now),
            (true, Some(since)) => Some(since),
            (true, None) => Some(now),
        };
        self.incomplete_since.set(incomplete_since);
    }
}
