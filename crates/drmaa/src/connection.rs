//! One connection to one controller: one line for each request, one for each response.

use crate::Error;
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::{Init, MAX_LINE_BYTES, RpcRequest, RpcResponse, SessionInfo};
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a call that does not wait, for a controller that hangs.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest response, in bytes: a bulk submission returns more than it takes.
const MAX_RESPONSE_BYTES: u64 = MAX_LINE_BYTES as u64 * 4;

/// Why a call has no result.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The controller answered with an error.
    Answered(Error),
    /// Nothing was sent: the call can be made elsewhere.
    NotSent(String),
    /// The call was sent, and its outcome is ambiguous.
    Ambiguous(String),
}

/// A connection on which a session is open.
pub(crate) struct Connection {
    stream: BufReader<TcpStream>,
    last_id: u64,
    info: SessionInfo,
}

impl Connection {
    /// Connects and opens the session of that name.
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
        // Opening a session twice has no effect, so an ambiguous outcome is as good as none.
        let info = result.map_err(|error| match error {
            CallError::Ambiguous(what) => CallError::NotSent(what),
            CallError::Answered(_) | CallError::NotSent(_) => error,
        })?;
        connection.info = serde_json::from_value(info).map_err(|error| {
            CallError::NotSent(format!(
                "{address}: no session in the answer to init: {error}"
            ))
        })?;
        Ok(connection)
    }

    /// What the controller said of itself and the session.
    pub(crate) fn info(&self) -> &SessionInfo {
        &self.info
    }

    /// Makes a call and waits for its response.
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
        // After an error a part of the line may have been sent, but only a whole line is a request.
        let stream = self.stream.get_mut();
        stream.write_all(line.as_bytes()).map_err(ambiguous)?;
        stream.set_read_timeout(Some(timeout)).map_err(ambiguous)?;
        loop {
            // Notifications and late responses have another id.
            let response = self.read_response()?;
            if response.id == id {
                return match response.error {
                    Some(error) => Err(CallError::Answered(Error::from(&error))),
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
        let problem = match read {
            Ok(0) => "the controller closed the connection".into(),
            Ok(_) if line.ends_with('\n') => match serde_json::from_str(&line) {
                Ok(response) => return Ok(response),
                Err(error) => format!("no answer of JSON-RPC: {error}"),
            },
            Ok(_) => "the answer broke off".into(),
            Err(error) => error.to_string(),
        };
        Err(CallError::Ambiguous(problem))
    }
}

/// A request as a line, its end included.
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
            "the call takes {} bytes, {MAX_LINE_BYTES} at most",
            line.len()
        );
        return Err(CallError::Answered(Error::new(
            Errno::InvalidArgument,
            message,
        )));
    }
    Ok(line)
}
