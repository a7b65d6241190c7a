//! What the list brings: a call for it that failed, a zone lost, a view that turns while tasks wait, the end of time.

mod common;

use common::*;
use peppercove::*;
use peppercove_core::Decide;
use peppercove_fleet::NodeSubset;

/// Danger: a view that changes is no list, and the call for a list that failed is to be made again all the same.
#[test]
fn a_view_that_changes_does_not_stand_for_the_list_that_failed() {
    let mut driver = Driver::new(&settings(100, 3), 64, 5);
    driver.list(ListUpdateKind::Full, lines(0..2_000));
    driver.tell(list(ListUpdateKind::Failed, 0, Vec::new()));
    for service in 0..20 {
        let before = driver.view.len();
        driver.place(ask(service, 0, service), driver.now);
        assert!(
            service > 0 || driver.view.len() > before,
            "homes came into view"
        );
    }
    let again = settings(100, 3).poll_backoff[0];
    assert!(
        driver
            .wait(driver.now + again)
            .contains(&Action::WatchNodes),
        "the list is asked for again"
    );
}

#[test]
fn a_view_whose_machines_a_lost_zone_had_goes_on_with_the_others() {
    let mut driver = Driver::new(&settings(100, 3), 64, 5);
    let zone = |line: NodeEntry| NodeEntry {
        zone: u8::from(line.node.0 >= 1_910),
        ..line
    };
    let all: Vec<NodeEntry> = lines(0..2_000).into_iter().map(zone).collect();
    for scope in [ListUpdateKind::Full, ListUpdateKind::Incremental] {
        driver.list(ListUpdateKind::Full, all.clone());
        let filled = all
            .iter()
            .filter(|l| l.zone == 0 && driver.view.contains(l.node))
            .count();
        assert!(driver.view.is_bounded() && filled > 100, "{filled}");
        let (lost, left): (Vec<_>, Vec<_>) = all.iter().cloned().partition(|line| line.zone == 0);
        let gone = lost.into_iter().map(|line| NodeEntry {
            state: NodeStatus::Gone,
            ..line
        });
        driver.list(
            scope,
            if scope == ListUpdateKind::Full {
                left
            } else {
                gone.collect()
            },
        );
        assert_eq!(driver.view.len(), 90, "all that is left");
        for request in 0..30 {
            let request = driver.version * 100 + request;
            let machine = driver
                .place(ask(request, 0, request), driver.now)
                .expect("the others have room");
            assert!(machine.0 >= 1_910);
        }
    }
}

/// A task waited while the view was whole; the fleet grows, and all the room is outside the view.
#[test]
fn a_task_that_waits_while_the_view_turns_finds_the_room_outside() {
    let mut driver = Driver::new(&settings(100, 3), 64, 5);
    let full = |m: u64| NodeEntry {
        free_cores: Some(0.0),
        free_memory: Some(0.0),
        ..line(m)
    };
    driver.list(ListUpdateKind::Full, (0..100).map(full).collect());
    assert!(!driver.view.is_bounded());
    assert_eq!(driver.place(ask(1, 0, 1), driver.now), None);
    let own = {
        let mut probe = told(100, 3, 64);
        probe.decide(SECOND, &[list(ListUpdateKind::Full, 1, lines(0..2_000))]);
        (0..2_000)
            .map(|m| probe.contains(NodeId(m)))
            .collect::<Vec<bool>>()
    };
    let free = (1_000..2_000).find(|m| !own[*m as usize]).unwrap();
    let grown = (0..2_000).map(|m| {
        if m == free {
            NodeEntry {
                free_cores: Some(16.0),
                free_memory: Some(32.0),
                ..line(m)
            }
        } else {
            full(m)
        }
    });
    driver.list(ListUpdateKind::Full, grown.collect());
    assert!(driver.view.is_bounded() && !driver.view.contains(NodeId(free)));
    let actions = driver.wait(driver.now + 5 * SECOND);
    assert_eq!(binds(&actions), [(1, NodeId(free))]);
}

#[test]
fn the_end_of_time_is_no_overflow() {
    let mut view = module(&settings(100, 3), 64, 1);
    let events = [
        list(ListUpdateKind::Full, 1, lines(0..100)),
        list(ListUpdateKind::Full, 2, lines(0..2_000)),
    ];
    view.decide(Micros::MAX, &events);
    let events = [Event::Place(ask(1, 1, 1))];
    let bound = binds(&view.decide(Micros::MAX, &events));
    view.decide(
        Micros::MAX,
        &[ended(1, 0, bound[0].1, AttemptOutcome::Lost)],
    );
    assert!(view.is_bounded());
}

/// Danger: a machine has said more of its room since the list named it; told again, the list's word would erase that.
#[test]
fn the_room_that_a_list_named_is_told_once() {
    let with_room = |m: u64| NodeEntry {
        free_cores: Some(16.0),
        free_memory: Some(32.0),
        ..line(m)
    };
    let room_told = |view: &NodeSubset<Told>| -> Vec<u64> {
        let lists = view.inner().events.iter().filter_map(|event| match event {
            Event::NodeList { entries: lines, .. } => Some(lines),
            _ => None,
        });
        lists
            .flatten()
            .filter(|line| line.free_cores.is_some())
            .map(|line| line.node.0)
            .collect()
    };
    let mut view = told(100, 3, 64);
    view.decide(
        SECOND,
        &[list(
            ListUpdateKind::Full,
            1,
            (0..150).map(with_room).collect(),
        )],
    );
    assert_eq!(room_told(&view).len(), 150);
    // The view turns with a change that names others; later all know, and cold shares are told anew.
    view.decide(
        2 * SECOND,
        &[list(
            ListUpdateKind::Incremental,
            2,
            (150..400).map(with_room).collect(),
        )],
    );
    assert!(view.is_bounded());
    let room = room_told(&view);
    assert!(
        !room.is_empty() && room.iter().all(|m| *m >= 150),
        "{room:?}"
    );
    view.decide(30 * SECOND, &[Event::Timer(0)]);
    assert!(!view.inner().events.is_empty() && room_told(&view).is_empty());
    // Slots change with the fleet, and all that is in view is told.
    view.decide(
        31 * SECOND,
        &[list(
            ListUpdateKind::Incremental,
            3,
            (400..900).map(with_room).collect(),
        )],
    );
    let room = room_told(&view);
    assert!(
        !room.is_empty() && room.iter().all(|m| *m >= 400),
        "{room:?}"
    );
    // What comes into view after it was named brings its room, the first time.
    let place = |view: &mut NodeSubset<Told>, at: Micros, request: u64| {
        let come_and_gone = [
            Event::Place(ask(request, 0, request)),
            Event::RequestCancelled(RequestId(request)),
        ];
        view.decide(at, &come_and_gone);
        room_told(view)
    };
    let first = place(&mut view, 32 * SECOND, 0);
    assert!(!first.is_empty(), "homes that were outside");
    (1..50).for_each(|other| drop(place(&mut view, 33 * SECOND, other)));
    assert!(
        first.iter().any(|m| !view.contains(NodeId(*m))),
        "they have left the view"
    );
    assert!(
        place(&mut view, 34 * SECOND, 0)
            .iter()
            .all(|m| !first.contains(m))
    );
}
