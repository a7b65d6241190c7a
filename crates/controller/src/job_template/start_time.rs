//! Parses `drmaa_start_time`: partial times as defined in GFD.133, section 3.2.2, in the proleptic Gregorian calendar.

#[cfg(test)]
mod tests;

use super::attributes::AttributeError;
use peppercove_protocol::rpc::JobTemplate;
use std::time::{SystemTime, UNIX_EPOCH};

const SECONDS_PER_DAY: i64 = 86_400;

/// Days from 0000-03-01 to 1970-01-01.
const DAYS_TO_EPOCH: i64 = 719_468;

/// A calendar date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Date {
    year: i64,
    month: i64,
    day: i64,
}

/// Returns the start time of a template, in seconds since 1970.
pub(super) fn read(template: &JobTemplate) -> Result<Option<i64>, AttributeError> {
    const ATTRIBUTE: &str = "drmaa_start_time";
    let Some(text) = template.get(ATTRIBUTE) else {
        return Ok(None);
    };
    match parse_partial_time(text, seconds_since_epoch()) {
        Some(at) => Ok(Some(at)),
        None => {
            let reason = format!(
                "'{text}' does not have the form [[[[CC]YY/]MM/]DD] hh:mm[:ss] [{{-|+}}UU:uu]"
            );
            Err(AttributeError::invalid_format(ATTRIBUTE, reason))
        }
    }
}

fn seconds_since_epoch() -> i64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_secs() as i64
}

/// Parses `[[[[CC]YY/]MM/]DD] hh:mm[:ss] [{-|+}UU:uu]`.
///
/// Omitted parts are taken from `now`. A time of day without a date that has already passed means the next day. Without
/// an offset the time is in UTC.
fn parse_partial_time(text: &str, now: i64) -> Option<i64> {
    let mut parts: Vec<&str> = text.split_whitespace().collect();
    let mut offset = 0;
    if let Some(part) = parts.last().filter(|part| part.starts_with(['+', '-'])) {
        offset = parse_offset(part)?;
        parts.pop();
    }
    let (date, time) = match parts[..] {
        [time] => (None, time),
        [date, time] => (Some(date), time),
        _ => return None,
    };
    let time_of_day = parse_time_of_day(time)?;
    let today = Date::from_days((now + offset).div_euclid(SECONDS_PER_DAY));
    let day = match date {
        Some(date) => parse_partial_date(date, today)?,
        None => today,
    };
    let at = day.to_days() * SECONDS_PER_DAY + time_of_day - offset;
    let is_passed = date.is_none() && at < now;
    Some(if is_passed { at + SECONDS_PER_DAY } else { at })
}

/// Parses `{-|+}UU:uu`; returns seconds.
fn parse_offset(text: &str) -> Option<i64> {
    let sign = if text.starts_with('-') { -1 } else { 1 };
    let (hours, minutes) = text[1..].split_once(':')?;
    let hours = parse_two_digits(hours, 14)?;
    let minutes = parse_two_digits(minutes, 59)?;
    Some(sign * (hours * 3600 + minutes * 60))
}

/// Parses `hh:mm[:ss]`; returns seconds.
fn parse_time_of_day(text: &str) -> Option<i64> {
    let mut fields = text.split(':');
    let hour = parse_two_digits(fields.next()?, 23)?;
    let minute = parse_two_digits(fields.next()?, 59)?;
    let second = fields
        .next()
        .map_or(Some(0), |second| parse_two_digits(second, 61))?;
    let is_complete = fields.next().is_none();
    is_complete.then_some(hour * 3600 + minute * 60 + second)
}

/// Parses `[[[CC]YY/]MM/]DD`; omitted parts are taken from `today`.
fn parse_partial_date(text: &str, today: Date) -> Option<Date> {
    let is_positive = |number: &i64| *number > 0;
    let mut date = today;
    let fields: Vec<&str> = text.split('/').collect();
    let (day, fields) = fields.split_last()?;
    date.day = parse_two_digits(day, 31).filter(is_positive)?;
    let Some((month, fields)) = fields.split_last() else {
        return Some(date);
    };
    date.month = parse_two_digits(month, 12).filter(is_positive)?;
    match fields {
        [] => {}
        [year] if year.len() == 4 => date.year = year.parse().ok()?,
        [year] => {
            let century = today.year.div_euclid(100) * 100;
            date.year = century + parse_two_digits(year, 99)?;
        }
        _ => return None,
    }
    Some(date)
}

/// Parses a number of exactly two digits that is at most `max`.
fn parse_two_digits(text: &str, max: i64) -> Option<i64> {
    let is_two_digits = text.len() == 2 && text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse()
        .ok()
        .filter(|number| is_two_digits && *number <= max)
}

impl Date {
    /// Returns the number of days since 1970-01-01.
    fn to_days(self) -> i64 {
        // Years start in March here, so that a leap day is the last day of its year.
        let year = if self.month <= 2 {
            self.year - 1
        } else {
            self.year
        };
        let day_of_year = (153 * ((self.month + 9) % 12) + 2) / 5 + self.day - 1;
        let leap_days = year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400);
        year * 365 + leap_days + day_of_year - DAYS_TO_EPOCH
    }

    fn from_days(days: i64) -> Date {
        let first_of = |year, month| {
            Date {
                year,
                month,
                day: 1,
            }
            .to_days()
        };
        // A lower bound of the year for dates from 1970 on, because no year has more than 366 days.
        let mut year = 1970 + days.div_euclid(366);
        while first_of(year + 1, 1) <= days {
            year += 1;
        }
        let month = (1..=12)
            .rev()
            .find(|month| first_of(year, *month) <= days)
            .unwrap_or(1);
        Date {
            year,
            month,
            day: days - first_of(year, month) + 1,
        }
    }
}
