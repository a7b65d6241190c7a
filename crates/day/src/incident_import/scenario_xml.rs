//! Writes the findings as a scenario file.

use super::findings::{Findings, Job, ProcessChange};
use super::settings_xml;
use super::symptoms::{Symptom, outages, symptom_spans};
use super::{ImportError, ImportedScenario};
use peppercove::{Micros, NodeId, Settings};
use peppercove_kernel::scenario::FaultKind;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Shortest duration of a scenario, in microseconds, without [`TAIL`].
const MIN_DURATION: Micros = 1_000_000;

/// Time after the last job, in microseconds.
const TAIL: Micros = 100_000;

/// Run time of jobs in a recording without any run time, in microseconds.
const DEFAULT_RUN_TIME: Micros = 2_000_000;

/// Shortest duration of a fault, in microseconds.
const MIN_FAULT_DURATION: Micros = 1_000;

/// Duration of the drain of a node, in microseconds.
const DRAIN_DURATION: Micros = 2_000_000;

/// Downtime of a node that crashes or restarts, in microseconds.
const RESTART_DOWNTIME: Micros = 300_000;

/// Writes the scenario with the jobs up to `until`.
pub(super) fn write(
    findings: &Findings,
    name: &str,
    until: Micros,
) -> Result<ImportedScenario, ImportError> {
    let settings = findings.settings.as_ref();
    let settings = settings.ok_or(ImportError::Empty("settings"))?;
    if findings.nodes.is_empty() {
        return Err(ImportError::Empty("nodes"));
    }
    let arrivals = findings.jobs.iter().map(|job| job.at);
    let last = arrivals.filter(|at| *at <= until).max();
    let last = last.ok_or(ImportError::Empty("jobs"))?;
    let duration = last.max(MIN_DURATION) + TAIL;
    let jobs = findings.jobs.iter().filter(|job| job.at <= duration);
    let jobs: Vec<&Job> = jobs.collect();
    let faults = FaultList::of(findings, duration).into_elements();
    let mut xml = String::from("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n");
    write_start_tag(&mut xml, name, duration, settings);
    write_fleet(&mut xml, findings);
    write_jobs(&mut xml, findings, &jobs);
    for fault in &faults {
        let _ = writeln!(xml, "  <fault {fault}/>");
    }
    xml += "</day>\n";
    let summary = format!(
        "{} controllers, {} nodes, {} jobs in {:.1} s, {} faults",
        findings.controllers.len(),
        findings.nodes.len(),
        jobs.len(),
        duration as f64 / 1e6,
        faults.len()
    );
    Ok(ImportedScenario {
        scenario: xml,
        settings: settings_xml::write(settings),
        summary,
    })
}

fn write_start_tag(xml: &mut String, name: &str, duration: Micros, settings: &Settings) {
    let deadlines = settings.classes.iter().map(|class| class.deadline);
    let longest = deadlines.max().unwrap_or(0);
    let wind_down = longest * 2 + settings.ambiguous_retry_delay;
    let _ = writeln!(
        xml,
        "<day name=\"{name}\" length=\"{duration}us\" after=\"{wind_down}us\" settings=\"{name}-settings.xml\">"
    );
}

fn write_fleet(xml: &mut String, findings: &Findings) {
    let controllers = findings.controllers.len().max(1);
    let _ = writeln!(xml, "  <fleet controllers=\"{controllers}\">");
    for node in findings.nodes.values() {
        let _ = writeln!(
            xml,
            "    <nodes count=\"1\" kind=\"k{}\" racks=\"1\" first-rack=\"{}\"/>",
            node.kind, node.rack
        );
    }
    *xml += "  </fleet>\n";
}

fn write_jobs(xml: &mut String, findings: &Findings, jobs: &[&Job]) {
    let median = median_run_time(findings).unwrap_or(DEFAULT_RUN_TIME);
    for job in jobs {
        let request = &job.request;
        let run_time = job.run_time.or(request.expected_duration);
        let _ = write!(xml, "  <job at=\"{}us\"", job.at);
        let _ = write!(xml, " class=\"c{}\"", request.class);
        let _ = write!(xml, " service=\"s{:x}\"", request.service.0);
        let _ = write!(xml, " life=\"{}us\"", run_time.unwrap_or(median));
        let _ = write!(xml, " cores=\"{}\"", request.cores);
        let _ = write!(xml, " memory=\"{}\"", request.memory);
        let _ = writeln!(xml, " controller=\"{}\"/>", job.controller);
    }
}

fn median_run_time(findings: &Findings) -> Option<Micros> {
    let run_times = findings.jobs.iter().filter_map(|job| job.run_time);
    let mut run_times: Vec<Micros> = run_times.collect();
    run_times.sort_unstable();
    run_times.get(run_times.len() / 2).copied()
}

/// Collects the `<fault>` elements.
struct FaultList {
    /// Duration of the scenario, in microseconds.
    duration: Micros,
    /// Names of the nodes in the scenario.
    names: BTreeMap<NodeId, String>,
    /// Start and attributes of each element.
    faults: Vec<(Micros, String)>,
}

impl FaultList {
    fn of(findings: &Findings, duration: Micros) -> FaultList {
        let ids = findings.nodes.keys().enumerate();
        let mut list = FaultList {
            duration,
            names: ids.map(|(index, id)| (*id, format!("n{index}"))).collect(),
            faults: Vec::new(),
        };
        list.add_symptoms(findings);
        list.add_node_changes(findings);
        for (from, to) in outages(&findings.list_failures) {
            list.add(FaultKind::ListDown, from, to - from, "");
        }
        list.add_controller_stops(findings);
        list
    }

    /// The attributes of the elements, in the order of their start.
    fn into_elements(mut self) -> Vec<String> {
        self.faults.sort();
        let faults = self.faults.into_iter();
        faults.map(|(_, attributes)| attributes).collect()
    }

    /// Adds a fault with further attributes, if it starts within the scenario.
    fn add(&mut self, kind: FaultKind, at: Micros, duration: Micros, attributes: &str) {
        if at < self.duration {
            let duration = duration.clamp(MIN_FAULT_DURATION, self.duration - at);
            let fault = format!("kind=\"{kind}\" at=\"{at}us\" for=\"{duration}us\"{attributes}");
            self.faults.push((at, fault));
        }
    }

    fn add_symptoms(&mut self, findings: &Findings) {
        for (id, symptoms) in &findings.symptoms {
            let Some(name) = self.names.get(id).cloned() else {
                continue;
            };
            for span in symptom_spans(symptoms) {
                let duration = span.to - span.from;
                let node = format!(" node=\"{name}\"");
                match span.symptom {
                    Symptom::Unresponsive => self.add(FaultKind::Hang, span.from, duration, &node),
                    Symptom::Error { class } => {
                        let attributes = format!("{node} class=\"c{class}\"");
                        self.add(FaultKind::ClassError, span.from, duration, &attributes);
                    }
                    Symptom::Responsive => {}
                }
            }
        }
    }

    fn add_node_changes(&mut self, findings: &Findings) {
        for change in &findings.node_changes {
            let Some(name) = self.names.get(&change.node) else {
                continue;
            };
            let node = format!(" node=\"{name}\"");
            let (kind, duration) = match change.change {
                ProcessChange::Drains => (FaultKind::Drains, DRAIN_DURATION),
                ProcessChange::Dies => (FaultKind::Dies, RESTART_DOWNTIME),
                ProcessChange::Restarts => (FaultKind::Restarts, RESTART_DOWNTIME),
            };
            self.add(kind, change.at, duration, &node);
        }
    }

    fn add_controller_stops(&mut self, findings: &Findings) {
        for stop in &findings.controller_stops {
            let mut restarts = findings.controller_restarts.iter();
            let restart = restarts
                .find(|restart| restart.controller == stop.controller && restart.at >= stop.at);
            let restarted_at = restart.map_or(self.duration, |restart| restart.at);
            let duration = restarted_at.saturating_sub(stop.at);
            let controller = format!(" controller=\"{}\"", stop.controller);
            self.add(FaultKind::ControllerKilled, stop.at, duration, &controller);
        }
    }
}
