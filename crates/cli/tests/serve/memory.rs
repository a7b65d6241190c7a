//! The memory limit, with clients that send at full speed what no well-behaved client sends.

use crate::Cluster;
use crate::support::configuration::MEMORY_MB;
use crate::support::peer::{Peer, request_with_attributes, test};
use peppercove_platform::wire::{Message, MessageKind, cause};

/// Fails if the controller has ever used more memory than its configuration allows.
fn assert_within_memory_limit(cluster: &Cluster) {
    let peak_kib = cluster.controller.peak_memory_kib();
    assert!(
        peak_kib < MEMORY_MB * 1024,
        "the peak was {peak_kib} KiB, the limit is {MEMORY_MB} MiB"
    );
}

/// Waits until the controller has read everything that was sent before. Skips the other messages that it has sent.
fn pass_test(client: &mut Peer) {
    client.send(&test(1));
    while client.receive().kind != MessageKind::Tested {}
}

fn handover(id: u64, node: &str) -> Message {
    request_with_attributes(id, &format!("cores:1;memory:2;service:aa;at:{node}"))
}

/// Guards against a node being stored for each handover, for good.
#[test]
fn handovers_of_unknown_tasks_stay_within_the_memory_limit() {
    const CLIENTS: u64 = 12;
    const HANDOVERS: u64 = 10_000;
    let cluster = Cluster::start();
    for number in 1..=CLIENTS {
        let mut bad_client = cluster.client();
        let ids = number * HANDOVERS..(number + 1) * HANDOVERS;
        let frames: Vec<u8> = ids
            .flat_map(|id| handover(id, &format!("s-{id:08x}")).encode())
            .collect();
        bad_client.send_bytes(&frames);
        pass_test(&mut bad_client);
    }
    assert_within_memory_limit(&cluster);
    // Tasks that their node does run are tracked nevertheless.
    let (mut client, mut node) = cluster.run_one(5, "any");
    client.send(&handover(7, "a"));
    pass_test(&mut client);
    for id in [5, 7] {
        let end = Message::release(id, cause::ORDINARY);
        node.send(&end);
        while client.receive() != end {}
    }
}
