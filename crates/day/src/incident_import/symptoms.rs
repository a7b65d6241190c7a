//! Symptoms of faults, and the time spans that they last for.

use super::findings::TimedSymptom;
use peppercove::Micros;

/// List failures less than this apart are one outage, in microseconds.
const OUTAGE_MERGE_WINDOW: Micros = 3_000_000;

/// State of a node, inferred from one outcome.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Symptom {
    /// It responds.
    Responsive,
    /// It does not respond.
    Unresponsive,
    /// It fails the tasks of this class.
    Error { class: u16 },
}

/// A time span with a single symptom.
pub(super) struct SymptomSpan {
    pub(super) from: Micros,
    pub(super) to: Micros,
    pub(super) symptom: Symptom,
}

/// Spans of two or more equal consecutive symptoms, without those in which the node is responsive.
pub(super) fn symptom_spans(symptoms: &[TimedSymptom]) -> Vec<SymptomSpan> {
    let mut spans = Vec::new();
    let mut before = 0;
    for run in symptoms.chunk_by(|a, b| a.symptom == b.symptom) {
        let (first, last) = (run[0], run[run.len() - 1]);
        let from = match first.symptom {
            // A timeout covers the time before it: the node has been unresponsive since the previous symptom.
            Symptom::Unresponsive => before,
            Symptom::Responsive | Symptom::Error { .. } => first.at,
        };
        before = last.at;
        if run.len() >= 2 && first.symptom != Symptom::Responsive {
            spans.push(SymptomSpan {
                from,
                to: last.at,
                symptom: first.symptom,
            });
        }
    }
    spans
}

/// Start and end of the outages of the node list, from its failures.
pub(super) fn outages(failures: &[Micros]) -> Vec<(Micros, Micros)> {
    let mut failures = failures.to_vec();
    failures.sort_unstable();
    let mut spans: Vec<(Micros, Micros)> = Vec::new();
    for at in failures {
        match spans.last_mut() {
            Some((_, to)) if at - *to < OUTAGE_MERGE_WINDOW => *to = at,
            Some(_) | None => spans.push((at, at)),
        }
    }
    spans
}
