//! Byte-stream connections with bounded buffers: a peer that does not read loses its connection, and peers that send
//! incomplete messages are not read while these use up the memory for them. Neither delays other connections.

mod receive_buffer;
mod send_buffer;

pub use receive_buffer::ReceiveBudget;
pub use send_buffer::{SendBudget, SendBuffer};

use bytes::BytesMut;
use receive_buffer::ReceiveBuffer;
use send_buffer::Closing;
use std::io::{self, ErrorKind};
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;

/// Number of reads in a row after which all other tasks have a turn.
const READS_PER_TURN: u32 = 2;
/// Interval at which a connection that is not read, because the receive budget is exhausted, checks the budget.
const BLOCKED_READ_INTERVAL: Duration = Duration::from_millis(20);

/// Why a connection ended.
#[derive(Debug)]
pub enum CloseReason {
    /// The peer closed the connection.
    ByPeer,
    /// This side closed the connection.
    Locally,
    /// The operating system reported an error.
    Failed(io::Error),
    /// The bytes that were read could not be decoded.
    Undecodable,
}

/// Reads and writes until the connection ends.
///
/// `decode` removes complete messages from the front of the buffer; if it returns false, the connection is closed.
/// After [`SendBuffer::close_after_flush`], the connection is read once more before it is closed, so that `decode` can
/// still call [`SendBuffer::cancel_close`].
pub async fn drive(
    stream: &Rc<TcpStream>,
    send_buffer: &SendBuffer,
    receive_budget: &Rc<ReceiveBudget>,
    decode: impl FnMut(&mut BytesMut) -> bool,
) -> CloseReason {
    send_buffer.attach(stream);
    let mut driver = Driver {
        stream,
        send_buffer,
        decode,
        received: ReceiveBuffer::new(receive_budget),
        reads_in_turn: 0,
        has_read_before_close: false,
    };
    loop {
        if let ControlFlow::Break(reason) = driver.step().await {
            return reason;
        }
    }
}

struct Driver<'a, F> {
    stream: &'a TcpStream,
    send_buffer: &'a SendBuffer,
    decode: F,
    received: ReceiveBuffer,
    /// Number of successful reads since all other tasks had a turn, or since there was nothing to read.
    reads_in_turn: u32,
    /// Whether the final read before a close after flush is done.
    has_read_before_close: bool,
}

impl<F: FnMut(&mut BytesMut) -> bool> Driver<'_, F> {
    async fn step(&mut self) -> ControlFlow<CloseReason> {
        if self.reads_in_turn >= READS_PER_TURN {
            // A peer that sends faster than it is read would otherwise keep all other connections and timers waiting:
            // waiting for a socket that is ready does not yield.
            self.reads_in_turn = 0;
            tokio::task::yield_now().await;
        }
        match self.send_buffer.closing() {
            Some(Closing::Now) => return ControlFlow::Break(CloseReason::Locally),
            Some(Closing::AfterFlush) if self.send_buffer.is_empty() => {
                return self.finish_close().await;
            }
            Some(Closing::AfterFlush) => {}
            None => self.has_read_before_close = false,
        }
        let is_blocked = match self.send_buffer.write_to(self.stream) {
            Ok(()) => false,
            Err(error) if error.kind() == ErrorKind::WouldBlock => true,
            Err(error) => return ControlFlow::Break(CloseReason::Failed(error)),
        };
        let interest = if is_blocked {
            Interest::READABLE | Interest::WRITABLE
        } else {
            Interest::READABLE
        };
        if self.received.is_blocked() {
            return self.wait_for_receive_budget().await;
        }
        tokio::select! {
            // The peer has sent something, or the socket can take more bytes.
            ready = self.stream.ready(interest) => self.on_ready(ready),
            // There is something to send, or the connection must be closed.
            () = self.send_buffer.changed() => ControlFlow::Continue(()),
        }
    }

    /// Waits while the receive budget is exhausted. If the peer has closed the connection, what it sent before is read
    /// nevertheless, because the connection would otherwise keep its part of the budget.
    async fn wait_for_receive_budget(&mut self) -> ControlFlow<CloseReason> {
        tokio::select! {
            () = tokio::time::sleep(BLOCKED_READ_INTERVAL) => {}
            () = self.send_buffer.changed() => {}
        }
        let is_closed_by_peer = tokio::select! {
            biased;
            ready = self.stream.ready(Interest::READABLE) => ready.is_ok_and(|r| r.is_read_closed()),
            () = std::future::ready(()) => false,
        };
        if is_closed_by_peer {
            self.send_buffer.set_closed_by_peer();
            return self.read();
        }
        ControlFlow::Continue(())
    }

    /// Reads once more before a flushed connection is closed.
    ///
    /// Race: messages that the peer sent just before the close must be answered. The runtime polls the sockets during
    /// the yield.
    async fn finish_close(&mut self) -> ControlFlow<CloseReason> {
        if self.has_read_before_close {
            return ControlFlow::Break(CloseReason::Locally);
        }
        tokio::task::yield_now().await;
        self.has_read_before_close = true;
        match self.received.read_from(self.stream) {
            Ok(0) => ControlFlow::Break(CloseReason::ByPeer),
            Ok(_) => self.decode_received(),
            // If the connection stays open, the next read reports the error again.
            Err(_) => ControlFlow::Continue(()),
        }
    }

    fn on_ready(&mut self, ready: io::Result<Ready>) -> ControlFlow<CloseReason> {
        if ready.as_ref().is_ok_and(|ready| ready.is_read_closed()) {
            self.send_buffer.set_closed_by_peer();
        }
        match ready {
            Ok(ready) if ready.is_readable() || ready.is_read_closed() => self.read(),
            Ok(_) => ControlFlow::Continue(()),
            Err(error) => ControlFlow::Break(CloseReason::Failed(error)),
        }
    }

    fn read(&mut self) -> ControlFlow<CloseReason> {
        match self.received.read_from(self.stream) {
            Ok(0) => ControlFlow::Break(CloseReason::ByPeer),
            Ok(_) => {
                self.reads_in_turn += 1;
                self.decode_received()
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                self.reads_in_turn = 0;
                ControlFlow::Continue(())
            }
            Err(error) => ControlFlow::Break(CloseReason::Failed(error)),
        }
    }

    fn decode_received(&mut self) -> ControlFlow<CloseReason> {
        if (self.decode)(&mut self.received.bytes) {
            self.received.shrink();
            return ControlFlow::Continue(());
        }
        // Send the answers to messages decoded earlier, as far as the socket accepts them now.
        let _ = self.send_buffer.write_to(self.stream);
        ControlFlow::Break(CloseReason::Undecodable)
    }
}
