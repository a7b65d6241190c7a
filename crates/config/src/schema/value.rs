//! Validation of attribute values.

use super::ValueKind;
use std::net::SocketAddrV4;
use std::str::FromStr;
use std::time::Duration;

/// Parses a duration such as `250us`, `800ms`, `5s` or `2m`. Returns `None` if the text is not a duration.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (count, unit) = text.split_at(unit_start);
    let seconds = match unit {
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(count.parse::<f64>().ok()? * seconds).ok()
}

/// Maximum duration of an attribute: one leap year.
const MAX_DURATION: Duration = Duration::from_secs(366 * 86_400);
/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;

/// Validates the text of an attribute.
///
/// # Errors
/// A description of the expected value.
pub(super) fn check_value(kind: ValueKind, text: &str) -> Result<(), String> {
    let is_valid = match kind {
        ValueKind::Text => !text.is_empty(),
        ValueKind::Name => is_name(text),
        ValueKind::Flag => matches!(text, "true" | "false"),
        ValueKind::Integer(min, max) => is_within::<u64>(text, min, max),
        ValueKind::Number(min, max) => is_within::<f64>(text, min, max),
        ValueKind::Duration => {
            parse_duration(text).is_some_and(|duration| duration <= MAX_DURATION)
        }
        ValueKind::Choice(words) => words.contains(&text),
        ValueKind::Address => text.parse::<SocketAddrV4>().is_ok(),
    };
    if is_valid {
        Ok(())
    } else {
        Err(describe(kind))
    }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}

fn is_within<T: FromStr + PartialOrd>(text: &str, min: T, max: T) -> bool {
    text.parse::<T>()
        .is_ok_and(|value| (min..=max).contains(&value))
}

/// Describes the valid values of a kind, for messages.
fn describe(kind: ValueKind) -> String {
    match kind {
        ValueKind::Text => "a non-empty text".into(),
        ValueKind::Name => "a name of 1 to 64 letters, digits, '-', '_' or '.'".into(),
        ValueKind::Flag => "true or false".into(),
        ValueKind::Integer(min, u64::MAX) => format!("a whole number of {min} or more"),
        ValueKind::Integer(min, max) => format!("a whole number from {min} to {max}"),
        ValueKind::Number(min, max) if max == f64::MAX => {
            format!("a number of {min} or more")
        }
        ValueKind::Number(min, max) => format!("a number from {min} to {max}"),
        ValueKind::Duration => "a time such as 250us, 800ms, 5s or 2m, at most 366 days".into(),
        ValueKind::Choice(words) => words.join(" or "),
        ValueKind::Address => "an IPv4 address and a port such as 127.0.0.1:7070".into(),
    }
}
