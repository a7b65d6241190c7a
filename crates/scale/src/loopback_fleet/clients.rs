//! The clients of one scheduler: one connection that carries all requests, and idle ones.

use super::byte_counts::ByteCounts;
use super::connection::carry_messages;
use super::request_ids::request_id;
use crate::error::MeasureError;
use crate::platform_format::request_message;
use crate::row::Sizes;
use peppercove_platform::wire::{Message, MessageKind, code};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;

/// Timeout for the tests of new connections.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the passed tests are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The outcomes of the requests since [`Clients::reset`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Placed tasks.
    pub placed: u64,
    /// Rejected or failed requests.
    pub rejected: u64,
    /// Ended tasks.
    pub ended: u64,
}

#[derive(Debug, Default)]
struct Received {
    /// Send time of each unanswered request.
    sent_at: BTreeMap<u64, Instant>,
    /// Microseconds from each request to its answer.
    delays: Vec<f64>,
    outcomes: Outcomes,
    /// Connections that passed a test.
    tested: u64,
    /// Connections that the scheduler closed.
    closed: u64,
}

impl Received {
    fn on_message(&mut self, message: &Message) {
        match (message.kind, self.sent_at.remove(&message.id)) {
            (MessageKind::Tested, _) => self.tested += 1,
            (MessageKind::Answer, Some(sent_at)) => {
                self.outcomes.placed += 1;
                self.delays.push(sent_at.elapsed().as_secs_f64() * 1e6);
            }
            (MessageKind::Release, Some(_)) => self.outcomes.rejected += 1,
            (MessageKind::Release, None) => self.outcomes.ended += 1,
            _ => {}
        }
    }
}

/// The clients of one scheduler.
pub struct Clients {
    scheduler: usize,
    /// The message queue of each connection; requests are sent over the first.
    outgoing: Vec<UnboundedSender<Message>>,
    received: Rc<RefCell<Received>>,
}

impl Clients {
    /// Opens `connections` connections, at least one, and waits for up to one second until each has passed a test.
    ///
    /// # Errors
    /// [`MeasureError::Io`] if a connection is refused.
    pub async fn connect(
        scheduler: usize,
        address: SocketAddr,
        connections: u64,
        bytes: &Rc<ByteCounts>,
    ) -> Result<Clients, MeasureError> {
        let mut clients = Clients {
            scheduler,
            outgoing: Vec::new(),
            received: Rc::default(),
        };
        for _ in 0..connections.max(1) {
            let stream = TcpStream::connect(address).await?;
            let (outgoing, queue) = unbounded_channel();
            let _ = outgoing.send(Message::new(MessageKind::Test, 1).with(code::CAUSE, &[0]));
            clients.outgoing.push(outgoing);
            let (received, bytes) = (clients.received.clone(), bytes.clone());
            spawn_local(async move {
                let on_message = |message| received.borrow_mut().on_message(&message);
                carry_messages(stream, queue, &bytes, on_message).await;
                received.borrow_mut().closed += 1;
            });
        }
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        while clients.received.borrow().tested < connections && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(clients)
    }

    /// Sends the request for one task.
    pub fn request_task(&self, sizes: &Sizes, number: u64) {
        let id = request_id(self.scheduler, number);
        self.received
            .borrow_mut()
            .sent_at
            .insert(id, Instant::now());
        let _ = self.outgoing[0].send(request_message(sizes, id));
    }

    /// Discards all requests so far, answered or not.
    pub fn reset(&self) {
        let mut received = self.received.borrow_mut();
        let (tested, closed) = (received.tested, received.closed);
        *received = Received {
            tested,
            closed,
            ..Received::default()
        };
    }

    /// Returns the microseconds from each request to its answer.
    pub fn delays(&self) -> Vec<f64> {
        self.received.borrow().delays.clone()
    }

    /// Returns the outcomes of the requests since [`Clients::reset`].
    pub fn outcomes(&self) -> Outcomes {
        self.received.borrow().outcomes
    }

    /// Returns the number of connections that the scheduler has not closed.
    pub fn open_connections(&self) -> u64 {
        self.outgoing.len() as u64 - self.received.borrow().closed
    }
}
