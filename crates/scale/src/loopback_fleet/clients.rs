//! The clients of one scheduler: idle connections, and one over which all requests are sent.

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

/// How long the tests of new connections are waited for.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How often it is looked whether they have passed.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What came of the requests since [`Clients::reset`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Tasks placed.
    pub placed: u64,
    /// Requests rejected or failed.
    pub rejected: u64,
    /// Tasks ended.
    pub ended: u64,
}

#[derive(Debug, Default)]
struct Received {
    /// When each request without an answer was sent.
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
    /// One a connection; requests go over the first.
    outgoing: Vec<UnboundedSender<Message>>,
    received: Rc<RefCell<Received>>,
}

impl Clients {
    /// Opens so many connections, one at least, and waits until each has passed a test, for a second at most.
    ///
    /// # Errors
    /// [`MeasureError::Io`] where a connection is refused.
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

    /// Forgets all requests so far, answered or not.
    pub fn reset(&self) {
        let mut received = self.received.borrow_mut();
        let (tested, closed) = (received.tested, received.closed);
        *received = Received {
            tested,
            closed,
            ..Received::default()
        };
    }

    /// Microseconds from each request to its answer.
    pub fn delays(&self) -> Vec<f64> {
        self.received.borrow().delays.clone()
    }

    /// What came of the requests since [`Clients::reset`].
    pub fn outcomes(&self) -> Outcomes {
        self.received.borrow().outcomes
    }

    /// Connections that the scheduler keeps open.
    pub fn open_connections(&self) -> u64 {
        self.outgoing.len() as u64 - self.received.borrow().closed
    }
}
