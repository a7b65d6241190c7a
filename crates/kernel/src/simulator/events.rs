//! Simulated time: the queue of scheduled events.

use super::clients::{JobRequest, Reply};
use super::connections::End;
use peppercove::{Micros, NodeId};
use peppercove_protocol::list::FromList;
use peppercove_protocol::node::{FromNode, ToNode};
use std::collections::BTreeMap;

/// Identifies one process of a controller. Messages to a process are lost when it is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessId {
    /// Index of the controller.
    pub(super) controller: usize,
    pub(super) incarnation: u64,
}

/// A scheduled event.
#[derive(Debug)]
pub(super) enum SimEvent {
    /// The timer of a controller fires.
    ControllerTimer { process: ProcessId },
    /// The timer of a node fires, unless it was set again meanwhile.
    NodeTimer { node: usize, due: Micros },
    /// The node list publishes the changes that are due.
    PublishList,
    /// A controller opens a connection to a node.
    Dial {
        process: ProcessId,
        node: NodeId,
        attempt: u64,
    },
    /// The handshake fails if it is not complete.
    HandshakeTimeout { connection: usize },
    /// A frame arrives at a node.
    ArriveAtNode {
        connection: usize,
        message: Box<ToNode>,
    },
    /// A frame arrives at a controller.
    ArriveAtController {
        connection: usize,
        message: Box<FromNode>,
    },
    /// One end learns that the connection is broken.
    ConnectionBroken { connection: usize, end: End },
    /// A controller polls or watches the node list.
    RequestList { process: ProcessId },
    /// An update of the node list arrives at a controller; `None` if the list is unreachable.
    ListUpdate {
        process: ProcessId,
        subscription: u64,
        update: Option<Box<FromList>>,
    },
    /// The next job of a workload is submitted.
    WorkloadArrival { workload: usize, number: u64 },
    /// A job of the scenario is submitted.
    JobArrival { index: usize },
    /// A submission arrives at a controller.
    Submission {
        process: ProcessId,
        request: Box<JobRequest>,
    },
    /// A message of a controller arrives at its clients.
    Reply {
        process: ProcessId,
        reply: Box<Reply>,
    },
    /// The clients of a controller connect to it, or learn that its process was killed.
    ClientsReconnect { controller: usize },
    /// A client submits a job again.
    Retry {
        controller: usize,
        request: Box<JobRequest>,
    },
    /// A fault begins or ends.
    FaultChange { index: usize, begins: bool },
}

/// The scheduled events and the current time. Events of the same time are handled in the order of scheduling.
#[derive(Default)]
pub(super) struct EventQueue {
    now: Micros,
    /// Number of events scheduled so far.
    scheduled: u64,
    events: BTreeMap<(Micros, u64), SimEvent>,
}

impl EventQueue {
    pub(super) fn now(&self) -> Micros {
        self.now
    }

    pub(super) fn set_now(&mut self, now: Micros) {
        self.now = now;
    }

    /// Schedules an event; one in the past is handled now.
    pub(super) fn schedule_at(&mut self, at: Micros, event: SimEvent) {
        self.scheduled += 1;
        let key = (at.max(self.now), self.scheduled);
        self.events.insert(key, event);
    }

    /// Removes the next event and returns it with its time.
    pub(super) fn pop(&mut self) -> Option<(Micros, SimEvent)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
