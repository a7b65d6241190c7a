//! Errors of a document, with their position.

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {element}: {message}")]
pub struct Problem {
    /// Line in the file, from 1; 0 if the problem has no position in a file.
    pub line: u32,
    /// Column, from 1; 0 if the problem has no position in a file.
    pub column: u32,
    /// Path of the element from the root.
    pub element: String,
    /// What was found and what was expected.
    pub message: String,
}

impl Problem {
    /// Creates a problem without a position in a file, such as an invalid override.
    pub(super) fn without_position(element: &str, message: String) -> Problem {
        Problem {
            line: 0,
            column: 0,
            element: element.into(),
            message,
        }
    }
}

/// All errors of a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", join_lines(problems))]
pub struct ConfigError {
    /// At least one problem, in document order.
    pub problems: Vec<Problem>,
}

/// Formats the problems, one on each line.
fn join_lines(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}

impl From<Problem> for ConfigError {
    fn from(problem: Problem) -> ConfigError {
        ConfigError {
            problems: vec![problem],
        }
    }
}
