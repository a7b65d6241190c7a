//! An engine with a scripted scheduler, without sockets and clock.

pub use super::fixtures::*;
pub use peppercove::{
    Action, AttemptOutcome, EndReason, Event, ListUpdateKind, LoadReport, Micros, NodeId,
    NodeStatus, RequestId, Settings,
};
pub use peppercove_core::Decide;
pub use peppercove_platform::wire::{Message, MessageKind, cause, code};
pub use peppercove_platform::{
    Bounds, ClientId, Disconnect, Input, NodeConnectionId, Output, PlatformEngine,
};
use std::cell::RefCell;
use std::rc::Rc;

type Events = Rc<RefCell<Vec<Event>>>;
type Actions = Rc<RefCell<Vec<Action>>>;

/// A scheduler that records its events and returns the actions that the test has queued for its next batch.
pub struct ScriptedScheduler {
    events: Events,
    actions: Actions,
}

impl Decide for ScriptedScheduler {
    fn decide(&mut self, _: Micros, events: &[Event]) -> Vec<Action> {
        self.events.borrow_mut().extend_from_slice(events);
        std::mem::take(&mut self.actions.borrow_mut())
    }
}

/// An engine with listed nodes `a` and `b`, and the events and actions of its scheduler.
pub struct Harness {
    pub engine: PlatformEngine<ScriptedScheduler>,
    /// Events that the scheduler received.
    pub events: Events,
    /// Actions for the scheduler's next batch.
    pub actions: Actions,
    pub now: Micros,
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with_bounds(bounds())
    }

    pub fn with_bounds(bounds: Bounds) -> Harness {
        let (events, actions) = (Events::default(), Actions::default());
        let scheduler = ScriptedScheduler {
            events: events.clone(),
            actions: actions.clone(),
        };
        let engine = PlatformEngine::new(scheduler, Settings::sample(), schema(), bounds, 7);
        let mut harness = Harness {
            engine,
            events,
            actions,
            now: 1000 * S,
        };
        let nodes = [
            node_json("a", 1, "active", 0),
            node_json("b", 2, "active", 0),
        ];
        harness.input(Input::Start(vec![list_event(1, true, &nodes)]));
        harness.events.borrow_mut().clear();
        harness
    }

    /// Handles an input and admits all requests that it leaves queued. Returns the outputs.
    pub fn input(&mut self, input: Input) -> Vec<Output> {
        self.now += MS;
        let mut outputs = self.engine.handle(self.now, input);
        while self.engine.has_queued_requests() {
            outputs.extend(self.engine.handle(self.now, Input::AdmitNext));
        }
        self.send_notifications(&mut outputs);
        outputs
    }

    /// Lets all connections take the notifications that they have not been sent.
    fn send_notifications(&mut self, outputs: &mut Vec<Output>) {
        outputs.retain(|output| *output != Output::NotificationsPending);
        while let Some(client) = self.engine.clients_to_notify().first().copied() {
            let input = Input::SendNotifications(client);
            outputs.extend(self.engine.handle(self.now, input));
        }
    }

    /// Lets the scheduler take this action, in a batch caused by an input that changes nothing.
    pub fn take_action(&mut self, action: Action) -> Vec<Output> {
        self.actions.borrow_mut().push(action);
        self.input(Input::EndpointEvents(Vec::new()))
    }

    /// Lets the scheduler dispatch a request to a node.
    pub fn dispatch(&mut self, request: u64, node: &str, timeout: Option<Micros>) -> Vec<Output> {
        self.take_action(Action::Dispatch {
            request: RequestId(request),
            node: node_id(node),
            timeout,
            send_by: None,
        })
    }

    /// Lets the scheduler dispatch a request to a node, to be sent within this time or not at all.
    pub fn dispatch_within(&mut self, request: u64, node: &str, span: Micros) -> Vec<Output> {
        let send_by = Some(self.now + span);
        self.take_action(Action::Dispatch {
            request: RequestId(request),
            node: node_id(node),
            timeout: None,
            send_by,
        })
    }

    /// Advances the time, with a tick whenever a timer of the engine is due.
    pub fn advance(&mut self, span: Micros) -> Vec<Output> {
        let end = self.now + span;
        let mut outputs = Vec::new();
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            outputs.extend(self.engine.handle(self.now, Input::Tick(self.now)));
            self.send_notifications(&mut outputs);
        }
        self.now = end;
        outputs
    }

    /// Returns the scheduler's events since the last call, without node list updates.
    pub fn take_events(&mut self) -> Vec<Event> {
        let events = std::mem::take(&mut *self.events.borrow_mut());
        events
            .into_iter()
            .filter(|event| !matches!(event, Event::NodeList { .. }))
            .collect()
    }

    /// Request, attempt number, outcome and `is_final` of the attempt ends reported to the scheduler since the last
    /// call.
    pub fn take_attempt_ends(&mut self) -> Vec<(u64, u16, AttemptOutcome, bool)> {
        self.advance(2 * MS);
        let end = |event: Event| match event {
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                is_final,
                ..
            } => Some((request.0, attempt, outcome, is_final)),
            _ => None,
        };
        self.take_events().into_iter().filter_map(end).collect()
    }

    /// Answers the health checks in these outputs, which must contain no other messages to nodes.
    pub fn answer_health_checks(&mut self, outputs: &[Output]) {
        for (connection, message) in to_nodes(outputs) {
            assert_eq!(message.kind, MessageKind::Test);
            let passed = Message::new(MessageKind::Tested, message.id).with(code::CAUSE, &[1]);
            self.input(Input::NodeMessage(NodeConnectionId(connection), passed));
        }
    }

    /// Sends request `id` from client 1 and dispatches it to `a` over connection 1. Must be the engine's first request.
    pub fn submit_and_dispatch(&mut self, id: u64, class: &str, timeout: Option<Micros>) {
        self.input(Input::ClientMessage(ClientId(1), request(id, class)));
        self.dispatch(1, "a", timeout);
        self.input(Input::NodeConnected(NodeConnectionId(1)));
    }

    /// Sends request `id` from client 1 and places its task on `a` over connection 1. Must be the engine's first
    /// request.
    pub fn submit_and_place(&mut self, id: u64) {
        self.submit_and_dispatch(id, "plain", None);
        let answer = Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, b"here");
        self.input(Input::NodeMessage(NodeConnectionId(1), answer));
        self.advance(2 * MS);
        self.take_events();
    }

    /// Dispatches request 5 to `a` over connection 1, cancels the attempt at its timeout, and dispatches the request to
    /// `a` again over connection 2.
    pub fn dispatch_second_attempt(&mut self) {
        self.submit_and_dispatch(5, "plain", Some(300 * MS));
        self.advance(400 * MS);
        self.dispatch(1, "a", None);
        self.input(Input::NodeConnected(NodeConnectionId(2)));
    }

    /// Places the task of request 5 on `a`: the first attempt, over connection 1, is cancelled, and the second one,
    /// over connection 2, places it.
    pub fn place_second_attempt(&mut self) {
        self.dispatch_second_attempt();
        self.input(Input::NodeMessage(
            NodeConnectionId(2),
            Message::new(MessageKind::Answer, 5).with(code::DESCRIPTION, b"x"),
        ));
        self.take_attempt_ends();
    }
}

/// A connection broke after everything that was sent on it had been written.
pub fn connection_broken(connection: u64, is_clean: bool) -> Input {
    let disconnect = Disconnect::Broken {
        bytes_written: 999,
        is_clean,
    };
    Input::NodeDisconnected(NodeConnectionId(connection), disconnect)
}

/// Messages to clients, each with the client's number.
pub fn to_clients(outputs: &[Output]) -> Vec<(u64, Message)> {
    let mut messages = Vec::new();
    for output in outputs {
        if let Output::SendToClient(client, frames) | Output::SendNotifications(client, frames) =
            output
        {
            let decoded = decode_frames(frames).into_iter();
            messages.extend(decoded.map(|message| (client.0, message)));
        }
    }
    messages
}

/// Messages to nodes, each with the connection's number.
pub fn to_nodes(outputs: &[Output]) -> Vec<(u64, Message)> {
    let message = |output: &Output| match output {
        Output::SendToNode(connection, frame) | Output::Cancel(connection, frame) => {
            Some((connection.0, decode_frame(frame)))
        }
        _ => None,
    };
    outputs.iter().filter_map(message).collect()
}

/// Messages to nodes, without health checks.
pub fn to_nodes_without_checks(outputs: &[Output]) -> Vec<(u64, Message)> {
    to_nodes(outputs)
        .into_iter()
        .filter(|(_, message)| message.kind != MessageKind::Test)
        .collect()
}
