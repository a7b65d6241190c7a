//! Tasks that need nodes outside the subset: free capacity elsewhere, the rack of a retry, and the topology domain of
//! running tasks.

mod common;

use common::*;
use peppercove::*;
use peppercove_core::Decide;
use peppercove_fleet::NodeSubset;

const TARGET_SIZE: u64 = 64;

/// Creates one of 100 schedulers, with a subset of about 160 of 2,000 nodes.
fn driver() -> Driver {
    let mut driver = Driver::new(&settings(100, 3), TARGET_SIZE, 5);
    driver.list(ListUpdateKind::Full, entries(0..2_000));
    assert!(
        driver.subset.is_bounded() && (120..220).contains(&driver.subset.len()),
        "{}",
        driver.subset.len()
    );
    driver
}

fn rack_of(node: NodeId) -> (u8, u16) {
    let entry = entry(node.0);
    (entry.zone, entry.rack)
}

fn outside(driver: &Driver) -> impl Iterator<Item = NodeId> {
    (0..2_000)
        .map(NodeId)
        .filter(|node| !driver.subset.contains(*node))
}

/// If a node became visible without its listed free capacity, it would be assumed to have the mean load of the visible
/// nodes; if these are full, no task would reach the free capacity outside the subset.
#[test]
fn request_that_no_visible_node_can_take_finds_capacity_outside_the_subset() {
    let mut driver = driver();
    let (mut max_delay, mut max_size) = (0, 0);
    let own: Vec<bool> = (0..2_000)
        .map(|id| driver.subset.contains(NodeId(id)))
        .collect();
    for free in [1_999, 0, 1_000, 500, 1_234] {
        let free = (free..2_000)
            .chain(0..free)
            .find(|id| !own[*id as usize])
            .unwrap();
        let capacity = |id: u64| if id == free { (16.0, 32.0) } else { (0.0, 0.0) };
        let listed = (0..2_000).map(|id| NodeEntry {
            free_cores: Some(capacity(id).0),
            free_memory: Some(capacity(id).1),
            ..entry(id)
        });
        let listed: Vec<NodeEntry> = listed.collect();
        // Repeated until it outweighs the previous load estimate of each node.
        for _ in 0..20 {
            driver.now += 10 * SECOND;
            driver.list(ListUpdateKind::Full, listed.clone());
        }
        let requested_at = driver.now;
        driver.handle(Event::Place(placement_request(free, 0, free)));
        let mut dispatched = Vec::new();
        while dispatched.is_empty() && driver.now < requested_at + 5 * SECOND {
            dispatched = dispatches(&driver.wait(driver.now + SECOND / 10));
            max_size = max_size.max(driver.subset.len());
        }
        assert_eq!(
            dispatched,
            [(free, NodeId(free))],
            "after {} us",
            driver.now - requested_at
        );
        max_delay = max_delay.max(driver.now - requested_at);
        driver.handle(Event::Placed {
            request: RequestId(free),
            attempt: 0,
            node: NodeId(free),
        });
        // The expansion ends when no request has waited for a poll interval.
        driver.now += 11 * SECOND;
        driver.handle(Event::Timer(9));
        assert!(
            driver.subset.len() < 230,
            "{} nodes in subset",
            driver.subset.len()
        );
    }
    println!("found after at most {max_delay} us, with at most {max_size} nodes in the subset");
    assert!(
        max_delay < 4_500_000 && max_size < 300,
        "{max_delay} us, {max_size} nodes"
    );
}

/// The first attempt times out, optionally after its node has failed. Checks that the second attempt is in the same
/// rack, and that the whole rack is visible until the deduplication window of the task ends.
fn assert_retried_in_rack(driver: &mut Driver, request: u64, node_fails: bool) {
    let first = driver
        .place(placement_request(request, 1, request), driver.now + SECOND)
        .expect("a visible node must be chosen");
    let rack: Vec<NodeId> = (0..2_000)
        .map(NodeId)
        .filter(|id| rack_of(*id) == rack_of(first))
        .collect();
    let before: Vec<bool> = rack
        .iter()
        .map(|node| driver.subset.contains(*node))
        .collect();
    if node_fails {
        let gone = NodeEntry {
            state: NodeStatus::Gone,
            ..entry(first.0)
        };
        driver.list(ListUpdateKind::Incremental, vec![gone]);
    }
    driver.now += SECOND / 2;
    let second = dispatches(&driver.handle(ended(request, 0, first, AttemptOutcome::TimedOut)));
    let [(_, second)] = second[..] else {
        panic!("no second attempt of {request} after {first:?}: {second:?}")
    };
    assert!(
        second != first && rack.contains(&second),
        "{second:?} is not in the rack of {first:?}"
    );
    assert!(
        rack.iter()
            .all(|node| driver.subset.contains(*node) || node_fails && *node == first)
    );
    driver.handle(Event::Placed {
        request: RequestId(request),
        attempt: 1,
        node: second,
    });
    driver.now += 5 * SECOND;
    driver.handle(Event::Timer(9));
    let after: Vec<bool> = rack
        .iter()
        .map(|node| driver.subset.contains(*node))
        .collect();
    let same = (0..rack.len()).all(|i| before[i] == after[i] || node_fails && rack[i] == first);
    assert!(same, "the rack leaves the subset at the end of the window");
    driver.list(ListUpdateKind::Incremental, vec![entry(first.0)]);
}

#[test]
fn keyed_task_that_may_have_run_is_retried_in_its_rack_which_is_hidden_afterwards() {
    let mut driver = driver();
    (1..20).for_each(|request| assert_retried_in_rack(&mut driver, request, false));
}

/// A failed node leaves the list before its attempt ends, so its rack must be stored at the dispatch.
#[test]
fn keyed_task_is_retried_in_its_rack_after_its_node_has_left_the_list() {
    let mut driver = driver();
    (1..20).for_each(|request| assert_retried_in_rack(&mut driver, request, true));
}

/// Checks that further tasks of the service, of which at most two may run in a rack, avoid the racks of the nodes in
/// `full`.
fn assert_racks_avoided(driver: &mut Driver, service: u64, full: &[NodeId], first: u64) {
    for request in first..first + 40 {
        let node = driver
            .place(placement_request(request, 1, service), driver.now)
            .expect("a node in another rack must be chosen");
        assert!(
            full.iter().all(|id| rack_of(*id) != rack_of(node)),
            "{node:?} is in a rack that is full"
        );
        driver.handle(Event::Placed {
            request: RequestId(request),
            attempt: 0,
            node,
        });
    }
}

fn hand_over(driver: &mut Driver, request: u64, node: NodeId) {
    driver.handle(Event::RunningTask {
        request: placement_request(request, 1, 9),
        node,
        reported_by: TaskReporter::Client,
    });
}

#[test]
fn tasks_handed_over_on_hidden_nodes_count_in_their_rack() {
    let mut driver = driver();
    let full: Vec<NodeId> = outside(&driver).step_by(40).take(20).collect();
    for (i, node) in (0..).zip(full.iter().flat_map(|id| [id, id])) {
        hand_over(&mut driver, 1_000 + i, *node);
    }
    assert_racks_avoided(&mut driver, 9, &full, 1);
}

#[test]
fn tasks_handed_over_before_their_node_is_listed_count_in_its_rack_once_it_is() {
    for is_incremental in [false, true] {
        let probe = driver();
        let full: Vec<NodeId> = outside(&probe).step_by(40).take(20).collect();
        let mut driver = Driver::new(&settings(100, 3), TARGET_SIZE, 5);
        if is_incremental {
            let known = (0..2_000).filter(|id| !full.contains(&NodeId(*id)));
            driver.list(ListUpdateKind::Full, entries(known));
        }
        for (i, node) in (0..).zip(full.iter().flat_map(|id| [id, id, id])) {
            hand_over(&mut driver, 1_000 + i, *node);
        }
        // One of three tasks has completed; two are still running.
        for (i, node) in (0..).zip(&full) {
            driver.handle(ended(1_000 + i * 3, 0, *node, AttemptOutcome::Completed));
        }
        match is_incremental {
            true => driver.list(
                ListUpdateKind::Incremental,
                entries(full.iter().map(|id| id.0)),
            ),
            false => driver.list(ListUpdateKind::Full, entries(0..2_000)),
        };
        assert_racks_avoided(&mut driver, 9, &full, 1);
    }
}

/// A list entry of a node that is gone still contains its rack.
#[test]
fn tasks_on_a_node_listed_as_gone_count_in_its_rack() {
    for kind in [ListUpdateKind::Incremental, ListUpdateKind::Full] {
        let mut driver = driver();
        let node = NodeId(5_000);
        (0..2).for_each(|i| hand_over(&mut driver, 1_000 + i, node));
        let gone = NodeEntry {
            state: NodeStatus::Gone,
            ..entry(node.0)
        };
        let rest = if kind == ListUpdateKind::Full {
            entries(0..2_000)
        } else {
            Vec::new()
        };
        driver.list(kind, rest.into_iter().chain([gone]).collect());
        assert_racks_avoided(&mut driver, 9, &[node], 1);
    }
}

#[test]
fn tasks_on_nodes_that_leave_the_list_still_count_in_their_rack() {
    let mut driver = driver();
    let mut full = Vec::new();
    for request in 1_000..1_060 {
        let node = driver
            .place(placement_request(request, 1, 9), driver.now)
            .unwrap();
        driver.handle(Event::Placed {
            request: RequestId(request),
            attempt: 0,
            node,
        });
        full.push(node);
    }
    let in_full_racks = full.iter().filter(|id| {
        full.iter()
            .filter(|other| rack_of(**other) == rack_of(**id))
            .count()
            == 2
    });
    let in_full_racks: Vec<NodeId> = in_full_racks.copied().collect();
    assert!(in_full_racks.len() > 10);
    // The nodes leave the list and return as new ones; then all entries are forwarded again.
    let remaining: Vec<u64> = (0..2_000)
        .filter(|id| !full.contains(&NodeId(*id)))
        .collect();
    driver.list(ListUpdateKind::Full, entries(remaining));
    assert_racks_avoided(&mut driver, 9, &in_full_racks, 1);
    driver.list(ListUpdateKind::Full, entries(0..2_000));
    assert_racks_avoided(&mut driver, 9, &in_full_racks, 100);
}

/// If the rack became visible only after the end of the attempt, the task could be retried only on nodes of the rack
/// that happen to be visible.
#[test]
fn retry_rack_is_made_visible_before_the_ended_attempt_is_forwarded() {
    let dispatch = Action::Dispatch {
        request: RequestId(1),
        node: NodeId(0),
        timeout: None,
        send_by: None,
    };
    let inner = RecordingScheduler {
        answer: vec![dispatch],
        ..RecordingScheduler::default()
    };
    let mut subset = NodeSubset::with_target_size(inner, &settings(100, 3), TARGET_SIZE);
    subset.decide(
        SECOND,
        &[
            list(ListUpdateKind::Full, 1, entries(0..2_000)),
            Event::Place(placement_request(1, 1, 1)),
        ],
    );
    let end = ended(1, 0, NodeId(0), AttemptOutcome::Lost);
    subset.decide(2 * SECOND, std::slice::from_ref(&end));
    let [
        Event::NodeList {
            kind: ListUpdateKind::SubsetChange,
            entries,
            ..
        },
        last,
    ] = &subset.inner().events[..]
    else {
        panic!("{:?}", subset.inner().events)
    };
    let in_rack = entries
        .iter()
        .filter(|entry| rack_of(entry.node) == rack_of(NodeId(0)))
        .count();
    assert!(
        *last == end && in_rack >= 6,
        "{in_rack} of the rack's eight nodes"
    );
}

/// The inner scheduler scans its node table for each list. After a restart the tasks of a node are handed over all at
/// once; one list per task would make the cost quadratic.
#[test]
fn domains_of_tasks_handed_over_together_on_hidden_nodes_are_forwarded_in_one_list() {
    let mut subset = recording_subset(100, 3, TARGET_SIZE);
    subset.decide(SECOND, &[list(ListUpdateKind::Full, 1, entries(0..2_000))]);
    let outside: Vec<NodeId> = (0..2_000)
        .map(NodeId)
        .filter(|id| !subset.contains(*id))
        .take(200)
        .collect();
    let running = |(i, node): (u64, &NodeId)| Event::RunningTask {
        request: placement_request(i, 1, 7),
        node: *node,
        reported_by: TaskReporter::Client,
    };
    let mut events: Vec<Event> = (0..).zip(&outside).map(running).collect();
    events.push(Event::Place(placement_request(1_000, 1, 7)));
    subset.decide(2 * SECOND, &events);
    let events = &subset.inner().events;
    let place = events
        .iter()
        .position(|e| matches!(e, Event::Place(_)))
        .expect("the request must be forwarded");
    let lists: Vec<&Vec<NodeEntry>> = events[..place]
        .iter()
        .filter_map(|e| {
            if let Event::NodeList { entries, .. } = e {
                Some(entries)
            } else {
                None
            }
        })
        .collect();
    assert!(
        node_ids(lists[0]).eq(outside.iter().copied()),
        "the domains are reported first, in one list"
    );
    assert!(lists[0].iter().all(|entry| entry.state == NodeStatus::Gone));
    // A second list makes the preferred nodes of the service visible.
    assert!(lists.len() <= 2, "{} lists", lists.len());
}

fn node_ids(entries: &[NodeEntry]) -> impl Iterator<Item = NodeId> + '_ {
    entries.iter().map(|entry| entry.node)
}
