//! What a day came to, on sockets or in the kernel.

use crate::client_model::Tally;
use crate::scenario::Scenario;
use peppercove::{DedupScope, Idempotency, TopologySpread};
use peppercove_audit::{
    AuditReport, ClassRules, Event, RecordedStart, RuleSettings, TopologyDomain, check_rules,
};
use peppercove_config::Config;
use peppercove_core::Counters;
use peppercove_standins::node_model::FleetState;
use serde::Serialize;
use std::collections::BTreeMap;

/// Placing delays of one class, in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlacementDelays {
    /// Jobs placed.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 99 in 100 were placed within this.
    pub p99: u64,
    /// The longest.
    pub max: u64,
}

/// What a day came to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScenarioReport {
    /// Name of the day.
    #[serde(rename = "day")]
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// Controllers.
    pub controllers: usize,
    /// Nodes.
    pub nodes: usize,
    /// Jobs asked for.
    pub jobs: u64,
    /// Asks made again.
    #[serde(rename = "again")]
    pub retries: u64,
    /// Answers, by class and answer.
    pub answers: BTreeMap<String, u64>,
    /// Submissions turned away, by error.
    #[serde(rename = "turned_away")]
    pub rejections: BTreeMap<&'static str, u64>,
    /// Placing delays by class.
    pub delays: BTreeMap<String, PlacementDelays>,
    /// What the audit found.
    #[serde(rename = "verdict")]
    pub audit: AuditReport,
    /// What the controllers counted, added up; the audit does not use it.
    pub counters: Counters,
    /// The longest that this machine stalled, in microseconds; the audit allows for it.
    pub stall: u64,
    /// Asks that their owners still had open at the end.
    #[serde(rename = "unanswered")]
    pub unanswered_requests: usize,
    /// Answers to each job, in order, by the number of its task.
    #[serde(skip)]
    pub answers_by_job: BTreeMap<u64, Vec<&'static str>>,
    /// Hard cases that did happen, and how often; only the kernel knows them.
    pub hazards: BTreeMap<&'static str, u64>,
}

impl ScenarioReport {
    /// No rule is broken and nothing is left open.
    pub fn is_clean(&self) -> bool {
        self.audit.is_clean() && self.unanswered_requests == 0
    }

    /// Judges a day.
    #[allow(clippy::too_many_arguments)]
    pub fn judged(
        script: &Scenario,
        seed: u64,
        events: &[Event],
        shared: &FleetState,
        tally: &Tally,
        counters: Counters,
        stall: u64,
        travel: u64,
        unanswered: usize,
        hazards: BTreeMap<&'static str, u64>,
    ) -> ScenarioReport {
        let rack = |name: &str| {
            script
                .nodes
                .iter()
                .find(|n| n.name == name)
                .map_or(0, |n| n.rack)
        };
        let ledger = shared.start_log.borrow();
        let starts: Vec<RecordedStart> = ledger
            .starts
            .iter()
            .map(|s| RecordedStart {
                at: s.at,
                ended: s.ended,
                completed: s.completed,
                node: s.node.clone(),
                rack: rack(&s.node),
                task: s.task,
                idempotency: s.idempotency,
            })
            .collect();
        let mut verdict = check_rules(
            events,
            &starts,
            &rule_settings(&script.config, stall, travel),
        );
        for crash in &ledger.crashes {
            let what = format!("{} fell over", crash.node);
            verdict.violations.push(peppercove_audit::Violation {
                at: crash.at,
                rule: 4,
                description: what,
            });
        }
        let delays = tally.delays.iter().map(|(class, h)| {
            let at = |q| h.value_at_quantile(q);
            (
                class.clone(),
                PlacementDelays {
                    count: h.len(),
                    p50: at(0.5),
                    p99: at(0.99),
                    max: h.max(),
                },
            )
        });
        ScenarioReport {
            scenario: script.name.clone(),
            seed,
            controllers: script.controllers,
            nodes: script.nodes.len(),
            jobs: tally.jobs,
            retries: tally.again,
            answers: tally
                .answers
                .iter()
                .map(|((class, answer), n)| (format!("{class} {answer}"), *n))
                .collect(),
            rejections: tally.turned_away.clone(),
            delays: delays.collect(),
            audit: verdict,
            counters,
            stall,
            unanswered_requests: unanswered,
            answers_by_job: tally.by_job.clone(),
            hazards,
        }
    }
}

/// The figures of the rules, by the settings.
fn rule_settings(config: &Config, stall: u64, travel: u64) -> RuleSettings {
    let m = &config.scheduler;
    let place = |spread: TopologySpread| match spread {
        TopologySpread::Off => TopologyDomain::Off,
        TopologySpread::Node => TopologyDomain::Node,
        TopologySpread::Rack => TopologyDomain::Rack,
        TopologySpread::Zone => TopologyDomain::Zone,
    };
    let class = |c: &peppercove::TaskClass| {
        let (group, window) = match c.idempotency {
            Idempotency::Keyed {
                scope: DedupScope::Rack,
                window,
            } => (TopologyDomain::Rack, window),
            Idempotency::Keyed {
                scope: DedupScope::Zone,
                window,
            } => (TopologyDomain::Zone, window),
            Idempotency::Keyed {
                scope: DedupScope::All,
                window,
            } => (TopologyDomain::Off, window),
            Idempotency::Idempotent | Idempotency::NonIdempotent => {
                (TopologyDomain::Off, u64::MAX / 4)
            }
        };
        ClassRules {
            spread: place(c.topology_spread),
            max_per_domain: c.max_per_domain,
            dedup_scope: group,
            dedup_window: window,
        }
    };
    RuleSettings {
        classes: m.classes.iter().map(class).collect(),
        drain_grace: m.drain_grace,
        slow_start_window: m.slow_start_window,
        slow_start_budget: m.slow_start_budget as u64,
        overload_window: m.overload_window,
        stall,
        observation_delay: travel,
    }
}
