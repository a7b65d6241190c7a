//! The native specification of a job: `drmaa_native_specification` as `name=value` pairs.
//!
//! ```text
//! spec    = *ws [pair *(sep pair)] *ws
//! sep     = 1*ws / *ws "," *ws
//! pair    = name "=" value
//! name    = "cores" / "memory" / "deadline" / "class" / "tenant" / "life" / "exit" / "task" / "again" / "asked"
//! number  = 1*DIGIT ["." 1*DIGIT]
//! span    = number ("us" / "ms" / "s" / "m" / "h")
//! word    = 1*(ALPHA / DIGIT / "-" / "_" / ".")
//! ```
//!
//! `cores` and `memory` take a number, `deadline` and `life` a span, `class`, `tenant` and `task` a word, `exit` a
//! whole number, `again` `yes` or `no`. A name may stand once. Errors name the column, from 1.

use std::time::Duration;
use winnow::ascii::{digit1, multispace0};
use winnow::combinator::{alt, opt};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::stream::Location;
use winnow::token::take_while;
use winnow::{LocatingSlice, ModalResult};

/// Longest native specification, in bytes.
pub const LONGEST: usize = 4096;

/// What the native specification of a job says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NativeSpecification {
    /// Cores it asks for.
    pub cores: Option<f64>,
    /// Memory it asks for.
    pub memory: Option<f64>,
    /// How long its owner waits for a placing.
    pub deadline: Option<Duration>,
    /// Name of its class, ahead of the job category.
    pub class: Option<String>,
    /// Name of its tenant.
    pub tenant: Option<String>,
    /// How long it is expected to run; a stand-in node runs it for so long.
    pub expected_duration: Option<Duration>,
    /// Exit status with which a stand-in node ends it.
    pub exit_status: Option<i32>,
    /// Names the task: the same name again is the same task, asked for once more.
    pub task: Option<String>,
    /// It was asked for before, and refused, failed or lost.
    pub is_retry: bool,
    /// The controller that was asked for the task before, and whose answer leaves open whether it ran.
    pub previous_controller: Option<String>,
}

/// A native specification that does not follow the grammar.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("native specification, column {column}: {what}")]
pub struct NativeError {
    /// Where, in bytes from 1.
    pub column: usize,
    /// What is wrong and what was expected.
    pub what: String,
}

type Input<'a> = LocatingSlice<&'a str>;

fn word<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    take_while(1.., |c: char| {
        c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
    })
    .parse_next(input)
}

fn number(input: &mut Input<'_>) -> ModalResult<f64> {
    (digit1, opt(('.', digit1)))
        .take()
        .parse_to()
        .parse_next(input)
}

fn span(input: &mut Input<'_>) -> ModalResult<Duration> {
    let (count, unit) = (number, alt(("us", "ms", "s", "m", "h"))).parse_next(input)?;
    let seconds = match unit {
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        _ => 3600.0,
    };
    Duration::try_from_secs_f64(count * seconds)
        .map_err(|_| winnow::error::ErrMode::Backtrack(ContextError::new()))
}

/// Parses a native specification.
///
/// # Errors
/// [`NativeError`] with the column at which the grammar is left, a name is unknown or stands twice.
pub fn parse(text: &str) -> Result<NativeSpecification, NativeError> {
    if text.len() > LONGEST {
        return Err(NativeError {
            column: LONGEST + 1,
            what: format!("longer than {LONGEST} bytes"),
        });
    }
    let mut native = NativeSpecification::default();
    let mut seen: Vec<&str> = Vec::new();
    let mut input = LocatingSlice::new(text);
    let at = |input: &Input<'_>, what: String| NativeError {
        column: input.current_token_start() + 1,
        what,
    };
    skip_space(&mut input);
    while !input.is_empty() {
        let before = input;
        let Ok(name) = word(&mut input) else {
            return Err(at(&before, "a name was expected".into()));
        };
        let equals: ModalResult<char> = '='.parse_next(&mut input);
        if equals.is_err() {
            return Err(at(&input, format!("'=' was expected after '{name}'")));
        }
        if seen.contains(&name) {
            return Err(at(&before, format!("'{name}' stands twice")));
        }
        seen.push(name);
        let value = input;
        let expected = |what: &str| at(&value, format!("{what} was expected for '{name}'"));
        match name {
            "cores" => native.cores = Some(number(&mut input).map_err(|_| expected("a number"))?),
            "memory" => native.memory = Some(number(&mut input).map_err(|_| expected("a number"))?),
            "deadline" => {
                let time = span(&mut input).map_err(|_| expected("a time such as 800ms or 5s"))?;
                native.deadline = Some(time);
            }
            "life" => {
                native.expected_duration =
                    Some(span(&mut input).map_err(|_| expected("a time such as 800ms or 5s"))?)
            }
            "class" => {
                native.class = Some(
                    word(&mut input)
                        .map_err(|_| expected("a class name"))?
                        .into(),
                )
            }
            "tenant" => {
                native.tenant = Some(
                    word(&mut input)
                        .map_err(|_| expected("a tenant name"))?
                        .into(),
                )
            }
            "task" => {
                native.task = Some(
                    word(&mut input)
                        .map_err(|_| expected("a task name"))?
                        .into(),
                )
            }
            "asked" => {
                native.previous_controller = Some(
                    word(&mut input)
                        .map_err(|_| expected("a controller name"))?
                        .into(),
                )
            }
            "again" => match word(&mut input) {
                Ok("yes") => native.is_retry = true,
                Ok("no") => native.is_retry = false,
                _ => return Err(expected("'yes' or 'no'")),
            },
            "exit" => {
                let status: ModalResult<i32> = digit1.parse_to().parse_next(&mut input);
                let status = status.ok().filter(|s| *s <= 255);
                native.exit_status =
                    Some(status.ok_or_else(|| expected("an exit status from 0 to 255"))?);
            }
            _ => return Err(at(&before, format!("unknown name '{name}'"))),
        }
        let end = input;
        let spaced = skip_space(&mut input);
        let comma: ModalResult<Option<char>> = opt(',').parse_next(&mut input);
        if matches!(comma, Ok(Some(_))) {
            skip_space(&mut input);
            if input.is_empty() {
                return Err(at(&input, "a name was expected after ','".into()));
            }
        } else if !spaced && !input.is_empty() {
            return Err(at(
                &end,
                format!("a space or ',' was expected after the value of '{name}'"),
            ));
        }
    }
    Ok(native)
}

fn skip_space(input: &mut Input<'_>) -> bool {
    let skipped: ModalResult<&str> = multispace0.parse_next(input);
    skipped.is_ok_and(|s| !s.is_empty())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_name_is_read() {
        let native =
            parse(" cores=0.5, memory=1.5 deadline=800ms class=web-fill tenant=team_a life=12s,exit=3 task=t.1 again=yes asked=c-1").unwrap();
        assert_eq!(native.cores, Some(0.5));
        assert_eq!(native.memory, Some(1.5));
        assert_eq!(native.deadline, Some(Duration::from_millis(800)));
        assert_eq!(native.class.as_deref(), Some("web-fill"));
        assert_eq!(native.tenant.as_deref(), Some("team_a"));
        assert_eq!(native.expected_duration, Some(Duration::from_secs(12)));
        assert_eq!(native.exit_status, Some(3));
        assert_eq!(
            (native.task.as_deref(), native.is_retry),
            (Some("t.1"), true)
        );
        assert_eq!(native.previous_controller.as_deref(), Some("c-1"));
        assert_eq!(parse("").unwrap(), NativeSpecification::default());
    }

    #[test]
    fn errors_name_the_column() {
        let cases = [
            ("cores=x", 7, "a number"),
            ("cores=1 cores=2", 9, "twice"),
            ("cores", 6, "'='"),
            ("deadline=5", 10, "a time"),
            ("life=1s;", 8, "a space or ','"),
            ("cores=1,", 9, "after ','"),
            ("colour=1", 1, "unknown name 'colour'"),
            ("exit=256", 6, "0 to 255"),
            ("=1", 1, "a name"),
            ("deadline=99999999999999999999h", 10, "a time"),
        ];
        for (text, column, what) in cases {
            let error = parse(text).unwrap_err();
            assert_eq!(error.column, column, "{text}: {error}");
            assert!(error.what.contains(what), "{text}: {error}");
        }
    }
}
