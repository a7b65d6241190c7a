//! The journal service: every event in order, and word to the module where it cannot be had.

use crate::shell::Shell;
use bytes::BytesMut;
use peppercove_platform::Input;
use peppercove_platform::endpoint_watch::{
    EndpointWatchError, LineDecoder, SILENT, SequenceCheck, WatchLine, check_sequence,
};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// Bytes read at a time: a change of some hundreds of hosts.
const AT_ONCE: usize = 64 << 10;

/// Why following came to its end.
#[derive(Debug, thiserror::Error)]
enum End {
    #[error("no connection: {0}")]
    Connect(io::Error),
    #[error("no connection in time")]
    NotUp,
    #[error("broken off: {0}")]
    Broken(io::Error),
    #[error("closed")]
    Closed,
    #[error("silent")]
    Silent,
    #[error(transparent)]
    Unreadable(#[from] EndpointWatchError),
    #[error("events are missing")]
    Gap,
    #[error("the module asks anew")]
    Asked,
    #[error("the service has moved")]
    Moved,
}

/// Follows the journal service for good.
pub(crate) async fn keep(shell: Rc<Shell>) {
    let mut wait = !shell.pushed;
    loop {
        if wait {
            tokio::select! {
                () = shell.watch.notified() => {}
                () = shell.moved.notified() => {}
            }
        }
        let held = shell.pos.get();
        let end = follow(&shell).await;
        // Asking again at once helps where the address is another one, or where the last call brought something.
        let again = match end {
            End::Moved | End::Asked => true,
            End::Gap => shell.pos.get() > held,
            _ => false,
        };
        wait = !again;
        tracing::debug!(%end, pos = shell.pos.get(), "journal service");
        if !again {
            shell.input(Input::EndpointWatchFailed);
        }
    }
}

async fn follow(shell: &Shell) -> End {
    let connect = TcpStream::connect(shell.journal.get());
    let mut stream = tokio::select! {
        stream = timeout(shell.dial_timeout, connect) => match stream {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return End::Connect(error),
            Err(_) => return End::NotUp,
        },
        () = shell.moved.notified() => return End::Moved,
    };
    let call = format!("tail {}\n", shell.pos.get());
    if let Err(error) = stream.write_all(call.as_bytes()).await {
        return End::Broken(error);
    }
    let mut buffer = BytesMut::new();
    let mut lines = LineDecoder::new(shell.longest_line);
    let mut answered = false;
    // Danger: bytes that come without ever ending a line are no sign of life.
    let silent_for = Duration::from_micros(SILENT);
    let mut silent_at = Instant::now() + silent_for;
    loop {
        // Danger: read in small parts, a list of hundreds of hosts waits for one turn of all connections after the other.
        buffer.reserve(AT_ONCE);
        tokio::select! {
            read = timeout_at(silent_at, stream.read_buf(&mut buffer)) => match read {
                Ok(Ok(0)) => return End::Closed,
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return End::Broken(error),
                Err(_) => return End::Silent,
            },
            () = shell.moved.notified() => return End::Moved,
            () = shell.watch.notified() => return End::Asked,
        }
        let mut entries = Vec::new();
        let mut numbered = false;
        let end = loop {
            match lines.next(&mut buffer) {
                Ok(Some(line)) => {
                    silent_at = Instant::now() + silent_for;
                    match (check_sequence(shell.pos.get(), &line), line) {
                        (SequenceCheck::Apply, WatchLine::Event(entry)) => {
                            shell.pos.set(entry.pos);
                            entries.push(entry);
                        }
                        (SequenceCheck::Resync, _) => break Some(End::Gap),
                        (SequenceCheck::Skip | SequenceCheck::Apply, line) => {
                            numbered |= matches!(line, WatchLine::Last(_))
                        }
                    }
                }
                Ok(None) => break None,
                Err(error) => break Some(error.into()),
            }
        };
        // The first number of a call says that nothing is missing: the call is answered.
        let first = numbered && !answered;
        answered |= first || !entries.is_empty();
        if first || !entries.is_empty() {
            shell.input(Input::EndpointEvents(entries));
        }
        if let Some(end) = end {
            return end;
        }
    }
}
