//! Parser of native specifications (`drmaa_native_specification`), which are lists of `name=value` pairs.
//!
//! ```text
//! spec     = *ws [pair *(sep pair)] *ws
//! sep      = 1*ws / *ws "," *ws
//! pair     = name "=" value
//! name     = "cores" / "memory" / "deadline" / "class" / "tenant" / "life" / "exit" / "task" / "again" / "asked"
//! number   = 1*DIGIT ["." 1*DIGIT]
//! duration = number ("us" / "ms" / "s" / "m" / "h")
//! word     = 1*(ALPHA / DIGIT / "-" / "_" / ".")
//! ```
//!
//! `cores` and `memory` take a number, `deadline` and `life` a duration, `class`, `tenant`, `task` and `asked` a word,
//! `exit` an integer from 0 to 255, and `again` `yes` or `no`. Each name may appear once. Errors state the column,
//! counted from 1.

use std::time::Duration;
use winnow::ascii::{digit1, multispace0};
use winnow::combinator::{alt, opt};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::Location;
use winnow::token::take_while;
use winnow::{LocatingSlice, ModalResult};

/// Maximum length of a native specification.
pub const MAX_BYTES: usize = 4096;

/// Maximum exit status of a process.
const MAX_EXIT_STATUS: i32 = 255;

/// A parsed native specification. Values that it does not contain are `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NativeSpecification {
    /// `cores`: requested cores.
    pub cores: Option<f64>,
    /// `memory`: requested memory, in the unit of the settings.
    pub memory: Option<f64>,
    /// `deadline`: time that the client waits for a placement.
    pub deadline: Option<Duration>,
    /// `class`: name of the class. It takes precedence over the job category.
    pub class: Option<String>,
    /// `tenant`: name of the tenant.
    pub tenant: Option<String>,
    /// `life`: expected duration of the task. A fake node runs the task for this time.
    pub expected_duration: Option<Duration>,
    /// `exit`: exit status that a fake node reports for the task.
    pub exit_status: Option<i32>,
    /// `task`: name of the task. Requests with the same name are for the same task.
    pub task: Option<String>,
    /// `again`: the task was requested before, and was rejected, failed or lost.
    pub is_retry: bool,
    /// `asked`: controller of an earlier request whose outcome is ambiguous: the task may have run.
    pub previous_controller: Option<String>,
}

/// Syntax error in a native specification.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("native specification, column {column}: {message}")]
pub struct NativeError {
    /// Column, in bytes from 1.
    pub column: usize,
    /// What was found or expected there.
    pub message: String,
}

type Input<'a> = LocatingSlice<&'a str>;

/// Parses a native specification.
///
/// # Errors
/// [`NativeError`] with the column of the first syntax error, unknown name or duplicate name.
pub fn parse(text: &str) -> Result<NativeSpecification, NativeError> {
    if text.len() > MAX_BYTES {
        return Err(NativeError {
            column: MAX_BYTES + 1,
            message: format!("text is longer than {MAX_BYTES} bytes"),
        });
    }
    let mut parser = SpecificationParser {
        input: LocatingSlice::new(text),
        seen: Vec::new(),
        specification: NativeSpecification::default(),
    };
    skip_whitespace(&mut parser.input);
    while !parser.input.is_empty() {
        let name = parser.parse_pair()?;
        parser.parse_separator(name)?;
    }
    Ok(parser.specification)
}

fn error_at(input: &Input<'_>, message: impl Into<String>) -> NativeError {
    NativeError {
        column: input.current_token_start() + 1,
        message: message.into(),
    }
}

/// Remaining input and result of parsing so far.
struct SpecificationParser<'a> {
    input: Input<'a>,
    /// Names parsed so far.
    seen: Vec<&'a str>,
    specification: NativeSpecification,
}

impl<'a> SpecificationParser<'a> {
    /// Parses `name=value` and returns the name.
    fn parse_pair(&mut self) -> Result<&'a str, NativeError> {
        let start = self.input;
        let name = word(&mut self.input).map_err(|_| error_at(&start, "expected a name"))?;
        let equals: ModalResult<char> = '='.parse_next(&mut self.input);
        equals.map_err(|_| error_at(&self.input, format!("expected '=' after '{name}'")))?;
        if self.seen.contains(&name) {
            return Err(error_at(
                &start,
                format!("'{name}' is given more than once"),
            ));
        }
        self.seen.push(name);
        self.parse_value(name, &start)?;
        Ok(name)
    }

    /// Parses the value of a name. The name begins at `start`.
    fn parse_value(&mut self, name: &str, start: &Input<'a>) -> Result<(), NativeError> {
        match name {
            "cores" => self.specification.cores = Some(self.value(name, number, "a number")?),
            "memory" => self.specification.memory = Some(self.value(name, number, "a number")?),
            "deadline" => self.specification.deadline = Some(self.duration(name)?),
            "life" => self.specification.expected_duration = Some(self.duration(name)?),
            "class" => self.specification.class = Some(self.word(name, "a class name")?),
            "tenant" => self.specification.tenant = Some(self.word(name, "a tenant name")?),
            "task" => self.specification.task = Some(self.word(name, "a task name")?),
            "asked" => {
                self.specification.previous_controller =
                    Some(self.word(name, "a controller name")?);
            }
            "again" => {
                self.specification.is_retry = self.value(name, yes_or_no, "'yes' or 'no'")?
            }
            "exit" => {
                let expected = "an exit status from 0 to 255";
                self.specification.exit_status = Some(self.value(name, exit_status, expected)?);
            }
            _ => return Err(error_at(start, format!("unknown name '{name}'"))),
        }
        Ok(())
    }

    /// Parses a value with `parse`. An error has the column at which the value begins.
    fn value<T>(
        &mut self,
        name: &str,
        parse: impl FnOnce(&mut Input<'a>) -> ModalResult<T>,
        expected: &str,
    ) -> Result<T, NativeError> {
        let start = self.input;
        parse(&mut self.input)
            .map_err(|_| error_at(&start, format!("expected {expected} for '{name}'")))
    }

    fn duration(&mut self, name: &str) -> Result<Duration, NativeError> {
        self.value(name, duration, "a time such as 800ms or 5s")
    }

    fn word(&mut self, name: &str, expected: &str) -> Result<String, NativeError> {
        self.value(name, word, expected).map(str::to_owned)
    }

    /// Parses the separator after the pair of `name`: white space, a comma, or the end of the text.
    fn parse_separator(&mut self, name: &str) -> Result<(), NativeError> {
        let value_end = self.input;
        let has_whitespace = skip_whitespace(&mut self.input);
        let comma: ModalResult<Option<char>> = opt(',').parse_next(&mut self.input);
        if matches!(comma, Ok(Some(_))) {
            skip_whitespace(&mut self.input);
            if self.input.is_empty() {
                return Err(error_at(&self.input, "expected a name after ','"));
            }
        } else if !has_whitespace && !self.input.is_empty() {
            let message = format!("expected a space or ',' after the value of '{name}'");
            return Err(error_at(&value_end, message));
        }
        Ok(())
    }
}

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

fn duration(input: &mut Input<'_>) -> ModalResult<Duration> {
    let count = number.parse_next(input)?;
    let unit_seconds = alt((
        "us".value(1e-6),
        "ms".value(1e-3),
        "s".value(1.0),
        "m".value(60.0),
        "h".value(3600.0),
    ))
    .parse_next(input)?;
    Duration::try_from_secs_f64(count * unit_seconds).map_err(|_| no_match())
}

fn yes_or_no(input: &mut Input<'_>) -> ModalResult<bool> {
    match word(input)? {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(no_match()),
    }
}

fn exit_status(input: &mut Input<'_>) -> ModalResult<i32> {
    let status = digit1.parse_to().parse_next(input)?;
    if status <= MAX_EXIT_STATUS {
        Ok(status)
    } else {
        Err(no_match())
    }
}

fn no_match() -> ErrMode<ContextError> {
    ErrMode::Backtrack(ContextError::new())
}

/// Skips white space. Returns whether there was any.
fn skip_whitespace(input: &mut Input<'_>) -> bool {
    let skipped: ModalResult<&str> = multispace0.parse_next(input);
    skipped.is_ok_and(|whitespace| !whitespace.is_empty())
}
