//! Runs random scenarios one after the other until one violates a rule, and prints which: `first FROM MOST`.

use peppercove_kernel::fuzz::{run_seed, violated_rules};

fn main() {
    let (from, most) = (argument(1, 1), argument(2, 10_000));
    for seed in from..from + most {
        let (_, report) = run_seed(seed);
        if !report.is_clean() {
            let first = report.audit.violations.first();
            let description = first.map_or("left open", |violation| &violation.description);
            let number = seed - from + 1;
            let rules = violated_rules(&report);
            println!("day {number} of the hunt, rules {rules:?}: {description}");
            return;
        }
    }
    println!("not found within {most} days");
}

fn argument(index: usize, default: u64) -> u64 {
    let argument = std::env::args().nth(index);
    argument
        .and_then(|argument| argument.parse().ok())
        .unwrap_or(default)
}
