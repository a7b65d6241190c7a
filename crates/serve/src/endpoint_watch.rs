//! Follows the journal service: every event in order, and an input to the engine where it cannot be had.

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

/// Bytes read at a time: an update of some hundreds of nodes. A full list that is read in smaller parts waits for a turn
/// of all connections after each.
const READ_CHUNK_BYTES: usize = 64 << 10;
/// The service is silent when it has sent no complete line for this long. Bytes that never end a line do not count.
const SILENCE: Duration = Duration::from_micros(SILENCE_TIMEOUT);

/// Why a call to the service ended.
#[derive(Debug, thiserror::Error)]
enum WatchEnd {
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    #[error("connection not established in time")]
    ConnectTimeout,
    #[error("connection broken: {0}")]
    Broken(io::Error),
    #[error("closed by the service")]
    Closed,
    #[error("service silent")]
    Silent,
    #[error(transparent)]
    Undecodable(#[from] EndpointWatchError),
    #[error("events missing")]
    Gap,
    #[error("called anew by the module")]
    Requested,
    #[error("address of the service changed")]
    Moved,
}

/// Follows the service; never returns.
pub(crate) async fn follow(server: Rc<Server>) {
    let mut is_waiting = !server.is_list_pushed;
    loop {
        if is_waiting {
            tokio::select! {
                // The module wants the list.
                () = server.watch_requested.notified() => {}
                // The list can be had at another address.
                () = server.journal_moved.notified() => {}
            }
        }
        let position_before = server.journal_position.get();
        let end = watch(&server).await;
        let position = server.journal_position.get();
        // Calling again at once helps where the address has changed, or where the last call brought something.
        let calls_at_once = match end {
            WatchEnd::Moved | WatchEnd::Requested => true,
            WatchEnd::Gap => position > position_before,
            WatchEnd::Connect(_)
            | WatchEnd::ConnectTimeout
            | WatchEnd::Broken(_)
            | WatchEnd::Closed
            | WatchEnd::Silent
            | WatchEnd::Undecodable(_) => false,
        };
        is_waiting = !calls_at_once;
        tracing::debug!(reason = %end, position, "endpoint watch ended");
        if !calls_at_once {
            server.handle(Input::EndpointWatchFailed);
        }
    }
}

/// Calls the service and passes on events until the call ends.
async fn watch(server: &Server) -> WatchEnd {
    let mut stream = tokio::select! {
        connected = connect(server) => match connected {
            Ok(stream) => stream,
            Err(end) => return end,
        },
        () = server.journal_moved.notified() => return WatchEnd::Moved,
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
            () = server.journal_moved.notified() => return WatchEnd::Moved,
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

/// One call to the service.
struct Watch<'a> {
    server: &'a Server,
    received: BytesMut,
    decoder: LineDecoder,
    silent_at: Instant,
    /// The call has brought events, or a number that says that none are missing.
    is_answered: bool,
}

/// What the complete lines of one read brought.
#[derive(Default)]
struct ReadLines {
    events: Vec<EndpointEvent>,
    /// A number said that no event is missing.
    has_number: bool,
}

impl Watch<'_> {
    /// Passes on the complete lines that were read.
    fn on_read(&mut self) -> Result<(), WatchEnd> {
        let mut lines = ReadLines::default();
        let result = self.decode_lines(&mut lines);
        // The first number of a call says that nothing is missing: the call is answered.
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
