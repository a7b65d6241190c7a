//! What is in view, from first principles, and how much is held, over random streams of lists.

mod common;

use common::site::{self, Site};
use common::*;
use peppercove::*;
use peppercove_core::Decide;
use peppercove_fleet::{NodeSubset, slot_owner};
use std::collections::BTreeMap;

const SCHEDULERS: u32 = 40;
const OWN: u32 = 7;
const SIZE: u64 = 64;
const MACHINES: u64 = 600;

/// Who is in view by the list alone, worked out anew each time.
#[derive(Default)]
struct Model {
    list: Told,
    slots: BTreeMap<(u8, u8), u32>,
    bounded: bool,
}

impl Model {
    /// The fewest slots, eight at least, that put this share of a place into each view; all from nine tenths on.
    fn wanted(share: f64) -> u32 {
        let reached = |slots: u32| 1.0 - (1.0 - 1.0 / f64::from(SCHEDULERS)).powi(slots as i32);
        let slots = (8..)
            .find(|slots| reached(*slots) >= share.min(0.99))
            .unwrap();
        if share >= 0.9 || reached(slots) >= 0.9 {
            u32::MAX
        } else {
            slots
        }
    }

    fn take_in(&mut self, event: &Event) {
        self.list.decide(0, std::slice::from_ref(event));
        let mut ready: BTreeMap<(u8, u8), u32> = BTreeMap::new();
        for line in self
            .list
            .lines
            .values()
            .filter(|line| line.state == NodeStatus::Ready)
        {
            *ready.entry((line.zone, line.kind)).or_default() += 1;
        }
        let all: u32 = ready.values().sum();
        self.bounded = u64::from(all) > SIZE + 16 * ready.len() as u64;
        if !self.bounded {
            return;
        }
        self.slots.retain(|place, _| ready.contains_key(place));
        for (place, count) in ready {
            let wanted = Model::wanted((SIZE as f64 / f64::from(all)).max(16.0 / f64::from(count)));
            let held = self.slots.entry(place).or_insert(wanted);
            // Slots stay until they are off by an eighth.
            if held.abs_diff(wanted) > *held / 8 {
                *held = wanted;
            }
        }
    }

    fn shows(&self, line: &NodeEntry) -> bool {
        let slots = self
            .slots
            .get(&(line.zone, line.kind))
            .copied()
            .unwrap_or(u32::MAX);
        !self.bounded
            || slots == u32::MAX
            || (0..slots).any(|s| slot_owner(line.node, s, SCHEDULERS) == OWN)
    }
}

/// A machine's line with some life in it.
fn some_line(rng: &mut fastrand::Rng, now: Micros) -> NodeEntry {
    let state = [
        NodeStatus::Ready,
        NodeStatus::Ready,
        NodeStatus::Draining,
        NodeStatus::Gone,
    ];
    let line = line(rng.u64(0..MACHINES));
    let kind = if rng.u8(0..20) == 0 { 2 } else { line.kind };
    let started_at = if rng.bool() { now } else { 0 };
    NodeEntry {
        state: state[rng.usize(0..4)],
        kind,
        started_at,
        ..line
    }
}

/// A list event of any sort: changes, a zone lost or back, the whole, what was seen before a restart, a failure, and what
/// came before once more.
fn some_list(rng: &mut fastrand::Rng, now: Micros, version: &mut u64, told: &[Event]) -> Event {
    *version += 1;
    let zone = |z: u64, state| {
        lines(0..MACHINES).into_iter().filter_map(move |line| {
            (u64::from(line.zone) == z).then_some(NodeEntry { state, ..line })
        })
    };
    match rng.u8(0..20) {
        0 => list(
            ListUpdateKind::Incremental,
            *version,
            zone(rng.u64(0..3), NodeStatus::Gone).collect(),
        ),
        1 | 2 => list(
            ListUpdateKind::Incremental,
            *version,
            zone(rng.u64(0..3), NodeStatus::Ready).collect(),
        ),
        3 | 4 => {
            let least = rng.u64(0..MACHINES);
            list(
                ListUpdateKind::Full,
                *version,
                lines(rng.u64(0..=least)..MACHINES),
            )
        }
        5 => list(
            ListUpdateKind::Cached,
            version.saturating_sub(rng.u64(0..5)),
            lines(0..rng.u64(0..MACHINES)),
        ),
        6 => list(ListUpdateKind::Failed, 0, Vec::new()),
        7..10 if !told.is_empty() => told[rng.usize(0..told.len())].clone(),
        10 => list(ListUpdateKind::Full, *version, Vec::new()),
        _ => {
            let some = (0..rng.usize(0..30)).map(|_| some_line(rng, now));
            list(ListUpdateKind::Incremental, *version, some.collect())
        }
    }
}

#[test]
fn the_module_works_with_the_machines_that_follow_from_the_list_and_no_others() {
    let (mut bounded, mut outside) = (0, 0);
    for seed in 0..6 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut view, mut model) = (told(SCHEDULERS, OWN, SIZE), Model::default());
        let (mut events, mut version) = (Vec::new(), 0);
        for step in 0..150 {
            let now = SECOND + step * SECOND / 4;
            let event = some_list(&mut rng, now, &mut version, &events);
            view.decide(now, std::slice::from_ref(&event));
            model.take_in(&event);
            events.push(event);
            assert_eq!(
                view.is_bounded(),
                model.bounded,
                "seed {seed}, step {step}: {:?}",
                events.last()
            );
            bounded += usize::from(model.bounded);
            for line in model.list.lines.values() {
                let (machine, ready) = (line.node, line.state == NodeStatus::Ready);
                let at = || {
                    format!(
                        "seed {seed}, step {step}: {line:?} after {:?}",
                        events.last()
                    )
                };
                // Where no machine of its place takes tasks it does not matter who has it.
                let shown = ready && model.shows(line);
                assert_eq!(view.inner().open(machine), shown, "{}", at());
                assert!(!ready || view.contains(machine) == shown, "{}", at());
                if let Some(told) = view.inner().lines.get(&machine).filter(|_| shown) {
                    let as_listed = NodeEntry {
                        slow_start_share: None,
                        ..told.clone()
                    };
                    assert_eq!(as_listed, *line, "{}", at());
                }
                outside += usize::from(ready && !shown);
            }
            let known = |machine: &NodeId| model.list.lines.contains_key(machine);
            assert!(view.inner().lines.keys().all(known));
        }
    }
    assert!(
        bounded > 300 && outside > 50_000,
        "{bounded} lists with bounded views, {outside} machines outside"
    );
}

fn viewed(settings: &Settings, seed: u64) -> NodeSubset<Scheduler> {
    module(settings, SIZE, seed)
}

/// What one view holds follows its size and what is open, however long it lives.
#[test]
fn what_is_held_stays_bounded() {
    let mut site = Site::new(&settings(SCHEDULERS, 0), MACHINES, 3, viewed);
    site.members.truncate(2);
    let mut most = BTreeMap::new();
    for round in 0..60 {
        for _ in 0..10 {
            let (m, class) = (site.rng.usize(0..2), site.rng.u16(0..3));
            let service = site.rng.u64(0..5_000) * 3 + u64::from(class);
            site.place(m, class, service);
        }
        if round % 15 == 14 {
            site.restart(round % 2);
        }
        site.live(1, 8, 16, MACHINES);
        for (name, held) in site
            .members
            .iter()
            .flat_map(|member| member.module.table_sizes())
        {
            let most = most.entry(name).or_insert(0);
            *most = held.max(*most);
        }
    }
    // No new tasks, and the last of them end: what was for them goes.
    for _ in 0..20 * SECOND / site::STEP {
        site.step();
    }
    let left: BTreeMap<&str, usize> = site
        .members
        .iter()
        .flat_map(|member| member.module.table_sizes())
        .collect();
    println!("{most:?}, then {left:?}");
    let size = SIZE as usize;
    assert!(
        most["services"] <= size && most["homes"] <= size && most["more"] <= size,
        "{most:?}"
    );
    assert!(
        most["shown"] <= 5 * size && most["racks"] <= 25 && most["open"] <= 120,
        "{most:?}"
    );
    assert_eq!(
        (left["racks"], left["more"], left["open"], left["unplaced"]),
        (0, 0, 0, 0),
        "{left:?}"
    );
}
