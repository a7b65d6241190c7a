//! One client connection: reads calls and writes responses, one per line, with limits on size, queue and time.

use super::calls;
use super::responses::{response, try_later};
use crate::client_registry::ClientHandle;
use crate::server::Server;
use futures_util::{SinkExt, StreamExt};
use peppercove_protocol::rpc::{self, RpcError};
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, timeout};
use tokio_util::codec::{Framed, LinesCodec, LinesCodecError};

/// Timeout for writing an error to a connection that is closed afterwards.
const ERROR_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for writing each line that is still queued when a connection closes.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(200);

type Lines = Framed<TcpStream, LinesCodec>;

fn lines(stream: TcpStream) -> Lines {
    Framed::new(stream, LinesCodec::new_with_max_length(rpc::MAX_LINE_BYTES))
}

async fn write_error(lines: &mut Lines, error: RpcError) {
    let line = response(Value::Null, Err(error));
    let _ = timeout(ERROR_WRITE_TIMEOUT, lines.send(line)).await;
}

/// Sends an error to a connection beyond the limit and closes it.
pub(super) async fn reject(server: Rc<Server>, stream: TcpStream) {
    let error = try_later(
        server.config.limits.retry_after,
        "too many clients are connected",
    );
    write_error(&mut lines(stream), error).await;
}

/// Serves a connection until it closes.
pub(super) async fn serve(server: Rc<Server>, stream: TcpStream) {
    let (sender, queue) = mpsc::channel(server.config.limits.client_queue);
    let close = Rc::new(Notify::new());
    let client = ClientHandle::new(sender.clone(), close.clone());
    let id = server.clients.borrow_mut().add(client);
    let mut connection = Connection {
        context: calls::CallContext {
            server: server.clone(),
            connection: id,
        },
        lines: lines(stream),
        sender,
        queue,
        close,
        waiting_calls: JoinSet::new(),
        partial_line_since: None,
    };
    connection.run().await;
    connection.write_remaining().await;
    server.clients.borrow_mut().remove(id);
}

/// Whether a connection stays open after a step.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NextAction {
    Continue,
    Close,
}

struct Connection {
    context: calls::CallContext,
    lines: Lines,
    sender: mpsc::Sender<String>,
    queue: mpsc::Receiver<String>,
    /// Notified when the connection is to be closed.
    close: Rc<Notify>,
    waiting_calls: JoinSet<()>,
    /// When the current incomplete line was first noticed; `None` if no incomplete line is buffered.
    partial_line_since: Option<Instant>,
}

impl Connection {
    async fn run(&mut self) {
        let mut check = tokio::time::interval(self.idle_timeout() / 2);
        check.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            // Biased: a close request and queued lines take precedence over further calls.
            let next = tokio::select! {
                biased;
                () = self.close.notified() => NextAction::Close,
                Some(line) = self.queue.recv() => self.write_queued(line).await,
                line = self.lines.next() => self.on_line(line).await,
                Some(_) = self.waiting_calls.join_next(), if !self.waiting_calls.is_empty() => {
                    NextAction::Continue
                }
                _ = check.tick() => self.check_partial_line(),
            };
            if next == NextAction::Close {
                return;
            }
        }
    }

    fn idle_timeout(&self) -> Duration {
        self.context.server.config.limits.client_idle_timeout
    }

    /// Writes a line and all lines queued behind it, with a single flush.
    async fn write_queued(&mut self, first: String) -> NextAction {
        let idle_timeout = self.idle_timeout();
        let write = async {
            self.lines.feed(first).await?;
            while let Ok(line) = self.queue.try_recv() {
                self.lines.feed(line).await?;
            }
            SinkExt::<String>::flush(&mut self.lines).await
        };
        match timeout(idle_timeout, write).await {
            Ok(Ok(())) => NextAction::Continue,
            Ok(Err(_)) | Err(_) => NextAction::Close,
        }
    }

    async fn on_line(&mut self, line: Option<Result<String, LinesCodecError>>) -> NextAction {
        match line {
            Some(Ok(line)) => self.on_call(&line),
            Some(Err(LinesCodecError::MaxLineLengthExceeded)) => {
                let message = format!("line is longer than {} bytes", rpc::MAX_LINE_BYTES);
                let error = RpcError::rpc(rpc::PARSE_ERROR, message);
                write_error(&mut self.lines, error).await;
                NextAction::Close
            }
            Some(Err(LinesCodecError::Io(_))) | None => NextAction::Close,
        }
    }

    fn on_call(&mut self, line: &str) -> NextAction {
        self.partial_line_since = None;
        let may_wait = self.waiting_calls.len() < self.context.server.config.limits.pending_calls;
        match calls::handle_line(&self.context, line, may_wait) {
            calls::CallOutcome::Response(line) => match self.sender.try_send(line) {
                Ok(()) => NextAction::Continue,
                Err(_) => NextAction::Close,
            },
            calls::CallOutcome::NoResponse => NextAction::Continue,
            calls::CallOutcome::Waiting(call) => {
                let sender = self.sender.clone();
                self.waiting_calls.spawn_local(async move {
                    // The number of waiting calls is limited, so the queue has space unless the client does not
                    // read.
                    let _ = sender.send(call.respond().await).await;
                });
                NextAction::Continue
            }
        }
    }

    /// Closes the connection if an incomplete line has not been completed within the idle timeout; a connection that
    /// sends nothing stays open. The reader does not return for an incomplete line, so this is checked periodically.
    fn check_partial_line(&mut self) -> NextAction {
        if self.lines.read_buffer().is_empty() {
            self.partial_line_since = None;
            return NextAction::Continue;
        }
        let since = *self.partial_line_since.get_or_insert_with(Instant::now);
        if since.elapsed() >= self.idle_timeout() {
            NextAction::Close
        } else {
            NextAction::Continue
        }
    }

    async fn write_remaining(&mut self) {
        while let Ok(line) = self.queue.try_recv() {
            let written = timeout(FINAL_WRITE_TIMEOUT, self.lines.send(line)).await;
            if !matches!(written, Ok(Ok(()))) {
                return;
            }
        }
    }
}
