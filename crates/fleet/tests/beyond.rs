//! What a task needs or holds beyond the view: room elsewhere, its rack, the place where it stands.

mod common;

use common::*;
use peppercove::*;
use peppercove_core::Decide;
use peppercove_fleet::NodeSubset;

const SIZE: u64 = 64;

/// One of 100 schedulers with a view of some 160 of 2,000 machines.
fn driver() -> Driver {
    let mut driver = Driver::new(&settings(100, 3), SIZE, 5);
    driver.list(ListUpdateKind::Full, lines(0..2_000));
    assert!(
        driver.view.is_bounded() && (120..220).contains(&driver.view.len()),
        "{}",
        driver.view.len()
    );
    driver
}

fn rack_of(machine: NodeId) -> (u8, u16) {
    let line = line(machine.0);
    (line.zone, line.rack)
}

fn outside(driver: &Driver) -> impl Iterator<Item = NodeId> {
    (0..2_000)
        .map(NodeId)
        .filter(|machine| !driver.view.contains(*machine))
}

/// Danger: machines that come into view without the room that the list named count as full as the mean of those in view,
/// and where these are full no task gets to the room outside.
#[test]
fn a_task_that_no_machine_in_view_can_take_finds_the_room_outside() {
    let mut driver = driver();
    let (mut worst, mut most) = (0, 0);
    let own: Vec<bool> = (0..2_000)
        .map(|m| driver.view.contains(NodeId(m)))
        .collect();
    for free in [1_999, 0, 1_000, 500, 1_234] {
        let free = (free..2_000)
            .chain(0..free)
            .find(|m| !own[*m as usize])
            .unwrap();
        let room = |m: u64| if m == free { (16.0, 32.0) } else { (0.0, 0.0) };
        let told = (0..2_000).map(|m| NodeEntry {
            free_cores: Some(room(m).0),
            free_memory: Some(room(m).1),
            ..line(m)
        });
        let told: Vec<NodeEntry> = told.collect();
        // Told until what was known of each is outweighed.
        for _ in 0..20 {
            driver.now += 10 * SECOND;
            driver.list(ListUpdateKind::Full, told.clone());
        }
        let came = driver.now;
        driver.tell(Event::Place(ask(free, 0, free)));
        let mut bound = Vec::new();
        while bound.is_empty() && driver.now < came + 5 * SECOND {
            bound = binds(&driver.wait(driver.now + SECOND / 10));
            most = most.max(driver.view.len());
        }
        assert_eq!(
            bound,
            [(free, NodeId(free))],
            "after {} us",
            driver.now - came
        );
        worst = worst.max(driver.now - came);
        driver.tell(Event::Placed {
            request: RequestId(free),
            attempt: 0,
            node: NodeId(free),
        });
        // It shrinks back once nothing has waited for the time that a list is good for.
        driver.now += 11 * SECOND;
        driver.tell(Event::Timer(9));
        assert!(
            driver.view.len() < 230,
            "{} machines in view",
            driver.view.len()
        );
    }
    println!("found after {worst} us at most, {most} machines in view at most");
    assert!(
        worst < 4_500_000 && most < 300,
        "{worst} us, {most} machines"
    );
}

fn goes_on_in_its_rack(driver: &mut Driver, request: u64, dies: bool) {
    let first = driver
        .place(ask(request, 1, request), driver.now + SECOND)
        .expect("a machine in view");
    let rack: Vec<NodeId> = (0..2_000)
        .map(NodeId)
        .filter(|m| rack_of(*m) == rack_of(first))
        .collect();
    let before: Vec<bool> = rack
        .iter()
        .map(|machine| driver.view.contains(*machine))
        .collect();
    if dies {
        let gone = NodeEntry {
            state: NodeStatus::Gone,
            ..line(first.0)
        };
        driver.list(ListUpdateKind::Incremental, vec![gone]);
    }
    driver.now += SECOND / 2;
    let second = binds(&driver.tell(ended(request, 0, first, AttemptOutcome::TimedOut)));
    let [(_, second)] = second[..] else {
        panic!("no second try for {request} after {first:?}: {second:?}")
    };
    assert!(
        second != first && rack.contains(&second),
        "{second:?} is not in the rack of {first:?}"
    );
    assert!(
        rack.iter()
            .all(|machine| driver.view.contains(*machine) || dies && *machine == first)
    );
    driver.tell(Event::Placed {
        request: RequestId(request),
        attempt: 1,
        node: second,
    });
    driver.now += 5 * SECOND;
    driver.tell(Event::Timer(9));
    let after: Vec<bool> = rack
        .iter()
        .map(|machine| driver.view.contains(*machine))
        .collect();
    let same = (0..rack.len()).all(|i| before[i] == after[i] || dies && rack[i] == first);
    assert!(same, "the rack left the view with the window");
    driver.list(ListUpdateKind::Incremental, vec![line(first.0)]);
}

#[test]
fn a_keyed_task_that_may_have_run_goes_on_in_its_rack_and_the_rack_leaves_the_view() {
    let mut driver = driver();
    (1..20).for_each(|request| goes_on_in_its_rack(&mut driver, request, false));
}

/// Danger: a machine that died is off the list before its attempt ends, and with it went the knowledge of its rack.
#[test]
fn a_keyed_task_goes_on_in_the_rack_of_a_machine_that_has_left_the_list() {
    let mut driver = driver();
    (1..20).for_each(|request| goes_on_in_its_rack(&mut driver, request, true));
}

/// Tasks of the service, two to a rack at most, go everywhere in view but to the racks in `full`.
fn spreads_but_not_to(driver: &mut Driver, service: u64, full: &[NodeId], first: u64) {
    for request in first..first + 40 {
        let machine = driver
            .place(ask(request, 1, service), driver.now)
            .expect("other racks have room");
        assert!(
            full.iter().all(|m| rack_of(*m) != rack_of(machine)),
            "{machine:?} is in a rack that is full"
        );
        driver.tell(Event::Placed {
            request: RequestId(request),
            attempt: 0,
            node: machine,
        });
    }
}

fn standing(driver: &mut Driver, request: u64, machine: NodeId) {
    driver.tell(Event::RunningTask {
        request: ask(request, 1, 9),
        node: machine,
    });
}

#[test]
fn tasks_handed_over_outside_the_view_count_at_their_place() {
    let mut driver = driver();
    let full: Vec<NodeId> = outside(&driver).step_by(40).take(20).collect();
    for (i, machine) in (0..).zip(full.iter().flat_map(|m| [m, m])) {
        standing(&mut driver, 1_000 + i, *machine);
    }
    spreads_but_not_to(&mut driver, 9, &full, 1);
}

#[test]
fn tasks_handed_over_before_the_list_count_at_their_place_once_it_names_it() {
    for delta in [false, true] {
        let probe = driver();
        let full: Vec<NodeId> = outside(&probe).step_by(40).take(20).collect();
        let mut driver = Driver::new(&settings(100, 3), SIZE, 5);
        if delta {
            let known = (0..2_000).filter(|m| !full.contains(&NodeId(*m)));
            driver.list(ListUpdateKind::Full, lines(known));
        }
        for (i, machine) in (0..).zip(full.iter().flat_map(|m| [m, m, m])) {
            standing(&mut driver, 1_000 + i, *machine);
        }
        // One of three is over: two stand there still.
        for (i, machine) in (0..).zip(&full) {
            driver.tell(ended(1_000 + i * 3, 0, *machine, AttemptOutcome::Completed));
        }
        match delta {
            true => driver.list(ListUpdateKind::Incremental, lines(full.iter().map(|m| m.0))),
            false => driver.list(ListUpdateKind::Full, lines(0..2_000)),
        };
        spreads_but_not_to(&mut driver, 9, &full, 1);
    }
}

/// Danger: a list that names a machine as gone still names its place.
#[test]
fn tasks_on_a_machine_that_the_list_names_as_gone_count_at_its_place() {
    for scope in [ListUpdateKind::Incremental, ListUpdateKind::Full] {
        let mut driver = driver();
        let machine = NodeId(5_000);
        (0..2).for_each(|i| standing(&mut driver, 1_000 + i, machine));
        let gone = NodeEntry {
            state: NodeStatus::Gone,
            ..line(machine.0)
        };
        let rest = if scope == ListUpdateKind::Full {
            lines(0..2_000)
        } else {
            Vec::new()
        };
        driver.list(scope, rest.into_iter().chain([gone]).collect());
        spreads_but_not_to(&mut driver, 9, &[machine], 1);
    }
}

#[test]
fn tasks_on_machines_that_leave_the_view_count_at_their_place() {
    let mut driver = driver();
    let mut full = Vec::new();
    for request in 1_000..1_060 {
        let machine = driver.place(ask(request, 1, 9), driver.now).unwrap();
        driver.tell(Event::Placed {
            request: RequestId(request),
            attempt: 0,
            node: machine,
        });
        full.push(machine);
    }
    let twice = full
        .iter()
        .filter(|m| full.iter().filter(|o| rack_of(**o) == rack_of(**m)).count() == 2);
    let twice: Vec<NodeId> = twice.copied().collect();
    assert!(twice.len() > 10);
    // They leave the list, and come back as strangers; then all is told anew.
    let left: Vec<u64> = (0..2_000).filter(|m| !full.contains(&NodeId(*m))).collect();
    driver.list(ListUpdateKind::Full, lines(left));
    spreads_but_not_to(&mut driver, 9, &twice, 1);
    driver.list(ListUpdateKind::Full, lines(0..2_000));
    spreads_but_not_to(&mut driver, 9, &twice, 100);
}

/// Danger: a rack that comes after the end of the attempt leaves the task to the machines of it that were in view by chance.
#[test]
fn the_rack_is_told_before_the_attempt_that_ended() {
    let bind = Action::Dispatch {
        request: RequestId(1),
        node: NodeId(0),
        timeout: None,
    };
    let stand_in = Told {
        answer: vec![bind],
        ..Told::default()
    };
    let mut view = NodeSubset::with_target_size(stand_in, &settings(100, 3), SIZE);
    view.decide(
        SECOND,
        &[
            list(ListUpdateKind::Full, 1, lines(0..2_000)),
            Event::Place(ask(1, 1, 1)),
        ],
    );
    let end = ended(1, 0, NodeId(0), AttemptOutcome::Lost);
    view.decide(2 * SECOND, std::slice::from_ref(&end));
    let [
        Event::NodeList {
            kind: ListUpdateKind::SubsetChange,
            entries: lines,
            ..
        },
        last,
    ] = &view.inner().events[..]
    else {
        panic!("{:?}", view.inner().events)
    };
    let in_rack = lines
        .iter()
        .filter(|line| rack_of(line.node) == rack_of(NodeId(0)))
        .count();
    assert!(
        *last == end && in_rack >= 6,
        "{in_rack} of the rack's eight machines"
    );
}

/// Danger: the module goes through its table for each list that it is told. A host's tasks come all at once after a restart,
/// and one list for each made that the square of what stands.
#[test]
fn tasks_handed_over_together_outside_the_view_are_placed_by_one_list() {
    let mut view = told(100, 3, SIZE);
    view.decide(SECOND, &[list(ListUpdateKind::Full, 1, lines(0..2_000))]);
    let outside: Vec<NodeId> = (0..2_000)
        .map(NodeId)
        .filter(|m| !view.contains(*m))
        .take(200)
        .collect();
    let stands = |(i, machine): (u64, &NodeId)| Event::RunningTask {
        request: ask(i, 1, 7),
        node: *machine,
    };
    let mut events: Vec<Event> = (0..).zip(&outside).map(stands).collect();
    events.push(Event::Place(ask(1_000, 1, 7)));
    view.decide(2 * SECOND, &events);
    let events = &view.inner().events;
    let place = events
        .iter()
        .position(|e| matches!(e, Event::Place(_)))
        .expect("passed on");
    let lists: Vec<&Vec<NodeEntry>> = events[..place]
        .iter()
        .filter_map(|e| {
            if let Event::NodeList { entries: lines, .. } = e {
                Some(lines)
            } else {
                None
            }
        })
        .collect();
    assert!(
        lines_of(lists[0]).eq(outside.iter().copied()),
        "their places come first, and at once"
    );
    assert!(lists[0].iter().all(|line| line.state == NodeStatus::Gone));
    // Another one brings the homes of the service into view.
    assert!(lists.len() <= 2, "{} lists", lists.len());
}

fn lines_of(lines: &[NodeEntry]) -> impl Iterator<Item = NodeId> + '_ {
    lines.iter().map(|line| line.node)
}
