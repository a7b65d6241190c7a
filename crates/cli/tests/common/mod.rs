//! What tests of `peppercove serve` share: scripted peers, the configuration, and the process.
#![allow(dead_code, reason = "each test takes what it needs")]

use bytes::BytesMut;
use peppercove_platform::wire::{Message, MessageKind, code, decode};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// No wait of a test is longer; nothing else is said about times.
pub const LONG: Duration = Duration::from_secs(20);

/// One end of a connection that speaks the platform's messages.
pub struct Peer {
    pub stream: TcpStream,
    buffer: BytesMut,
}

impl Peer {
    pub fn of(stream: TcpStream) -> Peer {
        stream.set_nonblocking(false).expect("blocking");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Peer {
            stream,
            buffer: BytesMut::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> Peer {
        Peer::of(TcpStream::connect(address).expect("the controller listens"))
    }

    pub fn send(&mut self, message: &Message) {
        self.stream.write_all(&message.encode()).expect("written");
    }

    /// The next message; `None` where the connection is closed.
    pub fn next(&mut self) -> Option<Message> {
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
    pub fn hear(&mut self) -> Message {
        loop {
            let message = self.next().expect("a message");
            if message.kind != MessageKind::Test {
                return message;
            }
            self.send(&Message::new(MessageKind::Tested, message.id).with(code::CAUSE, &[1]));
        }
    }

    pub fn answer(&mut self, id: u64, description: &[u8]) {
        self.send(&Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, description));
    }
}

/// Something that listens: a host, or the journal service.
pub struct Place(pub TcpListener);

impl Place {
    pub fn new() -> Place {
        Place(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("bound")
    }

    pub fn accept(&self) -> TcpStream {
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

    pub fn peer(&self) -> Peer {
        Peer::of(self.accept())
    }

    /// As the journal service: a connection and the number asked from. A call that is given up before its line is out, as
    /// where two signals come at once, is followed by the next.
    pub fn tail(&self) -> (TcpStream, String) {
        loop {
            let stream = self.accept();
            stream.set_nonblocking(false).expect("blocking");
            stream.set_read_timeout(Some(LONG)).expect("a time-out");
            let mut line = String::new();
            let read = BufReader::new(stream.try_clone().expect("cloned")).read_line(&mut line);
            match read {
                Ok(1..) => return (stream, line.trim_end().to_owned()),
                Err(e) if e.kind() != ErrorKind::ConnectionReset => panic!("no call: {e}"),
                _ => {}
            }
        }
    }
}

pub fn server(id: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"z","kind":"box","cell":3,"state":"{state}","weight":1,
        "started_ms":0,"room":[30,60]}}"#
    )
    .replace('\n', "")
}

pub fn event(pos: u64, full: bool, servers: &[String]) -> String {
    let servers = servers.join(",");
    format!(r#"{{"pos":{pos},"hosts":{{"version":{pos},"full":{full},"servers":[{servers}]}}}}"#)
}

/// Settings with three classes of the test's own. The dial time-out is long: peers here answer tests of a connection only
/// while they are listened to.
pub const SETTINGS: &str = r#"{"areas":["z"],"flavors":["box"],
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
pub struct Controller {
    pub child: Child,
    pub address: SocketAddr,
    folder: tempfile::TempDir,
    pub hosts: Vec<String>,
    pub sockets: usize,
}

impl Controller {
    pub fn start(journal: SocketAddr, hosts: &[String], sockets: usize) -> Controller {
        let mut controller = Controller::start_with("t1", &config(journal, hosts, sockets));
        (controller.hosts, controller.sockets) = (hosts.to_vec(), sockets);
        controller
    }

    pub fn start_with(name: &str, text: &str) -> Controller {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("config.json"), text).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_peppercove"))
            .args(["serve", "--log", "info"])
            .env("LB_CONFIG", folder.path().join("config.json"))
            .env("LB_NAME", name)
            .env("LB_LISTEN", "127.0.0.1:0")
            .env_remove("RUST_LOG")
            .env("NO_COLOR", "1")
            .stderr(Stdio::piped())
            .spawn()
            .expect("started");
        let (found, address) = mpsc::channel();
        let log = BufReader::new(child.stderr.take().expect("piped"));
        std::thread::spawn(move || {
            let mut panicked = false;
            for line in log.lines().map_while(Result::ok) {
                panicked |= line.contains("panicked");
                if panicked {
                    eprintln!("{line}");
                }
                if let Some((_, address)) = line.split_once("serving address=") {
                    let _ = found.send(address.trim().parse().expect("an address"));
                }
            }
        });
        let address = address.recv_timeout(LONG).expect("it serves");
        Controller {
            child,
            address,
            folder,
            hosts: Vec::new(),
            sockets: 0,
        }
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(done.is_ok_and(|s| s.success()));
    }

    pub fn configure(&self, text: &str) {
        std::fs::write(self.folder.path().join("config.json"), text).expect("written");
        self.signal("-HUP");
    }

    pub fn ended(&mut self) -> ExitStatus {
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

pub fn config(journal: SocketAddr, hosts: &[String], sockets: usize) -> String {
    let known = event(1, true, hosts);
    format!(
        r#"{{"name":"t1","listen":"127.0.0.1:0","seed":"00000000000000ff",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":{sockets}}},"journal":"{journal}",
        "known":{{"pos":1,"entries":[{known}]}},"settings":{SETTINGS}}}"#
    )
}

pub fn set_up(id: u64, class: &str) -> Message {
    Message::new(MessageKind::SetUp, id)
        .with(code::CLASS, class.as_bytes())
        .with(code::WAIT, b"4000")
        .with(code::TASK, format!("{id:016x}").as_bytes())
        .with(code::KEY, format!("{id:032x}").as_bytes())
        .with(code::FIGURES, b"cores:1;memory:2;service:00000000000000aa")
        .with(code::DESCRIPTION, b"opaque \0\xff")
}
