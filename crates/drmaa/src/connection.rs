//! A connection to a controller. Each request and each response is one line.

use crate::Error;
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::{Init, MAX_LINE_BYTES, RpcRequest, RpcResponse, SessionInfo};
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a call that does not wait at the controller, so that a controller that hangs is detected.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a response in bytes. It is larger than that of a request, because the response to a bulk submission
/// is larger than its request.
const MAX_RESPONSE_BYTES: u64 = MAX_LINE_BYTES as u64 * 4;

/// The reason why a call has no result.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The controller returned an error.
    ErrorResponse(Error),
    /// The request was not sent, so the call can be made at another controller.
    NotSent(String),
    /// The request may have been received, and its outcome is ambiguous.
    Ambiguous(String),
}

/// A connection with an open session.
pub(crate) struct Connection {
    stream: BufReader<TcpStream>,
    last_id: u64,
    info: SessionInfo,
}

impl Connection {
    /// Connects to a controller and opens the session with the given name.
    pub(crate) fn open(address: SocketAddr, session: &str) -> Result<Connection, CallError> {
        let not_sent = |error: io::Error| CallError::NotSent(format!("{address}: {error}"));
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).map_err(not_sent)?;
        stream.set_nodelay(true).map_err(not_sent)?;
        stream
            .set_write_timeout(Some(CALL_TIMEOUT))
            .map_err(not_sent)?;
        let mut connection = Connection {
            stream: BufReader::new(stream),
            last_id: 0,
            info: SessionInfo::default(),
        };
        let params = serde_json::to_value(Init {
            session: session.into(),
            notify: false,
        });
        let result = connection.call("init", params.unwrap_or_default(), CALL_TIMEOUT);
        // Opening a session is idempotent, so an ambiguous outcome is treated as a request that was not sent.
        let info = result.map_err(|error| match error {
            CallError::Ambiguous(reason) => CallError::NotSent(reason),
            CallError::ErrorResponse(_) | CallError::NotSent(_) => error,
        })?;
        connection.info = serde_json::from_value(info).map_err(|error| {
            CallError::NotSent(format!("{address}: invalid response to init: {error}"))
        })?;
        Ok(connection)
    }

    /// Returns the information on the controller and the session that `init` returned.
    pub(crate) fn info(&self) -> &SessionInfo {
        &self.info
    }

    /// Sends a request and waits for its response.
    pub(crate) fn call(
        &mut self,
        method: &str,
        params: Value,
        timeout: Duration,
    ) -> Result<Value, CallError> {
        self.last_id += 1;
        let id = Value::from(self.last_id);
        let line = request_line(&id, method, params)?;
        let ambiguous = |error: io::Error| CallError::Ambiguous(error.to_string());
        // If writing fails, part of the line may have been sent; a controller acts only on complete lines.
        let stream = self.stream.get_mut();
        stream.write_all(line.as_bytes()).map_err(ambiguous)?;
        stream.set_read_timeout(Some(timeout)).map_err(ambiguous)?;
        loop {
            // Notifications and late responses have another id; they are skipped.
            let response = self.read_response()?;
            if response.id == id {
                return match response.error {
                    Some(error) => Err(CallError::ErrorResponse(Error::from(&error))),
                    None => Ok(response.result.unwrap_or_default()),
                };
            }
        }
    }

    fn read_response(&mut self) -> Result<RpcResponse, CallError> {
        let mut line = String::new();
        let read = (&mut self.stream)
            .take(MAX_RESPONSE_BYTES)
            .read_line(&mut line);
        let reason = match read {
            Ok(0) => "the controller closed the connection".into(),
            Ok(_) if line.ends_with('\n') => match serde_json::from_str(&line) {
                Ok(response) => return Ok(response),
                Err(error) => format!("invalid JSON-RPC response: {error}"),
            },
            Ok(_) => "the response was cut off or exceeds the maximum size".into(),
            Err(error) => error.to_string(),
        };
        Err(CallError::Ambiguous(reason))
    }
}

/// Encodes a request as a line, including the line terminator.
fn request_line(id: &Value, method: &str, params: Value) -> Result<String, CallError> {
    let request = RpcRequest {
        jsonrpc: "2.0".into(),
        id: Some(id.clone()),
        method: method.into(),
        params,
    };
    let mut line =
        serde_json::to_string(&request).map_err(|error| CallError::NotSent(error.to_string()))?;
    line.push('\n');
    if line.len() > MAX_LINE_BYTES {
        let message = format!(
            "the request has {} bytes, but the maximum is {MAX_LINE_BYTES}",
            line.len()
        );
        return Err(CallError::ErrorResponse(Error::new(
            Errno::InvalidArgument,
            message,
        )));
    }
    Ok(line)
}
