//! Runs random scenarios in sequence and prints the first one that violates a rule: `first [FROM [COUNT]]`.

use peppercove_kernel::fuzz::{run_seed, violated_rules};

fn main() {
    let (from, count) = (argument(1, 1), argument(2, 10_000));
    for seed in from..from + count {
        let (_, report) = run_seed(seed);
        if !report.is_clean() {
            let first = report.audit.violations.first();
            let description = first.map_or("left unanswered", |violation| &violation.description);
            let number = seed - from + 1;
            let rules = violated_rules(&report);
            println!("scenario {number}, rules {rules:?}: {description}");
            return;
        }
    }
    println!("no violation in {count} scenarios");
}

/// Returns an argument of the command line as a number.
fn argument(index: usize, default: u64) -> u64 {
    let argument = std::env::args().nth(index);
    argument
        .and_then(|argument| argument.parse().ok())
        .unwrap_or(default)
}
