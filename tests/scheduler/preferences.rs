//! Which of the feasible nodes are preferred.

use super::support::*;
use peppercove::*;
use std::collections::BTreeSet;

#[test]
fn tasks_of_a_service_go_to_the_node_that_has_its_program() {
    // Found on santander-main: most keyed tasks started where the program was not.
    let mut scheduler = scheduler_with_nodes(Settings::sample(), 6);
    let preferred = dispatches(&scheduler.handle(SECOND, &[Event::Place(task(1, 0, 1))]))[0].node;
    let event = Event::Placed {
        request: RequestId(1),
        attempt: 0,
        node: NodeId(preferred),
    };
    scheduler.handle(2 * SECOND, &[event]);
    for i in 2..6 {
        let now = (i + 1) * SECOND;
        assert_eq!(
            dispatches(&scheduler.handle(now, &[Event::Place(task(i, 0, 1))])),
            [Dispatched::new(i, preferred)]
        );
        let node = NodeId(preferred);
        scheduler.handle(
            now + 1,
            &[Event::Placed {
                request: RequestId(i),
                attempt: 0,
                node,
            }],
        );
    }
}

#[test]
fn schedulers_agree_on_the_preferred_nodes_of_a_new_service() {
    // Found at full size on kigali-templates-later: with one node a rack, two starts in three had
    // no program.
    let entries: Vec<NodeEntry> = (0..24).map(|m| node_entry(m, m as u16)).collect();
    let place = |seed, service| {
        let mut scheduler = Scheduler::new(Settings::sample(), seed);
        let events = [
            node_list(ListUpdateKind::Full, 1, entries.clone()),
            Event::Place(task(seed, 0, service)),
        ];
        dispatches(&scheduler.handle(SECOND, &events))[0].node
    };
    for service in 0..10 {
        let preferred: BTreeSet<u64> = (0..60).map(|seed| place(seed, service)).collect();
        assert_eq!(preferred.len(), 2, "{preferred:?} in 24 racks");
    }
    let all: BTreeSet<u64> = (0..200).map(|service| place(service, service)).collect();
    assert_eq!(all.len(), 24, "services differ in their preferred nodes");
}

#[test]
fn late_starts_reduce_the_preferred_nodes_and_timely_starts_add_to_them() {
    // Found on kigali-templates-later: services of three tasks started without the program on three
    // nodes.
    let preferred_after = |seed: u64, took: Micros| {
        let mut scheduler = Scheduler::new(Settings::sample(), seed);
        let entries = (0..24).map(|m| node_entry(m, m as u16)).collect();
        scheduler.handle(SECOND, &[node_list(ListUpdateKind::Full, 1, entries)]);
        for i in 0..20 {
            let now = (2 + 10 * i) * SECOND;
            let dispatched =
                dispatches(&scheduler.handle(now, &[Event::Place(task(i, 0, 1_000 + i))]));
            let (request, node) = (RequestId(i), NodeId(dispatched[0].node));
            scheduler.handle(
                now + took,
                &[Event::Placed {
                    request,
                    attempt: 0,
                    node,
                }],
            );
            scheduler.handle(
                now + took,
                &[attempt_ended(
                    i,
                    0,
                    node.0,
                    AttemptOutcome::Completed,
                    EndReason::Unknown,
                )],
            );
        }
        dispatches(&scheduler.handle(900 * SECOND, &[Event::Place(task(99, 0, 77))]))[0].node
    };
    let preferred = |took| {
        (0..60)
            .map(|seed| preferred_after(seed, took))
            .collect::<BTreeSet<u64>>()
            .len()
    };
    assert_eq!(
        preferred(3 * SECOND),
        1,
        "late starts: one preferred node is left"
    );
    assert!(
        preferred(SECOND / 10) > 3,
        "timely starts: more preferred nodes than at first"
    );
}

#[test]
fn idle_nodes_stay_unused_while_an_active_one_has_capacity() {
    // Found in incident i5f5374: after an enlargement every new node got tasks and had its price.
    let settings = Settings {
        fleet_price: 0.1,
        ..Settings::sample()
    };
    let mut scheduler = Scheduler::new(settings, 3);
    let active = NodeEntry {
        free_cores: Some(10.0),
        free_memory: Some(20.0),
        ..node_entry(0, 0)
    };
    let mut entries = vec![active];
    entries.extend((1..6).map(|m| node_entry(m, m as u16)));
    scheduler.handle(
        SECOND,
        &[node_list(ListUpdateKind::Full, 1, entries.clone())],
    );
    assert_eq!(
        dispatches(&scheduler.handle(SECOND, &[Event::Place(task(1, 0, 1))])),
        [Dispatched::new(1, 0)]
    );
    // While a node drains, all of them are used.
    entries.push(NodeEntry {
        state: NodeStatus::Draining,
        ..node_entry(9, 9)
    });
    scheduler.handle(SECOND, &[node_list(ListUpdateKind::Full, 2, entries)]);
    let dispatched = dispatches(&scheduler.handle(SECOND, &[Event::Place(task(2, 2, 2))]));
    assert_ne!(dispatched[0].node, 0);
}
