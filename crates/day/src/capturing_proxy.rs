//! TCP proxies that forward all bytes and record the messages in them.

mod capture_log;
mod message_reader;

pub use capture_log::CaptureLog;
pub use message_reader::{ClassDefaults, ClassTable, Protocol};

use bytes::BytesMut;
use message_reader::{Direction, MessageReader};
use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Size of the buffer for one read, in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Handle to a proxy that listens on loopback and forwards connections to its target.
#[derive(Clone)]
pub struct CapturingProxy {
    address: SocketAddrV4,
    target: Rc<RefCell<SocketAddr>>,
    is_blocked: Rc<watch::Sender<bool>>,
}

impl CapturingProxy {
    /// Starts a proxy in front of `target`. Must be called within a `LocalSet`.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(
        target: SocketAddr,
        protocol: Protocol,
        log: CaptureLog,
    ) -> io::Result<CapturingProxy> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::Error::other(
                "listening on an IPv6 address, where an IPv4 address was expected",
            ));
        };
        let proxy = CapturingProxy {
            address,
            target: Rc::new(RefCell::new(target)),
            is_blocked: Rc::new(watch::Sender::new(false)),
        };
        spawn_local(proxy.clone().accept(listener, protocol, log));
        Ok(proxy)
    }

    /// Address that the proxy listens on.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Changes the address that new connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.borrow_mut() = target;
    }

    /// While blocked, the proxy closes every open connection and every new one.
    pub fn set_blocked(&self, is_blocked: bool) {
        self.is_blocked.send_replace(is_blocked);
    }

    async fn accept(self, listener: TcpListener, protocol: Protocol, log: CaptureLog) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            if *self.is_blocked.borrow() {
                continue;
            }
            let target = *self.target.borrow();
            let reader = MessageReader::new(protocol.clone(), log.clone());
            spawn_local(forward(stream, target, reader, self.is_blocked.subscribe()));
        }
    }
}

/// Forwards one connection in both directions until either side closes it or the proxy is blocked.
async fn forward(
    downstream: TcpStream,
    target: SocketAddr,
    reader: MessageReader,
    mut is_blocked: watch::Receiver<bool>,
) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    let reader = RefCell::new(reader);
    let (downstream_in, downstream_out) = downstream.into_split();
    let (upstream_in, upstream_out) = upstream.into_split();
    // The end of one direction closes both: on a half-open connection neither side would notice that the other is gone.
    tokio::select! {
        () = copy(downstream_in, upstream_out, &reader, Direction::ToTarget) => {}
        () = copy(upstream_in, downstream_out, &reader, Direction::FromTarget) => {}
        _ = is_blocked.wait_for(|is_blocked| *is_blocked) => {}
    }
    reader.borrow().on_closed();
}

/// Forwards and records one direction until it is closed.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    reader: &RefCell<MessageReader>,
    direction: Direction,
) {
    let mut unread = BytesMut::new();
    let mut chunk = vec![0; READ_BUFFER_BYTES];
    loop {
        let length = match from.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        unread.extend_from_slice(&chunk[..length]);
        // Recorded before it is forwarded, so that no reply is recorded before its request.
        reader.borrow_mut().read(&mut unread, direction);
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
