//! Results of many random scenarios, added up.

use super::random_scenario::RandomScenario;
use super::violated_rules;
use crate::report::ScenarioReport;
use std::collections::BTreeMap;

/// Quantile of the normal distribution for an interval of 95%.
const Z_95: f64 = 1.96;

/// Sums over random scenarios.
#[derive(Clone, Debug, Default)]
pub struct FuzzSummary {
    /// Scenarios that were run.
    pub scenarios: u64,
    /// Scenarios with a violated rule or an open request.
    pub failed: u64,
    /// Scenarios that violated each rule; 0 stands for open requests.
    pub failures_by_rule: BTreeMap<u8, u64>,
    /// Scenarios in which each hard case occurred.
    pub hazards: BTreeMap<&'static str, u64>,
    /// Scenarios in which faults of each pair of kinds overlapped.
    pub fault_pairs: BTreeMap<(&'static str, &'static str), u64>,
    /// Outcomes, by class and outcome.
    pub answers: BTreeMap<String, u64>,
    /// Rejections at admission, by error.
    pub rejections: BTreeMap<&'static str, u64>,
    /// Jobs, without repeated submissions.
    pub jobs: u64,
    /// Offers to nodes.
    pub dispatches: u64,
    /// Placement delays by class, in microseconds: sums of the medians and of the 99th percentiles of the scenarios,
    /// and their number.
    pub delays: BTreeMap<String, (u64, u64, u64)>,
}

impl FuzzSummary {
    /// Adds a scenario.
    pub fn add(&mut self, scenario: &RandomScenario, report: &ScenarioReport) {
        let rules = violated_rules(report);
        let delays = report.delays.iter();
        let hazards = report.hazards.keys();
        self.merge(FuzzSummary {
            scenarios: 1,
            failed: u64::from(!rules.is_empty()),
            failures_by_rule: rules.into_iter().map(|rule| (rule, 1)).collect(),
            hazards: hazards.map(|hazard| (*hazard, 1)).collect(),
            fault_pairs: scenario.pairs().into_iter().map(|pair| (pair, 1)).collect(),
            answers: report.answers.clone(),
            rejections: report.rejections.clone(),
            jobs: report.jobs,
            dispatches: report.audit.dispatches,
            delays: delays
                .map(|(class, delays)| (class.clone(), (delays.p50, delays.p99, 1)))
                .collect(),
        });
    }

    /// Adds another summary.
    pub fn merge(&mut self, other: FuzzSummary) {
        self.scenarios += other.scenarios;
        self.failed += other.failed;
        self.jobs += other.jobs;
        self.dispatches += other.dispatches;
        add_counts(&mut self.failures_by_rule, other.failures_by_rule);
        add_counts(&mut self.hazards, other.hazards);
        add_counts(&mut self.fault_pairs, other.fault_pairs);
        add_counts(&mut self.answers, other.answers);
        add_counts(&mut self.rejections, other.rejections);
        for (class, (p50, p99, scenarios)) in other.delays {
            let sum = self.delays.entry(class).or_default();
            *sum = (sum.0 + p50, sum.1 + p99, sum.2 + scenarios);
        }
    }

    /// The share of failed scenarios, and the bounds of its interval of 95% after Wilson (1927), "Probable inference,
    /// the law of succession, and statistical inference".
    pub fn failure_share(&self) -> (f64, f64, f64) {
        let (n, z) = (self.scenarios.max(1) as f64, Z_95);
        let p = self.failed as f64 / n;
        let middle = (p + z * z / (2.0 * n)) / (1.0 + z * z / n);
        let half = z / (1.0 + z * z / n) * (p * (1.0 - p) / n + z * z / (4.0 * n * n)).sqrt();
        (p, (middle - half).max(0.0), (middle + half).min(1.0))
    }
}

fn add_counts<K: Ord>(counts: &mut BTreeMap<K, u64>, other: BTreeMap<K, u64>) {
    for (key, count) in other {
        *counts.entry(key).or_insert(0) += count;
    }
}
