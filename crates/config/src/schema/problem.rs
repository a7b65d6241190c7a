//! What is wrong with a document, and where.

use std::fmt;

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {element}: {what}")]
pub struct Problem {
    /// Line in the file, from 1; 0 where the problem stands in no file.
    pub line: u32,
    /// Column, from 1; 0 where the problem stands in no file.
    pub column: u32,
    /// Path of the element.
    pub element: String,
    /// What is wrong and what was expected.
    pub what: String,
}

impl Problem {
    /// A problem that stands in no file.
    pub(super) fn without_place(element: &str, what: String) -> Problem {
        Problem {
            line: 0,
            column: 0,
            element: element.into(),
            what,
        }
    }
}

/// All that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// At least one, in the order of the document.
    pub problems: Vec<Problem>,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.problems.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigError {}

impl From<Problem> for ConfigError {
    fn from(problem: Problem) -> ConfigError {
        ConfigError {
            problems: vec![problem],
        }
    }
}
