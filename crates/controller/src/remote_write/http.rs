//! Sends one HTTP request to the metrics receiver, on a new connection.

use peppercove_config::RemoteWriteSettings;
use peppercove_push::client::RequestOutcome;
use peppercove_push::encode::{CONTENT_ENCODING, Version};
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum length of a response's status line and headers, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Maximum number of header fields in a response.
const MAX_HEADERS: usize = 32;

/// Sends a request with this body and returns the status of the response.
///
/// # Errors
/// Fails if the connection fails or the response is not valid HTTP.
pub(super) async fn post(
    settings: &RemoteWriteSettings,
    version: Version,
    body: &[u8],
) -> io::Result<RequestOutcome> {
    let mut stream = TcpStream::connect(settings.receiver).await?;
    stream
        .write_all(request_head(settings, version, body.len()).as_bytes())
        .await?;
    stream.write_all(body).await?;
    let mut received = Vec::new();
    loop {
        if let Some(outcome) = parse_response(&received)? {
            return Ok(outcome);
        }
        if stream.read_buf(&mut received).await? == 0 {
            return Err(io::Error::other(
                "connection closed before the response was complete",
            ));
        }
    }
}

fn request_head(settings: &RemoteWriteSettings, version: Version, body_bytes: usize) -> String {
    format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nUser-Agent: peppercove/{}\r\nContent-Type: {}\r\nContent-Encoding: {CONTENT_ENCODING}\r\n\
         X-Prometheus-Remote-Write-Version: {}\r\nContent-Length: {body_bytes}\r\nConnection: close\r\n\r\n",
        settings.path,
        settings.receiver,
        env!("CARGO_PKG_VERSION"),
        version.content_type(),
        version.version_header(),
    )
}

/// Parses the status and `Retry-After` of a response; `None` until all its headers have arrived.
fn parse_response(received: &[u8]) -> io::Result<Option<RequestOutcome>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(received) {
        Ok(httparse::Status::Complete(_)) => {
            let status = response.code.unwrap_or(0);
            Ok(Some(RequestOutcome::Status(
                status,
                retry_after(response.headers),
            )))
        }
        Ok(httparse::Status::Partial) if received.len() < MAX_HEAD_BYTES => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => {
            Err(io::Error::other("the response is not valid HTTP"))
        }
    }
}

/// Returns `Retry-After` in microseconds. A date is ignored, because that would depend on the receiver's clock; the
/// normal backoff applies instead.
fn retry_after(headers: &[httparse::Header<'_>]) -> Option<u64> {
    let header = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("retry-after"))?;
    let seconds: u64 = std::str::from_utf8(header.value)
        .ok()?
        .trim()
        .parse()
        .ok()?;
    Some(seconds.saturating_mul(1_000_000))
}
