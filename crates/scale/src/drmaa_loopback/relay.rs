//! A relay on loopback that passes bytes on, and counts connections and messages.

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

/// Bytes that are read at a time.
const READ_SIZE: usize = 64 << 10;

/// What crossed one kind of connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections accepted.
    pub connections: u64,
    /// Frames or lines, both ways.
    pub traffic: Traffic,
}

/// Counts that several relays add to.
#[derive(Clone, Default)]
pub struct SharedCounts(Arc<Mutex<ConnectionCounts>>);

impl SharedCounts {
    /// The counts so far.
    pub fn read(&self) -> ConnectionCounts {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionCounts> {
        // Counts are whole at any time: a panic elsewhere does not spoil them.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes one frame of a node connection off the front of the bytes; false where there is none.
pub fn node_frames() -> impl FnMut(&mut BytesMut) -> bool + 'static {
    let mut codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_NODE_FRAME_BYTES)
        .new_codec();
    move |bytes| codec.decode(bytes).is_ok_and(|frame| frame.is_some())
}

/// Takes one line off the front of the bytes; false where there is none.
pub fn lines() -> impl FnMut(&mut BytesMut) -> bool + 'static {
    let mut codec = LinesCodec::new();
    move |bytes| codec.decode(bytes).is_ok_and(|line| line.is_some())
}

/// Starts a relay to `target`; gives its own address. `new_splitter` makes what takes one message off the front of the
/// bytes of one direction.
///
/// # Errors
/// [`MeasureError`] where it cannot listen on an IPv4 address.
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
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(target).await else {
                continue;
            };
            counts.lock().connections += 1;
            let _ = near.set_nodelay(true).and(far.set_nodelay(true));
            let (near_reader, near_writer) = near.into_split();
            let (far_reader, far_writer) = far.into_split();
            spawn_local(pass_on(
                near_reader,
                far_writer,
                counts.clone(),
                new_splitter(),
            ));
            spawn_local(pass_on(
                far_reader,
                near_writer,
                counts.clone(),
                new_splitter(),
            ));
        }
    });
    Ok(address)
}

async fn pass_on(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    counts: SharedCounts,
    mut take_message: impl FnMut(&mut BytesMut) -> bool,
) {
    let mut buffer = BytesMut::new();
    let mut part = vec![0; READ_SIZE];
    while let Ok(length @ 1..) = reader.read(&mut part).await {
        buffer.extend_from_slice(&part[..length]);
        {
            let mut counts = counts.lock();
            counts.traffic.bytes += length as u64;
            while take_message(&mut buffer) {
                counts.traffic.messages += 1;
            }
        }
        if writer.write_all(&part[..length]).await.is_err() {
            return;
        }
    }
}
