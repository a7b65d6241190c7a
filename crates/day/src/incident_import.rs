//! Turns a recording of the bench (`--tap`) into a scenario: its arrivals become jobs, and its list changes and its
//! outcomes by node and time become faults.
//!
//! Only batches to the adapter are read, with the adapter's own decoder. Properties that a recording does not contain
//! (the speed of a node, the length of its queue) keep the defaults of scenarios. Faults are inferred from their
//! symptoms: consecutive timeouts at a node become a hang, consecutive errors of a class become a failing class.

mod findings;
mod recording;
mod scenario_xml;
mod settings_xml;
mod symptoms;

use findings::Findings;
use peppercove::Micros;
use peppercove::adapter_protocol::Decoder;
use std::collections::BTreeMap;

/// A scenario imported from a recording.
#[derive(Debug)]
pub struct ImportedScenario {
    /// Contents of the scenario file.
    pub scenario: String,
    /// Contents of its settings file, which must be saved as `NAME-settings.xml` next to the scenario file.
    pub settings: String,
    /// Numbers of controllers, nodes, jobs and faults, as text.
    pub summary: String,
}

/// Why a recording could not be imported.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ImportError {
    /// A line is not valid in a recording.
    #[error("line {line}: {problem}")]
    Line {
        /// Line number, starting at 1.
        line: usize,
        /// What is wrong with the line.
        problem: LineProblem,
    },
    /// The recording contains no settings, no nodes or no jobs.
    #[error("the recording contains no {0}")]
    Empty(&'static str),
}

/// What is wrong with a line of a recording.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineProblem {
    /// The line is not UTF-8.
    #[error("expected UTF-8 text")]
    NotText,
    /// The header does not state the length of its frame.
    #[error("expected ', L bytes' at the end of the header")]
    NoLength,
    /// The header does not have a number for its process.
    #[error("expected a process number, found '{0}'")]
    InvalidProcess(String),
    /// There is no header before the frame.
    #[error("expected a header '>> process N, L bytes' before the frame")]
    NoHeader,
    /// The frame is not hexadecimal.
    #[error("expected a frame in hexadecimal")]
    NotHexadecimal,
    /// The length of the frame differs from the length in its header, or is too short for a batch.
    #[error("expected a frame of {stated} bytes (at least 16), found {found}")]
    LengthMismatch {
        /// Length of the frame, in bytes.
        found: usize,
        /// Length in the header, in bytes.
        stated: usize,
    },
    /// The frame is not a valid batch.
    #[error("invalid batch: {0}")]
    InvalidBatch(String),
}

/// Imports the first `seconds` of a recording, with every `controller_step`-th controller and its jobs.
///
/// # Errors
/// [`ImportError`] if a line is invalid, or there are no settings, nodes or jobs.
pub fn import_recording(
    recording: &[u8],
    name: &str,
    seconds: f64,
    controller_step: u64,
) -> Result<ImportedScenario, ImportError> {
    let mut findings = Findings::new(controller_step.max(1));
    let mut decoders: BTreeMap<u64, Decoder> = BTreeMap::new();
    recording::read_frames(recording, |process, frame| {
        let decoder = decoders.entry(process).or_default();
        let batch = decoder
            .batch(frame.time, frame.records, frame.body)
            .map_err(|error| LineProblem::InvalidBatch(error.to_string()))?;
        findings.add_batch(frame.time, batch.records);
        Ok(())
    })?;
    scenario_xml::write(&findings, name, (seconds * 1e6) as Micros)
}
