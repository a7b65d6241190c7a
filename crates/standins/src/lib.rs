//! Fakes of what a controller talks to: nodes with faults, the node list, and a receiver of pushed metrics. Only for
//! tests and experiments.
//!
//! [`node_model`] is the behaviour of one node without sockets, [`node`] puts it behind one. [`node_registry`] is the
//! node list without sockets, [`list`] puts it behind one. They share the frames with the controller and nothing else.
//! Everything binds to loopback, port 0.

pub mod list;
pub mod node;
pub mod node_model;
pub mod node_registry;
pub mod receiver;

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Instant;
use tokio::net::TcpListener;

/// Messages to one controller that are queued at most.
pub(crate) const MAX_QUEUED_MESSAGES: usize = 8192;

/// The time that all fakes of one run share, from its beginning.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Clock {
        Clock(Instant::now())
    }
}

impl Clock {
    /// Microseconds since the beginning.
    pub fn now(&self) -> node_model::Micros {
        u64::try_from(self.0.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// The instant of a time.
    pub fn instant(&self, at: node_model::Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.0 + std::time::Duration::from_micros(at))
    }
}

/// Listens on a free port of loopback.
async fn listen_on_loopback() -> io::Result<(TcpListener, SocketAddrV4)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    match listener.local_addr()? {
        SocketAddr::V4(address) => Ok((listener, address)),
        SocketAddr::V6(address) => Err(io::Error::other(format!(
            "listening on {address}, where an IPv4 address was expected"
        ))),
    }
}
