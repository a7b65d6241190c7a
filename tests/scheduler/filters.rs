//! Filters that exclude nodes although they have capacity.

use super::support::*;
use peppercove::*;

#[test]
fn a_class_whose_tasks_are_preempted_leaves_headroom_to_other_classes() {
    // Observed on ahmedabad-main-later: three in four tasks of the lowest class were preempted at
    // once.
    let place = |preempted: bool| {
        let mut scheduler = scheduler_with_nodes(
            Settings {
                allows_preemption: true,
                ..Settings::sample()
            },
            1,
        );
        for i in 0..20 {
            let now = (2 + i) * SECOND;
            scheduler.handle(now, &[Event::Place(task(i, 0, 1))]);
            let (request, node) = (RequestId(i), NodeId(0));
            let (outcome, reason) = if preempted {
                (AttemptOutcome::Lost, EndReason::Preempted)
            } else {
                (AttemptOutcome::Completed, EndReason::Unknown)
            };
            let end = Event::AttemptEnded {
                request,
                attempt: 0,
                node,
                outcome,
                reason,
                is_final: true,
                load: None,
            };
            scheduler.handle(
                now + 1,
                &[
                    Event::Placed {
                        request,
                        attempt: 0,
                        node,
                    },
                    end,
                ],
            );
        }
        let large = |i, class| {
            Event::Place(PlacementRequest {
                cores: 12.0,
                memory: 8.0,
                ..task(i, class, 1)
            })
        };
        let low_priority_dispatches =
            dispatches(&scheduler.handle(50 * SECOND, &[large(90, 0)])).len();
        (
            low_priority_dispatches,
            dispatches(&scheduler.handle(
                60 * SECOND,
                &[Event::RequestCancelled(RequestId(90)), large(91, 2)],
            ))
            .len(),
        )
    };
    assert_eq!(
        place(false).0,
        1,
        "twelve of sixteen cores are free for the lowest class"
    );
    assert_eq!(
        place(true),
        (0, 1),
        "the cores are left free for the class that preempts"
    );
}

#[test]
fn a_task_on_an_unlisted_node_counts_in_every_rack() {
    // Found by a property test: the rack of an unlisted node counted as a separate rack, so the
    // limit was exceeded.
    let mut scheduler = scheduler_with_nodes(Settings::sample(), 2);
    let running_task = |i| Event::RunningTask {
        request: task(i, 1, 5),
        node: NodeId(70),
        reported_by: TaskReporter::Client,
    };
    scheduler.handle(SECOND, &[running_task(1), running_task(2)]);
    assert!(dispatches(&scheduler.handle(SECOND, &[Event::Place(task(3, 1, 5))])).is_empty());
}
