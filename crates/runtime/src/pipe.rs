//! A connection that carries bytes both ways: what is to be written waits in a bounded outbox, so that a peer that does
//! not read loses its own connection and holds up nobody else.

use bytes::{Buf, BytesMut};
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Bytes read at a time.
const READ: usize = 8 << 10;

/// What waits to be written on one connection.
#[derive(Debug)]
pub struct Outbox {
    bytes: RefCell<BytesMut>,
    most: usize,
    written: Cell<u64>,
    ending: Cell<Option<End>>,
    changed: Notify,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Once all is written.
    Flushed,
    /// At once.
    Now,
}

impl Outbox {
    /// An empty outbox that holds up to `most` bytes.
    pub fn new(most: usize) -> Outbox {
        let (written, ending) = (Cell::new(0), Cell::new(None));
        Outbox { bytes: RefCell::default(), most, written, ending, changed: Notify::new() }
    }

    /// Queues a message; false where the peer has left too much unread, and then the connection ends.
    pub fn push(&self, message: &[u8]) -> bool {
        let mut bytes = self.bytes.borrow_mut();
        if self.ending.get().is_some() {
            return false;
        }
        if bytes.len() + message.len() > self.most {
            self.close();
            return false;
        }
        bytes.extend_from_slice(message);
        self.changed.notify_one();
        true
    }

    /// Ends the connection at once.
    pub fn close(&self) {
        self.ending.set(Some(End::Now));
        self.changed.notify_one();
    }

    /// Ends the connection once all that waits is written.
    pub fn finish(&self) {
        if self.ending.get().is_none() {
            self.ending.set(Some(End::Flushed));
            self.changed.notify_one();
        }
    }

    /// Bytes that the system has taken so far.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_empty()
    }
}

/// Why a connection came to its end.
#[derive(Debug)]
pub enum Closed {
    /// By the peer.
    Peer,
    /// By this side.
    Here,
    /// The system said so.
    Failed(io::Error),
    /// What was read made no sense to the reader.
    Unreadable,
}

/// Carries bytes both ways until the connection ends. `read` takes what it can use off the front of the buffer; false
/// ends the connection.
pub async fn carry(
    stream: &TcpStream, outbox: &Outbox, mut read: impl FnMut(&mut BytesMut) -> bool,
) -> Closed {
    let mut buffer = BytesMut::new();
    loop {
        match outbox.ending.get() {
            Some(End::Now) => return Closed::Here,
            Some(End::Flushed) if outbox.is_empty() => return Closed::Here,
            _ => {}
        }
        // Many messages, one write; what the system does not take now waits until it can.
        let mut writing = false;
        while !outbox.is_empty() {
            let wrote = stream.try_write(&outbox.bytes.borrow());
            match wrote {
                Ok(n) => {
                    outbox.bytes.borrow_mut().advance(n);
                    outbox.written.set(outbox.written.get() + n as u64);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    writing = true;
                    break;
                }
                Err(e) => return Closed::Failed(e),
            }
        }
        let interest = if writing { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
        tokio::select! {
            ready = stream.ready(interest) => match ready {
                Ok(ready) if ready.is_readable() || ready.is_read_closed() => {
                    buffer.reserve(READ);
                    match stream.try_read_buf(&mut buffer) {
                        Ok(0) => return Closed::Peer,
                        Ok(_) => {
                            if !read(&mut buffer) {
                                // What was answered before goes out, if it can.
                                let _ = stream.try_write(&outbox.bytes.borrow());
                                return Closed::Unreadable;
                            }
                            if buffer.is_empty() {
                                // An idle connection holds no buffer.
                                buffer = BytesMut::new();
                            }
                        }
                        Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                        Err(e) => return Closed::Failed(e),
                    }
                }
                Ok(_) => {}
                Err(e) => return Closed::Failed(e),
            },
            () = outbox.changed.notified() => {}
        }
    }
}
