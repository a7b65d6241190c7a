//! A new node at the address of one that has gone, before the node list shows it.

use crate::Cluster;
use crate::support::peer::{Peer, tested};
use peppercove_platform::wire::MessageKind;
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::Duration;

/// Time between the end of a node and the start of another one at its address.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(50);

/// Serves one connection after the other as a node that takes no task, and reports the ids of the requests that it gets.
fn serve_replacement(listener: TcpListener) -> mpsc::Receiver<u64> {
    let (received, requests) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (mut peer, received) = (Peer::new(stream), received.clone());
            std::thread::spawn(move || {
                while let Some(message) = peer.next() {
                    match message.kind {
                        MessageKind::Test => peer.send(&tested(message.id)),
                        MessageKind::SetUp => {
                            let _ = received.send(message.id);
                        }
                        _ => {}
                    }
                }
            });
        }
    });
    requests
}

/// Guards against a task that runs twice: its node may have started it, and it is sent again to another node that has taken
/// over the address and is not in the deduplication scope of the first one.
#[test]
fn keyed_task_that_may_have_run_is_not_sent_to_a_node_that_took_over_the_address() {
    let cluster = Cluster::start();
    let (mut client, connection) = cluster.request_one(5, "key");
    let address = cluster.node.address();
    // The process of the node ends.
    drop(cluster.node);
    drop(connection);
    std::thread::sleep(REPLACEMENT_DELAY);
    let listener = TcpListener::bind(address).expect("cannot bind the same port again");
    let requests = serve_replacement(listener);
    let answer = client.receive();
    assert_eq!(answer.kind, MessageKind::Release);
    let sent: Vec<u64> = requests.try_iter().collect();
    assert!(
        sent.is_empty(),
        "{sent:?} sent to a node that the list has not shown yet"
    );
}
