//! Slots and their owners: what all schedulers' shares come to, what moves, and what is in nobody's view.

mod common;

use common::*;
use peppercove::*;
use peppercove_core::Decide;
use peppercove_fleet::{COLD_START_SLOTS, cold_start_share, slot_owner};
use std::collections::BTreeSet;

#[test]
fn all_cold_shares_of_a_machine_are_what_it_bears() {
    for schedulers in [1, 2, 3, 7, 24, 100] {
        for machine in (0..200).map(|m| NodeId(m * 7_919)) {
            for bears in [0, 1, 7, 8, 28, 1_001] {
                let shares =
                    (0..schedulers).map(|own| cold_start_share(machine, own, schedulers, bears));
                assert_eq!(
                    shares.map(u64::from).sum::<u64>(),
                    bears,
                    "{machine:?} among {schedulers}"
                );
            }
        }
    }
}

#[test]
fn one_scheduler_more_takes_slots_and_moves_no_other() {
    for schedulers in [1, 8, 24, 99] {
        let mut taken = 0;
        for (machine, slot) in
            (0..2_000).flat_map(|m| (0..COLD_START_SLOTS).map(move |s| (NodeId(m), s)))
        {
            let (before, after) = (
                slot_owner(machine, slot, schedulers),
                slot_owner(machine, slot, schedulers + 1),
            );
            assert!(
                after == before || after == schedulers,
                "{machine:?} {slot}: {before} to {after}"
            );
            taken += u32::from(after != before);
        }
        let fair = f64::from(2_000 * COLD_START_SLOTS) / f64::from(schedulers + 1);
        assert!(
            (f64::from(taken) / fair - 1.0).abs() < 0.15,
            "{taken} of {fair} at {schedulers}"
        );
    }
}

/// The views of all schedulers, as pairs of scheduler and machine.
fn views(schedulers: u32, size: u64, lines: &[NodeEntry]) -> BTreeSet<(u32, NodeId)> {
    let mut pairs = BTreeSet::new();
    for own in 0..schedulers {
        let mut view = told(schedulers, own, size);
        view.decide(SECOND, &[list(ListUpdateKind::Full, 1, lines.to_vec())]);
        let shown = lines
            .iter()
            .map(|line| line.node)
            .filter(|machine| view.contains(*machine));
        pairs.extend(shown.map(|machine| (own, machine)));
        assert!(view.is_bounded());
    }
    pairs
}

/// Of 24 views of 2,000 machines, 13,940 pairs, one machine less takes its own pairs away and no others; one scheduler
/// more takes one slot in 25, and as many pairs go from the old views.
#[test]
fn little_moves_where_a_machine_or_a_scheduler_comes_or_goes() {
    let all = lines(0..2_000);
    let before = views(24, 256, &all);
    let less: Vec<NodeEntry> = all
        .iter()
        .filter(|line| line.node.0 != 77)
        .cloned()
        .collect();
    let moved = before.symmetric_difference(&views(24, 256, &less)).count();
    let own = before.iter().filter(|(_, machine)| machine.0 == 77).count();
    assert_eq!(moved, own, "only the pairs of the machine that went");
    let after = views(25, 256, &all);
    let old = |pairs: &BTreeSet<(u32, NodeId)>| -> BTreeSet<_> {
        pairs.iter().filter(|(own, _)| *own < 24).copied().collect()
    };
    let moved = old(&before).symmetric_difference(&old(&after)).count();
    println!(
        "{} pairs; {own} of a machine; {moved} pairs of the old move for a new scheduler",
        before.len()
    );
    assert!(
        moved * 12 < before.len(),
        "{moved} of {} pairs move",
        before.len()
    );
}

#[test]
fn each_view_has_all_zones_and_kinds_and_a_rare_kind_whole() {
    let rare = |line: NodeEntry| {
        if line.node.0.is_multiple_of(199) {
            NodeEntry { kind: 2, ..line }
        } else {
            line
        }
    };
    let all: Vec<NodeEntry> = lines(0..2_000).into_iter().map(rare).collect();
    let pairs = views(24, 256, &all);
    for own in 0..24 {
        let mine: Vec<&NodeEntry> = all
            .iter()
            .filter(|l| pairs.contains(&(own, l.node)))
            .collect();
        // Eight slots with 24 owners put 29% of the machines into each view, more than its size asks for.
        assert!(
            (500..=650).contains(&mine.len()),
            "{} machines in view {own}",
            mine.len()
        );
        for (zone, kind) in (0..ZONES as u8).flat_map(|zone| [(zone, 0), (zone, 1)]) {
            let here = mine
                .iter()
                .filter(|l| l.zone == zone && l.kind == kind)
                .count();
            assert!(
                here >= 8,
                "{here} machines of kind {kind} in zone {zone} in view {own}"
            );
        }
        assert_eq!(
            mine.iter().filter(|l| l.kind == 2).count(),
            11,
            "the rare kind in view {own}"
        );
    }
}

/// Eight slots at least for each machine: with a third of 24 schedulers dead one machine in 6,561 has lost all owners.
#[test]
fn a_third_of_the_schedulers_dead_leaves_few_machines_in_nobodys_view() {
    let machines = 13_000;
    for dead in [0..8, 8..16, 16..24] {
        let alone = |m: &u64| {
            (0..COLD_START_SLOTS).all(|slot| dead.contains(&slot_owner(NodeId(*m), slot, 24)))
        };
        let lost = (0..machines).filter(alone).count();
        println!("{lost} of {machines} machines in no living view");
        assert!(lost <= 8, "{lost} machines in nobody's view");
    }
}

/// At the size that is headed for, 44 zones with two kinds each, a view has about its 1,024 machines, and 16 of each place
/// where that asks for more.
#[test]
fn a_view_of_13_000_machines_has_about_its_size() {
    let zoned = |line: NodeEntry| NodeEntry {
        zone: (line.node.0 % 44) as u8,
        ..line
    };
    let kinded = |line: NodeEntry| NodeEntry {
        kind: u8::from((line.node.0 / 44).is_multiple_of(8)),
        ..line
    };
    let all: Vec<NodeEntry> = lines(0..13_000)
        .into_iter()
        .map(zoned)
        .map(kinded)
        .collect();
    let mut sizes = Vec::new();
    for (schedulers, own) in [(100, 7), (500, 0), (500, 499)] {
        let mut view = told(schedulers, own, peppercove_fleet::TARGET_SUBSET_SIZE);
        view.decide(SECOND, &[list(ListUpdateKind::Full, 1, all.clone())]);
        let shown = |line: &&NodeEntry| view.contains(line.node);
        let least = (0..44)
            .flat_map(|zone| [(zone, 0), (zone, 1)])
            .map(|place| {
                all.iter()
                    .filter(|l| (l.zone, l.kind) == place)
                    .filter(shown)
                    .count()
            });
        sizes.push((schedulers, view.len(), least.min().unwrap()));
    }
    println!("schedulers, machines in view, machines of the scarcest place: {sizes:?}");
    assert!(
        sizes
            .iter()
            .all(|(_, size, least)| (1_024..=2_432).contains(size) && *least >= 6),
        "{sizes:?}"
    );
}
