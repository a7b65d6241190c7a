//! Sums of the results of many random scenarios.

use super::random_scenario::RandomScenario;
use super::violated_rules;
use crate::report::ScenarioReport;
use std::collections::BTreeMap;

/// Quantile of the standard normal distribution for a confidence interval of 95%.
const Z_95: f64 = 1.96;

/// Summed results of random scenarios.
#[derive(Clone, Debug, Default)]
pub struct FuzzSummary {
    /// Number of scenarios.
    pub scenarios: u64,
    /// Number of scenarios with a violated rule or an unanswered request.
    pub failed: u64,
    /// Number of scenarios that violated each rule; rule 0 stands for unanswered requests.
    pub failures_by_rule: BTreeMap<u8, u64>,
    /// Number of scenarios in which each rare situation occurred.
    pub hazards: BTreeMap<&'static str, u64>,
    /// Number of scenarios in which faults of each pair of kinds overlapped.
    pub fault_pairs: BTreeMap<(&'static str, &'static str), u64>,
    /// Number of outcomes, by class and outcome.
    pub answers: BTreeMap<String, u64>,
    /// Number of rejections at admission, by error.
    pub rejections: BTreeMap<&'static str, u64>,
    /// Number of jobs, without repeated submissions.
    pub jobs: u64,
    /// Number of offers to nodes.
    pub dispatches: u64,
    /// Placement delays by class: sum of the scenarios' medians and sum of their 99th percentiles, in microseconds, and
    /// the number of scenarios.
    pub delays: BTreeMap<String, (u64, u64, u64)>,
}

impl FuzzSummary {
    /// Adds the report of a scenario.
    pub fn add(&mut self, scenario: &RandomScenario, report: &ScenarioReport) {
        let rules = violated_rules(report);
        let delays = report.delays.iter();
        let hazards = report.hazards.keys();
        self.merge(FuzzSummary {
            scenarios: 1,
            failed: u64::from(!rules.is_empty()),
            failures_by_rule: rules.into_iter().map(|rule| (rule, 1)).collect(),
            hazards: hazards.map(|hazard| (*hazard, 1)).collect(),
            fault_pairs: scenario
                .overlapping_pairs()
                .into_iter()
                .map(|pair| (pair, 1))
                .collect(),
            answers: report.answers.clone(),
            rejections: report.rejections.clone(),
            jobs: report.jobs,
            dispatches: report.audit.dispatches,
            delays: delays
                .map(|(class, delays)| (class.clone(), (delays.p50, delays.p99, 1)))
                .collect(),
        });
    }

    /// Adds the sums of another summary.
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

    /// Returns the share of failed scenarios and the lower and upper bounds of its 95% confidence interval, after
    /// Wilson (1927), "Probable inference, the law of succession, and statistical inference".
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
