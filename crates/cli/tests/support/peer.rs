//! One end of a connection with the platform's protocol, and the messages of clients.

use super::TIMEOUT;
use bytes::BytesMut;
use peppercove_platform::wire::{Message, MessageKind, code, decode};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// One end of a connection, with blocking I/O.
pub struct Peer {
    pub stream: TcpStream,
    buffer: BytesMut,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream
            .set_nonblocking(false)
            .expect("cannot set the blocking mode");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("cannot set the timeout");
        Peer {
            stream,
            buffer: BytesMut::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(address).expect("cannot connect to the controller"))
    }

    pub fn send(&mut self, message: &Message) {
        self.send_bytes(&message.encode());
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream
            .write_all(bytes)
            .expect("cannot write to the connection");
    }

    /// Waits for the next message; returns `None` if the connection is closed.
    pub fn next(&mut self) -> Option<Message> {
        loop {
            if let Some(message) = decode(&mut self.buffer).expect("cannot decode a message") {
                return Some(message);
            }
            let mut part = [0; 4096];
            match self.stream.read(&mut part) {
                Ok(0) => return None,
                Ok(count) => self.buffer.extend_from_slice(&part[..count]),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("no message received: {e}"),
            }
        }
    }

    /// Waits for the next message that is not a connection test; answers connection tests.
    pub fn receive(&mut self) -> Message {
        loop {
            let message = self.next().expect("the connection was closed");
            if message.kind != MessageKind::Test {
                return message;
            }
            self.send(&tested(message.id));
        }
    }

    /// As a client: waits for the next message with this id. Skips notifications about tasks of other clients, which
    /// clients ignore.
    pub fn receive_for(&mut self, id: u64) -> Message {
        loop {
            let message = self.receive();
            if message.id == id {
                return message;
            }
            assert_eq!(message.kind, MessageKind::Release, "{message:?}");
        }
    }

    /// As a node: answers that the task of this request runs.
    pub fn accept_task(&mut self, id: u64, description: &[u8]) {
        self.send(&running(id, description));
    }

    /// As a client: sends a request for a task of this class.
    pub fn request(&mut self, id: u64, class: &str) {
        self.send(&request(id, class));
    }

    /// As a client: tests the connection and waits for the answer.
    pub fn pass_test(&mut self, id: u64) {
        self.send(&test(id));
        assert_eq!(self.receive(), tested(id));
    }
}

/// A connection test.
pub fn test(id: u64) -> Message {
    Message::new(MessageKind::Test, id).with(code::CAUSE, &[0])
}

/// The answer to a connection test.
pub fn tested(id: u64) -> Message {
    Message::new(MessageKind::Tested, id).with(code::CAUSE, &[1])
}

/// The answer that a task runs.
pub fn running(id: u64, description: &[u8]) -> Message {
    Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, description)
}

/// The description of tasks that clients request.
pub const DESCRIPTION: &[u8] = b"opaque \0\xff";

/// A client's request to place an idempotent task with these attributes.
pub fn request_with_attributes(id: u64, attributes: &str) -> Message {
    Message::new(MessageKind::SetUp, id)
        .with(code::CLASS, b"any")
        .with(code::WAIT, b"4000")
        .with(code::TASK, format!("{id:016x}").as_bytes())
        .with(code::FIGURES, attributes.as_bytes())
}

/// A client's request to place a task.
pub fn request(id: u64, class: &str) -> Message {
    Message::new(MessageKind::SetUp, id)
        .with(code::CLASS, class.as_bytes())
        .with(code::WAIT, b"4000")
        .with(code::TASK, format!("{id:016x}").as_bytes())
        .with(code::KEY, format!("{id:032x}").as_bytes())
        .with(code::FIGURES, b"cores:1;memory:2;service:00000000000000aa")
        .with(code::DESCRIPTION, DESCRIPTION)
}
