//! One connection that carries platform messages.

use super::byte_counts::ByteCounts;
use bytes::BytesMut;
use peppercove_platform::wire::{Message, decode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;

/// Sends and receives messages until one side closes the connection. Counts their bytes, and passes each received
/// message to `on_message`.
pub async fn carry_messages(
    stream: TcpStream,
    mut outgoing: UnboundedReceiver<Message>,
    bytes: &ByteCounts,
    mut on_message: impl FnMut(Message),
) {
    // Otherwise Nagle's algorithm would add to the measured delay of a start.
    let _ = stream.set_nodelay(true);
    let (mut reader, mut writer) = stream.into_split();
    let mut buffer = BytesMut::new();
    loop {
        tokio::select! {
            message = outgoing.recv() => {
                let Some(message) = message else { return };
                let frame = message.encode();
                bytes.add_sent(frame.len());
                if writer.write_all(&frame).await.is_err() {
                    return;
                }
            }
            read = reader.read_buf(&mut buffer) => {
                let Ok(count @ 1..) = read else { return };
                bytes.add_received(count);
                loop {
                    match decode(&mut buffer) {
                        Ok(Some(message)) => on_message(message),
                        Ok(None) => break,
                        Err(_) => return,
                    }
                }
            }
        }
    }
}
