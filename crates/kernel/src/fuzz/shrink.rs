//! Shrinks a failing scenario for as long as it still violates one of the same rules.

use super::random_scenario::{Fault, RandomScenario, Target};
use super::violated_rules;
use crate::report::ScenarioReport;

/// Seeds that are tried for each smaller scenario: every reduction changes the random draws, so that the violation may
/// occur with another seed only.
const SEEDS_PER_CANDIDATE: u64 = 4;

/// Minimum time from the beginning of the last fault to the end of the scenario, in milliseconds.
const MIN_TAIL_MS: u64 = 300;

/// Shrinks a failing scenario and returns the smallest one that was found, with its report. At most `budget` smaller
/// scenarios are run.
pub fn shrink(scenario: &RandomScenario, budget: usize) -> (RandomScenario, ScenarioReport) {
    let mut smallest = (scenario.clone(), scenario.simulate());
    let wanted = violated_rules(&smallest.1);
    let mut runs_left = budget;
    while let Some(smaller) = find_smaller(scenario.seed, &smallest.0, &wanted, &mut runs_left) {
        smallest = smaller;
    }
    smallest
}

/// Returns the first smaller scenario that violates one of the wanted rules.
fn find_smaller(
    first_seed: u64,
    scenario: &RandomScenario,
    wanted: &[u8],
    runs_left: &mut usize,
) -> Option<(RandomScenario, ScenarioReport)> {
    for candidate in scenario.smaller() {
        for offset in 0..SEEDS_PER_CANDIDATE {
            *runs_left = runs_left.checked_sub(1)?;
            let mut candidate = candidate.clone();
            candidate.seed = first_seed + offset;
            let report = candidate.simulate();
            let violated = violated_rules(&report);
            if violated.iter().any(|rule| wanted.contains(rule)) {
                return Some((candidate, report));
            }
        }
    }
    None
}

impl RandomScenario {
    /// Returns smaller scenarios, the greatest reductions first.
    fn smaller(&self) -> Vec<RandomScenario> {
        let mut candidates = Candidates::of(self);
        candidates.drop_faults();
        candidates.drop_workloads();
        candidates.drop_node_group();
        candidates.reduce_controllers();
        candidates.reduce_nodes();
        candidates.reduce_duration();
        candidates.reduce_rates();
        candidates.smaller
    }
}

/// Collects reductions of a scenario.
struct Candidates<'a> {
    original: &'a RandomScenario,
    smaller: Vec<RandomScenario>,
}

impl<'a> Candidates<'a> {
    fn of(original: &'a RandomScenario) -> Candidates<'a> {
        Candidates {
            original,
            smaller: Vec::new(),
        }
    }

    /// Adds a copy of the scenario with this change, if it differs from the original.
    fn add(&mut self, change: impl FnOnce(&mut RandomScenario)) {
        let mut candidate = self.original.clone();
        change(&mut candidate);
        if candidate != *self.original {
            self.smaller.push(candidate);
        }
    }

    fn drop_faults(&mut self) {
        let half = self.original.faults.len() / 2;
        if half > 0 {
            self.add(|candidate| candidate.faults.truncate(half));
            self.add(|candidate| drop(candidate.faults.drain(..half)));
        }
        for index in 0..self.original.faults.len() {
            self.add(|candidate| {
                candidate.faults.remove(index);
            });
        }
    }

    fn drop_workloads(&mut self) {
        if self.original.workloads.len() > 1 {
            for index in 0..self.original.workloads.len() {
                self.add(|candidate| {
                    candidate.workloads.remove(index);
                });
            }
        }
    }

    fn drop_node_group(&mut self) {
        let names_node = |fault: &Fault| matches!(fault.target, Target::Node(_));
        let groups = self.original.node_groups.len();
        if groups > 1 && !self.original.faults.iter().any(names_node) {
            self.add(|candidate| candidate.node_groups.truncate(groups - 1));
        }
    }

    fn reduce_controllers(&mut self) {
        let named_index = |fault: &Fault| match fault.target {
            Target::Controller(index) => Some(index),
            Target::Share(_) | Target::Node(_) | Target::Rack(_) => None,
        };
        let minimum = self.min_count(named_index);
        let controllers = self.original.controllers;
        self.add(|candidate| candidate.controllers = minimum.max(controllers / 2));
        self.add(|candidate| candidate.controllers = minimum.max(controllers - 1));
    }

    fn reduce_nodes(&mut self) {
        let named_index = |fault: &Fault| match fault.target {
            Target::Node(index) => Some(index),
            Target::Share(_) | Target::Rack(_) | Target::Controller(_) => None,
        };
        let minimum = self.min_count(named_index);
        let nodes = self.original.node_groups[0].count;
        self.add(|candidate| candidate.node_groups[0].count = minimum.max(nodes / 2));
        self.add(|candidate| candidate.node_groups[0].count = minimum.max(nodes - 1));
    }

    /// Returns the smallest count, at least one, with which every index that a fault names exists.
    fn min_count(&self, named_index: impl Fn(&Fault) -> Option<u64>) -> u64 {
        let indices = self.original.faults.iter().filter_map(named_index);
        indices.map(|index| index + 1).max().unwrap_or(0).max(1)
    }

    fn reduce_duration(&mut self) {
        let faults = self.original.faults.iter();
        let minimum = faults.map(|fault| fault.at_ms + MIN_TAIL_MS).max();
        let minimum = minimum.unwrap_or(500);
        let duration = self.original.duration_ms;
        self.add(|candidate| candidate.duration_ms = minimum.max(duration / 2));
    }

    fn reduce_rates(&mut self) {
        for index in 0..self.original.workloads.len() {
            let rate = self.original.workloads[index].rate;
            let half = (rate * 5.0).round().max(5.0) / 10.0;
            self.add(|candidate| candidate.workloads[index].rate = half);
        }
    }
}
