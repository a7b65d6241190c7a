//! Values of attributes: what each kind accepts.

use super::ValueKind;
use std::net::SocketAddrV4;
use std::str::FromStr;
use std::time::Duration;

/// Parses a time such as `250us`, `800ms`, `5s` or `2m`; `None` where it is none.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (count, unit) = text.split_at(digits);
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

/// Longest time span that an attribute may have: a year.
const MAX_SPAN: Duration = Duration::from_secs(366 * 86_400);
/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Checks the text of an attribute.
///
/// # Errors
/// What was expected.
pub(super) fn check_value(kind: ValueKind, text: &str) -> Result<(), String> {
    let is_valid = match kind {
        ValueKind::Text => !text.is_empty(),
        ValueKind::Name => is_name(text),
        ValueKind::Flag => matches!(text, "true" | "false"),
        ValueKind::Integer(least, most) => is_within::<u64>(text, least, most),
        ValueKind::Number(least, most) => is_within::<f64>(text, least, most),
        ValueKind::Duration => parse_duration(text).is_some_and(|span| span <= MAX_SPAN),
        ValueKind::Choice(words) => words.contains(&text),
        ValueKind::Address => text.parse::<SocketAddrV4>().is_ok(),
    };
    if is_valid {
        Ok(())
    } else {
        Err(expected(kind))
    }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}

fn is_within<T: FromStr + PartialOrd>(text: &str, least: T, most: T) -> bool {
    text.parse::<T>()
        .is_ok_and(|value| (least..=most).contains(&value))
}

/// What values of a kind look like, for messages.
fn expected(kind: ValueKind) -> String {
    match kind {
        ValueKind::Text => "a text".into(),
        ValueKind::Name => "a name of up to 64 letters, digits, '-', '_' and '.'".into(),
        ValueKind::Flag => "true or false".into(),
        ValueKind::Integer(least, u64::MAX) => format!("a whole number of {least} or more"),
        ValueKind::Integer(least, most) => format!("a whole number from {least} to {most}"),
        ValueKind::Number(least, most) if most == f64::MAX => {
            format!("a number of {least} or more")
        }
        ValueKind::Number(least, most) => format!("a number from {least} to {most}"),
        ValueKind::Duration => "a time such as 250us, 800ms, 5s or 2m, a year at most,".into(),
        ValueKind::Choice(words) => words.join(" or "),
        ValueKind::Address => "an IPv4 address and a port, such as 127.0.0.1:7070,".into(),
    }
}
