//! Property tests of the five rules that the scheduler guarantees. Random valid event sequences are
//! fed to it through its public interface, and each action is checked:
//!
//! - 1: each request is answered once and by its deadline, and nothing is dispatched afterwards
//! - 2: no task starts twice unless its idempotency allows it
//! - 3: no task is sent to a node that is draining or gone
//! - 4: a node in slow start gets no more attempts than its budget
//! - 5: a topology domain holds no more tasks of a service than its class allows

mod checker;
mod dispatch;
mod events;
mod steps;

use checker::RuleChecker;
use peppercove::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use steps::{Step, steps};

fn settings(placement_ack: PlacementAck, can_probe: bool) -> Settings {
    let mut settings = Settings {
        placement_ack,
        can_probe,
        ..Settings::sample()
    };
    // The deadline of the keyed class, whose scope is a rack, lies after the end of its window.
    settings.classes[1].deadline = 6_000_000;
    settings
}

fn run_steps(settings: Settings, seed: u64, steps: &[Step]) -> usize {
    let mut checker = RuleChecker::new(settings, seed);
    for step in steps {
        checker.step(step);
    }
    checker.wait(checker.now + 20_000_000);
    checker.dispatches
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, rng_seed: RngSeed::Fixed(71), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn the_five_rules_hold_if_nodes_acknowledge_running_tasks(seed in any::<u64>(), steps in steps()) {
        run_steps(settings(PlacementAck::Running, false), seed, &steps);
    }

    #[test]
    fn the_five_rules_hold_if_nodes_acknowledge_accepted_tasks(seed in any::<u64>(), steps in steps()) {
        run_steps(settings(PlacementAck::Accepted, true), seed, &steps);
    }
}

#[test]
fn the_checker_observes_dispatches() {
    let place = Step::Place {
        class: 0,
        service: 0,
        cores: 1.0,
    };
    assert_eq!(
        run_steps(settings(PlacementAck::Running, false), 1, &[place]),
        2,
        "expected a first attempt and another one after its timeout"
    );
}
