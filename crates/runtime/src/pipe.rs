//! A connection that carries bytes both ways: what is to be written waits in a bounded outbox, so that a peer that does
//! not read loses its own connection and holds up nobody else.

use bytes::{Buf, BytesMut};
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::rc::{Rc, Weak};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Bytes read at a time.
const READ: usize = 8 << 10;

/// Memory for what waits on all connections together. One connection may have as much as is left beside it: where few
/// are busy they use what the others leave, and however many read nothing, there is some for the next.
#[derive(Debug)]
pub struct Budget {
    most: usize,
    used: Cell<usize>,
}

impl Budget {
    /// A budget of so many bytes.
    pub fn new(most: usize) -> Rc<Budget> {
        Rc::new(Budget {
            most,
            used: Cell::new(0),
        })
    }

    /// Bytes that wait now.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    fn left(&self) -> usize {
        self.most.saturating_sub(self.used.get())
    }
}

/// What waits to be written on one connection.
#[derive(Debug)]
pub struct Outbox {
    bytes: RefCell<BytesMut>,
    budget: Rc<Budget>,
    written: Cell<u64>,
    ending: Cell<Option<End>>,
    changed: Notify,
    /// Where it goes, while that is carried.
    stream: RefCell<Weak<TcpStream>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Once all is written.
    Flushed,
    /// At once.
    Now,
}

impl Outbox {
    /// An empty outbox within a budget.
    pub fn new(budget: &Rc<Budget>) -> Outbox {
        let (written, ending) = (Cell::new(0), Cell::new(None));
        let (bytes, stream) = (RefCell::default(), RefCell::default());
        Outbox {
            bytes,
            budget: budget.clone(),
            written,
            ending,
            changed: Notify::new(),
            stream,
        }
    }

    /// Queues a message, which goes out with the next [`Outbox::write`]; false where the peer has left too much unread,
    /// and then the connection ends.
    pub fn push(&self, message: &[u8]) -> bool {
        let mut bytes = self.bytes.borrow_mut();
        if self.ending.get().is_some() {
            return false;
        }
        if bytes.len() + message.len() > self.budget.left() {
            self.close();
            return false;
        }
        bytes.extend_from_slice(message);
        self.budget.used.set(self.budget.used.get() + message.len());
        true
    }

    /// Writes what the system takes now, without waiting for the turn of [`carry`]; false where something is left, which
    /// [`carry`] writes. Danger: between connections the turns decide what goes out first, and many of them can take long.
    pub fn write(&self) -> bool {
        if let Some(stream) = self.stream.borrow().upgrade() {
            // An error is met again, and told, by the one that carries.
            let _ = self.write_to(&stream);
        }
        if !self.is_empty() || self.ending.get().is_some() {
            self.changed.notify_one();
        }
        self.is_empty()
    }

    /// Many messages, one write; what the system does not take now waits until it can.
    fn write_to(&self, stream: &TcpStream) -> io::Result<()> {
        while !self.is_empty() && self.ending.get() != Some(End::Now) {
            let n = stream.try_write(&self.bytes.borrow())?;
            let mut bytes = self.bytes.borrow_mut();
            bytes.advance(n);
            self.budget.used.set(self.budget.used.get() - n);
            self.written.set(self.written.get() + n as u64);
            if bytes.is_empty() {
                // A connection on which nothing waits holds no buffer.
                *bytes = BytesMut::new();
            }
        }
        Ok(())
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

    /// Goes on after all with what was to be finished: something came that is owed an answer.
    pub fn stay(&self) {
        if self.ending.get() == Some(End::Flushed) {
            self.ending.set(None);
        }
    }

    /// It was told to end.
    pub fn is_ending(&self) -> bool {
        self.ending.get().is_some()
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

impl Drop for Outbox {
    fn drop(&mut self) {
        self.budget
            .used
            .set(self.budget.used.get() - self.bytes.get_mut().len());
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
/// ends the connection. One that is finished is read once more before it ends, so that [`Outbox::stay`] can be called.
pub async fn carry(
    stream: &Rc<TcpStream>,
    outbox: &Outbox,
    mut read: impl FnMut(&mut BytesMut) -> bool,
) -> Closed {
    *outbox.stream.borrow_mut() = Rc::downgrade(stream);
    let mut buffer = BytesMut::new();
    let mut looked = false;
    loop {
        match outbox.ending.get() {
            Some(End::Now) => return Closed::Here,
            Some(End::Flushed) if outbox.is_empty() && looked => return Closed::Here,
            Some(End::Flushed) if outbox.is_empty() => {
                // Danger: what the peer sent while nobody looked is owed an answer. The runtime looks for it now.
                tokio::task::yield_now().await;
                looked = true;
                buffer.reserve(READ);
                match stream.try_read_buf(&mut buffer) {
                    Ok(0) => return Closed::Peer,
                    Ok(_) if !read(&mut buffer) => {
                        let _ = outbox.write_to(stream);
                        return Closed::Unreadable;
                    }
                    // An error is met again where the connection goes on.
                    Ok(_) | Err(_) => {}
                }
                continue;
            }
            Some(End::Flushed) => {}
            None => looked = false,
        }
        let writing = match outbox.write_to(stream) {
            Ok(()) => false,
            Err(e) if e.kind() == ErrorKind::WouldBlock => true,
            Err(e) => return Closed::Failed(e),
        };
        let interest = if writing {
            Interest::READABLE | Interest::WRITABLE
        } else {
            Interest::READABLE
        };
        tokio::select! {
            ready = stream.ready(interest) => match ready {
                Ok(ready) if ready.is_readable() || ready.is_read_closed() => {
                    buffer.reserve(READ);
                    match stream.try_read_buf(&mut buffer) {
                        Ok(0) => return Closed::Peer,
                        Ok(_) => {
                            if !read(&mut buffer) {
                                // What was answered before goes out, if it can.
                                let _ = outbox.write_to(stream);
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
