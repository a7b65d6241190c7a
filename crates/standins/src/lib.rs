//! Fakes of the peers of a controller, with fault injection: nodes, the node list, and a receiver of pushed metrics.
//! For tests and experiments only.
//!
//! [`node_model`] is the behaviour of one node without sockets, and [`node`] serves it on a socket. [`node_registry`]
//! is the node list without sockets, and [`list`] serves it on a socket. Apart from the wire protocol they share no
//! code with the controller. All listeners bind to loopback, port 0.

pub mod list;
pub mod node;
pub mod node_model;
pub mod node_registry;
pub mod receiver;

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Instant;
use tokio::net::TcpListener;

/// Limit on the queued messages to one controller.
pub(crate) const MAX_QUEUED_MESSAGES: usize = 8192;

/// Clock that all fakes of a run share. It starts at 0 when it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Clock {
        Clock(Instant::now())
    }
}

impl Clock {
    /// Microseconds since the start of the clock.
    pub fn now(&self) -> node_model::Micros {
        u64::try_from(self.0.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Converts a time of this clock to an instant.
    pub fn instant(&self, at: node_model::Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.0 + std::time::Duration::from_micros(at))
    }
}

/// Listens on a free port on loopback.
async fn listen_on_loopback() -> io::Result<(TcpListener, SocketAddrV4)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    match listener.local_addr()? {
        SocketAddr::V4(address) => Ok((listener, address)),
        SocketAddr::V6(address) => Err(io::Error::other(format!(
            "listening on {address}, where an IPv4 address was expected"
        ))),
    }
}
