//! A loopback relay that forwards bytes and counts connections and messages.

use crate::error::MeasureError;
use crate::traffic::Traffic;
use bytes::BytesMut;
use peppercove_protocol::codec::MAX_NODE_FRAME_BYTES;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio_util::codec::{Decoder, LengthDelimitedCodec, LinesCodec};

/// Read buffer size in bytes.
const READ_SIZE: usize = 64 << 10;

/// The counts of one kind of connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Accepted connections.
    pub connections: u64,
    /// Frames or lines in both directions.
    pub traffic: Traffic,
}

/// Counts shared by several relays.
#[derive(Clone, Default)]
pub struct SharedCounts(Arc<Mutex<ConnectionCounts>>);

impl SharedCounts {
    /// Returns the counts so far.
    pub fn read(&self) -> ConnectionCounts {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionCounts> {
        // Each counter is valid on its own, so a panic while the lock is held does not leave the counts inconsistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a splitter that removes one frame of a node connection from the front of the bytes; it returns false if
/// there is no complete frame.
pub fn node_frames() -> impl FnMut(&mut BytesMut) -> bool + 'static {
    let mut codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_NODE_FRAME_BYTES)
        .new_codec();
    move |bytes| codec.decode(bytes).is_ok_and(|frame| frame.is_some())
}

/// Returns a splitter that removes one line from the front of the bytes; it returns false if there is no complete line.
pub fn lines() -> impl FnMut(&mut BytesMut) -> bool + 'static {
    let mut codec = LinesCodec::new();
    move |bytes| codec.decode(bytes).is_ok_and(|line| line.is_some())
}

/// Starts a relay to `target` and returns the relay's address. `new_splitter` creates the splitter of one direction,
/// which removes one message from the front of the bytes.
///
/// # Errors
/// [`MeasureError`] if the relay cannot listen on an IPv4 address.
pub async fn start_relay<NewSplitter, Splitter>(
    target: SocketAddr,
    counts: SharedCounts,
    new_splitter: NewSplitter,
) -> Result<SocketAddrV4, MeasureError>
where
    NewSplitter: Fn() -> Splitter + 'static,
    Splitter: FnMut(&mut BytesMut) -> bool + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let SocketAddr::V4(address) = listener.local_addr()? else {
        return Err(MeasureError::NotIpv4);
    };
    spawn_local(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(target).await else {
                continue;
            };
            counts.lock().connections += 1;
            let _ = client.set_nodelay(true).and(server.set_nodelay(true));
            let (client_reader, client_writer) = client.into_split();
            let (server_reader, server_writer) = server.into_split();
            spawn_local(forward(
                client_reader,
                server_writer,
                counts.clone(),
                new_splitter(),
            ));
            spawn_local(forward(
                server_reader,
                client_writer,
                counts.clone(),
                new_splitter(),
            ));
        }
    });
    Ok(address)
}

async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    counts: SharedCounts,
    mut split_message: impl FnMut(&mut BytesMut) -> bool,
) {
    let mut buffer = BytesMut::new();
    let mut chunk = vec![0; READ_SIZE];
    while let Ok(length @ 1..) = reader.read(&mut chunk).await {
        buffer.extend_from_slice(&chunk[..length]);
        {
            let mut counts = counts.lock();
            counts.traffic.bytes += length as u64;
            while split_message(&mut buffer) {
                counts.traffic.messages += 1;
            }
        }
        if writer.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
