//! The rules over all schedulers of a site at once, judged from outside.

mod common;

use common::site::Site;
use common::*;
use peppercove::*;
use peppercove_core::Decide;
use peppercove_fleet::NodeSubset;

fn viewed(settings: &Settings, seed: u64) -> NodeSubset<Scheduler> {
    module(settings, 256, seed)
}

#[test]
fn the_rules_hold_over_24_schedulers_with_2_000_machines() {
    let mut site = Site::new(&settings(24, 0), 2_000, 1, viewed);
    assert!(site.members.iter().all(|member| member.module.is_bounded()));
    for round in 0..3 {
        site.live(5, 3, 80, 2_000);
        (0..8).for_each(|i| site.restart(round * 8 + i));
    }
    site.live(5, 3, 80, 2_000);
    println!(
        "{} binds, {} offers to a cold machine at most",
        site.binds, site.most_cold
    );
    assert!(
        site.binds > 1_500 && site.most_cold >= 1,
        "{} binds",
        site.binds
    );
}

/// All machines are cold and all schedulers send all they can: each machine gets what it bears, and no more.
#[test]
fn a_cold_fleet_gets_what_it_bears() {
    let mut site = Site::new(&settings(24, 0), 400, 2, viewed_small);
    assert!(site.members.iter().all(|member| member.module.is_bounded()));
    site.now += 20 * SECOND;
    let restarted = (0..400).map(|m| NodeEntry {
        started_at: site.now,
        incarnation: site.now,
        ..line(m)
    });
    let restarted: Vec<NodeEntry> = restarted.collect();
    site.change(restarted, 0);
    for round in 0..20 {
        site.step();
        for m in 0..24 {
            (0..15).for_each(|i| site.place(m, 0, round * 100 + i));
        }
    }
    println!(
        "{} binds, {} offers to a cold machine at most",
        site.binds, site.most_cold
    );
    assert!(site.most_cold >= 7, "{} offers at most", site.most_cold);
}

fn viewed_small(settings: &Settings, seed: u64) -> NodeSubset<Scheduler> {
    module(settings, 64, seed)
}

/// The module alone and in its view, told the same.
struct Both(Scheduler, NodeSubset<Scheduler>);

impl Decide for Both {
    fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        let actions = self.0.decide(now, events);
        assert_eq!(
            self.1.decide(now, events),
            actions,
            "at {now}, told {events:?}"
        );
        assert!(!self.1.is_bounded());
        actions
    }
}

#[test]
fn below_its_size_a_view_changes_no_action_in_any_life() {
    let both = |settings: &Settings, seed| {
        Both(
            Scheduler::new(settings.clone(), seed),
            module(settings, 64, seed),
        )
    };
    let mut binds = 0;
    for seed in 0..12 {
        let machines = [3, 12, 60][seed as usize % 3];
        let mut site = Site::new(&settings(3, 0), machines, seed, both);
        for m in 0..3 {
            site.live(4, 6, 6, machines);
            site.restart(m);
        }
        site.live(8, 6, 6, machines);
        binds += site.binds;
    }
    assert!(binds > 1_000, "{binds} binds");
}
