//! The five rules, judged from what crossed the sockets.
//!
//! A tap writes down each message with its time and the two that spoke ([`Event`]); [`judge`] reads them with the
//! figures of the rules and says what was broken, when and by whom. It shares the messages' layout with the program
//! and nothing else: what a controller believes of itself is never asked. The starts that the nodes themselves
//! counted are judged beside it, for what a lost answer hides from the sockets.

mod rules;

pub use rules::judge;

use peppercove_protocol::drmaa::Errno;
use peppercove_protocol::list::FromList;
use peppercove_protocol::node::{FromNode, Idempotency, ProcessIdentity, ToNode};
use serde::Serialize;

/// Microseconds since the beginning of the run.
pub type Micros = u64;

/// One message, or what a tap saw beside messages.
#[derive(Clone, Debug)]
pub struct Event {
    /// When.
    pub at: Micros,
    /// What.
    pub seen: Observation,
}

/// What a tap saw.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A controller to a node.
    ToNode {
        /// The controller.
        controller: ProcessIdentity,
        /// Name of the node.
        node: String,
        /// The message.
        message: ToNode,
    },
    /// A node to a controller.
    FromNode {
        /// The controller.
        controller: ProcessIdentity,
        /// Name of the node.
        node: String,
        /// The message.
        message: FromNode,
    },
    /// The link between them closed.
    LinkClosed {
        /// The controller.
        controller: ProcessIdentity,
        /// Name of the node.
        node: String,
    },
    /// The node list to a controller.
    List {
        /// Name of the controller.
        controller: String,
        /// What it was told.
        news: FromList,
    },
    /// A client's job was taken in.
    Taken {
        /// Name of the controller.
        controller: String,
        /// The client's session.
        session: String,
        /// The key that it was submitted under.
        key: String,
        /// The job's id.
        job: String,
        /// How long its owner waits.
        deadline: Micros,
        /// What a repeat does.
        repeat: Idempotency,
    },
    /// A client was told the answer.
    Settled {
        /// The client's session.
        session: String,
        /// The key.
        key: String,
        /// The job's id.
        job: String,
        /// The answer.
        outcome: peppercove_protocol::rpc::PlacementOutcome,
    },
    /// A client went away: it can be told nothing.
    ClientGone {
        /// Its session.
        session: String,
    },
    /// A submission was turned away at the door.
    TurnedAway {
        /// The error.
        errno: Errno,
    },
    /// A controller was killed.
    Killed {
        /// Its name.
        controller: String,
    },
    /// A controller starts, for the first time or after it was killed.
    Started {
        /// Its name.
        controller: String,
    },
}

/// Where the tasks of a service must not crowd.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Anywhere.
    Off,
    /// On one node.
    Node,
    /// In one rack.
    Rack,
    /// In one zone.
    Zone,
}

/// What the rules say of one class.
#[derive(Clone, Debug)]
pub struct ClassFigures {
    /// Where its services must not crowd.
    pub spread: Place,
    /// The most tasks of one service in one such place.
    pub most: u32,
    /// Which nodes discard a second copy: all, those of a zone, or those of a rack.
    pub group: Place,
    /// For how long after the first send.
    pub window: Micros,
}

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct Figures {
    /// The classes, by index.
    pub classes: Vec<ClassFigures>,
    /// From hearing of a drain to the last offer.
    pub drain_grace: Micros,
    /// A node is cold for so long after its start.
    pub warm_within: Micros,
    /// Offers within the window that a cold node always bears.
    pub cold_bears: u64,
    /// The window.
    pub fall_window: Micros,
    /// How long the machine itself may have stalled; added to every bound of time.
    pub stall: Micros,
    /// How long a node's word may take from where it was seen to the controller: until then it cannot know.
    pub travel: Micros,
}

/// One start that a node counted.
#[derive(Clone, Debug)]
pub struct Started {
    /// When.
    pub at: Micros,
    /// When it ended.
    pub ended: Option<Micros>,
    /// It ended by itself.
    pub completed: bool,
    /// Name of the node.
    pub node: String,
    /// Rack of the node.
    pub rack: u16,
    /// The task.
    pub task: u64,
    /// What a repeat does.
    pub repeat: Idempotency,
}

/// One breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// When.
    pub at: Micros,
    /// The rule, from 1 to 5.
    pub rule: u8,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
}

/// What was judged, and how.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AuditReport {
    /// Every breach, in order of time.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Jobs taken in.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Answered as placed.
    pub placed: u64,
    /// Answered as refused.
    pub refused: u64,
    /// Answered as failed.
    pub failed: u64,
    /// Ended by their owner.
    #[serde(rename = "withdrawn")]
    pub cancelled: u64,
    /// Left open by a killed controller or a client that went away.
    pub excused: u64,
    /// Turned away at the door.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// Offers made.
    #[serde(rename = "offers")]
    pub dispatches: u64,
    /// Tasks that may not run twice and were started.
    pub unsafe_starts: u64,
}

impl AuditReport {
    /// Breaches of one rule.
    pub fn violations_of_rule(&self, rule: u8) -> usize {
        self.violations.iter().filter(|b| b.rule == rule).count()
    }

    /// No rule is broken.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}
