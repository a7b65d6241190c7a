//! A journal service with a single event. It sends the sequence number of that event every second.

use super::byte_counts::ByteCounts;
use crate::error::MeasureError;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The sequence number of the only event, as a line.
const HEARTBEAT: &[u8] = b"1\n";
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the service and returns its address.
///
/// # Errors
/// [`MeasureError::Io`] if it cannot listen.
pub async fn start_journal_service(bytes: &Rc<ByteCounts>) -> Result<SocketAddr, MeasureError> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let bytes = bytes.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, bytes.clone()));
        }
    });
    Ok(address)
}

async fn serve(stream: TcpStream, bytes: Rc<ByteCounts>) {
    let mut stream = BufReader::new(stream);
    let mut request = String::new();
    let read = stream.read_line(&mut request).await.unwrap_or(0);
    bytes.add_received(read);
    while read > 0 && stream.write_all(HEARTBEAT).await.is_ok() {
        bytes.add_sent(HEARTBEAT.len());
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}
