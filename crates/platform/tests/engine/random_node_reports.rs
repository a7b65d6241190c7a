//! Reports that the platform's nodes send, over any of their connections, in any order that the network may give them:
//! each end of a running task is notified to its client once and in time, and no message of a cancelled attempt ends
//! another. To the module no task has ended that runs on at its node.

mod module;
mod network;
mod node;
mod world;

use super::harness::*;
use proptest::prelude::*;
use world::{AttemptState, World};

/// How soon clients must be notified of an end that was reported to the engine.
const REPORTED_WITHIN: Micros = S;
/// How soon clients must be notified of an end that was not reported.
const UNREPORTED_WITHIN: Micros = 8 * S;

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn each_end_is_notified_once_in_time_and_no_message_of_another_attempt_ends_a_task(
        seed: u64, steps in 100usize..1200
    ) {
        let mut world = World::new(seed);
        let mut next_id = 1;
        for step in 0..steps + 600 {
            let is_quiet = step >= steps;
            let span = world.rng.u64(0..20 * MS);
            world.advance(span);
            world.step(&mut next_id, is_quiet);
            prop_assert!(world.faults.is_empty(), "{:?}", world.faults);
        }
        // Nothing happens any more but what is in transit, and connections that are being opened are established.
        for _ in 0..300 {
            for number in std::mem::take(&mut world.connecting) {
                world.establish(number);
            }
            world.advance(50 * MS);
        }
        prop_assert!(world.faults.is_empty(), "{:?}", world.faults);
        for (id, n) in &world.placed_by {
            let notified_at = world.notified_at.get(id);
            if let AttemptState::Ended(at) = world.attempts[*n].state {
                let late = "an end that is notified late or never";
                prop_assert!(notified_at.is_some_and(|t| *t <= at + UNREPORTED_WITHIN), "{late}: {id} ended at {at}, notified_at {notified_at:?}");
                let reported_at = world.reported_at.get(id);
                prop_assert!(reported_at.is_none_or(|h| notified_at.is_some_and(|t| *t <= h + REPORTED_WITHIN)), "{late}: {id} {reported_at:?} {notified_at:?}");
            }
            let runs = world.attempts.iter().any(|attempt| attempt.id == *id && attempt.state == AttemptState::Running);
            prop_assert!(notified_at.is_none() || !runs, "{} runs on though its client was notified of its end", id);
        }
    }
}
