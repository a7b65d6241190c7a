//! Which nodes are visible, against an independent model, and table sizes, over random streams of list updates.

mod common;

use common::cluster::{self, Cluster, Member};
use common::*;
use peppercove::*;
use peppercove_core::Decide;
use peppercove_fleet::{NodeSubset, TableSizes, slot_owner};
use std::collections::BTreeMap;

const SCHEDULERS: u32 = 40;
const OWN_INDEX: u32 = 7;
const SIZE: u64 = 64;
const NODES: u64 = 600;

/// Which nodes are visible by the list alone, computed anew each time.
#[derive(Default)]
struct Model {
    list: RecordingModule,
    slots: BTreeMap<(u8, u8), u32>,
    is_bounded: bool,
}

impl Model {
    /// The fewest slots, eight at least, that put this share of a pool into each subset; all from nine tenths on.
    fn slot_count(share: f64) -> u32 {
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

    fn on_node_list(&mut self, event: &Event) {
        self.list.decide(0, std::slice::from_ref(event));
        let mut ready: BTreeMap<(u8, u8), u32> = BTreeMap::new();
        for entry in self
            .list
            .entries
            .values()
            .filter(|entry| entry.state == NodeStatus::Ready)
        {
            *ready.entry((entry.zone, entry.kind)).or_default() += 1;
        }
        let all: u32 = ready.values().sum();
        self.is_bounded = u64::from(all) > SIZE + 16 * ready.len() as u64;
        if !self.is_bounded {
            return;
        }
        self.slots.retain(|pool, _| ready.contains_key(pool));
        for (pool, count) in ready {
            let wanted =
                Model::slot_count((SIZE as f64 / f64::from(all)).max(16.0 / f64::from(count)));
            let held = self.slots.entry(pool).or_insert(wanted);
            // Slots stay until they are off by an eighth.
            if held.abs_diff(wanted) > *held / 8 {
                *held = wanted;
            }
        }
    }

    fn is_visible(&self, entry: &NodeEntry) -> bool {
        let slots = self
            .slots
            .get(&(entry.zone, entry.kind))
            .copied()
            .unwrap_or(u32::MAX);
        !self.is_bounded
            || slots == u32::MAX
            || (0..slots).any(|s| slot_owner(entry.node, s, SCHEDULERS) == OWN_INDEX)
    }
}

/// The entry of a random node in a random state.
fn random_entry(rng: &mut fastrand::Rng, now: Micros) -> NodeEntry {
    let state = [
        NodeStatus::Ready,
        NodeStatus::Ready,
        NodeStatus::Draining,
        NodeStatus::Gone,
    ];
    let entry = entry(rng.u64(0..NODES));
    let kind = if rng.u8(0..20) == 0 { 2 } else { entry.kind };
    let started_at = if rng.bool() { now } else { 0 };
    NodeEntry {
        state: state[rng.usize(0..4)],
        kind,
        started_at,
        ..entry
    }
}

/// A list update of any sort: changed nodes, a zone lost or regained, a full list, a cached list, a failure, and an earlier
/// update once more.
fn random_update(
    rng: &mut fastrand::Rng,
    now: Micros,
    version: &mut u64,
    earlier: &[Event],
) -> Event {
    *version += 1;
    let zone = |z: u64, state| {
        entries(0..NODES).into_iter().filter_map(move |entry| {
            (u64::from(entry.zone) == z).then_some(NodeEntry { state, ..entry })
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
            let upper = rng.u64(0..NODES);
            list(
                ListUpdateKind::Full,
                *version,
                entries(rng.u64(0..=upper)..NODES),
            )
        }
        5 => list(
            ListUpdateKind::Cached,
            version.saturating_sub(rng.u64(0..5)),
            entries(0..rng.u64(0..NODES)),
        ),
        6 => list(ListUpdateKind::Failed, 0, Vec::new()),
        7..10 if !earlier.is_empty() => earlier[rng.usize(0..earlier.len())].clone(),
        10 => list(ListUpdateKind::Full, *version, Vec::new()),
        _ => {
            let some = (0..rng.usize(0..30)).map(|_| random_entry(rng, now));
            list(ListUpdateKind::Incremental, *version, some.collect())
        }
    }
}

#[test]
fn visible_nodes_are_those_that_follow_from_the_list() {
    let (mut bounded, mut outside) = (0, 0);
    for seed in 0..6 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut subset, mut model) = (
            recording_subset(SCHEDULERS, OWN_INDEX, SIZE),
            Model::default(),
        );
        let (mut events, mut version) = (Vec::new(), 0);
        for step in 0..150 {
            let now = SECOND + step * SECOND / 4;
            let event = random_update(&mut rng, now, &mut version, &events);
            subset.decide(now, std::slice::from_ref(&event));
            model.on_node_list(&event);
            events.push(event);
            assert_eq!(
                subset.is_bounded(),
                model.is_bounded,
                "seed {seed}, step {step}: {:?}",
                events.last()
            );
            bounded += usize::from(model.is_bounded);
            for entry in model.list.entries.values() {
                let (node, ready) = (entry.node, entry.state == NodeStatus::Ready);
                let at = || {
                    format!(
                        "seed {seed}, step {step}: {entry:?} after {:?}",
                        events.last()
                    )
                };
                // Where no node of a pool is ready it does not matter in whose subset they are.
                let is_visible = ready && model.is_visible(entry);
                assert_eq!(subset.inner().is_ready(node), is_visible, "{}", at());
                assert!(!ready || subset.contains(node) == is_visible, "{}", at());
                if let Some(passed_on) = subset.inner().entries.get(&node).filter(|_| is_visible) {
                    let as_listed = NodeEntry {
                        slow_start_share: None,
                        ..passed_on.clone()
                    };
                    assert_eq!(as_listed, *entry, "{}", at());
                }
                outside += usize::from(ready && !is_visible);
            }
            let known = |node: &NodeId| model.list.entries.contains_key(node);
            assert!(subset.inner().entries.keys().all(known));
        }
    }
    assert!(
        bounded > 300 && outside > 50_000,
        "{bounded} lists with bounded subsets, {outside} nodes outside"
    );
}

fn subset_around_scheduler(settings: &Settings, seed: u64) -> NodeSubset<Scheduler> {
    scheduler_subset(settings, SIZE, seed)
}

/// Table sizes follow the target size and the pending requests, however long a subset is in use.
#[test]
fn table_sizes_stay_bounded() {
    let mut cluster = Cluster::new(&settings(SCHEDULERS, 0), NODES, 3, subset_around_scheduler);
    cluster.members.truncate(2);
    let mut most = TableSizes::default();
    for round in 0..60 {
        for _ in 0..10 {
            let (m, class) = (cluster.rng.usize(0..2), cluster.rng.u16(0..3));
            let service = cluster.rng.u64(0..5_000) * 3 + u64::from(class);
            cluster.place(m, class, service);
        }
        if round % 15 == 14 {
            cluster.restart(round % 2);
        }
        cluster.run(1, 8, 16, NODES);
        most = cluster.members.iter().map(table_sizes).fold(most, larger);
    }
    // No new tasks arrive, and the last of them end: nothing is kept for them.
    for _ in 0..20 * SECOND / cluster::STEP {
        cluster.step();
    }
    println!("{most:?}");
    let size = SIZE as usize;
    assert!(most.services <= size, "{most:?}");
    assert!(most.preferred_nodes <= size, "{most:?}");
    assert!(most.expansion_nodes <= size, "{most:?}");
    assert!(most.visible_nodes <= 5 * size, "{most:?}");
    assert!(most.retry_racks <= 25, "{most:?}");
    assert!(most.pending_requests <= 120, "{most:?}");
    for left in cluster.members.iter().map(table_sizes) {
        println!("{left:?}");
        assert_eq!(left.retry_racks, 0, "{left:?}");
        assert_eq!(left.expansion_nodes, 0, "{left:?}");
        assert_eq!(left.pending_requests, 0, "{left:?}");
        assert_eq!(left.unlisted_nodes, 0, "{left:?}");
    }
}

fn table_sizes(member: &Member<NodeSubset<Scheduler>>) -> TableSizes {
    member.module.table_sizes()
}

/// The larger size of each table.
fn larger(a: TableSizes, b: TableSizes) -> TableSizes {
    TableSizes {
        visible_nodes: a.visible_nodes.max(b.visible_nodes),
        services: a.services.max(b.services),
        preferred_nodes: a.preferred_nodes.max(b.preferred_nodes),
        retry_racks: a.retry_racks.max(b.retry_racks),
        expansion_nodes: a.expansion_nodes.max(b.expansion_nodes),
        pending_requests: a.pending_requests.max(b.pending_requests),
        unlisted_nodes: a.unlisted_nodes.max(b.unlisted_nodes),
    }
}
