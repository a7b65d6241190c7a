//! Random steps.

use peppercove::*;
use proptest::prelude::*;

/// What happens next.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Place {
        class: u16,
        service: u64,
        cores: f64,
    },
    RunningTask {
        class: u16,
        service: u64,
        node: u64,
    },
    EndAttempt {
        index: usize,
        outcome: AttemptOutcome,
        reason: EndReason,
    },
    Acknowledge {
        index: usize,
    },
    Cancel {
        index: usize,
    },
    ListEntry {
        node: u64,
        state: NodeStatus,
        restarted: bool,
    },
    FullList {
        missing: u64,
    },
    ListFails,
    ConnectionsBroken {
        node: u64,
    },
    RepeatLastEvent,
    Wait {
        duration: Micros,
    },
}

/// Sequences of steps.
pub(crate) fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        Just(AttemptOutcome::Completed),
        Just(AttemptOutcome::Error),
        Just(AttemptOutcome::Rejected),
        Just(AttemptOutcome::Rejected),
        Just(AttemptOutcome::TimedOut),
        Just(AttemptOutcome::Unreachable),
        Just(AttemptOutcome::Lost),
    ];
    let reason = prop_oneof![
        Just(EndReason::InsufficientCores),
        Just(EndReason::InsufficientMemory),
        Just(EndReason::QueueFull),
        Just(EndReason::Ineligible)
    ];
    let state = prop_oneof![
        Just(NodeStatus::Ready),
        Just(NodeStatus::Ready),
        Just(NodeStatus::Draining),
        Just(NodeStatus::Gone)
    ];
    let cores = prop_oneof![Just(0.5), Just(1.0), Just(4.0), Just(40.0)];
    let step = prop_oneof![
        8 => (0..3u16, 0..3u64, cores).prop_map(|(class, service, cores)| Step::Place { class, service, cores }),
        1 => (0..3u16, 0..3u64, 0..6u64).prop_map(|(class, service, node)| {
            Step::RunningTask { class, service, node }
        }),
        5 => (0..99usize, outcome, reason).prop_map(|(index, outcome, reason)| Step::EndAttempt { index, outcome, reason }),
        5 => (0..99usize).prop_map(|index| Step::Acknowledge { index }),
        1 => (0..99usize).prop_map(|index| Step::Cancel { index }),
        2 => (0..6u64, state, any::<bool>()).prop_map(|(node, state, restarted)| {
            Step::ListEntry { node, state, restarted }
        }),
        1 => (0..9u64).prop_map(|missing| Step::FullList { missing }),
        1 => Just(Step::ListFails),
        2 => (0..6u64).prop_map(|node| Step::ConnectionsBroken { node }),
        2 => Just(Step::RepeatLastEvent),
        6 => (1_000..2_000_000u64).prop_map(|duration| Step::Wait { duration }),
    ];
    prop::collection::vec(step, 1..120)
}
