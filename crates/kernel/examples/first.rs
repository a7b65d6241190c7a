//! Plays random days one after the other until a rule breaks, and says which day it was: `first FROM MOST`.

use peppercove_kernel::fuzz::{run_seed, violated_rules};

fn main() {
    let number = |i: usize, or: u64| {
        std::env::args()
            .nth(i)
            .and_then(|a| a.parse().ok())
            .unwrap_or(or)
    };
    let (from, most) = (number(1, 1), number(2, 10_000));
    for seed in from..from + most {
        let (_, report) = run_seed(seed);
        if !report.is_clean() {
            let what = report
                .audit
                .violations
                .first()
                .map_or("left open", |b| b.description.as_str());
            println!(
                "day {} of the hunt, rules {:?}: {what}",
                seed - from + 1,
                violated_rules(&report)
            );
            return;
        }
    }
    println!("not found within {most} days");
}
