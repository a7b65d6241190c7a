//! Days in simulated time: those that once broke a rule, the shipped ones, and random ones.

use peppercove_kernel::fuzz::{FuzzSummary, run_seed};
use peppercove_kernel::{Scenario, built_in_scenarios, simulate, simulate_with_events};
use std::path::Path;

fn script(name: &str, text: &str) -> Scenario {
    Scenario::parse(text, Path::new(".")).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Each of these was found by the hunt, or reported, and made smaller; its cause is in the commit that mended it.
#[test]
fn days_that_once_broke_a_rule_keep_all_of_them() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("days/found");
    let mut played = 0;
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        let script = script(
            &path.display().to_string(),
            &std::fs::read_to_string(&path).unwrap(),
        );
        for seed in script.seed..script.seed + 4 {
            let report = simulate(&script, seed);
            assert!(
                report.is_clean(),
                "{} seed {seed}: {:#?}",
                path.display(),
                report.audit.violations
            );
            assert!(
                report.audit.accepted > 0,
                "{}: nothing was tried",
                path.display()
            );
            played += 1;
        }
    }
    assert!(played >= 40, "the days were not found");
}

#[test]
fn every_shipped_day_keeps_the_rules_in_the_kernel() {
    for (name, text) in built_in_scenarios() {
        let script = script(name, text);
        for seed in 1..4 {
            let report = simulate(&script, seed);
            assert!(
                report.is_clean(),
                "{name} seed {seed}: {:#?}",
                report.audit.violations
            );
            assert!(report.audit.accepted > 20, "{name}: nothing was tried");
            let c = report.counters;
            assert_eq!(
                (c.invalid_transitions, c.unsafe_rejections),
                (0, 0),
                "{name}"
            );
        }
    }
}

#[test]
fn one_seed_is_one_run_to_the_byte() {
    for seed in 900..906 {
        let plan = peppercove_kernel::fuzz::RandomScenario::random(seed);
        let (first, second) = (
            simulate_with_events(&plan.to_scenario(), seed),
            simulate_with_events(&plan.to_scenario(), seed),
        );
        assert_eq!(first.0, second.0);
        assert_eq!(format!("{:?}", first.1), format!("{:?}", second.1));
    }
}

#[test]
fn random_days_keep_the_rules_and_meet_the_hard_cases() {
    let mut sum = FuzzSummary::default();
    for seed in 1..=150 {
        let (plan, report) = run_seed(seed);
        assert!(
            report.is_clean(),
            "seed {seed}: {:#?}\n{}",
            report.audit.violations,
            plan.to_xml()
        );
        sum.add(&plan, &report);
    }
    for hard in [
        "killed with asks open",
        "a node dies or restarts with tasks on it",
    ] {
        assert!(
            sum.hazards.get(hard).is_some_and(|days| *days > 5),
            "{hard}: {:?}",
            sum.hazards
        );
    }
    assert!(
        sum.pairs.len() > 100,
        "{} pairs of faults overlapped",
        sum.pairs.len()
    );
}
