//! Invalid, late and out-of-range input.

use super::support::*;
use peppercove::*;

#[test]
fn requests_with_invalid_sizes_or_classes_are_rejected() {
    let mut scheduler = scheduler_with_nodes(Settings::sample(), 2);
    let invalid = [
        PlacementRequest {
            cores: f64::NAN,
            ..task(1, 0, 1)
        },
        PlacementRequest {
            memory: -1.0,
            ..task(2, 0, 1)
        },
        PlacementRequest {
            cores: f64::INFINITY,
            ..task(3, 0, 1)
        },
        task(4, 99, 1),
    ];
    for request in invalid {
        let rejection = Action::Reject {
            request: request.id,
            retry_after: None,
        };
        assert_eq!(
            scheduler.handle(SECOND, &[Event::Place(request)]),
            [rejection]
        );
    }
    let running_task = Event::RunningTask {
        request: task(5, 99, 1),
        node: NodeId(0),
        reported_by: TaskReporter::Client,
    };
    assert!(scheduler.handle(SECOND, &[running_task]).is_empty());
}

#[test]
fn late_and_unknown_events_change_nothing() {
    let mut scheduler = scheduler_with_nodes(Settings::sample(), 2);
    let empty = LoadReport::default();
    let out_of_range = LoadReport {
        free_cores: Some(f64::NAN),
        free_memory: Some(-5.0),
        cpu_utilization: Some(9.0),
        queue_depth: None,
    };
    let events = [
        attempt_ended(9, 4, 9, AttemptOutcome::Completed, EndReason::Unknown),
        Event::Placed {
            request: RequestId(9),
            attempt: 1,
            node: NodeId(9),
        },
        Event::RequestCancelled(RequestId(9)),
        Event::Timer(12),
        Event::Probed {
            node: NodeId(0),
            answered: true,
            load: Some(empty),
        },
        Event::Probed {
            node: NodeId(0),
            answered: true,
            load: Some(out_of_range),
        },
        Event::Probed {
            node: NodeId(9),
            answered: false,
            load: None,
        },
        Event::Peer {
            from: 7,
            message: vec![255; 300],
        },
        Event::TaskUpdated {
            request: RequestId(9),
            attempt: 0,
            node: NodeId(9),
            update: TaskUpdate::ServedShare(f64::NAN),
        },
    ];
    assert!(scheduler.handle(SECOND, &events).is_empty());
    assert_eq!(
        dispatches(&scheduler.handle(SECOND, &[Event::Place(task(1, 0, 1))])).len(),
        1
    );
}

#[test]
fn times_near_the_end_of_their_type_do_not_overflow() {
    let mut scheduler = scheduler_with_nodes(Settings::sample(), 2);
    for (i, now) in [u64::MAX - 10 * SECOND, u64::MAX - 1, u64::MAX]
        .into_iter()
        .enumerate()
    {
        let i = 10 * i as u64;
        let in_slow_start = NodeEntry {
            started_at: u64::MAX,
            ..node_entry(5, 5)
        };
        let without_deadline = PlacementRequest {
            deadline_in: u64::MAX,
            ..task(i, 0, 1)
        };
        let mut events = vec![
            node_list(ListUpdateKind::Incremental, 2 + i, vec![in_slow_start]),
            Event::Place(without_deadline),
        ];
        events.extend((1..4).map(|n| Event::Place(task(i + n, (n % 3) as u16, n))));
        let dispatched = dispatches(&scheduler.handle(now, &events));
        let end = |d: &Dispatched| {
            attempt_ended(
                d.request,
                0,
                d.node,
                AttemptOutcome::TimedOut,
                EndReason::Unknown,
            )
        };
        scheduler.handle(now, &dispatched.iter().map(end).collect::<Vec<Event>>());
        scheduler.handle(
            now,
            &[
                node_list(ListUpdateKind::Failed, 0, vec![]),
                Event::Timer(0),
            ],
        );
    }
}
