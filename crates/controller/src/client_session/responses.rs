//! Encodes results and errors of calls as JSON-RPC response lines.

use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::rpc::{RpcError, RpcResponse};
use serde::Serialize;
use serde_json::Value;
use std::time::Duration;

/// Encodes the response to the call with this id.
pub(super) fn response(id: Value, result: Result<Value, RpcError>) -> String {
    let (result, error) = match result {
        Ok(result) => (Some(result), None),
        Err(error) => (None, Some(error)),
    };
    let response = RpcResponse {
        jsonrpc: "2.0".into(),
        id,
        result,
        error,
    };
    serde_json::to_string(&response).unwrap_or_default()
}

/// Returns the error that asks the client to retry after a delay.
pub(super) fn try_later(retry_after: Duration, message: &str) -> RpcError {
    let millis = retry_after.as_millis();
    let message = format!("{message}; retry after {millis} ms");
    let mut error = RpcError::drmaa(Errno::TryLater, message);
    if let Some(data) = &mut error.data {
        data.retry_after_ms = Some(u64::try_from(millis).unwrap_or(u64::MAX));
    }
    error
}

/// Converts the result of a call to JSON.
pub(super) fn to_json<T: Serialize>(value: T) -> Result<Value, RpcError> {
    serde_json::to_value(value)
        .map_err(|error| RpcError::drmaa(Errno::InternalError, error.to_string()))
}
