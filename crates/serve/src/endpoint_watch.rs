//! Follows the journal service: passes every event to the engine in order, and reports when the service is unavailable.

use crate::server::Server;
use bytes::BytesMut;
use peppercove_platform::Input;
use peppercove_platform::endpoint_watch::{
    EndpointEvent, EndpointWatchError, LineDecoder, SILENCE_TIMEOUT, SequenceCheck, WatchLine,
    check_sequence,
};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// Maximum number of bytes per read: an update of several hundred nodes. All other connections are polled between two
/// reads, so smaller chunks would delay a full list.
const READ_CHUNK_BYTES: usize = 64 << 10;
/// Time without a complete line after which the service counts as silent. Partial lines do not count.
const SILENCE: Duration = Duration::from_micros(SILENCE_TIMEOUT);

/// Why a call to the service ended.
#[derive(Debug, thiserror::Error)]
enum WatchEnd {
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    #[error("no connection to the journal service within the timeout")]
    ConnectTimeout,
    #[error("connection broken: {0}")]
    Broken(io::Error),
    #[error("connection closed by the journal service")]
    Closed,
    #[error("service silent")]
    Silent,
    #[error(transparent)]
    Undecodable(#[from] EndpointWatchError),
    #[error("events are missing from the stream of the journal service")]
    Gap,
    #[error("the scheduler requested the list again")]
    Requested,
    #[error("the address of the journal service changed")]
    AddressChanged,
}

/// Follows the service. Never returns.
pub(crate) async fn follow(server: Rc<Server>) {
    let mut is_waiting = !server.is_list_pushed;
    loop {
        if is_waiting {
            tokio::select! {
                // The scheduler requests the list.
                () = server.watch_requested.notified() => {}
                // The list is available at another address.
                () = server.journal_address_changed.notified() => {}
            }
        }
        let position_before = server.journal_position.get();
        let end = watch(&server).await;
        let position = server.journal_position.get();
        // An immediate retry makes sense after a request or an address change, or if the last call made progress.
        let retries_immediately = match end {
            WatchEnd::AddressChanged | WatchEnd::Requested => true,
            WatchEnd::Gap => position > position_before,
            WatchEnd::Connect(_)
            | WatchEnd::ConnectTimeout
            | WatchEnd::Broken(_)
            | WatchEnd::Closed
            | WatchEnd::Silent
            | WatchEnd::Undecodable(_) => false,
        };
        is_waiting = !retries_immediately;
        tracing::debug!(reason = %end, position, "endpoint watch ended");
        if !retries_immediately {
            server.handle(Input::EndpointWatchFailed);
        }
    }
}

/// Calls the service and passes its events to the engine until the call ends.
async fn watch(server: &Server) -> WatchEnd {
    let mut stream = tokio::select! {
        connected = connect(server) => match connected {
            Ok(stream) => stream,
            Err(end) => return end,
        },
        () = server.journal_address_changed.notified() => return WatchEnd::AddressChanged,
    };
    let call = format!("tail {}\n", server.journal_position.get());
    if let Err(error) = stream.write_all(call.as_bytes()).await {
        return WatchEnd::Broken(error);
    }
    let mut watch = Watch {
        server,
        received: BytesMut::new(),
        decoder: LineDecoder::new(server.max_line_bytes),
        silent_at: Instant::now() + SILENCE,
        is_answered: false,
    };
    loop {
        watch.received.reserve(READ_CHUNK_BYTES);
        tokio::select! {
            read = timeout_at(watch.silent_at, stream.read_buf(&mut watch.received)) => match read {
                Ok(Ok(0)) => return WatchEnd::Closed,
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return WatchEnd::Broken(error),
                Err(_) => return WatchEnd::Silent,
            },
            () = server.journal_address_changed.notified() => return WatchEnd::AddressChanged,
            () = server.watch_requested.notified() => return WatchEnd::Requested,
        }
        if let Err(end) = watch.on_read() {
            return end;
        }
    }
}

async fn connect(server: &Server) -> Result<TcpStream, WatchEnd> {
    let connecting = TcpStream::connect(server.journal_address.get());
    match timeout(server.dial_timeout, connecting).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(WatchEnd::Connect(error)),
        Err(_) => Err(WatchEnd::ConnectTimeout),
    }
}

/// State of a call to the service.
struct Watch<'a> {
    server: &'a Server,
    received: BytesMut,
    decoder: LineDecoder,
    silent_at: Instant,
    /// Whether the call has returned events, or a number that shows that none are missing.
    is_answered: bool,
}

/// The complete lines of one read.
#[derive(Default)]
struct ReadLines {
    events: Vec<EndpointEvent>,
    /// Whether there was a number that shows that no event is missing.
    has_number: bool,
}

impl Watch<'_> {
    /// Passes the events in the complete lines that were read to the engine.
    fn on_read(&mut self) -> Result<(), WatchEnd> {
        let mut lines = ReadLines::default();
        let result = self.decode_lines(&mut lines);
        // The first number of a call answers it: no event is missing.
        let is_first_number = lines.has_number && !self.is_answered;
        let is_answer = is_first_number || !lines.events.is_empty();
        self.is_answered |= is_answer;
        if is_answer {
            self.server.handle(Input::EndpointEvents(lines.events));
        }
        result
    }

    fn decode_lines(&mut self, lines: &mut ReadLines) -> Result<(), WatchEnd> {
        while let Some(line) = self.decoder.next(&mut self.received)? {
            self.silent_at = Instant::now() + SILENCE;
            let position = &self.server.journal_position;
            match (check_sequence(position.get(), &line), line) {
                (SequenceCheck::Apply, WatchLine::Event(event)) => {
                    position.set(event.pos);
                    lines.events.push(event);
                }
                (SequenceCheck::Resync, _) => return Err(WatchEnd::Gap),
                (SequenceCheck::Skip, WatchLine::Event(_)) => {}
                (SequenceCheck::Skip | SequenceCheck::Apply, WatchLine::Last(_)) => {
                    lines.has_number = true;
                }
            }
        }
        Ok(())
    }
}
