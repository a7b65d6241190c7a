//! One connection, of an owner or to a host, as the shell holds it.

use peppercove::Micros;
use peppercove_runtime::{Budget, Outbox};
use std::cell::Cell;
use std::rc::Rc;

/// A connection as the sweep sees it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) outbox: Outbox,
    pub(crate) since: Micros,
    /// Something whole was read from it at this time.
    pub(crate) heard_at: Cell<Option<Micros>>,
    /// Part of a message has waited for its rest since then.
    pub(crate) half_since: Cell<Option<Micros>>,
}

impl Connection {
    pub(crate) fn new(since: Micros, budget: &Rc<Budget>) -> Rc<Connection> {
        let (heard_at, half_since) = (Cell::new(None), Cell::new(None));
        Rc::new(Connection {
            outbox: Outbox::new(budget),
            since,
            heard_at,
            half_since,
        })
    }

    /// Writes to a host. Danger: left to its connection's turn, a set-up reached its host after the final answer to its
    /// owner, whose connection had its turn before.
    pub(crate) fn send(&self, frame: &[u8]) -> bool {
        self.outbox.push(frame) && self.outbox.write()
    }

    /// Writes what takes a set-up back. A host that reads nothing must not get later what waits here.
    pub(crate) fn take_back(&self, frame: &[u8]) {
        if !self.send(frame) {
            self.outbox.close();
        }
    }

    /// Notes what a read brought: whether whole messages came, and whether a part of one is left.
    pub(crate) fn read(&self, now: Micros, whole: bool, left: bool) {
        if whole {
            self.heard_at.set(Some(now));
        }
        match (left, self.half_since.get()) {
            (false, _) => self.half_since.set(None),
            (true, None) => self.half_since.set(Some(now)),
            // The part that is left now is another message's.
            (true, Some(_)) if whole => self.half_since.set(Some(now)),
            (true, Some(_)) => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::Connection;
    use peppercove_runtime::{Budget, Closed, carry};
    use std::rc::Rc;
    use tokio::net::{TcpListener, TcpStream};

    #[tokio::test(flavor = "current_thread")]
    async fn hosts_are_written_to_at_once_and_what_they_leave_is_not_sent_after_it_was_taken_back()
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (here, there) = tokio::join!(TcpStream::connect(address), listener.accept());
        let (here, _there) = (Rc::new(here.expect("connected")), there.expect("accepted"));
        let connection = Connection::new(0, &Budget::new(1 << 24));
        let carried = carry(&here, &connection.outbox, |_| true);
        let acts = async {
            tokio::task::yield_now().await;
            // Nobody else has a turn in between.
            assert!(connection.send(b"set-up"));
            connection.take_back(b"given up");
            assert_eq!(connection.outbox.written(), 14);
            assert!(
                !connection.send(&vec![0; 1 << 23]),
                "more than a peer that reads nothing is sent"
            );
            connection.take_back(b"given up");
        };
        assert!(matches!(tokio::join!(carried, acts).0, Closed::Here));
    }
}
