//! Scenarios from a recording of the bench (`--tap`): its arrivals, list changes and outcomes by node and time become a
//! workload and faults for sockets.
//!
//! Only batches to the adapter are read, by the adapter's own decoder. What a recording does not show (how fast a node
//! is, how long its queue) keeps the defaults of scenarios. What shows by its symptoms alone becomes the fault that has
//! them: consecutive time-outs at a node are a hang, consecutive errors of a class a failing class.

mod findings;
mod recording;
mod scenario_xml;
mod settings_xml;
mod symptoms;

use findings::Findings;
use peppercove::Micros;
use peppercove::adapter_protocol::Decoder;
use std::collections::BTreeMap;

/// A scenario made from a recording.
#[derive(Debug)]
pub struct ImportedScenario {
    /// The scenario file.
    pub scenario: String,
    /// Its settings file, to stand beside it as `NAME-settings.xml`.
    pub settings: String,
    /// Numbers of controllers, nodes, jobs and faults.
    pub summary: String,
}

/// Why a recording could not be imported.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ImportError {
    /// A line that a recording cannot have.
    #[error("line {line}: {problem}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        problem: LineProblem,
    },
    /// The recording holds no settings, nodes or jobs.
    #[error("the recording holds no {0}")]
    Empty(&'static str),
}

/// What is wrong with a line of a recording.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineProblem {
    /// It is not UTF-8.
    #[error("not text")]
    NotText,
    /// A header without the length of its frame.
    #[error("no length")]
    NoLength,
    /// A header with something else than a number for its process.
    #[error("'{0}' is no process")]
    InvalidProcess(String),
    /// A frame without a header.
    #[error("bytes without a line '>> process' before them")]
    NoHeader,
    /// A frame that is not written in hexadecimal.
    #[error("not hexadecimal")]
    NotHexadecimal,
    /// A frame that is shorter or longer than its header says.
    #[error("{found} bytes where {stated} were said")]
    LengthMismatch {
        /// Bytes of the frame.
        found: usize,
        /// Bytes that the header states.
        stated: usize,
    },
    /// A frame that is no batch.
    #[error("{0}")]
    InvalidBatch(String),
}

/// Imports a recording, up to `seconds` from its beginning, with every `controller_step`-th controller.
///
/// # Errors
/// [`ImportError`] with the line that a recording cannot have.
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
