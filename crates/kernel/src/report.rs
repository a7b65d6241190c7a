//! Result of a scenario, in simulated time or on sockets.

use crate::client_model::ClientTally;
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use peppercove::{DedupScope, Idempotency, Micros, TaskClass, TopologySpread};
use peppercove_audit::{
    AuditReport, ClassRules, Event, RecordedStart, RuleSettings, TopologyDomain, Violation,
    check_rules,
};
use peppercove_config::Config;
use peppercove_core::Counters;
use peppercove_standins::node_model::{FleetState, StartLog};
use serde::Serialize;
use std::collections::BTreeMap;

/// Number of the rule that is violated when a node crashes from overload.
const OVERLOAD_RULE: u8 = 4;

/// Deduplication window of classes that are not keyed, longer than any run.
const NO_DEDUP_WINDOW: Micros = u64::MAX / 4;

/// Placement delays of one class, in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlacementDelays {
    /// Number of placed jobs.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
}

impl From<&Histogram<u64>> for PlacementDelays {
    fn from(histogram: &Histogram<u64>) -> PlacementDelays {
        PlacementDelays {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
        }
    }
}

/// Result of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScenarioReport {
    /// Name of the scenario.
    #[serde(rename = "day")]
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of jobs, without repeated submissions.
    pub jobs: u64,
    /// Number of repeated submissions.
    #[serde(rename = "again")]
    pub retries: u64,
    /// Number of outcomes, by class and outcome.
    pub answers: BTreeMap<String, u64>,
    /// Number of rejections at admission, by error.
    #[serde(rename = "turned_away")]
    pub rejections: BTreeMap<&'static str, u64>,
    /// Placement delays by class.
    pub delays: BTreeMap<String, PlacementDelays>,
    /// Result of the audit.
    #[serde(rename = "verdict")]
    pub audit: AuditReport,
    /// Sums of the counters of all controllers. The audit does not use them.
    pub counters: Counters,
    /// Longest stall of the machine during the run, in microseconds. The audit extends its time limits by it.
    pub stall: u64,
    /// Number of jobs that were not answered by the end of the run.
    #[serde(rename = "unanswered")]
    pub unanswered_requests: usize,
    /// Outcomes of each job in order, by task number.
    #[serde(skip)]
    pub answers_by_job: BTreeMap<u64, Vec<&'static str>>,
    /// Rare situations that occurred, and how often. Empty for runs on sockets.
    pub hazards: BTreeMap<&'static str, u64>,
}

/// Records of a run, from which its report is made.
pub struct RunRecord<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// Seed of the run.
    pub seed: u64,
    /// Events that were captured on sockets or on the simulated network.
    pub events: &'a [Event],
    /// Starts and crashes that the nodes recorded.
    pub fleet: &'a FleetState,
    /// Results that the clients counted.
    pub tally: &'a ClientTally,
    /// Sums of the counters of all controllers.
    pub counters: Counters,
    /// Longest stall of the machine during the run, in microseconds.
    pub stall: Micros,
    /// Maximum delay between the capture of a node's message and its arrival at the controller, in microseconds.
    pub observation_delay: Micros,
    /// Number of jobs that were not answered by the end of the run.
    pub unanswered_requests: usize,
    /// Rare situations that occurred, and how often.
    pub hazards: BTreeMap<&'static str, u64>,
}

impl ScenarioReport {
    /// Returns whether no rule was violated and every job was answered.
    pub fn is_clean(&self) -> bool {
        self.audit.is_clean() && self.unanswered_requests == 0
    }
}

impl From<RunRecord<'_>> for ScenarioReport {
    /// Audits the run.
    fn from(run: RunRecord<'_>) -> ScenarioReport {
        let audit = audit(&run);
        let tally = run.tally;
        let answers = tally.answers.iter();
        let answers = answers.map(|((class, answer), n)| (format!("{class} {answer}"), *n));
        let delays = tally.placement_delays.iter();
        let delays = delays.map(|(class, delays)| (class.clone(), delays.into()));
        ScenarioReport {
            scenario: run.scenario.name.clone(),
            seed: run.seed,
            controllers: run.scenario.controllers,
            nodes: run.scenario.nodes.len(),
            jobs: tally.jobs,
            retries: tally.retries,
            answers: answers.collect(),
            rejections: tally.rejections.clone(),
            delays: delays.collect(),
            audit,
            counters: run.counters,
            stall: run.stall,
            unanswered_requests: run.unanswered_requests,
            answers_by_job: tally.answers_by_job.clone(),
            hazards: run.hazards,
        }
    }
}

fn audit(run: &RunRecord<'_>) -> AuditReport {
    let start_log = run.fleet.start_log.borrow();
    let starts = recorded_starts(run.scenario, &start_log);
    let settings = rule_settings(&run.scenario.config, run.stall, run.observation_delay);
    let mut audit = check_rules(run.events, &starts, &settings);
    for crash in &start_log.crashes {
        audit.violations.push(Violation {
            at: crash.at,
            rule: OVERLOAD_RULE,
            description: format!("{} fell over", crash.node),
        });
    }
    audit
}

fn recorded_starts(scenario: &Scenario, log: &StartLog) -> Vec<RecordedStart> {
    let rack = |name: &str| {
        let node = scenario.nodes.iter().find(|node| node.name == name);
        node.map_or(0, |node| node.rack)
    };
    let starts = log.starts.iter();
    starts
        .map(|start| RecordedStart {
            at: start.at,
            ended: start.ended,
            completed: start.completed,
            node: start.node.clone(),
            rack: rack(&start.node),
            task: start.task,
            idempotency: start.idempotency,
        })
        .collect()
}

/// Returns the limits of the rules, from the settings of the controllers.
fn rule_settings(config: &Config, stall: Micros, observation_delay: Micros) -> RuleSettings {
    let settings = &config.scheduler;
    RuleSettings {
        classes: settings.classes.iter().map(class_rules).collect(),
        drain_grace: settings.drain_grace,
        slow_start_window: settings.slow_start_window,
        slow_start_budget: settings.slow_start_budget as u64,
        overload_window: settings.overload_window,
        stall,
        observation_delay,
    }
}

fn class_rules(class: &TaskClass) -> ClassRules {
    let (dedup_scope, dedup_window) = match class.idempotency {
        Idempotency::Keyed { scope, window } => (dedup_domain(scope), window),
        Idempotency::Idempotent | Idempotency::NonIdempotent => {
            (TopologyDomain::Off, NO_DEDUP_WINDOW)
        }
    };
    ClassRules {
        spread: match class.topology_spread {
            TopologySpread::Off => TopologyDomain::Off,
            TopologySpread::Node => TopologyDomain::Node,
            TopologySpread::Rack => TopologyDomain::Rack,
            TopologySpread::Zone => TopologyDomain::Zone,
        },
        max_per_domain: class.max_per_domain,
        dedup_scope,
        dedup_window,
    }
}

fn dedup_domain(scope: DedupScope) -> TopologyDomain {
    match scope {
        DedupScope::All => TopologyDomain::Off,
        DedupScope::Zone => TopologyDomain::Zone,
        DedupScope::Rack => TopologyDomain::Rack,
    }
}
