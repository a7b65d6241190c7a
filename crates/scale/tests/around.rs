//! How what is around a scheduler grows: counted figures alone, at sizes a factor of eight apart. No times.

use peppercove_platform::endpoint_watch::SequenceCheck;
use peppercove_protocol::codec::MAX_LIST_FRAME_BYTES;
use peppercove_protocol::list::Scope;
use peppercove_scale::platform::{config, hosts, settings};
use peppercove_scale::roles::discovery::{lines, news, take};
use peppercove_scale::row::At;
use peppercove_scale::{hollow, standins};

const FACTOR: u64 = 8;

fn grown(before: u64, after: u64) -> f64 {
    after as f64 / before as f64
}

#[test]
fn a_whole_list_grows_as_its_machines_and_a_change_does_not() {
    let (small, large) = (lines(400), lines(400 * FACTOR));
    // Each host has a line of its own; only the digits of racks and ids may add to it, a few bytes in some 140.
    let whole = grown(small.whole.len() as u64, large.whole.len() as u64);
    assert!(whole <= FACTOR as f64 * 1.03, "{whole}");
    // A change names what has changed, however many machines there are.
    assert_eq!(small.change.len(), large.change.len());
    assert!(matches!(take(&large.change, 1), Ok(Some(_))));
}

#[test]
fn frames_of_the_node_list_grow_as_its_nodes() {
    let bytes = |nodes, scope| {
        postcard::to_stdvec(&news(nodes, scope))
            .expect("encoded")
            .len() as u64
    };
    // Numbers have variable length here: a rack's takes a second byte from 128 on.
    let whole = grown(bytes(400, Scope::Full), bytes(400 * FACTOR, Scope::Full));
    assert!(whole <= FACTOR as f64 * 1.03, "{whole}");
    // The largest cluster that sizes are stated for must fit into one frame.
    assert!(bytes(13_000, Scope::Full) < MAX_LIST_FRAME_BYTES as u64);
}

#[test]
fn the_whole_list_of_the_largest_cluster_is_taken_in_eight_times_over() {
    // Read in the smallest parts in which a scheduler reads. A list that is given up is never known: there is no other
    // way to it.
    let whole = lines(13_000 * FACTOR).whole;
    assert!(
        matches!(take(&whole, 0), Ok(Some((_, SequenceCheck::Apply)))),
        "{} bytes",
        whole.len()
    );
}

#[test]
fn a_configuration_grows_no_faster_than_what_it_names() {
    let at = |machines, classes, tenants| At {
        machines,
        classes,
        tenants,
        ..At::BASE
    };
    let settings = |classes, tenants| settings(&at(400, classes, tenants)).to_string().len() as u64;
    // Nothing in the settings is told for each pair of class and tenant.
    assert!(grown(settings(3, 10), settings(3 * FACTOR, 10 * FACTOR)) <= FACTOR as f64);
    let text = |machines| {
        let at = at(machines, 3, 10);
        config(
            &at,
            peppercove_scale::platform::address(0),
            &hosts(0..machines),
        )
        .len() as u64
    };
    assert!(grown(text(400), text(400 * FACTOR)) <= FACTOR as f64 * 1.03);
}

/// One scheduler of the platform: what it says to hosts and to its owner for a start.
#[test]
fn messages_of_a_start_depend_neither_on_machines_nor_on_schedulers_nor_on_starts() {
    let starts = 100;
    let base = hollow::play(&At::BASE, starts).expect("played");
    assert_eq!((base.placed, base.ended), (starts, starts));
    // Set-up, answer, end: nothing is asked of a second machine where the first one takes the task. Tests of connections
    // come with time, and tasks end here before one is due.
    assert_eq!(
        (base.owner.messages, base.hosts.messages),
        (3 * starts, 3 * starts)
    );
    let grown = [
        At {
            machines: At::BASE.machines * FACTOR,
            ..At::BASE
        },
        At {
            schedulers: At::BASE.schedulers * FACTOR,
            ..At::BASE
        },
        At {
            starts: At::BASE.starts * FACTOR,
            ..At::BASE
        },
    ];
    for at in grown {
        let crossed = hollow::play(&at, starts).expect("played");
        assert_eq!(
            (crossed.owner, crossed.hosts),
            (base.owner, base.hosts),
            "{at:?}"
        );
        // A connection is kept to each host with a task, and no more are opened than there are starts.
        assert!(
            crossed.dials <= starts && crossed.links <= crossed.dials,
            "{crossed:?}"
        );
    }
}

/// A connection with a task is tested once it was silent for some time, whatever else there is.
#[test]
fn messages_of_tasks_that_stand_grow_no_faster_than_the_tasks() {
    let stand = |standing, machines| {
        hollow::stand(
            &At {
                standing,
                machines,
                ..At::BASE
            },
            10,
        )
        .expect("they stand")
        .hosts
        .messages
    };
    let base = stand(20, 400);
    assert!(base > 0);
    // One test and its answer for a connection, and no more connections than tasks: several tasks may share one.
    assert!(grown(base, stand(20 * FACTOR, 400)) <= FACTOR as f64);
    // Machines without a task are not spoken to. Tasks may be spread wider over more of them, over twice as many at most
    // where some shared one before.
    assert!(grown(base, stand(20, 400 * FACTOR)) <= 2.0);
}

/// The other front, on loopback: what a controller says to its nodes and to a client for a job.
#[test]
fn messages_of_a_job_do_not_depend_on_the_number_of_nodes() {
    let jobs = 20;
    let [few, many] =
        [4, 4 * FACTOR as usize].map(|nodes| (nodes, standins::play(nodes, jobs).expect("played")));
    for (nodes, wires) in [few, many] {
        assert_eq!(wires.placed, jobs, "{nodes} nodes");
        // One connection to each node, with a greeting each way and nothing else while nothing stands.
        let [greeted, ended] = wires.nodes;
        assert_eq!(
            (greeted.connections, greeted.traffic.messages),
            (nodes as u64, 2 * nodes as u64)
        );
        assert_eq!(ended.connections, greeted.connections);
        // Offer, accepted, running, ended, noted. A node that is loaded may refuse an offer, and an end that is not
        // noted in time is told again: a fifth more is let pass.
        let each = (ended.traffic.messages - greeted.traffic.messages) as f64 / jobs as f64;
        assert!((5.0..=6.0).contains(&each), "{each} with {nodes} nodes");
        // `runJob`, `outcome` and `wait` with their answers, over the connection of the session.
        let [stands, over] = wires.client;
        assert_eq!(
            over.traffic.messages - stands.traffic.messages,
            6 * jobs,
            "{nodes} nodes"
        );
        assert_eq!(over.connections, 1);
    }
}
