//! Below the size of a view, the view around the decision module changes nothing: event by event, the same actions.

use peppercove::{Action, Event, Micros, Scheduler};
use peppercove_core::Decide;
use peppercove_fleet::NodeSubset;
use peppercove_kernel::fuzz::RandomScenario;
use peppercove_kernel::{
    Scenario, built_in_scenarios, simulate_with_decider, simulate_with_subset,
};
use std::cell::Cell;
use std::path::Path;

/// The module alone and the module in its view, told the same.
struct Both<'a> {
    alone: Scheduler,
    viewed: NodeSubset<Scheduler>,
    events: &'a Cell<u64>,
}

impl Decide for Both<'_> {
    fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        let actions = self.alone.decide(now, events);
        assert_eq!(
            self.viewed.decide(now, events),
            actions,
            "at {now}, told {events:?}"
        );
        assert!(!self.viewed.is_bounded());
        self.events.set(self.events.get() + events.len() as u64);
        actions
    }
}

fn compare(script: &Scenario, seed: u64) -> u64 {
    // Controllers of the day add to one count, which outlives them.
    let events: &'static Cell<u64> = Box::leak(Box::new(Cell::new(0)));
    let both = |settings: &peppercove::Settings, seed| -> Box<dyn Decide> {
        let alone = Scheduler::new(settings.clone(), seed);
        let viewed = NodeSubset::new(Scheduler::new(settings.clone(), seed), settings);
        Box::new(Both {
            alone,
            viewed,
            events,
        })
    };
    let (report, _) = simulate_with_decider(script, seed, &both);
    assert!(
        report.is_clean(),
        "seed {seed}: {:#?}",
        report.audit.violations
    );
    events.get()
}

#[test]
fn below_the_size_of_a_view_each_event_gets_the_same_actions() {
    let random: u64 = (4_000_000..4_000_020)
        .map(|seed| compare(&RandomScenario::random(seed).to_scenario(), seed))
        .sum();
    let shipped: u64 = built_in_scenarios()
        .iter()
        .map(|(name, text)| {
            let script =
                Scenario::parse(text, Path::new(".")).unwrap_or_else(|e| panic!("{name}: {e}"));
            compare(&script, script.seed)
        })
        .sum();
    assert!(
        random > 3_000 && shipped > 2_000,
        "{random} and {shipped} events were compared"
    );
}

/// The small fleets of random days, each controller with four machines of them in view and one of each zone and kind.
#[test]
fn with_bounded_views_random_days_keep_the_rules() {
    let mut placed = 0;
    for seed in 4_100_000..4_100_040 {
        let plan = RandomScenario::random(seed);
        let report = simulate_with_subset(&plan.to_scenario(), seed, 4);
        assert!(
            report.is_clean(),
            "seed {seed}: {:#?}\n{}",
            report.audit.violations,
            plan.to_xml()
        );
        placed += report.audit.accepted;
    }
    assert!(placed > 1_000, "{placed} were taken");
}
