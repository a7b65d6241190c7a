//! How what is around a scheduler grows: counted figures alone, at sizes a factor of eight apart. No times.

use peppercove_platform::endpoint_watch::SequenceCheck;
use peppercove_protocol::codec::MAX_LIST_FRAME_BYTES;
use peppercove_protocol::list::Scope;
use peppercove_scale::platform_format::{config, node_address, node_entries, settings};
use peppercove_scale::roles::discovery::{ListLines, list_update, receive_line};
use peppercove_scale::row::Sizes;
use peppercove_scale::{drmaa_loopback, hollow_scheduler};

/// How far apart the sizes are.
const FACTOR: u64 = 8;
/// The factor with what the digits of longer numbers add.
const FACTOR_AND_DIGITS: f64 = FACTOR as f64 * 1.03;
/// Nodes of the largest cluster that sizes are stated for.
const LARGEST_CLUSTER: u64 = 13_000;

fn growth(before: u64, after: u64) -> f64 {
    after as f64 / before as f64
}

#[test]
fn a_full_endpoint_list_grows_linearly_with_its_nodes_and_a_change_does_not_grow() {
    let (small, large) = (ListLines::new(400), ListLines::new(400 * FACTOR));
    // Each node has an entry of its own; only the digits of racks and ids may add to it, a few bytes in some 140.
    let full = growth(small.full.len() as u64, large.full.len() as u64);
    assert!(full <= FACTOR_AND_DIGITS, "{full}");
    // A change names what has changed, however many nodes there are.
    assert_eq!(small.change.len(), large.change.len());
    assert!(matches!(receive_line(&large.change, 1), Ok(Some(_))));
}

#[test]
fn frames_of_the_node_list_grow_linearly_with_its_nodes() {
    let bytes = |nodes, scope| {
        postcard::to_stdvec(&list_update(nodes, scope))
            .expect("encoded")
            .len() as u64
    };
    // Numbers have variable length here: that of a rack takes a second byte from 128 on.
    let full = growth(bytes(400, Scope::Full), bytes(400 * FACTOR, Scope::Full));
    assert!(full <= FACTOR_AND_DIGITS, "{full}");
    assert!(bytes(LARGEST_CLUSTER, Scope::Full) < MAX_LIST_FRAME_BYTES as u64);
}

#[test]
fn a_full_list_of_eight_times_the_largest_cluster_is_accepted() {
    // Read in the smallest parts in which a scheduler reads. A list that is rejected is never known: there is no other way
    // to it.
    let full = ListLines::new(LARGEST_CLUSTER * FACTOR).full;
    let received = receive_line(&full, 0);
    let is_applied =
        matches!(&received, Ok(Some(received)) if received.check == SequenceCheck::Apply);
    assert!(is_applied, "{} bytes", full.len());
}

#[test]
fn a_configuration_grows_no_faster_than_what_it_names() {
    let at = |nodes, classes, tenants| Sizes {
        nodes,
        classes,
        tenants,
        ..Sizes::BASE
    };
    let settings = |classes, tenants| settings(&at(400, classes, tenants)).to_string().len() as u64;
    // Nothing in the settings is said for each pair of class and tenant.
    let growth_of_settings = growth(settings(3, 10), settings(3 * FACTOR, 10 * FACTOR));
    assert!(growth_of_settings <= FACTOR as f64);
    let text =
        |nodes| config(&at(nodes, 3, 10), node_address(0), &node_entries(0..nodes)).len() as u64;
    assert!(growth(text(400), text(400 * FACTOR)) <= FACTOR_AND_DIGITS);
}

/// One scheduler of the platform: what it sends to nodes and to its client for a start.
#[test]
fn messages_of_a_start_do_not_depend_on_nodes_schedulers_or_rate() {
    let starts = 100;
    let base = hollow_scheduler::run_starts(&Sizes::BASE, starts).expect("run");
    assert_eq!((base.placed, base.ended), (starts, starts));
    // Request, answer, end: nothing is asked of a second node where the first one takes the task. Tests of connections
    // come with time, and tasks end here before one is due.
    assert_eq!(
        (base.client.messages, base.nodes.messages),
        (3 * starts, 3 * starts)
    );
    let larger = [
        Sizes {
            nodes: Sizes::BASE.nodes * FACTOR,
            ..Sizes::BASE
        },
        Sizes {
            schedulers: Sizes::BASE.schedulers * FACTOR,
            ..Sizes::BASE
        },
        Sizes {
            starts_per_second: Sizes::BASE.starts_per_second * FACTOR,
            ..Sizes::BASE
        },
    ];
    for sizes in larger {
        let counts = hollow_scheduler::run_starts(&sizes, starts).expect("run");
        assert_eq!(
            (counts.client, counts.nodes),
            (base.client, base.nodes),
            "{sizes:?}"
        );
        // A connection is kept to each node with a task, and no more are opened than there are starts.
        let is_bounded = counts.connects <= starts && counts.open_connections <= counts.connects;
        assert!(is_bounded, "{counts:?}");
    }
}

/// A connection with a task is tested once it was silent for some time, whatever else there is.
#[test]
fn messages_of_running_tasks_grow_no_faster_than_the_tasks() {
    let idle_messages = |running_tasks, nodes| {
        let sizes = Sizes {
            running_tasks,
            nodes,
            ..Sizes::BASE
        };
        hollow_scheduler::run_idle(&sizes, 10)
            .expect("they run")
            .nodes
            .messages
    };
    let base = idle_messages(20, 400);
    assert!(base > 0);
    // One test and its answer for a connection, and no more connections than tasks: several tasks may share one.
    assert!(growth(base, idle_messages(20 * FACTOR, 400)) <= FACTOR as f64);
    // Nodes without a task are sent nothing. Tasks may be spread wider over more of them, over twice as many at most where
    // some shared one before.
    assert!(growth(base, idle_messages(20, 400 * FACTOR)) <= 2.0);
}

/// The other front, on loopback: what a controller sends to its nodes and to a client for a job.
#[test]
fn messages_of_a_job_do_not_depend_on_the_number_of_nodes() {
    let jobs = 20;
    for nodes in [4, 4 * FACTOR] {
        let run = drmaa_loopback::run_jobs(nodes as usize, jobs).expect("run");
        assert_eq!(run.placed, jobs, "{nodes} nodes");
        // One connection to each node, with a handshake each way and nothing else while no task runs.
        let (before, after) = (run.nodes.before_jobs, run.nodes.after_jobs);
        assert_eq!(
            (before.connections, before.traffic.messages),
            (nodes, 2 * nodes)
        );
        assert_eq!(after.connections, before.connections);
        // Offer, accepted, running, ended, acknowledged. A node that is loaded may reject an offer, and an end that is not
        // acknowledged in time is sent again: a fifth more is allowed.
        let per_job = (after.traffic.messages - before.traffic.messages) as f64 / jobs as f64;
        assert!(
            (5.0..=6.0).contains(&per_job),
            "{per_job} with {nodes} nodes"
        );
        // `runJob`, `outcome` and `wait` with their answers, over the connection of the session.
        let (before, after) = (run.client.before_jobs, run.client.after_jobs);
        let messages = after.traffic.messages - before.traffic.messages;
        assert_eq!(messages, 6 * jobs, "{nodes} nodes");
        assert_eq!(after.connections, 1);
    }
}
