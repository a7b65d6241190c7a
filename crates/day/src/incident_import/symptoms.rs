//! Symptoms of faults, and the time spans that they show.

use super::findings::TimedSymptom;
use peppercove::Micros;

/// List failures that are less than this apart belong to one outage, in microseconds.
const SAME_OUTAGE: Micros = 3_000_000;

/// What one outcome says of its node.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Symptom {
    /// It works.
    Answered,
    /// It does not answer.
    Silent,
    /// It fails the tasks of a class.
    Error { class: u16 },
}

/// A span of time with one symptom.
pub(super) struct SymptomSpan {
    pub(super) from: Micros,
    pub(super) to: Micros,
    pub(super) symptom: Symptom,
}

/// Spans of two or more consecutive symptoms of the same kind, without those of working.
pub(super) fn symptom_spans(symptoms: &[TimedSymptom]) -> Vec<SymptomSpan> {
    let mut spans = Vec::new();
    let mut before = 0;
    for run in symptoms.chunk_by(|a, b| a.symptom == b.symptom) {
        let (first, last) = (run[0], run[run.len() - 1]);
        let from = match first.symptom {
            // A time-out tells of the time before it: the silence began with the last answer.
            Symptom::Silent => before,
            Symptom::Answered | Symptom::Error { .. } => first.at,
        };
        before = last.at;
        if run.len() >= 2 && first.symptom != Symptom::Answered {
            spans.push(SymptomSpan {
                from,
                to: last.at,
                symptom: first.symptom,
            });
        }
    }
    spans
}

/// Spans in which failures of the list lie close together: beginning and end.
pub(super) fn outages(failures: &[Micros]) -> Vec<(Micros, Micros)> {
    let mut failures = failures.to_vec();
    failures.sort_unstable();
    let mut spans: Vec<(Micros, Micros)> = Vec::new();
    for at in failures {
        match spans.last_mut() {
            Some((_, to)) if at - *to < SAME_OUTAGE => *to = at,
            Some(_) | None => spans.push((at, at)),
        }
    }
    spans
}
