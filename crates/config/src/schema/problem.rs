//! What is wrong with a document, and where.

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
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", lines(problems))]
pub struct ConfigError {
    /// At least one, in the order of the document.
    pub problems: Vec<Problem>,
}

/// One problem a line.
fn lines(problems: &[Problem]) -> String {
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
