//! What is owed at the instant something ends, on real sockets, with the crossing forced: the process is held (SIGSTOP)
//! while both sides write, so that it finds all of it at once when it goes on.

mod common;

use common::{Controller, LONG, Peer, Place, event, server, set_up};
use peppercove_platform::wire::{Message, MessageKind, cause, code};
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// How a client goes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Goes {
    Cancels,
    Closes,
    HalfCloses,
    ClosesBehindHalfAMessage,
}

/// All that a host hears from now on, tests passed.
fn listen(mut peer: Peer) -> (Receiver<Message>, std::thread::JoinHandle<()>) {
    let (heard, hears) = channel();
    let thread = std::thread::spawn(move || {
        while let Some(message) = peer.next() {
            if message.kind == MessageKind::Test {
                peer.send(&Message::new(MessageKind::Tested, message.id).with(code::CAUSE, &[1]));
            } else if heard.send(message).is_err() {
                return;
            }
        }
    });
    (hears, thread)
}

/// A client that goes while the refusal of its first attempt is on its way gets no further attempt: one that begins at
/// once, before its going is read, is taken back.
#[test]
fn a_client_that_goes_between_two_attempts_gets_no_further_one() {
    for goes in [
        Goes::Cancels,
        Goes::Closes,
        Goes::HalfCloses,
        Goes::ClosesBehindHalfAMessage,
    ] {
        for client_first in [true, false] {
            let (journal, a, b) = (Place::new(), Place::new(), Place::new());
            let hosts = [
                server("a", a.address(), "active"),
                server("b", b.address(), "active"),
            ];
            let controller = Controller::start(journal.address(), &hosts, 256);
            let mut client = Peer::connect(controller.address);
            client.send(&set_up(5, "one"));
            // Whichever host has it first.
            let (mut first, second) = first_of(&a, &b);
            assert_eq!(first.hear().id, 5);
            controller.signal("-STOP");
            let refusal = Message::release(5, cause::FULL).with(code::NOTE, b"no_cores");
            if !client_first {
                first.send(&refusal);
            }
            match goes {
                Goes::Cancels => client.send(&Message::release(5, cause::ORDINARY)),
                Goes::Closes => client.stream.shutdown(Shutdown::Both).expect("closed"),
                Goes::HalfCloses => client.stream.shutdown(Shutdown::Write).expect("closed"),
                Goes::ClosesBehindHalfAMessage => {
                    client.stream.write_all(&[0, 40, 1, 0]).expect("written");
                    client.stream.shutdown(Shutdown::Write).expect("closed");
                }
            }
            if client_first {
                first.send(&refusal);
            }
            controller.signal("-CONT");
            // A second client shows that all of that was read: it goes the whole path after it.
            let mut other = Peer::connect(controller.address);
            for id in 100..140 {
                other.send(&set_up(id, "any"));
            }
            let (at_first, _) = listen(first);
            // By host: a further attempt stands there.
            let mut open = [false; 2];
            let mut count = |at: usize, message: &Message| {
                if message.id == 5 {
                    open[at] = message.kind == MessageKind::SetUp;
                }
            };
            let mut at_second = None;
            let mut seen = 0;
            let end = Instant::now() + LONG;
            while seen < 40 {
                assert!(
                    Instant::now() < end,
                    "{goes:?}, client first: {client_first}: {seen} of 40"
                );
                if at_second.is_none() && second.0.set_nonblocking(true).is_ok() {
                    at_second = second
                        .0
                        .accept()
                        .ok()
                        .map(|(stream, _)| listen(Peer::of(stream)).0);
                }
                for (at, hears) in [Some(&at_first), at_second.as_ref()]
                    .into_iter()
                    .enumerate()
                {
                    for message in hears.into_iter().flat_map(Receiver::try_iter) {
                        seen +=
                            usize::from(message.kind == MessageKind::SetUp && message.id >= 100);
                        count(at, &message);
                    }
                }
                std::thread::sleep(Duration::from_millis(1));
            }
            // Whatever was begun in the instant of the crossing was taken back, and nothing begins later.
            std::thread::sleep(Duration::from_millis(300));
            for (at, hears) in [Some(&at_first), at_second.as_ref()]
                .into_iter()
                .enumerate()
            {
                hears
                    .into_iter()
                    .flat_map(Receiver::try_iter)
                    .for_each(|message| count(at, &message));
            }
            assert_eq!(open, [false; 2], "{goes:?}, client first: {client_first}");
        }
    }
}

/// The connection on which the first of two hosts is asked, and the other host.
fn first_of<'a>(a: &'a Place, b: &'a Place) -> (Peer, &'a Place) {
    let end = Instant::now() + LONG;
    loop {
        for (place, other) in [(a, b), (b, a)] {
            place.0.set_nonblocking(true).expect("not blocking");
            match place.0.accept() {
                Ok((stream, _)) => return (Peer::of(stream), other),
                Err(e) => {
                    assert!(
                        e.kind() == ErrorKind::WouldBlock && Instant::now() < end,
                        "{e}"
                    )
                }
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Discovery is down, and clients that ask for nothing hold all the descriptors they can get.
#[test]
fn idle_clients_keep_neither_discovery_nor_hosts_out() {
    let (journal, host) = (Place::new(), Place::new());
    let address = journal.address();
    drop(journal);
    let controller = Controller::start(address, &[], 64);
    let idle: Vec<Peer> = (0..120)
        .map(|_| Peer::connect(controller.address))
        .collect();
    let mut asked_once: Vec<Peer> = Vec::new();
    for id in 1..60 {
        let mut client = Peer::connect(controller.address);
        client.send(&Message::new(MessageKind::Test, id).with(code::CAUSE, &[0]));
        assert_eq!(client.hear().kind, MessageKind::Tested);
        asked_once.push(client);
    }
    // It is back, and is called though nobody has let go of anything.
    let journal = Place(TcpListener::bind(address).expect("the same port"));
    let (mut feed, call) = journal.tail();
    assert_eq!(call, "tail 1");
    writeln!(
        feed,
        "{}",
        event(2, false, &[server("a", host.address(), "active")])
    )
    .expect("told");
    let mut client = Peer::connect(controller.address);
    client.send(&set_up(500, "one"));
    let mut at_host = host.peer();
    assert_eq!(at_host.hear().id, 500);
    at_host.answer(500, b"x");
    assert_eq!(client.hear().id, 500);
    drop((idle, asked_once));
}
