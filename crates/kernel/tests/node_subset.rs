//! In a fleet that is smaller than the subset, the subset around the scheduler changes nothing: event by event, the same
//! actions.

use peppercove::{Action, Event, Micros, Scheduler};
use peppercove_core::Decide;
use peppercove_fleet::NodeSubset;
use peppercove_kernel::fuzz::RandomScenario;
use peppercove_kernel::{
    Scenario, built_in_scenarios, simulate_with_decider, simulate_with_subset,
};
use std::cell::Cell;
use std::path::Path;

/// The scheduler alone and the scheduler with a subset, given the same events.
struct Both<'a> {
    alone: Scheduler,
    with_subset: NodeSubset<Scheduler>,
    events: &'a Cell<u64>,
}

impl Decide for Both<'_> {
    fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        let actions = self.alone.decide(now, events);
        assert_eq!(
            self.with_subset.decide(now, events),
            actions,
            "at {now}, given {events:?}"
        );
        assert!(!self.with_subset.is_bounded());
        self.events.set(self.events.get() + events.len() as u64);
        actions
    }
}

fn compare(scenario: &Scenario, seed: u64) -> u64 {
    // All controllers of the scenario add to one count, which outlives them.
    let events: &'static Cell<u64> = Box::leak(Box::new(Cell::new(0)));
    let both = |settings: &peppercove::Settings, seed| -> Box<dyn Decide> {
        let alone = Scheduler::new(settings.clone(), seed);
        let with_subset = NodeSubset::new(Scheduler::new(settings.clone(), seed), settings);
        Box::new(Both {
            alone,
            with_subset,
            events,
        })
    };
    let (report, _) = simulate_with_decider(scenario, seed, &both);
    assert!(
        report.is_clean(),
        "seed {seed}: {:#?}",
        report.audit.violations
    );
    events.get()
}

#[test]
fn subset_larger_than_the_fleet_gives_the_same_actions_for_each_event() {
    let random: u64 = (4_000_000..4_000_020)
        .map(|seed| compare(&RandomScenario::random(seed).to_scenario(), seed))
        .sum();
    let built_in: u64 = built_in_scenarios()
        .iter()
        .map(|(name, text)| {
            let scenario =
                Scenario::parse(text, Path::new(".")).unwrap_or_else(|e| panic!("{name}: {e}"));
            compare(&scenario, scenario.seed)
        })
        .sum();
    assert!(
        random > 3_000 && built_in > 2_000,
        "{random} and {built_in} events were compared"
    );
}

/// The small fleets of random scenarios, with a subset of four nodes and one more of each zone and kind.
#[test]
fn random_scenarios_with_bounded_subsets_violate_no_rule() {
    let mut accepted = 0;
    for seed in 4_100_000..4_100_040 {
        let scenario = RandomScenario::random(seed);
        let report = simulate_with_subset(&scenario.to_scenario(), seed, 4);
        assert!(
            report.is_clean(),
            "seed {seed}: {:#?}\n{}",
            report.audit.violations,
            scenario.to_xml()
        );
        accepted += report.audit.accepted;
    }
    assert!(accepted > 1_000, "{accepted} jobs were accepted");
}
