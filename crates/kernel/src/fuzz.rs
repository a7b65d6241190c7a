//! Fuzzing: generates a random scenario from each seed, runs it in simulated time, and shrinks a failing one. The XML
//! form of a scenario can also be run on sockets.

mod random_scenario;
mod shrink;
mod summary;
mod xml;

pub use random_scenario::{FAULT_KINDS, RandomScenario};
pub use shrink::shrink;
pub use summary::FuzzSummary;

use crate::report::ScenarioReport;
use crate::simulator::simulate;

/// Stands for unanswered requests in a list of violated rules.
const UNANSWERED_REQUESTS: u8 = 0;

/// Generates the random scenario of a seed and runs it in simulated time.
pub fn run_seed(seed: u64) -> (RandomScenario, ScenarioReport) {
    let scenario = RandomScenario::random(seed);
    let report = scenario.simulate();
    (scenario, report)
}

/// Returns the numbers of the violated rules in ascending order; 0 stands for unanswered requests.
pub fn violated_rules(report: &ScenarioReport) -> Vec<u8> {
    let violations = report.audit.violations.iter();
    let mut rules: Vec<u8> = violations.map(|violation| violation.rule).collect();
    if report.unanswered_requests > 0 {
        rules.push(UNANSWERED_REQUESTS);
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
