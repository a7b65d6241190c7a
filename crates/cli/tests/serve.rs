//! `peppercove serve` as a process, against scripted owners, hosts and a journal service on loopback.

mod common;

use common::{Controller, Peer, Place, config, event, server, set_up};
use peppercove_platform::wire::{Message, MessageKind, cause, code};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A journal service, one host named `a`, and a controller.
fn cluster(sockets: usize) -> (Place, Place, Controller) {
    let (journal, host) = (Place::new(), Place::new());
    let controller = Controller::start(
        journal.address(),
        &[server("a", host.address(), "active")],
        sockets,
    );
    (journal, host, controller)
}

#[test]
fn a_task_goes_the_whole_path_and_its_end_comes_back() {
    let (_journal, host, controller) = cluster(256);
    let mut owner = Peer::connect(controller.address);
    owner.send(&Message::new(MessageKind::Test, 77).with(code::CAUSE, &[0]));
    assert_eq!(
        owner.hear(),
        Message::new(MessageKind::Tested, 77).with(code::CAUSE, &[1])
    );
    owner.send(&set_up(5, "key"));
    let mut at_host = host.peer();
    let sent = at_host.hear();
    assert_eq!(
        (sent.kind, sent.id, sent.text(code::CLASS)),
        (MessageKind::SetUp, 5, Some("key"))
    );
    assert_eq!(sent.get(code::DESCRIPTION), Some(&b"opaque \0\xff"[..]));
    at_host.answer(5, b"there");
    assert_eq!(
        owner.hear(),
        Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"there")
    );
    at_host.send(&Message::release(5, cause::ORDINARY));
    assert_eq!(owner.hear(), Message::release(5, cause::ORDINARY));
}

#[test]
fn a_new_host_at_an_old_address_gets_a_connection_of_its_own() {
    let (journal, host, controller) = cluster(256);
    let (mut feed, call) = journal.tail();
    assert_eq!(call, "tail 1");
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(5, "one"));
    let mut old = host.peer();
    old.hear();
    old.answer(5, b"x");
    owner.hear();
    let takeover = [
        server("a", host.address(), "left"),
        server("b", host.address(), "active"),
    ];
    writeln!(feed, "{}", event(2, false, &takeover)).expect("told");
    // What stood on the one that left is over; only then is it certain that the news was heard.
    assert_eq!(owner.hear(), Message::release(5, cause::CUT));
    owner.send(&set_up(6, "one"));
    let mut new = host.peer();
    assert_eq!(new.hear().id, 6);
    new.answer(6, b"y");
    assert_eq!(
        owner.hear(),
        Message::new(MessageKind::Answer, 6).with(code::DESCRIPTION, b"y")
    );
}

#[test]
fn a_torn_and_repeated_feed_is_asked_again_from_the_last_whole_event() {
    let (journal, host, controller) = cluster(256);
    let other = Place::new();
    let (mut feed, _) = journal.tail();
    let second = event(2, false, &[server("a", host.address(), "leaving")]);
    let third = event(3, false, &[server("b", other.address(), "active")]);
    write!(
        feed,
        "1\n{second}\n{second}\n2\n{}",
        &third[..third.len() / 2]
    )
    .expect("told");
    drop(feed);
    let (mut feed, call) = journal.tail();
    assert_eq!(call, "tail 2");
    // An event too far ahead: one is missing, and numbers that go on coming do not hide it.
    writeln!(feed, "{}", event(9, false, &[])).expect("told");
    let numbers = std::thread::spawn(move || {
        while writeln!(feed, "2").is_ok() {
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    let (mut feed, call) = journal.tail();
    assert_eq!(call, "tail 2");
    numbers.join().expect("the old call is closed");
    writeln!(feed, "{third}").expect("told");
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(5, "any"));
    // The one that drains gets nothing; the new one is known from the third event alone.
    assert_eq!(other.peer().hear().id, 5);
}

#[test]
fn a_silent_feed_is_called_anew() {
    let (journal, _host, _controller) = cluster(256);
    let (feed, _) = journal.tail();
    let (_again, call) = journal.tail();
    assert_eq!(call, "tail 1");
    drop(feed);
}

#[test]
fn a_feed_whose_line_never_ends_is_called_anew() {
    let (journal, _host, _controller) = cluster(256);
    let (mut feed, _) = journal.tail();
    write!(feed, "1\n{{\"pos\":2").expect("told");
    // A byte each while the controller may still wait: signs of a connection, not of the service.
    let trickle = std::thread::spawn(move || {
        while write!(feed, " ").is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    let (_again, call) = journal.tail();
    assert_eq!(call, "tail 1");
    trickle.join().expect("the old call is closed");
}

#[test]
fn a_new_configuration_moves_the_feed_and_a_broken_one_changes_nothing() {
    let (journal, host) = (Place::new(), Place::new());
    let controller = Controller::start(journal.address(), &[], 256);
    let (mut feed, _) = journal.tail();
    // The host is known from the second event alone: once it is offered the task, that event was taken in.
    writeln!(
        feed,
        "{}",
        event(2, false, &[server("a", host.address(), "active")])
    )
    .expect("told");
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(5, "any"));
    let mut at_host = host.peer();
    at_host.hear();
    controller.configure("{\"name\":");
    let moved = Place::new();
    controller.configure(&config(
        moved.address(),
        &controller.hosts,
        controller.sockets,
    ));
    let (_feed, call) = moved.tail();
    assert_eq!(call, "tail 2", "the numbers go on");
    at_host.answer(5, b"x");
    assert_eq!(
        owner.hear().kind,
        MessageKind::Answer,
        "what was open is answered"
    );
}

#[test]
fn a_stop_answers_what_is_open_and_what_still_comes() {
    let (_journal, host, mut controller) = cluster(256);
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(5, "one"));
    let mut at_host = host.peer();
    at_host.hear();
    controller.signal("-TERM");
    owner.send(&set_up(6, "one"));
    assert_eq!(at_host.hear().id, 6);
    let mut late = Peer::connect(controller.address);
    late.send(&set_up(7, "one"));
    assert_eq!(at_host.hear().id, 7);
    // Longer than owners may go on sending: the open asks alone keep it.
    std::thread::sleep(Duration::from_millis(1500));
    for id in [5, 6, 7] {
        assert!(
            controller.child.try_wait().expect("a child").is_none(),
            "an ask is open"
        );
        at_host.answer(id, b"x");
    }
    assert_eq!(
        [owner.hear().id, owner.hear().id, late.hear().id],
        [5, 6, 7]
    );
    assert!(controller.ended().success());
}

/// The system takes connections and bytes for a process that does not run. Both stand when the time of its stop is over
/// and it runs again, which sees its clock and its sockets at the same instant.
#[test]
fn a_stop_answers_what_the_system_has_taken_and_nobody_has_read() {
    let (_journal, host, mut controller) = cluster(256);
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(5, "one"));
    let mut at_host = host.peer();
    at_host.hear();
    at_host.answer(5, b"x");
    assert_eq!(owner.hear().id, 5);
    controller.signal("-TERM");
    std::thread::sleep(Duration::from_millis(200));
    controller.signal("-STOP");
    let mut new: Vec<Peer> = (6..46).map(|_| Peer::connect(controller.address)).collect();
    owner.send(&set_up(50, "one"));
    for (id, peer) in (6..).zip(&mut new) {
        peer.send(&set_up(id, "one"));
    }
    // Longer than it goes on serving by itself.
    std::thread::sleep(Duration::from_millis(1500));
    controller.signal("-CONT");
    let host = std::thread::spawn(move || {
        for _ in 0..41 {
            let id = at_host.hear().id;
            at_host.answer(id, b"x");
        }
    });
    assert_eq!(owner.hear().id, 50);
    for (id, peer) in (6..).zip(&mut new) {
        assert_eq!(peer.hear().id, id);
    }
    host.join().expect("each came to the host");
    assert!(controller.ended().success());
}

#[test]
fn a_stop_with_nothing_open_still_serves_what_is_on_its_way() {
    let (_journal, host, mut controller) = cluster(256);
    let mut owner = Peer::connect(controller.address);
    owner.send(&Message::new(MessageKind::Test, 1).with(code::CAUSE, &[0]));
    owner.hear();
    // Stopped while both are sent, it finds the set-up behind the signal.
    controller.signal("-STOP");
    controller.signal("-TERM");
    owner.send(&set_up(5, "one"));
    controller.signal("-CONT");
    let mut at_host = host.peer();
    at_host.hear();
    at_host.answer(5, b"x");
    assert_eq!(owner.hear().kind, MessageKind::Answer);
    assert!(controller.ended().success());
}

#[test]
fn spoilt_bytes_of_a_host_cost_their_connection_and_no_other() {
    let (_journal, host, controller) = cluster(256);
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(5, "any"));
    let mut at_host = host.peer();
    assert_eq!(at_host.hear().id, 5);
    owner.send(&set_up(6, "any"));
    assert_eq!(at_host.hear().id, 6);
    at_host.answer(6, b"good");
    // A claim that no message has, right behind a good answer.
    at_host
        .stream
        .write_all(&[0xff, 0xff, 9, 1, 2, 3])
        .expect("written");
    assert_eq!(
        owner.hear(),
        Message::new(MessageKind::Answer, 6).with(code::DESCRIPTION, b"good")
    );
    assert!(
        std::iter::from_fn(|| at_host.next()).all(|m| m.kind != MessageKind::Answer),
        "it is closed"
    );
    // The task that was out there may have run: a safe one is tried anew, over another connection.
    let mut again = host.peer();
    assert_eq!(again.hear().id, 5);
    again.answer(5, b"x");
    assert_eq!(
        owner.hear(),
        Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"x")
    );
}

#[test]
fn half_a_message_of_a_host_does_not_swallow_what_follows_for_good() {
    let (_journal, host, controller) = cluster(256);
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(5, "any"));
    let mut at_host = host.peer();
    at_host.hear();
    at_host.stream.write_all(&[0x30, 0, 9, 1]).expect("written");
    let mut again = host.peer();
    assert_eq!(again.hear().id, 5);
}

#[test]
fn tasks_of_a_host_whose_process_died_are_over() {
    let (_journal, host, controller) = cluster(256);
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(5, "one"));
    let mut at_host = host.peer();
    at_host.hear();
    at_host.answer(5, b"x");
    owner.hear();
    let address = host.address();
    drop(host);
    drop(at_host);
    // Its connections are refused meanwhile: what comes up there afterwards holds nothing of it.
    std::thread::sleep(Duration::from_secs(3));
    let anew = TcpListener::bind(address).expect("the port is free");
    std::thread::spawn(move || {
        let (stream, _) = anew.accept().expect("a connection");
        let mut anew = Peer::of(stream);
        // It passes every test of its connection.
        anew.hear();
    });
    assert_eq!(owner.hear(), Message::release(5, cause::CUT));
}

#[test]
fn unreadable_owners_are_closed_and_unusable_set_ups_refused() {
    let (_journal, host, controller) = cluster(256);
    let unreadable: [&[u8]; 5] = [
        &[0xff; 64],
        &[0, 0, 0, 0],
        b"GET / HTTP/1.1\r\n\r\n",
        // A parameter that overruns its message.
        &[0, 12, 1, 0, 0, 0, 0, 0, 0, 0, 1, 18, 0xff, 0xff],
        // Half a message and then nothing.
        &[0, 200, 1, 0, 0],
    ];
    for bytes in unreadable {
        let mut bad = Peer::connect(controller.address);
        bad.stream.write_all(bytes).expect("written");
        assert_eq!(bad.next(), None, "{bytes:?}");
    }
    // A body without end.
    let mut bad = Peer::connect(controller.address);
    let endless = [0x41; 64 << 10];
    while bad.stream.write_all(&endless).is_ok() {}
    for message in [
        set_up(0, "any"),
        set_up(9, "nothing like it"),
        Message::new(MessageKind::SetUp, 9),
    ] {
        let mut bad = Peer::connect(controller.address);
        bad.send(&message);
        assert_eq!(bad.hear(), Message::release(message.id, cause::TURNED_AWAY));
    }
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(5, "any"));
    assert_eq!(
        host.peer().hear().id,
        5,
        "nothing of all that reached a host"
    );
}

#[test]
fn silent_connections_keep_no_usual_owner_out() {
    let (_journal, host, controller) = cluster(64);
    // One usual owner with an open set-up, and more silent ones than there are descriptors.
    let mut first = Peer::connect(controller.address);
    first.send(&set_up(5, "one"));
    let mut at_host = host.peer();
    at_host.hear();
    let mut silent: Vec<Peer> = (0..150)
        .map(|_| Peer::connect(controller.address))
        .collect();
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(6, "one"));
    assert_eq!(at_host.hear().id, 6);
    for id in [5, 6] {
        at_host.answer(id, b"x");
    }
    assert_eq!((first.hear().id, owner.hear().id), (5, 6));
    assert!(
        silent.iter_mut().all(|s| s.next().is_none()),
        "each is closed"
    );
}

#[test]
fn where_descriptors_run_short_nobody_loses_a_connection_with_an_open_set_up() {
    let (_journal, host, controller) = cluster(64);
    let mut first = Peer::connect(controller.address);
    first.send(&set_up(1000, "one"));
    let mut at_host = host.peer();
    at_host.hear();
    // Each brings one task, and holds its connection for good.
    let mut held: Vec<Peer> = Vec::new();
    for id in 1..60 {
        let mut owner = Peer::connect(controller.address);
        owner.send(&set_up(id, "any"));
        assert_eq!(at_host.hear().id, id);
        at_host.send(&Message::release(id, cause::ORDINARY).with(code::DESCRIPTION, b"ran"));
        assert_eq!(owner.hear().kind, MessageKind::Answer);
        held.push(owner);
    }
    at_host.answer(1000, b"x");
    assert_eq!(first.hear().kind, MessageKind::Answer);
}

#[test]
fn a_configuration_that_cannot_be_used_is_named_in_one_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    let good = config("127.0.0.1:9".parse().expect("an address"), &[], 256);
    let cases = [
        (good.replace("\"journal\"", "\"diary\""), "journal"),
        (good.replace("00000000000000ff", "seed"), "seed"),
        (good.replace("\"sockets\":256", "\"sockets\":3"), "sockets"),
        (
            good.replace("\"name\":\"t1\"", "\"name\":\"t2\""),
            "LB_NAME",
        ),
        (good.replace("at_most_once", "at_random"), "at_random"),
        ("nothing".into(), "configuration"),
    ];
    for (text, named) in cases {
        std::fs::write(&path, text).expect("written");
        let done = Command::new(env!("CARGO_BIN_EXE_peppercove"))
            .arg("serve")
            .env("LB_CONFIG", &path)
            .env("LB_NAME", "t1")
            .env("LB_LISTEN", "127.0.0.1:0")
            .output()
            .expect("run");
        let said = String::from_utf8_lossy(&done.stderr);
        assert_eq!(done.status.code(), Some(1), "{said}");
        assert!(
            said.lines().count() == 1 && said.contains(named),
            "{named}: {said}"
        );
    }
    let done = Command::new(env!("CARGO_BIN_EXE_peppercove"))
        .arg("serve")
        .env("LB_CONFIG", folder.path().join("missing.json"))
        .output()
        .expect("run");
    let said = String::from_utf8_lossy(&done.stderr);
    assert_eq!(
        (done.status.code(), said.matches("os error").count()),
        (Some(1), 1),
        "said once: {said}"
    );
}

/// A host with a task that ends after a while: it says so over the connection that is open then, and over the next.
fn holds(id: u64, place: Place) {
    let end = Message::release(id, cause::ORDINARY);
    // The connection opened last, and whether the task is over.
    let state = Arc::new(Mutex::new((None::<TcpStream>, false)));
    let (one, said) = (state.clone(), end.encode());
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(1500 + 10 * id));
        let mut state = one.lock().expect("whole");
        state.1 = true;
        state.0.as_mut().map(|open| open.write_all(&said))
    });
    std::thread::spawn(move || {
        for stream in place.0.incoming().map_while(Result::ok) {
            let mut peer = Peer::of(stream);
            let mut state = state.lock().expect("whole");
            state.0 = peer.stream.try_clone().ok();
            if state.1 {
                peer.send(&end);
            }
            drop(state);
            std::thread::spawn(move || {
                while let Some(message) = peer.next() {
                    if message.kind == MessageKind::Test {
                        peer.send(
                            &Message::new(MessageKind::Tested, message.id).with(code::CAUSE, &[1]),
                        );
                    }
                }
            });
        }
    });
}

/// More hosts hold tasks than there are descriptors for connections to them: each is asked in its turn, and an end that a
/// host could tell nobody comes over the next connection.
#[test]
fn hosts_with_tasks_beyond_the_descriptors_are_asked_in_turn_and_no_end_is_missed() {
    const HOSTS: u64 = 40;
    let (journal, places): (_, Vec<Place>) =
        (Place::new(), (0..HOSTS).map(|_| Place::new()).collect());
    let name = |n: usize| format!("h{n}");
    let servers: Vec<String> = places
        .iter()
        .enumerate()
        .map(|(n, p)| server(&name(n), p.address(), "active"))
        .collect();
    let text = config(journal.address(), &servers, 64)
        .replace("5000000,\"max-attempts", "250000,\"max-attempts");
    assert!(text.contains(r#""dial-timeout":250000"#), "{text}");
    let controller = Controller::start_with("t1", &text);
    let mut owner = Peer::connect(controller.address);
    for (n, place) in places.into_iter().enumerate() {
        let (task, figures) = (
            format!("{n:016x}"),
            format!("cores:1;memory:2;service:aa;at:{}", name(n)),
        );
        let held = Message::new(MessageKind::SetUp, n as u64 + 1)
            .with(code::CLASS, b"any")
            .with(code::WAIT, b"4000");
        owner.send(
            &held
                .with(code::TASK, task.as_bytes())
                .with(code::FIGURES, figures.as_bytes()),
        );
        holds(n as u64 + 1, place);
    }
    let mut ends: Vec<Message> = (0..HOSTS).map(|_| owner.hear()).collect();
    ends.sort_by_key(|m| m.id);
    let wanted: Vec<Message> = (1..=HOSTS)
        .map(|id| Message::release(id, cause::ORDINARY))
        .collect();
    assert_eq!(ends, wanted);
}

/// Danger: what one owner sends at once would keep the others, hosts' words and the clock waiting for as long as it takes.
#[test]
fn behind_a_burst_of_one_owner_the_next_owner_waits_for_one_set_up_of_it() {
    const BURST: u64 = 60;
    let (journal, host) = (Place::new(), Place::new());
    let hosts = [server("a", host.address(), "active")];
    let controllers: Vec<Controller> = (0..3)
        .map(|_| Controller::start(journal.address(), &hosts, 256))
        .collect();
    let mut owners = Vec::new();
    for (c, controller) in (1u64..).zip(&controllers) {
        let mut two = [
            Peer::connect(controller.address),
            Peer::connect(controller.address),
        ];
        for owner in &mut two {
            owner.send(&Message::new(MessageKind::Test, 77).with(code::CAUSE, &[0]));
            owner.hear();
        }
        // Stopped while both send, it finds the burst and the other set-up at once.
        controller.signal("-STOP");
        let [first, second] = &mut two;
        let burst: Vec<u8> = (0..BURST)
            .flat_map(|n| set_up(c << 16 | n, "any").encode())
            .collect();
        first.stream.write_all(&burst).expect("sent");
        second.send(&set_up(c << 16 | BURST, "any"));
        controller.signal("-CONT");
        owners.push(two);
    }
    for _ in &controllers {
        let mut at_host = host.peer();
        let place = (0..=BURST).position(|_| at_host.hear().id & 0xffff == BURST);
        assert!(
            place.is_some_and(|p| p < 4),
            "{place:?} set-ups went before it"
        );
    }
}

/// Danger: a connection that is closed for half a message takes the answers with it that are owed on it.
#[test]
fn an_owner_that_leaves_a_message_unfinished_gets_what_it_asked_for_before_and_is_closed_then() {
    let (_journal, host, controller) = cluster(256);
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(5, "one"));
    owner
        .stream
        .write_all(&set_up(6, "any").encode()[..20])
        .expect("sent");
    let mut at_host = host.peer();
    assert_eq!(at_host.hear().id, 5);
    // Longer than a message may take, and than a connection that owes nothing would be kept.
    std::thread::sleep(Duration::from_millis(2500));
    at_host.answer(5, b"there");
    assert_eq!(
        owner.hear(),
        Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"there")
    );
    assert_eq!(owner.next(), None, "nothing is owed any more");
}
