//! Kinds of faults that a scenario can cause.

use std::fmt;

/// What goes wrong. [`FaultKind::name`] is the word of scenario files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A node receives offers and answers none.
    Hang,
    /// A node loses a share of its messages.
    AnswersLost,
    /// A node starts tasks and never confirms it.
    NeverConfirms,
    /// A node answers offers of a class with an error.
    ClassError,
    /// A node does not answer offers of a class.
    ClassSilence,
    /// A node rejects a share of offers although it has capacity.
    FalseRefusals,
    /// A node becomes slower and slower.
    Ageing,
    /// A node delays its load reports further.
    ReportsLate,
    /// Another program uses a share of a node's cores.
    Neighbour,
    /// A node sends every message twice.
    Repeats,
    /// A node reports attempts that it was never sent.
    Lies,
    /// A node dies and stays away.
    Dies,
    /// A node dies and comes back.
    Restarts,
    /// A node drains and then leaves.
    Drains,
    /// A node removes a share of the programs from its cache.
    Flush,
    /// The links of a node break.
    Cut,
    /// The links of a node break in the middle of a frame.
    CutMidframe,
    /// The links of nodes break, and none can be opened meanwhile.
    RackCut,
    /// The node list is out of reach.
    ListDown,
    /// The node list publishes changes later.
    ListStale,
    /// A controller is killed and started again.
    ControllerKilled,
    /// Jobs arrive faster.
    Burst,
    /// A client disconnects before its answer.
    ClientGone,
    /// A client sends calls and reads no reply.
    ClientFlood,
    /// A client stops in the middle of a line.
    ClientHalfLine,
    /// A client sends what is no call.
    ClientNonsense,
}

impl FaultKind {
    /// All kinds, in the order in which they are listed to users.
    pub const ALL: [FaultKind; 26] = [
        FaultKind::Hang,
        FaultKind::AnswersLost,
        FaultKind::NeverConfirms,
        FaultKind::ClassError,
        FaultKind::ClassSilence,
        FaultKind::FalseRefusals,
        FaultKind::Ageing,
        FaultKind::ReportsLate,
        FaultKind::Neighbour,
        FaultKind::Repeats,
        FaultKind::Lies,
        FaultKind::Dies,
        FaultKind::Restarts,
        FaultKind::Drains,
        FaultKind::Flush,
        FaultKind::Cut,
        FaultKind::CutMidframe,
        FaultKind::RackCut,
        FaultKind::ListDown,
        FaultKind::ListStale,
        FaultKind::ControllerKilled,
        FaultKind::Burst,
        FaultKind::ClientGone,
        FaultKind::ClientFlood,
        FaultKind::ClientHalfLine,
        FaultKind::ClientNonsense,
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

    /// Name of the kind in scenario files.
    pub const fn name(self) -> &'static str {
        match self {
            FaultKind::Hang => "hang",
            FaultKind::AnswersLost => "answers-lost",
            FaultKind::NeverConfirms => "never-confirms",
            FaultKind::ClassError => "class-error",
            FaultKind::ClassSilence => "class-silence",
            FaultKind::FalseRefusals => "false-refusals",
            FaultKind::Ageing => "ageing",
            FaultKind::ReportsLate => "reports-late",
            FaultKind::Neighbour => "neighbour",
            FaultKind::Repeats => "repeats",
            FaultKind::Lies => "lies",
            FaultKind::Dies => "dies",
            FaultKind::Restarts => "restarts",
            FaultKind::Drains => "drains",
            FaultKind::Flush => "flush",
            FaultKind::Cut => "cut",
            FaultKind::CutMidframe => "cut-midframe",
            FaultKind::RackCut => "rack-cut",
            FaultKind::ListDown => "list-down",
            FaultKind::ListStale => "list-stale",
            FaultKind::ControllerKilled => "controller-killed",
            FaultKind::Burst => "burst",
            FaultKind::ClientGone => "client-gone",
            FaultKind::ClientFlood => "client-flood",
            FaultKind::ClientHalfLine => "client-half-line",
            FaultKind::ClientNonsense => "client-nonsense",
        }
    }

    /// The kind of that name.
    pub fn from_name(name: &str) -> Option<FaultKind> {
        FaultKind::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// The fault concerns one class of tasks, which must be stated.
    pub fn needs_class(self) -> bool {
        matches!(self, FaultKind::ClassError | FaultKind::ClassSilence)
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
