//! Kinds of faults in a scenario.

use std::fmt;

/// What goes wrong. [`FaultKind::name`] returns the name in scenario files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A node receives offers and does not answer them.
    Hang,
    /// A share of the messages of a node is lost.
    MessageLoss,
    /// A node starts tasks and never confirms the start.
    NeverConfirms,
    /// A node answers offers of a class with an error.
    ClassError,
    /// A node does not answer offers of a class.
    ClassSilence,
    /// A node rejects a share of the offers although it has capacity.
    FalseRejections,
    /// A node becomes slower with time.
    Slowdown,
    /// A node sends its load reports with an additional delay.
    LateReports,
    /// Another program uses a share of a node's cores.
    ForeignLoad,
    /// A node sends every message twice.
    DuplicateMessages,
    /// A node reports attempts that were never sent to it.
    UnknownAttempts,
    /// The process of a node is killed and not started again.
    Dies,
    /// The process of a node is killed and started again.
    Restarts,
    /// A node drains, then its process ends and it is removed from the node list.
    Drains,
    /// A node removes a share of the programs from its program cache.
    Flush,
    /// The connections of a node are closed.
    Disconnect,
    /// The connections of a node are closed in the middle of a frame.
    DisconnectMidFrame,
    /// A network partition: connections of the nodes break, and none can be opened until it ends.
    Partition,
    /// The node list is unreachable.
    ListDown,
    /// The node list publishes changes with an additional delay.
    ListStale,
    /// A controller is killed and started again.
    ControllerKilled,
    /// The arrival rates of all workloads are multiplied.
    Burst,
    /// A client disconnects before its job is answered.
    ClientGone,
    /// A client sends calls and does not read the replies.
    ClientFlood,
    /// A client stops in the middle of a line.
    ClientHalfLine,
    /// A client sends lines that are not valid calls.
    ClientInvalidCalls,
}

impl FaultKind {
    /// All kinds, in the order in which they are listed in the schema.
    pub const ALL: [FaultKind; 26] = [
        FaultKind::Hang,
        FaultKind::MessageLoss,
        FaultKind::NeverConfirms,
        FaultKind::ClassError,
        FaultKind::ClassSilence,
        FaultKind::FalseRejections,
        FaultKind::Slowdown,
        FaultKind::LateReports,
        FaultKind::ForeignLoad,
        FaultKind::DuplicateMessages,
        FaultKind::UnknownAttempts,
        FaultKind::Dies,
        FaultKind::Restarts,
        FaultKind::Drains,
        FaultKind::Flush,
        FaultKind::Disconnect,
        FaultKind::DisconnectMidFrame,
        FaultKind::Partition,
        FaultKind::ListDown,
        FaultKind::ListStale,
        FaultKind::ControllerKilled,
        FaultKind::Burst,
        FaultKind::ClientGone,
        FaultKind::ClientFlood,
        FaultKind::ClientHalfLine,
        FaultKind::ClientInvalidCalls,
    ];

    /// Names of all kinds, in the same order.
    pub const NAMES: [&'static str; FaultKind::ALL.len()] = {
        let mut names = [""; FaultKind::ALL.len()];
        let mut i = 0;
        while i < names.len() {
            names[i] = FaultKind::ALL[i].name();
            i += 1;
        }
        names
    };

    /// Returns the name of the kind in scenario files.
    pub const fn name(self) -> &'static str {
        match self {
            FaultKind::Hang => "hang",
            FaultKind::MessageLoss => "answers-lost",
            FaultKind::NeverConfirms => "never-confirms",
            FaultKind::ClassError => "class-error",
            FaultKind::ClassSilence => "class-silence",
            FaultKind::FalseRejections => "false-refusals",
            FaultKind::Slowdown => "ageing",
            FaultKind::LateReports => "reports-late",
            FaultKind::ForeignLoad => "neighbour",
            FaultKind::DuplicateMessages => "repeats",
            FaultKind::UnknownAttempts => "lies",
            FaultKind::Dies => "dies",
            FaultKind::Restarts => "restarts",
            FaultKind::Drains => "drains",
            FaultKind::Flush => "flush",
            FaultKind::Disconnect => "cut",
            FaultKind::DisconnectMidFrame => "cut-midframe",
            FaultKind::Partition => "rack-cut",
            FaultKind::ListDown => "list-down",
            FaultKind::ListStale => "list-stale",
            FaultKind::ControllerKilled => "controller-killed",
            FaultKind::Burst => "burst",
            FaultKind::ClientGone => "client-gone",
            FaultKind::ClientFlood => "client-flood",
            FaultKind::ClientHalfLine => "client-half-line",
            FaultKind::ClientInvalidCalls => "client-nonsense",
        }
    }

    /// Returns the kind with this name.
    pub fn from_name(name: &str) -> Option<FaultKind> {
        FaultKind::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// Returns whether the fault affects one class of tasks, which the scenario must name.
    pub fn needs_class(self) -> bool {
        matches!(self, FaultKind::ClassError | FaultKind::ClassSilence)
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
