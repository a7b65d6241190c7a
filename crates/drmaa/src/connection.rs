//! One connection to one controller: a call, a line, an answer, a line.

use crate::Error;
use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::{self, Init, RpcError, RpcRequest, RpcResponse, SessionInfo};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What became of a call that has no result.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The controller answered with an error.
    Answered(Error),
    /// Nothing was sent: the call can be made elsewhere.
    NotSent(String),
    /// It was sent, and the answer is not known.
    Unknown(String),
}

pub(crate) struct Connection {
    reader: BufReader<TcpStream>,
    next: u64,
    pub(crate) info: SessionInfo,
}

const CONNECT: Duration = Duration::from_secs(2);
/// A call that does not wait is answered at once; this is for a controller that hangs.
pub(crate) const ANSWER: Duration = Duration::from_secs(10);

impl Connection {
    pub(crate) fn open(address: SocketAddr, session: &str) -> Result<Connection, Failure> {
        let connect = |e: std::io::Error| Failure::NotSent(format!("{address}: {e}"));
        let stream = TcpStream::connect_timeout(&address, CONNECT).map_err(connect)?;
        stream.set_nodelay(true).map_err(connect)?;
        stream.set_write_timeout(Some(ANSWER)).map_err(connect)?;
        let mut connection = Connection {
            reader: BufReader::new(stream),
            next: 0,
            info: SessionInfo::default(),
        };
        let params = serde_json::to_value(Init {
            session: session.into(),
            notify: false,
        })
        .unwrap_or_default();
        // Opening a session has no effect that could happen twice.
        let info = connection
            .call("init", params, ANSWER)
            .map_err(|f| match f {
                Failure::Unknown(what) => Failure::NotSent(what),
                other => other,
            })?;
        connection.info = serde_json::from_value(info).map_err(|e| {
            Failure::NotSent(format!("{address}: no session in the answer to init: {e}"))
        })?;
        Ok(connection)
    }

    pub(crate) fn call(
        &mut self,
        method: &str,
        params: Value,
        within: Duration,
    ) -> Result<Value, Failure> {
        self.next += 1;
        let id = Value::from(self.next);
        let call = RpcRequest {
            jsonrpc: "2.0".into(),
            id: Some(id.clone()),
            method: method.into(),
            params,
        };
        let mut line = serde_json::to_string(&call).map_err(|e| Failure::NotSent(e.to_string()))?;
        line.push('\n');
        if line.len() > rpc::MAX_LINE_BYTES {
            let what = format!(
                "the call takes {} bytes, {} at most",
                line.len(),
                rpc::MAX_LINE_BYTES
            );
            return Err(Failure::Answered(Error::new(Errno::InvalidArgument, what)));
        }
        let unknown = |e: std::io::Error| Failure::Unknown(e.to_string());
        // A part of the line may have left, but only a whole line is a call.
        self.reader
            .get_mut()
            .write_all(line.as_bytes())
            .map_err(unknown)?;
        self.reader
            .get_ref()
            .set_read_timeout(Some(within))
            .map_err(unknown)?;
        loop {
            let reply = self.read()?;
            if reply.id != id {
                continue;
            }
            return match (reply.result, reply.error) {
                (_, Some(fault)) => Err(Failure::Answered(error_of(&fault))),
                (result, None) => Ok(result.unwrap_or_default()),
            };
        }
    }

    fn read(&mut self) -> Result<RpcResponse, Failure> {
        let mut line = String::new();
        let most = rpc::MAX_LINE_BYTES as u64 * 4;
        let read = (&mut self.reader).take(most).read_line(&mut line);
        match read {
            Ok(0) => Err(Failure::Unknown(
                "the controller closed the connection".into(),
            )),
            Ok(_) if line.ends_with('\n') => {
                // A notification is no reply: it has no id, which is that of no call.
                serde_json::from_str(&line)
                    .map_err(|e| Failure::Unknown(format!("no answer of JSON-RPC: {e}")))
            }
            Ok(_) => Err(Failure::Unknown("the answer broke off".into())),
            Err(e) => Err(Failure::Unknown(e.to_string())),
        }
    }
}

fn error_of(fault: &RpcError) -> Error {
    let retry_after = fault
        .data
        .as_ref()
        .and_then(|d| d.retry_after_ms)
        .map(Duration::from_millis);
    Error {
        errno: fault.errno(),
        message: fault.message.clone(),
        retry_after,
    }
}
