//! The memory limit, with clients that send at full speed what no well-behaved client sends.

use crate::Cluster;
use crate::support::configuration::MEMORY_MB;
use crate::support::peer::{Peer, request_with_attributes, test};
use peppercove_platform::wire::{Message, MessageKind, cause, code};

/// Fails if the controller has ever used more memory than its configuration allows.
pub fn assert_within_memory_limit(cluster: &Cluster) {
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

/// A request that is nearly as large as a message may be: with a long description, or with many empty parameters.
fn large_request(id: u64, has_description: bool) -> Message {
    const DESCRIPTION_BYTES: usize = 16_000;
    const EMPTY_PARAMETERS: usize = 5_300;
    const UNKNOWN_CODE: u8 = 99;
    let request = request_with_attributes(id, "cores:1;memory:2;service:aa");
    if has_description {
        return request.with(code::DESCRIPTION, &[b'd'; DESCRIPTION_BYTES]);
    }
    (0..EMPTY_PARAMETERS).fold(request, |request, _| request.with(UNKNOWN_CODE, b""))
}

/// Guards against a read buffer for each connection that has sent a part of a large message, and against buffers that stay
/// in memory because of a small part of them.
#[test]
fn large_messages_of_hundreds_of_clients_stay_within_the_memory_limit() {
    const MAX_SOCKETS: usize = 1024;
    const CLIENTS: u64 = 600;
    const REQUESTS_EACH: u64 = 2;
    for has_description in [true, false] {
        let cluster = Cluster::with_sockets(MAX_SOCKETS);
        let template = large_request(1, has_description).encode();
        let with_id = |id: u64| {
            let mut frame = template.to_vec();
            frame[3..11].copy_from_slice(&id.to_be_bytes());
            frame
        };
        let mut clients: Vec<Peer> = (0..CLIENTS).map(|_| cluster.client()).collect();
        pass_test(&mut cluster.client());
        // The controller finds all of it at the same time.
        cluster.controller.while_paused(|| {
            for (number, client) in (1..).zip(&mut clients) {
                let complete = (0..REQUESTS_EACH).flat_map(|n| with_id(number << 32 | n));
                let mut bytes: Vec<u8> = complete.collect();
                // The last message is never completed.
                bytes.extend_from_slice(&template[..template.len() - 1]);
                client.send_bytes(&bytes);
            }
        });
        pass_test(&mut cluster.client());
        assert_within_memory_limit(&cluster);
    }
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
