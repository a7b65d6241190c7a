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

/// Rule that a node's crash by overload violates.
const OVERLOAD_RULE: u8 = 4;

/// Window of classes that are not keyed: longer than any run.
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
    /// Jobs that clients submitted, without repeated submissions.
    pub jobs: u64,
    /// Repeated submissions.
    #[serde(rename = "again")]
    pub retries: u64,
    /// Outcomes, by class and outcome.
    pub answers: BTreeMap<String, u64>,
    /// Rejections at admission, by error.
    #[serde(rename = "turned_away")]
    pub rejections: BTreeMap<&'static str, u64>,
    /// Placement delays by class.
    pub delays: BTreeMap<String, PlacementDelays>,
    /// Result of the audit.
    #[serde(rename = "verdict")]
    pub audit: AuditReport,
    /// Sum of the counters of all controllers; the audit does not use them.
    pub counters: Counters,
    /// Longest stall of the machine that ran this, in microseconds; the audit allows for it.
    pub stall: u64,
    /// Jobs that were open at the end.
    #[serde(rename = "unanswered")]
    pub unanswered_requests: usize,
    /// Outcomes of each job, in order, by the number of its task.
    #[serde(skip)]
    pub answers_by_job: BTreeMap<u64, Vec<&'static str>>,
    /// Hard cases that occurred, and how often; empty for runs on sockets.
    pub hazards: BTreeMap<&'static str, u64>,
}

/// What a run of a scenario recorded.
pub struct RunRecord<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// Seed of the run.
    pub seed: u64,
    /// What was observed on the sockets or the simulated network.
    pub events: &'a [Event],
    /// What the nodes recorded.
    pub fleet: &'a FleetState,
    /// What the clients counted.
    pub tally: &'a ClientTally,
    /// Sum of the counters of all controllers.
    pub counters: Counters,
    /// Longest stall of the machine, in microseconds.
    pub stall: Micros,
    /// Delay from the observation of a node's message to its arrival at the controller, in microseconds.
    pub observation_delay: Micros,
    /// Jobs that were open at the end.
    pub unanswered_requests: usize,
    /// Hard cases that occurred.
    pub hazards: BTreeMap<&'static str, u64>,
}

impl ScenarioReport {
    /// No rule was violated and no job was left open.
    pub fn is_clean(&self) -> bool {
        self.audit.is_clean() && self.unanswered_requests == 0
    }
}

impl From<RunRecord<'_>> for ScenarioReport {
    /// Audits a run.
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

/// Limits of the rules, from the settings of the controllers.
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
