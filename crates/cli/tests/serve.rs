//! `peppercove serve` as a process, against scripted owners, hosts and a journal service on loopback.

use bytes::BytesMut;
use peppercove_platform::wire::{Kind, Message, cause, code, decode};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// No wait of a test is longer; nothing else is said about times.
const LONG: Duration = Duration::from_secs(20);

/// One end of a connection that speaks the platform's messages.
struct Peer {
    stream: TcpStream,
    buffer: BytesMut,
}

impl Peer {
    fn of(stream: TcpStream) -> Peer {
        stream.set_nonblocking(false).expect("blocking");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Peer { stream, buffer: BytesMut::new() }
    }

    fn connect(address: SocketAddr) -> Peer {
        Peer::of(TcpStream::connect(address).expect("the controller listens"))
    }

    fn send(&mut self, message: &Message) {
        self.stream.write_all(&message.encode()).expect("written");
    }

    /// The next message; `None` where the connection is closed.
    fn next(&mut self) -> Option<Message> {
        loop {
            if let Some(message) = decode(&mut self.buffer).expect("readable") {
                return Some(message);
            }
            let mut part = [0; 4096];
            match self.stream.read(&mut part) {
                Ok(0) => return None,
                Ok(n) => self.buffer.extend_from_slice(&part[..n]),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("nothing came: {e}"),
            }
        }
    }

    /// The next message that is not a test of the connection; those are passed.
    fn hear(&mut self) -> Message {
        loop {
            let message = self.next().expect("a message");
            if message.kind != Kind::Test {
                return message;
            }
            self.send(&Message::new(Kind::Tested, message.id).with(code::CAUSE, &[1]));
        }
    }

    fn answer(&mut self, id: u64, description: &[u8]) {
        self.send(&Message::new(Kind::Answer, id).with(code::DESCRIPTION, description));
    }
}

/// Something that listens: a host, or the journal service.
struct Place(TcpListener);

impl Place {
    fn new() -> Place {
        Place(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("bound")
    }

    fn accept(&self) -> TcpStream {
        self.0.set_nonblocking(true).expect("not blocking");
        let end = Instant::now() + LONG;
        loop {
            match self.0.accept() {
                Ok((stream, _)) => return stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock && Instant::now() < end => {
                    std::thread::sleep(Duration::from_millis(2));
                }
                Err(e) => panic!("nobody connected: {e}"),
            }
        }
    }

    fn peer(&self) -> Peer {
        Peer::of(self.accept())
    }

    /// As the journal service: a connection and the number asked from.
    fn tail(&self) -> (TcpStream, String) {
        let stream = self.accept();
        stream.set_nonblocking(false).expect("blocking");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        let mut line = String::new();
        BufReader::new(stream.try_clone().expect("cloned")).read_line(&mut line).expect("a call");
        (stream, line.trim_end().to_owned())
    }
}

fn server(id: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"z","kind":"box","cell":3,"state":"{state}","weight":1,
        "started_ms":0,"room":[30,60]}}"#
    )
    .replace('\n', "")
}

fn event(pos: u64, full: bool, servers: &[String]) -> String {
    let servers = servers.join(",");
    format!(r#"{{"pos":{pos},"hosts":{{"version":{pos},"full":{full},"servers":[{servers}]}}}}"#)
}

/// Settings with three classes of the test's own. The dial time-out is long: peers here answer tests of a connection only
/// while they are listened to.
const SETTINGS: &str = r#"{"areas":["z"],"flavors":["box"],
  "caps":{"dial-timeout":5000000,"max-attempts":3,"may-cancel":true,"may-duplicate":false},
  "classes":[
    {"name":"any","deadline":4000000,"group":"all","objective":900000,"repeat":"idempotent","worth":1},
    {"name":"key","deadline":4000000,"group":"cell","objective":900000,"repeat":"deduplicated","window":3000000,"worth":1},
    {"name":"one","deadline":4000000,"group":"all","objective":900000,"repeat":"at_most_once","worth":1}],
  "fleet-size":1,"registry-mode":"pushed","tick":1000,
  "guarantees":{"answer-slack":5000,"ask-every":10000000,"cold-from":0.2,"fall-multiple":2.5,
    "stop-sending-within":250000,"tip-after":2000000,"warm-within":9000000},
  "report":{"fields":["x0","x1","cpu","waiting"]},
  "specifics":{"accepts-memory":1.5,"admit-cores":2.0,"apart-by":["off","off","off"],"class-calm":[1,1,1],
    "class-fade":[1,1,1],"class-kind":[-1,-1,-1],"class-most":[9,9,9],"cold-bears":20,"confirms":"running",
    "makes-room":false,"make-sure":3000000,"mean-memory":2,"memory-by-kind":[64],"priority-by-class":[0,1,1],
    "report-counts":"asked","size-cores":[32],"start-seconds":[5,5,5],"usual-cores":1,"view":true}}"#;

/// A controller as a process.
struct Controller {
    child: Child,
    address: SocketAddr,
    folder: tempfile::TempDir,
    hosts: Vec<String>,
    sockets: usize,
}

impl Controller {
    fn start(journal: SocketAddr, hosts: &[String], sockets: usize) -> Controller {
        let folder = tempfile::tempdir().expect("a folder");
        let text = config(journal, hosts, sockets);
        std::fs::write(folder.path().join("config.json"), text).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_peppercove"))
            .args(["serve", "--log", "info"])
            .env("LB_CONFIG", folder.path().join("config.json"))
            .env("LB_NAME", "t1")
            .env("LB_LISTEN", "127.0.0.1:0")
            .env_remove("RUST_LOG")
            .env("NO_COLOR", "1")
            .stderr(Stdio::piped())
            .spawn()
            .expect("started");
        let (found, address) = mpsc::channel();
        let log = BufReader::new(child.stderr.take().expect("piped"));
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                if let Some((_, address)) = line.split_once("serving address=") {
                    let _ = found.send(address.trim().parse().expect("an address"));
                }
            }
        });
        let address = address.recv_timeout(LONG).expect("it serves");
        Controller { child, address, folder, hosts: hosts.to_vec(), sockets }
    }

    fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(done.is_ok_and(|s| s.success()));
    }

    fn configure(&self, text: &str) {
        std::fs::write(self.folder.path().join("config.json"), text).expect("written");
        self.signal("-HUP");
    }

    fn ended(&mut self) -> ExitStatus {
        let end = Instant::now() + LONG;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("it did not end");
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn config(journal: SocketAddr, hosts: &[String], sockets: usize) -> String {
    let known = event(1, true, hosts);
    format!(
        r#"{{"name":"t1","listen":"127.0.0.1:0","seed":"00000000000000ff",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":{sockets}}},"journal":"{journal}",
        "known":{{"pos":1,"entries":[{known}]}},"settings":{SETTINGS}}}"#
    )
}

fn set_up(id: u64, class: &str) -> Message {
    Message::new(Kind::SetUp, id)
        .with(code::CLASS, class.as_bytes())
        .with(code::WAIT, b"4000")
        .with(code::TASK, format!("{id:016x}").as_bytes())
        .with(code::KEY, format!("{id:032x}").as_bytes())
        .with(code::FIGURES, b"cores:1;memory:2;service:00000000000000aa")
        .with(code::DESCRIPTION, b"opaque \0\xff")
}

/// A journal service, one host named `a`, and a controller.
fn cluster(sockets: usize) -> (Place, Place, Controller) {
    let (journal, host) = (Place::new(), Place::new());
    let controller = Controller::start(journal.address(), &[server("a", host.address(), "active")], sockets);
    (journal, host, controller)
}

#[test]
fn a_task_goes_the_whole_path_and_its_end_comes_back() {
    let (_journal, host, controller) = cluster(256);
    let mut owner = Peer::connect(controller.address);
    owner.send(&Message::new(Kind::Test, 77).with(code::CAUSE, &[0]));
    assert_eq!(owner.hear(), Message::new(Kind::Tested, 77).with(code::CAUSE, &[1]));
    owner.send(&set_up(5, "key"));
    let mut at_host = host.peer();
    let sent = at_host.hear();
    assert_eq!((sent.kind, sent.id, sent.text(code::CLASS)), (Kind::SetUp, 5, Some("key")));
    assert_eq!(sent.get(code::DESCRIPTION), Some(&b"opaque \0\xff"[..]));
    at_host.answer(5, b"there");
    assert_eq!(owner.hear(), Message::new(Kind::Answer, 5).with(code::DESCRIPTION, b"there"));
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
    let takeover = [server("a", host.address(), "left"), server("b", host.address(), "active")];
    writeln!(feed, "{}", event(2, false, &takeover)).expect("told");
    // What stood on the one that left is over; only then is it certain that the news was heard.
    assert_eq!(owner.hear(), Message::release(5, cause::CUT));
    owner.send(&set_up(6, "one"));
    let mut new = host.peer();
    assert_eq!(new.hear().id, 6);
    new.answer(6, b"y");
    assert_eq!(owner.hear(), Message::new(Kind::Answer, 6).with(code::DESCRIPTION, b"y"));
}

#[test]
fn a_torn_and_repeated_feed_is_asked_again_from_the_last_whole_event() {
    let (journal, host, controller) = cluster(256);
    let other = Place::new();
    let (mut feed, _) = journal.tail();
    let second = event(2, false, &[server("a", host.address(), "leaving")]);
    let third = event(3, false, &[server("b", other.address(), "active")]);
    write!(feed, "1\n{second}\n{second}\n2\n{}", &third[..third.len() / 2]).expect("told");
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
fn a_new_configuration_moves_the_feed_and_a_broken_one_changes_nothing() {
    let (journal, host) = (Place::new(), Place::new());
    let controller = Controller::start(journal.address(), &[], 256);
    let (mut feed, _) = journal.tail();
    // The host is known from the second event alone: once it is offered the task, that event was taken in.
    writeln!(feed, "{}", event(2, false, &[server("a", host.address(), "active")])).expect("told");
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(5, "any"));
    let mut at_host = host.peer();
    at_host.hear();
    controller.configure("{\"name\":");
    let moved = Place::new();
    controller.configure(&config(moved.address(), &controller.hosts, controller.sockets));
    let (_feed, call) = moved.tail();
    assert_eq!(call, "tail 2", "the numbers go on");
    at_host.answer(5, b"x");
    assert_eq!(owner.hear().kind, Kind::Answer, "what was open is answered");
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
        assert!(controller.child.try_wait().expect("a child").is_none(), "an ask is open");
        at_host.answer(id, b"x");
    }
    assert_eq!([owner.hear().id, owner.hear().id, late.hear().id], [5, 6, 7]);
    assert!(controller.ended().success());
}

#[test]
fn a_stop_with_nothing_open_still_serves_what_is_on_its_way() {
    let (_journal, host, mut controller) = cluster(256);
    let mut owner = Peer::connect(controller.address);
    owner.send(&Message::new(Kind::Test, 1).with(code::CAUSE, &[0]));
    owner.hear();
    // Stopped while both are sent, it finds the set-up behind the signal.
    controller.signal("-STOP");
    controller.signal("-TERM");
    owner.send(&set_up(5, "one"));
    controller.signal("-CONT");
    let mut at_host = host.peer();
    at_host.hear();
    at_host.answer(5, b"x");
    assert_eq!(owner.hear().kind, Kind::Answer);
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
    at_host.stream.write_all(&[0xff, 0xff, 9, 1, 2, 3]).expect("written");
    assert_eq!(owner.hear(), Message::new(Kind::Answer, 6).with(code::DESCRIPTION, b"good"));
    assert!(std::iter::from_fn(|| at_host.next()).all(|m| m.kind != Kind::Answer), "it is closed");
    // The task that was out there may have run: a safe one is tried anew, over another connection.
    let mut again = host.peer();
    assert_eq!(again.hear().id, 5);
    again.answer(5, b"x");
    assert_eq!(owner.hear(), Message::new(Kind::Answer, 5).with(code::DESCRIPTION, b"x"));
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
    for message in [set_up(0, "any"), set_up(9, "nothing like it"), Message::new(Kind::SetUp, 9)] {
        let mut bad = Peer::connect(controller.address);
        bad.send(&message);
        assert_eq!(bad.hear(), Message::release(message.id, cause::TURNED_AWAY));
    }
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(5, "any"));
    assert_eq!(host.peer().hear().id, 5, "nothing of all that reached a host");
}

#[test]
fn silent_connections_keep_no_usual_owner_out() {
    let (_journal, host, controller) = cluster(64);
    // One usual owner with an open set-up, and more silent ones than there are descriptors.
    let mut first = Peer::connect(controller.address);
    first.send(&set_up(5, "one"));
    let mut at_host = host.peer();
    at_host.hear();
    let mut silent: Vec<Peer> = (0..150).map(|_| Peer::connect(controller.address)).collect();
    let mut owner = Peer::connect(controller.address);
    owner.send(&set_up(6, "one"));
    assert_eq!(at_host.hear().id, 6);
    for id in [5, 6] {
        at_host.answer(id, b"x");
    }
    assert_eq!((first.hear().id, owner.hear().id), (5, 6));
    assert!(silent.iter_mut().all(|s| s.next().is_none()), "each is closed");
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
        assert_eq!(owner.hear().kind, Kind::Answer);
        held.push(owner);
    }
    at_host.answer(1000, b"x");
    assert_eq!(first.hear().kind, Kind::Answer);
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
        (good.replace("\"name\":\"t1\"", "\"name\":\"t2\""), "LB_NAME"),
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
        assert!(said.lines().count() == 1 && said.contains(named), "{named}: {said}");
    }
    let done = Command::new(env!("CARGO_BIN_EXE_peppercove"))
        .arg("serve")
        .env("LB_CONFIG", folder.path().join("missing.json"))
        .output()
        .expect("run");
    let said = String::from_utf8_lossy(&done.stderr);
    assert_eq!((done.status.code(), said.matches("os error").count()), (Some(1), 1), "said once: {said}");
}
