//! The endpoint list: nodes that change, and a journal service that fails.

use crate::support::configuration::{config, list_entry, list_event};
use crate::support::listener::Listener;
use crate::support::peer::{Peer, running};
use crate::support::process::Controller;
use crate::{Cluster, SOCKETS};
use peppercove_platform::wire::{Message, MessageKind, cause};
use std::io::Write;
use std::time::Duration;

#[test]
fn a_new_node_at_the_address_of_one_that_left_gets_a_connection_of_its_own() {
    let cluster = Cluster::start();
    let (mut list, call) = cluster.journal.accept_call();
    assert_eq!(call, "tail 1");
    let (mut client, _old_node) = cluster.run_one(5, "one");
    let address = cluster.node.address();
    let changes = [
        list_entry("a", address, "left"),
        list_entry("b", address, "active"),
    ];
    writeln!(list, "{}", list_event(2, false, &changes)).expect("sent");
    // What ran on the one that left has ended; only then is it certain that the event was read.
    assert_eq!(client.receive(), Message::release(5, cause::CUT));
    client.request(6, "one");
    let mut new_node = cluster.node.peer();
    assert_eq!(new_node.receive().id, 6);
    new_node.accept_task(6, b"y");
    assert_eq!(client.receive(), running(6, b"y"));
}

#[test]
fn after_a_broken_or_repeated_event_the_list_is_called_from_the_last_complete_one() {
    let cluster = Cluster::start();
    let other = Listener::new();
    let (mut list, _) = cluster.journal.accept_call();
    let second = list_event(
        2,
        false,
        &[list_entry("a", cluster.node.address(), "leaving")],
    );
    let third = list_event(3, false, &[list_entry("b", other.address(), "active")]);
    let half = &third[..third.len() / 2];
    write!(list, "1\n{second}\n{second}\n2\n{half}").expect("sent");
    drop(list);
    let (mut list, call) = cluster.journal.accept_call();
    assert_eq!(call, "tail 2");
    // An event too far ahead: one is missing, and numbers that go on coming do not hide that.
    writeln!(list, "{}", list_event(9, false, &[])).expect("sent");
    let numbers = std::thread::spawn(move || {
        while writeln!(list, "2").is_ok() {
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    let (mut list, call) = cluster.journal.accept_call();
    assert_eq!(call, "tail 2");
    numbers.join().expect("the old call is closed");
    writeln!(list, "{third}").expect("sent");
    let mut client = cluster.client();
    client.request(5, "any");
    // The one that drains gets nothing; the new one is known from the third event alone.
    assert_eq!(other.peer().receive().id, 5);
}

#[test]
fn a_silent_list_is_called_anew() {
    let cluster = Cluster::start();
    let (list, _) = cluster.journal.accept_call();
    let (_next_list, call) = cluster.journal.accept_call();
    assert_eq!(call, "tail 1");
    drop(list);
}

#[test]
fn a_list_whose_line_never_ends_is_called_anew() {
    let cluster = Cluster::start();
    let (mut list, _) = cluster.journal.accept_call();
    write!(list, "1\n{{\"pos\":2").expect("sent");
    // A byte each while the controller may still wait: signs of a connection, not of the service.
    let trickle = std::thread::spawn(move || {
        while write!(list, " ").is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    let (_next_list, call) = cluster.journal.accept_call();
    assert_eq!(call, "tail 1");
    trickle.join().expect("the old call is closed");
}

#[test]
fn a_new_configuration_changes_the_journal_service_and_an_invalid_one_changes_nothing() {
    let (journal, node) = (Listener::new(), Listener::new());
    let controller = Controller::start(journal.address(), &[], SOCKETS);
    let (mut list, _) = journal.accept_call();
    // The node is known from the second event alone: once it is offered the task, that event was applied.
    let entries = [list_entry("a", node.address(), "active")];
    writeln!(list, "{}", list_event(2, false, &entries)).expect("sent");
    let mut client = Peer::connect(controller.address);
    client.request(5, "any");
    let mut node = node.peer();
    node.receive();
    controller.configure("{\"name\":");
    let other_journal = Listener::new();
    controller.configure(&config(other_journal.address(), &[], SOCKETS));
    let (_list, call) = other_journal.accept_call();
    assert_eq!(call, "tail 2", "the numbers go on");
    node.accept_task(5, b"x");
    assert_eq!(
        client.receive().kind,
        MessageKind::Answer,
        "an open request is answered"
    );
}
