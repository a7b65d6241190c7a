//! `peppercove serve` as a process, against scripted clients, nodes and a journal service on loopback.

mod configuration;
mod descriptors;
mod endpoint_list;
mod faulty_peers;
mod flood;
mod memory;
mod notifications;
mod replaced_nodes;
mod requests;
mod shutdown;
#[path = "../support/mod.rs"]
mod support;

use support::configuration::list_entry;
use support::listener::Listener;
use support::peer::{Peer, running};
use support::process::Controller;

/// Descriptor limit of a controller that does not run out of them.
const SOCKETS: usize = 256;

/// A journal service, one node named `a`, and a controller.
struct Cluster {
    journal: Listener,
    node: Listener,
    controller: Controller,
}

impl Cluster {
    fn start() -> Cluster {
        Cluster::with_sockets(SOCKETS)
    }

    fn with_sockets(sockets: usize) -> Cluster {
        let (journal, node) = (Listener::new(), Listener::new());
        let entries = [list_entry("a", node.address(), "active")];
        let controller = Controller::start(journal.address(), &entries, sockets);
        Cluster {
            journal,
            node,
            controller,
        }
    }

    fn client(&self) -> Peer {
        Peer::connect(self.controller.address)
    }

    /// Connects a client that requests one task; returns the client and the node that was offered the task.
    fn request_one(&self, id: u64, class: &str) -> (Peer, Peer) {
        let mut client = self.client();
        client.request(id, class);
        let mut node = self.node.peer();
        assert_eq!(node.receive().id, id);
        (client, node)
    }

    /// Like [`Cluster::request_one`], with the task running.
    fn run_one(&self, id: u64, class: &str) -> (Peer, Peer) {
        let (mut client, mut node) = self.request_one(id, class);
        node.accept_task(id, b"x");
        assert_eq!(client.receive_for(id), running(id, b"x"));
        (client, node)
    }
}
