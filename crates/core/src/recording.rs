//! Recording of a core's inputs as JSON lines, and replay: the same inputs give the same outputs.

use crate::attempt_log::JournalEntry;
use crate::engine::{Core, Input, Output};
use crate::{Decide, Limits};
use peppercove::Micros;
use serde::{Deserialize, Serialize};

/// The first line of a recording: the parameters of the core besides its settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecordingHeader {
    /// Random seed of the scheduler.
    pub seed: u64,
    /// Incarnation of the controller.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The number of controllers that share the nodes, and this controller's index among them.
    pub schedulers: (u32, u32),
    /// Start time of the core, in microseconds.
    #[serde(rename = "began", default)]
    pub started_at: Micros,
    /// Journal entries of earlier incarnations that were read at the start.
    #[serde(default)]
    pub journal: Vec<JournalEntry>,
}

impl RecordingHeader {
    /// The settings of the recorded scheduler, given the shared settings.
    pub fn scheduler_settings(&self, settings: &peppercove::Settings) -> peppercove::Settings {
        let (schedulers, own_index) = self.schedulers;
        peppercove::Settings {
            schedulers,
            own_index,
            ..settings.clone()
        }
    }
}

/// One line of a recording: an input and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedInput {
    /// Time by the controller's clock, in microseconds.
    pub at: Micros,
    /// The input.
    pub input: Input,
}

/// A line of a recording that cannot be parsed.
#[derive(Debug, thiserror::Error)]
#[error("recording line {number}: {source}")]
pub struct RecordingError {
    /// Line number, from 1.
    pub number: usize,
    /// The cause.
    source: serde_json::Error,
}

/// Formats the line for one input, without the line break.
pub fn format_line(at: Micros, input: &Input) -> String {
    serde_json::to_string(&RecordedInput {
        at,
        input: input.clone(),
    })
    .unwrap_or_default()
}

/// Replays a recording, given without its header, and calls `each` with every input and its outputs.
///
/// # Errors
/// [`RecordingError`] at the first line that cannot be parsed; the lines before it have been replayed.
pub fn replay<D: Decide>(
    header: &RecordingHeader,
    text: &str,
    decider: D,
    limits: Limits,
    mut each: impl FnMut(&RecordedInput, &[Output]),
) -> Result<Core<D>, RecordingError> {
    let mut core = Core::new(decider, limits);
    core.recover(header.started_at, &header.journal);
    for (i, text) in text
        .lines()
        .enumerate()
        .filter(|(_, text)| !text.is_empty())
    {
        let line: RecordedInput = serde_json::from_str(text).map_err(|source| RecordingError {
            number: i + 1,
            source,
        })?;
        let outputs = core.handle(line.at, line.input.clone());
        each(&line, &outputs);
    }
    Ok(core)
}
