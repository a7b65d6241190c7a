//! Changes to the load estimate of a node by node lists, load reports and rejections.

use super::support::*;
use peppercove::*;

#[test]
fn after_a_rejection_for_cores_the_node_counts_as_full() {
    // Observed on santander-main: one node that looked idle in the table rejected thousands of
    // attempts.
    let mut scheduler = scheduler_with_nodes(Settings::sample(), 1);
    scheduler.handle(SECOND, &[Event::Place(task(1, 0, 1))]);
    let after = scheduler.handle(
        SECOND + 1_000,
        &[attempt_ended(
            1,
            0,
            0,
            AttemptOutcome::Rejected,
            EndReason::InsufficientCores,
        )],
    );
    assert!(
        dispatches(&after).is_empty(),
        "the task was dispatched again: {after:?}"
    );
    let more: Vec<Event> = (2..50).map(|i| Event::Place(task(i, 0, i))).collect();
    assert!(dispatches(&scheduler.handle(SECOND + 2_000, &more)).is_empty());
}

#[test]
fn a_stale_list_does_not_overwrite_what_a_node_reported() {
    // Found by random scenarios (h587993, stale list): nodes were retried right after a
    // rejection, because an older list made them look idle.
    let mut scheduler = scheduler_with_nodes(
        Settings {
            schedulers: 100,
            ..Settings::sample()
        },
        1,
    );
    scheduler.handle(SECOND, &[Event::Place(task(1, 0, 1))]);
    let rejected = attempt_ended(
        1,
        0,
        0,
        AttemptOutcome::Rejected,
        EndReason::InsufficientMemory,
    );
    scheduler.handle(SECOND + 1_000, &[rejected]);
    let dispatched = |scheduler: &mut Scheduler, version: u64, now: Micros| {
        let events = [
            node_list(ListUpdateKind::Incremental, version, vec![node_entry(0, 0)]),
            Event::Place(task(version, 0, 1)),
        ];
        dispatches(&scheduler.handle(now, &events))
            .iter()
            .any(|d| d.request == version)
    };
    assert!(
        !dispatched(&mut scheduler, 20, 3 * SECOND),
        "the list may be older than the rejection"
    );
    assert!(
        dispatched(&mut scheduler, 21, 9 * SECOND),
        "a later list updates the estimate"
    );
}

#[test]
fn with_a_hundred_schedulers_the_list_replaces_the_foreign_load() {
    // Observed at full size on all later deployments: the estimates followed only a fifth of the
    // changes in the list.
    let settings = Settings {
        schedulers: 100,
        ..Settings::sample()
    };
    let mut scheduler = scheduler_with_nodes(settings, 2);
    let full = NodeEntry {
        free_cores: Some(0.0),
        free_memory: Some(0.0),
        ..node_entry(0, 0)
    };
    scheduler.handle(
        2 * SECOND,
        &[node_list(ListUpdateKind::Incremental, 2, vec![full])],
    );
    let events: Vec<Event> = (0..6).map(|i| Event::Place(task(i, 0, i))).collect();
    let dispatched = dispatches(&scheduler.handle(2 * SECOND, &events));
    assert!(
        dispatched.len() == 6 && dispatched.iter().all(|d| d.node == 1),
        "{dispatched:?}"
    );
}

#[test]
fn running_tasks_taken_over_at_start_count_once() {
    // Observed on ahmedabad-main: the list already included the running tasks, so they were counted
    // twice and nodes looked full.
    let mut scheduler = Scheduler::new(Settings::sample(), 3);
    let partly_used = NodeEntry {
        free_cores: Some(4.0),
        free_memory: Some(8.0),
        ..node_entry(1, 1)
    };
    let running_task = |i| Event::RunningTask {
        request: task(i, 0, 1),
        node: NodeId(1),
        reported_by: TaskReporter::Client,
    };
    let mut events = vec![node_list(ListUpdateKind::Cached, 1, vec![partly_used])];
    events.extend((1..=12).map(running_task));
    scheduler.handle(SECOND, &events);
    let place: Vec<Event> = (20..24).map(|i| Event::Place(task(i, 0, 1))).collect();
    assert_eq!(
        dispatches(&scheduler.handle(SECOND + 1, &place)).len(),
        4,
        "four of sixteen cores are free"
    );
}

/// Guards against nodes that look full because clients have handed over tasks that no node runs.
#[test]
fn handed_over_tasks_that_a_node_does_not_report_do_not_exclude_it() {
    let dispatched_with = |free_cores: f64, is_reported_on: bool| {
        let mut scheduler = Scheduler::new(Settings::sample(), 3);
        let node = NodeEntry {
            free_cores: Some(free_cores),
            free_memory: Some(2.0 * free_cores),
            ..node_entry(1, 1)
        };
        // More than the sixteen cores of the node.
        let handovers = (1..=40).map(|i| Event::RunningTask {
            request: task(i, 0, i),
            node: NodeId(1),
            reported_by: TaskReporter::Client,
        });
        let mut events = vec![node_list(ListUpdateKind::Cached, 1, vec![node])];
        events.extend(handovers);
        if is_reported_on {
            events.extend((1..=40).map(|i| Event::TaskUpdated {
                request: RequestId(i),
                attempt: 0,
                node: NodeId(1),
                update: TaskUpdate::Running,
            }));
        }
        scheduler.handle(SECOND, &events);
        let place: Vec<Event> = (100..104).map(|i| Event::Place(task(i, 0, i))).collect();
        let first = dispatches(&scheduler.handle(SECOND + 1, &place)).len();
        // Queued requests are tried again later.
        first + dispatches(&scheduler.handle(2 * SECOND, &[Event::Timer(0)])).len()
    };
    assert_eq!(dispatched_with(16.0, false), 4, "the node reports no task");
    assert_eq!(dispatched_with(0.0, false), 0, "the node reports as many");
    assert_eq!(dispatched_with(2.0, false), 2, "two cores are free");
    assert_eq!(
        dispatched_with(16.0, true),
        0,
        "the node has reported on each task since the list was made"
    );
}

#[test]
fn a_list_from_before_a_takeover_does_not_count_the_running_tasks_again() {
    // Lists arrive with a delay: when the second list was created, the tasks were already running
    // but did not yet belong to this scheduler.
    let mut scheduler = Scheduler::new(Settings::sample(), 3);
    let partly_used = NodeEntry {
        free_cores: Some(4.0),
        free_memory: Some(8.0),
        ..node_entry(1, 1)
    };
    let mut events = vec![node_list(
        ListUpdateKind::Cached,
        1,
        vec![partly_used.clone()],
    )];
    events.extend((1..=12).map(|i| Event::RunningTask {
        request: task(i, 0, 1),
        node: NodeId(1),
        reported_by: TaskReporter::Client,
    }));
    scheduler.handle(SECOND, &events);
    let mut events = vec![node_list(ListUpdateKind::Full, 2, vec![partly_used])];
    events.extend((20..24).map(|i| Event::Place(task(i, 0, 1))));
    let dispatched = dispatches(&scheduler.handle(SECOND + 1, &events));
    assert_eq!(dispatched.len(), 4, "four of sixteen cores are free");
}

#[test]
fn a_size_that_a_node_rejected_is_held_back_for_one_latency_objective() {
    let mut scheduler = scheduler_with_nodes(Settings::sample(), 1);
    scheduler.handle(SECOND, &[Event::Place(task(1, 0, 1))]);
    let rejected = attempt_ended(
        1,
        0,
        0,
        AttemptOutcome::Rejected,
        EndReason::InsufficientCores,
    );
    // The report arrives after the rejection but was created before it.
    let idle = LoadReport {
        free_cores: Some(16.0),
        free_memory: Some(32.0),
        ..LoadReport::default()
    };
    let probed = Event::Probed {
        node: NodeId(0),
        answered: true,
        load: Some(idle),
    };
    let events = [rejected, probed, Event::Place(task(2, 0, 2))];
    assert!(dispatches(&scheduler.handle(SECOND, &events)).is_empty());
    let later = 2 * SECOND;
    assert!(dispatches(&scheduler.handle(later - 1, &[Event::Timer(0)])).is_empty());
    assert!(!dispatches(&scheduler.handle(later + 40_000, &[Event::Timer(0)])).is_empty());
}
