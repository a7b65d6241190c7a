//! The journal service, with a view for each controller: hosts have the addresses of its relays there.
#![allow(dead_code, reason = "each test takes what it needs")]

use crate::common::{event, server};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

#[derive(Clone)]
pub struct Journal {
    pub address: SocketAddr,
    /// Events that were told, the first whole.
    events: Rc<RefCell<Vec<String>>>,
    news: Rc<Notify>,
    down: Rc<Cell<bool>>,
    /// Each event is told twice.
    doubled: Rc<Cell<bool>>,
}

impl Journal {
    pub async fn start(servers: Vec<String>) -> Journal {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let journal = Journal {
            address: listener.local_addr().expect("bound"),
            events: Rc::new(RefCell::new(vec![event(1, true, &servers)])),
            news: Rc::default(),
            down: Rc::default(),
            doubled: Rc::default(),
        };
        let one = journal.clone();
        spawn_local(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    spawn_local(one.clone().serve(stream));
                }
            }
        });
        journal
    }

    /// A host came, or its state changed; told after a while.
    pub fn tell(&self, late: Duration, id: &str, address: SocketAddr, state: &str) {
        self.tell_lines(late, vec![server(id, address, state)], || {});
    }

    /// The same with lines of any content, and what is to be done once the service has them.
    pub fn tell_lines(&self, late: Duration, lines: Vec<String>, then: impl FnOnce() + 'static) {
        let journal = self.clone();
        spawn_local(async move {
            tokio::time::sleep(late).await;
            let pos = journal.events.borrow().len() as u64 + 1;
            journal.events.borrow_mut().push(event(pos, false, &lines));
            journal.news.notify_waiters();
            then();
        });
    }

    /// From now on each event is told twice.
    pub fn doubles(&self) {
        self.doubled.set(true);
    }

    /// It breaks off and answers nobody for a while.
    pub fn breaks(&self, lasts: Duration) {
        self.down.set(true);
        self.news.notify_waiters();
        let journal = self.clone();
        spawn_local(async move {
            tokio::time::sleep(lasts).await;
            journal.down.set(false);
        });
    }

    /// What a controller that starts now is given: the last event, and the events.
    pub fn known(&self) -> (u64, String) {
        let events = self.events.borrow();
        (events.len() as u64, events.join(","))
    }

    async fn serve(self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        let mut call = String::new();
        if self.down.get() || stream.read_line(&mut call).await.is_err() {
            return;
        }
        let Some(mut told) = call
            .trim()
            .strip_prefix("tail ")
            .and_then(|n| n.parse::<usize>().ok())
        else {
            return;
        };
        while !self.down.get() {
            let news = self.news.notified();
            let lines: Vec<String> = self.events.borrow().iter().skip(told).cloned().collect();
            told += lines.len();
            let times = if self.doubled.get() { 2 } else { 1 };
            let lines: Vec<String> = lines
                .iter()
                .flat_map(|line| std::iter::repeat_n(line.clone(), times))
                .collect();
            let text = if lines.is_empty() {
                format!("{told}\n")
            } else {
                lines.join("\n") + "\n"
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            let _ = tokio::time::timeout(Duration::from_millis(300), news).await;
        }
    }
}
