//! Something that listens: a node, or the journal service.

use super::TIMEOUT;
use super::peer::Peer;
use std::io::{BufRead, BufReader, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A listener on loopback.
pub struct Listener(pub TcpListener);

impl Listener {
    pub fn new() -> Listener {
        Listener(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("bound")
    }

    /// A connection that waits to be accepted.
    pub fn try_accept(&self) -> Option<TcpStream> {
        self.0.set_nonblocking(true).expect("not blocking");
        match self.0.accept() {
            Ok((stream, _)) => Some(stream),
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            Err(e) => panic!("nobody connected: {e}"),
        }
    }

    /// The next connection.
    pub fn accept(&self) -> TcpStream {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            if let Some(stream) = self.try_accept() {
                return stream;
            }
            assert!(Instant::now() < deadline, "nobody connected");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// The next connection, as one that speaks the platform's messages.
    pub fn peer(&self) -> Peer {
        Peer::new(self.accept())
    }

    /// As the journal service: a connection, and the call that came over it. A connection that is given up before its call
    /// is out, as where two signals come at once, is followed by the next.
    pub fn accept_call(&self) -> (TcpStream, String) {
        loop {
            let stream = self.accept();
            stream.set_nonblocking(false).expect("blocking");
            stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
            let mut line = String::new();
            let read = BufReader::new(stream.try_clone().expect("cloned")).read_line(&mut line);
            match read {
                Ok(1..) => return (stream, line.trim_end().to_owned()),
                Err(e) if e.kind() != ErrorKind::ConnectionReset => panic!("no call: {e}"),
                _ => {}
            }
        }
    }
}
