//! What a bind costs, counted: machines looked at and held against each other, not times.

use peppercove::*;

const SECOND: Micros = 1_000_000;

fn request(n: u64) -> PlacementRequest {
    PlacementRequest {
        id: RequestId(n),
        task: TaskKey(n),
        service: ServiceId(n),
        class: 0,
        tenant: 0,
        cores: 0.01,
        memory: 0.01,
        deadline_in: 5 * SECOND,
        expected_duration: None,
        is_retry: false,
    }
}

/// Machines that a bind looks at, among so many, once starts that were in time have taught the scheduler many homes.
fn looked_at(machines: u64) -> f64 {
    let lines = (0..machines).map(|i| NodeEntry {
        node: NodeId(i + 1),
        state: NodeStatus::Ready,
        rack: (i % 40) as u16,
        ..NodeEntry::default()
    });
    let list = Event::NodeList {
        kind: ListUpdateKind::Full,
        version: 1,
        entries: lines.collect(),
    };
    let mut scheduler = Scheduler::new(Settings::sample(), 3);
    scheduler.handle(SECOND, &[list]);
    let (mut now, mut binds) = (SECOND, 0);
    let mut before = 0;
    for n in 0..200 {
        now += 1_000;
        if n == 150 {
            before = scheduler.comparisons();
        }
        for action in scheduler.handle(now, &[Event::Place(request(n))]) {
            let Action::Dispatch {
                request,
                node: machine,
                ..
            } = action
            else {
                continue;
            };
            binds += u64::from(n >= 150);
            scheduler.handle(
                now + 500,
                &[Event::Placed {
                    request,
                    attempt: 0,
                    node: machine,
                }],
            );
        }
    }
    (scheduler.comparisons() - before) as f64 / binds as f64
}

/// Danger: homes are learned to grow with the machines, and each machine held against each home makes a bind cost the
/// square of the fleet. Held against sorted homes it grows by the machines and the logarithm of the homes: 11 times for
/// eight times the machines.
#[test]
fn a_bind_does_not_look_at_the_square_of_the_machines() {
    let (few, many) = (looked_at(250), looked_at(2_000));
    assert!(many <= few * 12.0, "{few} at 250 machines, {many} at 2,000");
}
