//! Results of calls.

use crate::{Errno, Error};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::time::Duration;

/// The result of a call as a type.
pub(super) fn decode<T: DeserializeOwned>(value: Value) -> Result<T, Error> {
    serde_json::from_value(value)
        .map_err(|error| Error::new(Errno::InternalError, format!("unexpected result: {error}")))
}

/// A field of the result of a call.
pub(super) fn field<T: DeserializeOwned>(value: &Value, name: &str) -> Result<T, Error> {
    let field = value.get(name).cloned().unwrap_or_default();
    serde_json::from_value(field)
        .map_err(|error| Error::new(Errno::InternalError, format!("{name}: {error}")))
}

/// A duration as a parameter of a call.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
