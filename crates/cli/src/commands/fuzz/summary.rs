//! Prints the results of the random scenarios.

use crate::tables::new_table;
use peppercove_kernel::fuzz::{FAULT_KINDS, FuzzSummary};

/// Prints the summary of a run that took `seconds`; `with_pairs` adds the pairs of faults that overlapped.
pub fn print(summary: &FuzzSummary, seconds: f64, with_pairs: bool) {
    let (share, low, high) = summary.failure_share();
    println!(
        "{} days in {seconds:.1} s, {} broken: {share:.4}, with 95 in 100 between {low:.4} and {high:.4}",
        summary.scenarios, summary.failed
    );
    let by_rule: Vec<String> = (0..=5).map(|rule| rule_text(summary, rule)).collect();
    println!("days by rule: {}", by_rule.join(", "));
    println!("jobs {}, offers {}", summary.jobs, summary.dispatches);
    print_classes(summary);
    for (errno, count) in &summary.rejections {
        println!("turned away {errno}: {count}");
    }
    for (hazard, scenarios) in &summary.hazards {
        println!("{scenarios} days: {hazard}");
    }
    if with_pairs {
        print_pairs(summary);
    }
}

/// The number of scenarios that violated a rule; rule 0 stands for requests that were left open.
fn rule_text(summary: &FuzzSummary, rule: u8) -> String {
    let name = if rule == 0 {
        "left open".into()
    } else {
        format!("rule {rule}")
    };
    format!(
        "{name} {}",
        summary.failures_by_rule.get(&rule).unwrap_or(&0)
    )
}

fn print_classes(summary: &FuzzSummary) {
    let mut table = new_table([
        "class",
        "placed",
        "refused",
        "failed",
        "placed a job answered",
        "p50 ms",
        "p99 ms",
    ]);
    for (class, (p50, p99, scenarios)) in &summary.delays {
        let count = |answer: &str| {
            summary
                .answers
                .get(&format!("{class} {answer}"))
                .copied()
                .unwrap_or(0)
        };
        let (placed, rejected, failed) = (count("placed"), count("refused"), count("failed"));
        let answered = (placed + rejected + failed).max(1) as f64;
        let mean_millis =
            |sum: u64| format!("{:.1}", sum as f64 / (*scenarios).max(1) as f64 / 1e3);
        table.add_row([
            class.clone(),
            placed.to_string(),
            rejected.to_string(),
            failed.to_string(),
            format!("{:.4}", placed as f64 / answered),
            mean_millis(*p50),
            mean_millis(*p99),
        ]);
    }
    println!("{table}");
}

fn print_pairs(summary: &FuzzSummary) {
    let kinds = FAULT_KINDS.len();
    println!(
        "{} of {} pairs of faults overlapped",
        summary.fault_pairs.len(),
        kinds * (kinds + 1) / 2
    );
    for ((first, second), scenarios) in &summary.fault_pairs {
        println!("{first} with {second}: {scenarios}");
    }
}
