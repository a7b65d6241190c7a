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
//! `cores` and `memory` take a number, `deadline` and `life` a span, `class`, `tenant`, `task` and `asked` a word, `exit`
//! a whole number, `again` `yes` or `no`. A name may stand once. Errors name the column, from 1.

use std::time::Duration;
use winnow::ascii::{digit1, multispace0};
use winnow::combinator::{alt, opt};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::Location;
use winnow::token::take_while;
use winnow::{LocatingSlice, ModalResult};

/// Longest native specification, in bytes.
pub const MAX_BYTES: usize = 4096;

/// Largest exit status of a process.
const MAX_EXIT_STATUS: i32 = 255;

/// The native specification of a job; `None` where it does not name a value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NativeSpecification {
    /// `cores`: requested cores.
    pub cores: Option<f64>,
    /// `memory`: requested memory, in the unit of the settings.
    pub memory: Option<f64>,
    /// `deadline`: how long the client waits for a placement.
    pub deadline: Option<Duration>,
    /// `class`: name of the class; it takes precedence over the job category.
    pub class: Option<String>,
    /// `tenant`: name of the tenant.
    pub tenant: Option<String>,
    /// `life`: expected duration of the task; a fake node runs it for this long.
    pub expected_duration: Option<Duration>,
    /// `exit`: exit status with which a fake node ends the task.
    pub exit_status: Option<i32>,
    /// `task`: name of the task; a request of the same name is for the same task.
    pub task: Option<String>,
    /// `again`: the task was requested before, and was refused, failed or lost.
    pub is_retry: bool,
    /// `asked`: the controller of an earlier request whose answer leaves open whether the task ran.
    pub previous_controller: Option<String>,
}

/// A native specification that does not follow the grammar.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("native specification, column {column}: {message}")]
pub struct NativeError {
    /// Place in the text, in bytes from 1.
    pub column: usize,
    /// What is wrong and what was expected.
    pub message: String,
}

type Input<'a> = LocatingSlice<&'a str>;

/// Parses a native specification.
///
/// # Errors
/// [`NativeError`] with the column at which the grammar is left, a name is unknown or stands twice.
pub fn parse(text: &str) -> Result<NativeSpecification, NativeError> {
    if text.len() > MAX_BYTES {
        return Err(NativeError {
            column: MAX_BYTES + 1,
            message: format!("longer than {MAX_BYTES} bytes"),
        });
    }
    let mut parser = SpecificationParser {
        input: LocatingSlice::new(text),
        seen: Vec::new(),
        specification: NativeSpecification::default(),
    };
    skip_space(&mut parser.input);
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

/// State of the parser between two pairs.
struct SpecificationParser<'a> {
    input: Input<'a>,
    /// Names that were read.
    seen: Vec<&'a str>,
    specification: NativeSpecification,
}

impl<'a> SpecificationParser<'a> {
    /// Reads `name=value` and returns the name.
    fn parse_pair(&mut self) -> Result<&'a str, NativeError> {
        let start = self.input;
        let name = word(&mut self.input).map_err(|_| error_at(&start, "a name was expected"))?;
        let equals: ModalResult<char> = '='.parse_next(&mut self.input);
        equals.map_err(|_| error_at(&self.input, format!("'=' was expected after '{name}'")))?;
        if self.seen.contains(&name) {
            return Err(error_at(&start, format!("'{name}' stands twice")));
        }
        self.seen.push(name);
        self.parse_value(name, &start)?;
        Ok(name)
    }

    /// Reads the value of a name that begins at `start`.
    fn parse_value(&mut self, name: &str, start: &Input<'a>) -> Result<(), NativeError> {
        match name {
            "cores" => self.specification.cores = Some(self.value(name, number, "a number")?),
            "memory" => self.specification.memory = Some(self.value(name, number, "a number")?),
            "deadline" => self.specification.deadline = Some(self.time(name)?),
            "life" => self.specification.expected_duration = Some(self.time(name)?),
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

    /// Reads a value, or reports at its start what was expected.
    fn value<T>(
        &mut self,
        name: &str,
        parse: impl FnOnce(&mut Input<'a>) -> ModalResult<T>,
        expected: &str,
    ) -> Result<T, NativeError> {
        let start = self.input;
        parse(&mut self.input)
            .map_err(|_| error_at(&start, format!("{expected} was expected for '{name}'")))
    }

    fn time(&mut self, name: &str) -> Result<Duration, NativeError> {
        self.value(name, span, "a time such as 800ms or 5s")
    }

    fn word(&mut self, name: &str, expected: &str) -> Result<String, NativeError> {
        self.value(name, word, expected).map(str::to_owned)
    }

    /// Reads what separates the pair of `name` from the next one: spaces, a comma, or the end.
    fn parse_separator(&mut self, name: &str) -> Result<(), NativeError> {
        let end = self.input;
        let has_space = skip_space(&mut self.input);
        let comma: ModalResult<Option<char>> = opt(',').parse_next(&mut self.input);
        if matches!(comma, Ok(Some(_))) {
            skip_space(&mut self.input);
            if self.input.is_empty() {
                return Err(error_at(&self.input, "a name was expected after ','"));
            }
        } else if !has_space && !self.input.is_empty() {
            let message = format!("a space or ',' was expected after the value of '{name}'");
            return Err(error_at(&end, message));
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

fn span(input: &mut Input<'_>) -> ModalResult<Duration> {
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

/// Skips spaces; true where there were some.
fn skip_space(input: &mut Input<'_>) -> bool {
    let skipped: ModalResult<&str> = multispace0.parse_next(input);
    skipped.is_ok_and(|spaces| !spaces.is_empty())
}
