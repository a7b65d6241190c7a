//! The clients of one controller: what they request, and what they are answered.

use super::peer::{DESCRIPTION, test};
use bytes::BytesMut;
use peppercove_platform::wire::{Message, MessageKind, cause, code, decode};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;

/// A connection that is no longer used is kept open for this long, for what is still sent over it.
const LINGER: Duration = Duration::from_secs(4);
/// A service of tasks that are handed over.
const HANDED_OVER_SERVICE: u64 = 1;

/// A task as its client knows it.
#[derive(Debug, Default)]
pub struct Task {
    /// The final answers that came.
    pub answers: Vec<Message>,
    /// Ends that were notified after an answer.
    pub ends: u32,
    /// The connections that the ends came over, and under which id.
    ends_received: Vec<(u64, u64)>,
    /// The name of the task, that of the first id.
    name: u64,
    /// Its client ended it: no end is owed.
    pub is_ended_by_client: bool,
    /// Its controller was killed before it answered, or after the client ended it: nothing is owed.
    pub is_void: bool,
}

impl Task {
    /// The description that it was placed with.
    pub fn description(&self) -> Option<&[u8]> {
        let answer = self
            .answers
            .first()
            .filter(|answer| answer.kind == MessageKind::Answer)?;
        answer.get(code::DESCRIPTION)
    }

    /// Whether it was placed and, as far as the client knows, runs.
    fn is_running(&self) -> bool {
        self.description().is_some() && self.ends == 0 && !self.is_ended_by_client
    }

    /// The node that placed it, by the description that the scripted nodes give.
    fn node(&self) -> Option<String> {
        let description = std::str::from_utf8(self.description()?).ok()?;
        description.split('/').next().map(str::to_owned)
    }
}

struct State {
    tasks: BTreeMap<u64, Task>,
    outgoing: Option<UnboundedSender<Message>>,
    faults: Vec<String>,
    has_passed_test: bool,
    connections: u64,
    /// The controller is dead, or does not know yet what runs: nothing is requested of it or ended there.
    is_away: bool,
}

#[derive(Clone)]
pub struct Clients {
    state: Rc<RefCell<State>>,
}

impl Clients {
    pub fn new() -> Clients {
        let state = State {
            tasks: BTreeMap::new(),
            outgoing: None,
            faults: Vec::new(),
            has_passed_test: false,
            connections: 0,
            is_away: false,
        };
        Clients {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Opens a connection to the controller. What is sent from now on goes over it; earlier ones stay open for answers.
    pub async fn connect(&self, controller: SocketAddr) {
        let Ok(stream) = TcpStream::connect(controller).await else {
            return;
        };
        let (mut reader, writer) = stream.into_split();
        let (outgoing, queue) = unbounded_channel::<Message>();
        let connection = {
            let mut state = self.state.borrow_mut();
            state.outgoing = Some(outgoing);
            state.connections += 1;
            state.connections
        };
        spawn_local(write_messages(writer, queue));
        let clients = self.clone();
        spawn_local(async move {
            let mut buffer = BytesMut::new();
            while let Ok(1..) = reader.read_buf(&mut buffer).await {
                while let Some(message) = decode(&mut buffer).expect("readable") {
                    clients.on_message(connection, message);
                }
            }
        });
    }

    fn send(&self, message: Message) {
        if let Some(outgoing) = &self.state.borrow().outgoing {
            let _ = outgoing.send(message);
        }
    }

    /// Opens a connection, and waits until the controller has passed a test.
    pub async fn connect_and_test(&self, controller: SocketAddr) {
        self.state.borrow_mut().has_passed_test = false;
        self.connect(controller).await;
        self.send(test(1));
        while !self.state.borrow().has_passed_test {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Requests a task.
    pub fn request(&self, id: u64, class: &str, service: u64) {
        let mut state = self.state.borrow_mut();
        if state.is_away {
            return;
        }
        state.tasks.insert(
            id,
            Task {
                name: id,
                ..Task::default()
            },
        );
        drop(state);
        self.send(request(id, id, class, service, ""));
    }

    /// Requests hundreds of tasks at once over a connection of its own, and cancels every second request at once.
    pub async fn burst(&self, controller: SocketAddr, ids: Range<u64>) {
        let earlier = self.state.borrow().outgoing.clone();
        self.connect(controller).await;
        for id in ids.clone() {
            self.request(id, "any", id % 12);
        }
        for id in ids.step_by(2) {
            self.send(Message::release(id, cause::ORDINARY));
            if let Some(task) = self.state.borrow_mut().tasks.get_mut(&id) {
                task.is_void = true;
                task.is_ended_by_client = true;
            }
        }
        self.state.borrow_mut().outgoing = earlier;
    }

    /// Ends up to `limit` of the running tasks.
    pub fn end_tasks(&self, limit: usize) {
        let mut state = self.state.borrow_mut();
        if state.is_away {
            return;
        }
        let running = state.tasks.iter_mut().filter(|(_, task)| task.is_running());
        let mut ids = Vec::new();
        for (id, task) in running.take(limit) {
            task.is_ended_by_client = true;
            ids.push(*id);
        }
        drop(state);
        for id in ids {
            self.send(Message::release(id, cause::CALLED_OFF));
        }
    }

    /// The controller was killed: what it had not answered is lost, and what runs is handed to the next one.
    pub fn on_controller_killed(&self) {
        let mut state = self.state.borrow_mut();
        state.outgoing = None;
        state.is_away = true;
        // Nobody knows whether it had told a node of what a client ended.
        for task in state.tasks.values_mut() {
            task.is_void |= task.answers.is_empty() || task.is_ended_by_client;
        }
    }

    /// Hands the running tasks to the controller, which has just started.
    pub fn hand_over(&self) {
        let state = self.state.borrow();
        let running = state.tasks.iter().filter(|(_, task)| task.is_running());
        let tasks: Vec<(u64, u64, String)> = running
            .filter_map(|(id, task)| Some((*id, task.name, task.node()?)))
            .collect();
        drop(state);
        for (id, name, node) in tasks {
            self.send_running(id, name, &node);
        }
        self.state.borrow_mut().is_away = false;
    }

    fn send_running(&self, id: u64, name: u64, node: &str) {
        self.send(request(
            id,
            name,
            "any",
            HANDED_OVER_SERVICE,
            &format!(";at:{node}"),
        ));
    }

    /// A client that has not seen an answer finds a task at its node, and hands it over under another id: the first one
    /// that `is_found` there to run for long. Returns the description of the task.
    pub fn hand_over_renamed(
        &self,
        new_id: u64,
        is_found: impl Fn(&[u8]) -> bool,
    ) -> Option<Vec<u8>> {
        let mut state = self.state.borrow_mut();
        if state.is_away {
            return None;
        }
        let is_found = |(id, task): &(&u64, &Task)| {
            **id == task.name
                && task.is_running()
                && task.name != new_id
                && task.description().is_some_and(&is_found)
        };
        let former = state.tasks.iter().find(is_found).map(|(id, _)| *id)?;
        let task = state.tasks.remove(&former)?;
        let (description, node) = (task.description()?.to_vec(), task.node()?);
        let name = task.name;
        state.tasks.insert(new_id, task);
        drop(state);
        self.send_running(new_id, name, &node);
        Some(description)
    }

    fn on_message(&self, connection: u64, message: Message) {
        let mut state = self.state.borrow_mut();
        if message.kind == MessageKind::Tested {
            state.has_passed_test = true;
            return;
        }
        // An end may cross the handing over under another id.
        let renamed = |(id, task): (&u64, &Task)| (task.name == message.id).then_some(*id);
        let id = state.tasks.iter().find_map(renamed).unwrap_or(message.id);
        let task = state.tasks.get_mut(&id);
        if let Some(fault) = record(task, connection, &message) {
            let task = state.tasks.get(&id).map(|task| format!("{task:?}"));
            state.faults.push(format!("{fault}: {message:?}, {task:?}"));
        }
    }

    /// What came and should not have come.
    pub fn faults(&self) -> Vec<String> {
        self.state.borrow().faults.clone()
    }

    /// Looks at all tasks, by id.
    pub fn for_each_task(&self, mut look: impl FnMut(u64, &Task)) {
        self.state
            .borrow()
            .tasks
            .iter()
            .for_each(|(id, task)| look(*id, task));
    }
}

/// Records a message with its task; gives what is wrong with it.
fn record(task: Option<&mut Task>, connection: u64, message: &Message) -> Option<&'static str> {
    let Some(task) = task else {
        return Some("of an id that nobody used");
    };
    if task.answers.is_empty() {
        task.answers.push(message.clone());
        return None;
    }
    if task.description().is_none() || message.kind != MessageKind::Release {
        return Some("a second answer");
    }
    // An end is sent again where the connection that it went over closes right behind it. One may cross the message of a
    // client that ends the task.
    task.ends += 1;
    let received = (connection, message.id);
    let is_repeated = task.ends_received.contains(&received);
    task.ends_received.push(received);
    is_repeated.then_some("an end twice over one connection")
}

async fn write_messages(
    mut writer: tokio::net::tcp::OwnedWriteHalf,
    mut queue: UnboundedReceiver<Message>,
) {
    while let Some(message) = queue.recv().await {
        if writer.write_all(&message.encode()).await.is_err() {
            return;
        }
    }
    // Kept for what is sent over it; a client closes a connection without a task after a while.
    tokio::time::sleep(LINGER).await;
}

/// A request for a task, or with `node` the notice that it runs there.
fn request(id: u64, task: u64, class: &str, service: u64, node: &str) -> Message {
    let figures = format!("cores:1;memory:2;service:{service:016x}{node}");
    Message::new(MessageKind::SetUp, id)
        .with(code::CLASS, class.as_bytes())
        .with(code::WAIT, b"2000")
        .with(code::TASK, format!("{task:016x}").as_bytes())
        .with(code::KEY, format!("{task:032x}").as_bytes())
        .with(code::FIGURES, figures.as_bytes())
        .with(code::DESCRIPTION, DESCRIPTION)
}
