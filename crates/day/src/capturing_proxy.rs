//! Proxies that pass bytes on and record the messages in them.

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

/// Bytes that are read at a time.
const CHUNK_BYTES: usize = 64 << 10;

/// A proxy in front of a listener.
#[derive(Clone)]
pub struct CapturingProxy {
    address: SocketAddrV4,
    target: Rc<RefCell<SocketAddr>>,
    is_cut: Rc<watch::Sender<bool>>,
}

impl CapturingProxy {
    /// Listens in front of `target`. Must be called within a `LocalSet`.
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
            return Err(io::Error::other("an IPv4 address was expected"));
        };
        let proxy = CapturingProxy {
            address,
            target: Rc::new(RefCell::new(target)),
            is_cut: Rc::new(watch::Sender::new(false)),
        };
        spawn_local(proxy.clone().accept(listener, protocol, log));
        Ok(proxy)
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// New connections lead to this address from now on.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.borrow_mut() = target;
    }

    /// Breaks every connection through it and accepts none as long as this is set.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }

    async fn accept(self, listener: TcpListener, protocol: Protocol, log: CaptureLog) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            if *self.is_cut.borrow() {
                continue;
            }
            let target = *self.target.borrow();
            let reader = MessageReader::new(protocol.clone(), log.clone());
            spawn_local(forward(stream, target, reader, self.is_cut.subscribe()));
        }
    }
}

/// Forwards one connection both ways until it ends.
async fn forward(
    near: TcpStream,
    target: SocketAddr,
    reader: MessageReader,
    mut is_cut: watch::Receiver<bool>,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let reader = RefCell::new(reader);
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    // The end of one way ends both: a half-open connection would hide from each side that the other is gone.
    tokio::select! {
        () = copy(near_in, far_out, &reader, Direction::ToTarget) => {}
        () = copy(far_in, near_out, &reader, Direction::FromTarget) => {}
        _ = is_cut.wait_for(|is_cut| *is_cut) => {}
    }
    reader.borrow().on_closed();
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    reader: &RefCell<MessageReader>,
    direction: Direction,
) {
    let mut unread = BytesMut::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = match from.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        unread.extend_from_slice(&chunk[..length]);
        // Recorded before it is passed on: nothing can be answered before it was recorded.
        reader.borrow_mut().read(&mut unread, direction);
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
