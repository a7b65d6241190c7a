//! Conversion of call results and parameters from and to JSON.

use crate::{Errno, Error};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::time::Duration;

/// Decodes the result of a call.
pub(super) fn decode<T: DeserializeOwned>(value: Value) -> Result<T, Error> {
    serde_json::from_value(value).map_err(|error| {
        Error::new(
            Errno::InternalError,
            format!("unexpected result of a call: {error}"),
        )
    })
}

/// Decodes a field of the result of a call.
pub(super) fn field<T: DeserializeOwned>(value: &Value, name: &str) -> Result<T, Error> {
    let field = value.get(name).cloned().unwrap_or_default();
    serde_json::from_value(field).map_err(|error| {
        Error::new(
            Errno::InternalError,
            format!("unexpected field {name} in the result of a call: {error}"),
        )
    })
}

/// Converts a duration to milliseconds, for a parameter of a call.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
