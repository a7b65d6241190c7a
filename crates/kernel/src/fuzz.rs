//! Random scenarios: made from a seed, written as the XML that sockets run as well, and shrunk while they fail.

mod random_scenario;
mod shrink;
mod summary;
mod xml;

pub use random_scenario::{FAULT_KINDS, RandomScenario};
pub use shrink::shrink;
pub use summary::FuzzSummary;

use crate::report::ScenarioReport;
use crate::simulator::simulate;

/// Stands for open requests in a list of violated rules.
const OPEN_REQUESTS: u8 = 0;

/// Runs the random scenario of a seed in simulated time.
pub fn run_seed(seed: u64) -> (RandomScenario, ScenarioReport) {
    let scenario = RandomScenario::random(seed);
    let report = scenario.simulate();
    (scenario, report)
}

/// Rules that a report shows violated, in order; 0 stands for requests that were left open.
pub fn violated_rules(report: &ScenarioReport) -> Vec<u8> {
    let violations = report.audit.violations.iter();
    let mut rules: Vec<u8> = violations.map(|violation| violation.rule).collect();
    if report.unanswered_requests > 0 {
        rules.push(OPEN_REQUESTS);
    }
    rules.sort_unstable();
    rules.dedup();
    rules
}

impl RandomScenario {
    fn simulate(&self) -> ScenarioReport {
        simulate(&self.to_scenario(), self.seed)
    }
}
