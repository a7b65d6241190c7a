//! What the list brings: a call for it that failed, a zone lost, a view that turns while tasks wait, the end of time.

mod common;

use common::*;
use peppercove::*;
use peppercove_core::Decide;

/// Danger: a view that changes is no list, and the call for a list that failed is to be made again all the same.
#[test]
fn a_view_that_changes_does_not_stand_for_the_list_that_failed() {
    let mut driver = Driver::new(&settings(100, 3), 64, 5);
    driver.list(ListScope::Full, lines(0..2_000));
    driver.tell(list(ListScope::Failed, 0, Vec::new()));
    for service in 0..20 {
        let before = driver.view.len();
        driver.place(ask(service, 0, service), driver.now);
        assert!(service > 0 || driver.view.len() > before, "homes came into view");
    }
    let again = settings(100, 3).ask_again[0];
    assert!(driver.wait(driver.now + again).contains(&Action::Watch), "the list is asked for again");
}

#[test]
fn a_view_whose_machines_a_lost_zone_had_goes_on_with_the_others() {
    let mut driver = Driver::new(&settings(100, 3), 64, 5);
    let zone = |line: MachineLine| MachineLine { zone: u8::from(line.machine.0 >= 1_910), ..line };
    let all: Vec<MachineLine> = lines(0..2_000).into_iter().map(zone).collect();
    for scope in [ListScope::Full, ListScope::Delta] {
        driver.list(ListScope::Full, all.clone());
        let filled = all.iter().filter(|l| l.zone == 0 && driver.view.shows(l.machine)).count();
        assert!(driver.view.is_bounded() && filled > 100, "{filled}");
        let (lost, left): (Vec<_>, Vec<_>) = all.iter().cloned().partition(|line| line.zone == 0);
        let gone = lost.into_iter().map(|line| MachineLine { state: MachineState::Gone, ..line });
        driver.list(scope, if scope == ListScope::Full { left } else { gone.collect() });
        assert_eq!(driver.view.len(), 90, "all that is left");
        for request in 0..30 {
            let request = driver.version * 100 + request;
            let machine = driver.place(ask(request, 0, request), driver.now).expect("the others have room");
            assert!(machine.0 >= 1_910);
        }
    }
}

/// A task waited while the view was whole; the fleet grows, and all the room is outside the view.
#[test]
fn a_task_that_waits_while_the_view_turns_finds_the_room_outside() {
    let mut driver = Driver::new(&settings(100, 3), 64, 5);
    let full = |m: u64| MachineLine { free_cores: Some(0.0), free_memory: Some(0.0), ..line(m) };
    driver.list(ListScope::Full, (0..100).map(full).collect());
    assert!(!driver.view.is_bounded());
    assert_eq!(driver.place(ask(1, 0, 1), driver.now), None);
    let own = {
        let mut probe = told(100, 3, 64);
        probe.decide(SECOND, &[list(ListScope::Full, 1, lines(0..2_000))]);
        (0..2_000).map(|m| probe.shows(MachineId(m))).collect::<Vec<bool>>()
    };
    let free = (1_000..2_000).find(|m| !own[*m as usize]).unwrap();
    let grown = (0..2_000).map(|m| {
        if m == free {
            MachineLine { free_cores: Some(16.0), free_memory: Some(32.0), ..line(m) }
        } else {
            full(m)
        }
    });
    driver.list(ListScope::Full, grown.collect());
    assert!(driver.view.is_bounded() && !driver.view.shows(MachineId(free)));
    let actions = driver.wait(driver.now + 5 * SECOND);
    assert_eq!(binds(&actions), [(1, MachineId(free))]);
}

#[test]
fn the_end_of_time_is_no_overflow() {
    let mut view = module(&settings(100, 3), 64, 1);
    let events = [list(ListScope::Full, 1, lines(0..100)), list(ListScope::Full, 2, lines(0..2_000))];
    view.decide(Micros::MAX, &events);
    let events = [Event::Place(ask(1, 1, 1))];
    let bound = binds(&view.decide(Micros::MAX, &events));
    view.decide(Micros::MAX, &[ended(1, 0, bound[0].1, Outcome::Lost)]);
    assert!(view.is_bounded());
}
