//! What the decision module is told and what it may do, in the field's own terms. No decision lives here.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A time or a span in microseconds.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub u64);
    };
}
id!(
    /// A machine, by its address.
    MachineId
);
id!(
    /// One ask for a placing; a task that comes again has a new one.
    RequestId
);
id!(
    /// A task, the same each time it comes.
    TaskKey
);
id!(
    /// The service a task belongs to: one program, one shape, one class.
    ServiceId
);

/// Which machines discard a second copy of a task that carries a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every machine.
    All,
    /// Those in the zone of the first.
    Zone,
    /// Those in the rack of the first.
    Rack,
}

/// What a second start of a task would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// No harm.
    Safe,
    /// Discarded by the machines of `group` for `window` after the first send.
    Keyed {
        /// The machines that discard it.
        group: Group,
        /// For how long.
        window: Micros,
    },
    /// Harm: it must not happen.
    Unsafe,
}

/// The place that a service's tasks must not crowd.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// No limit.
    Off,
    /// One machine.
    Machine,
    /// One rack.
    Rack,
    /// One zone.
    Zone,
}

/// One class of tasks.
#[derive(Clone, Debug)]
pub struct Class {
    /// A first start within this time earns its full worth.
    pub aim: Micros,
    /// Owner's wait for a placing.
    pub deadline: Micros,
    /// What a repeat does.
    pub repeat: Repeat,
    /// Worth of one second of full service of a task of mean size.
    pub worth: f64,
    /// Share of a start's worth after the aim.
    pub late_worth: f64,
    /// Seconds of service that a timely first start is worth.
    pub start_seconds: f64,
    /// Busy share of the cores up to which the class is served in full.
    pub calm: f64,
    /// Service falls to nothing over this much more.
    pub fade: f64,
    /// Higher ones win in contention and evictions.
    pub priority: u8,
    /// The machine kind it needs.
    pub kind: Option<u8>,
    /// The place its services must not crowd.
    pub spread: Spread,
    /// The most tasks of one service in one such place.
    pub most: u32,
}

/// A kind of machine.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Cores of the machine.
    pub cores: f64,
    /// Its memory.
    pub memory: f64,
}

/// A tenant and the demand within its share.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Cores that its tasks may ask for at a time within its share, over all schedulers.
    pub quota_cores: Option<f64>,
}

/// What a load report holds about one resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportCounts {
    /// Free values are what is not asked for.
    Asked,
    /// Free values are what is not in use.
    Used,
}

/// When a machine says that a task is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirms {
    /// Once it has accepted it.
    Accepted,
    /// Once the task runs.
    Running,
}

/// All that a scheduler is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Schedulers that share the machines, this one included.
    pub schedulers: u32,
    /// This scheduler's number among them.
    pub own_number: u32,
    /// The zone of this scheduler.
    pub own_zone: u8,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// The machine kinds, by index.
    pub kinds: Vec<Kind>,
    /// The tenants, by index.
    pub tenants: Vec<Tenant>,
    /// What a task past its tenant's share is worth.
    pub over_share_worth: f64,
    /// A machine accepts tasks up to this multiple of its cores.
    pub accepts_cores: f64,
    /// And up to this multiple of its memory.
    pub accepts_memory: f64,
    /// What confirms a placing.
    pub confirms: Confirms,
    /// Machines push out tasks of lower priority to make room.
    pub preempts: bool,
    /// What load reports count.
    pub report_counts: ReportCounts,
    /// Mean cores of a task.
    pub mean_cores: f64,
    /// Mean memory of a task.
    pub mean_memory: f64,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// An attempt may be withdrawn.
    pub may_withdraw: bool,
    /// Two attempts of one request may be out at once.
    pub may_duplicate: bool,
    /// Machines may be probed.
    pub probes: bool,
    /// Messages to other schedulers are allowed.
    pub peer_messages: bool,
    /// The machine list must be asked for.
    pub list_on_request: bool,
    /// Without a subscription, the list counts as told this long after it was last asked for.
    pub ask_every: Micros,
    /// Longest waits before a call for the list that failed is made again: the first time, and ever.
    pub ask_again: [Micros; 2],
    /// Grace of an answer after the deadline.
    pub answer_slack: Micros,
    /// Time allowed between hearing of a drain and the last bind.
    pub drain_grace: Micros,
    /// A new machine starts tasks at this share of its pace or more.
    pub cold_from: f64,
    /// And is warm after this.
    pub warm_within: Micros,
    /// A cold machine falls over when sent more than this multiple of what it can do.
    pub fall_multiple: f64,
    /// For this long.
    pub fall_window: Micros,
    /// Offers within `fall_window`, from all schedulers, that a cold machine always bears.
    pub cold_bears: f64,
    /// Least time between two batches of events.
    pub tick: Micros,
    /// Price of the machines in use beyond the needed, as a share of the result.
    pub fleet_price: f64,
    /// Price of one move for each task.
    pub move_price: f64,
    /// Price of one refused offer for each task.
    pub refusal_price: f64,
    /// Price of one probe for each task.
    pub probe_price: f64,
    /// How long owners wait before they ask again where a second start would do harm.
    pub settle: Micros,
}

impl Settings {
    /// Settings of a small made-up cluster, for examples and tests.
    pub fn sample() -> Settings {
        let class = Class {
            aim: 1_000_000,
            deadline: 5_000_000,
            repeat: Repeat::Safe,
            worth: 1.0,
            late_worth: 0.5,
            start_seconds: 5.0,
            calm: 0.9,
            fade: 0.1,
            priority: 0,
            kind: None,
            spread: Spread::Off,
            most: 1,
        };
        let keyed = Repeat::Keyed {
            group: Group::Rack,
            window: 4_000_000,
        };
        let spread = Class {
            repeat: keyed,
            spread: Spread::Rack,
            most: 2,
            ..class.clone()
        };
        let once = Class {
            repeat: Repeat::Unsafe,
            ..class.clone()
        };
        Settings {
            schedulers: 2,
            own_number: 0,
            own_zone: 0,
            classes: vec![class, spread, once],
            kinds: vec![Kind {
                cores: 16.0,
                memory: 32.0,
            }],
            tenants: Vec::new(),
            over_share_worth: 1.0,
            accepts_cores: 1.0,
            accepts_memory: 1.0,
            confirms: Confirms::Running,
            preempts: false,
            report_counts: ReportCounts::Asked,
            mean_cores: 1.0,
            mean_memory: 2.0,
            max_attempts: 3,
            may_withdraw: true,
            may_duplicate: false,
            probes: false,
            peer_messages: false,
            list_on_request: true,
            ask_every: 10_000_000,
            ask_again: [625_000, 5_000_000],
            answer_slack: 10_000,
            drain_grace: 500_000,
            cold_from: 0.2,
            warm_within: 15_000_000,
            fall_multiple: 3.0,
            fall_window: 2_000_000,
            cold_bears: 8.0,
            tick: 1_000,
            fleet_price: 0.0,
            move_price: 0.0,
            refusal_price: 0.0,
            probe_price: 0.0,
            settle: 3_000_000,
        }
    }
}

/// What the list says of a machine's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    /// Takes tasks.
    Ready,
    /// Takes nothing new.
    Draining,
    /// Left the cluster, or never listed.
    #[default]
    Gone,
}

/// One line of the machine list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineLine {
    /// The machine.
    pub machine: MachineId,
    /// Its state.
    pub state: MachineState,
    /// Index of its kind.
    pub kind: u8,
    /// Its rack.
    pub rack: u16,
    /// Its zone.
    pub zone: u8,
    /// When it last started; 0 is long ago.
    pub started_at: Micros,
    /// A number of that life, the same for all schedulers, which may read the start against own clocks.
    pub life: u64,
    /// Cores nobody asked for, some time ago.
    pub free_cores: Option<f64>,
    /// Memory nobody asked for, some time ago.
    pub free_memory: Option<f64>,
    /// Offers that this scheduler may make there in a window while the machine is cold, where not all
    /// schedulers share it; else the split among all of them holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_share: Option<u32>,
}

/// How a list event relates to the list already held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListScope {
    /// Changed machines alone.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last seen before a restart.
    Cached,
    /// No news of the list: machines that come into this scheduler's view, or leave it, as gone.
    View,
    /// A call failed or the subscription broke: the old list stands.
    Failed,
}

/// A task to place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// This ask.
    pub request: RequestId,
    /// The task.
    pub task: TaskKey,
    /// Its service.
    pub service: ServiceId,
    /// Index of its class.
    pub class: u16,
    /// Index of its tenant.
    pub tenant: u32,
    /// Cores it asks for.
    pub cores: f64,
    /// Memory it asks for.
    pub memory: f64,
    /// Time until its owner gives up.
    pub deadline_in: Micros,
    /// Expected remaining run time.
    pub life_hint: Option<Micros>,
    /// It came before.
    pub again: bool,
}

impl Request {
    /// Its class is known and its figures are numbers that something can have.
    pub(crate) fn makes_sense(&self, settings: &Settings) -> bool {
        let sane = |x: f64| x.is_finite() && x >= 0.0;
        usize::from(self.class) < settings.classes.len() && sane(self.cores) && sane(self.memory)
    }
}

/// A load report of a machine; each value only where the site reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Free cores, in the sense of [`Settings::report_counts`].
    pub free_cores: Option<f64>,
    /// Free memory, likewise.
    pub free_memory: Option<f64>,
    /// Busy share of the cores.
    pub busy: Option<f64>,
    /// Offers and starts waiting.
    pub waiting: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The placed task ended.
    Done,
    /// The machine answered with an error; the task may have started.
    Error,
    /// Refused, or handed back before it ran.
    Refused,
    /// No answer in time; the task may have been accepted.
    TimedOut,
    /// No connection: it never ran.
    Unreachable,
    /// A placed task was evicted or lost, or the answer broke off.
    Lost,
    /// Called off, moved or stopped by its owner.
    Withdrawn,
    /// Never sent.
    NotSent,
}

/// Why a machine refused or gave a task up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// Not told.
    Unknown,
    /// No cores.
    NoCores,
    /// No memory.
    NoMemory,
    /// Too many offers wait.
    Busy,
    /// Wrong kind, draining, too late, or a copy stands.
    NotHere,
    /// Evicted for memory.
    Evicted,
    /// Pushed out by a higher priority.
    PushedOut,
    /// Sent away by a drain.
    SentAway,
}

/// An update on a placed task or its machine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Note {
    /// The task runs.
    Runs,
    /// Cores it uses.
    CoresUsed(f64),
    /// Memory it uses.
    MemoryUsed(f64),
    /// Share of full service it gets.
    Served(f64),
    /// Share of its machine's memory in use.
    MachineMemory(f64),
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the machine list.
    MachineList {
        /// How it relates to the list held.
        scope: ListScope,
        /// Its version.
        version: u64,
        /// The lines.
        lines: Vec<MachineLine>,
    },
    /// A task to place.
    Place(Request),
    /// A task that already runs on a machine and is now this scheduler's; its attempt 0 counts as made.
    Standing {
        /// The task.
        request: Request,
        /// Where it runs.
        machine: MachineId,
    },
    /// An attempt placed its task.
    Placed {
        /// The ask.
        request: RequestId,
        /// The attempt.
        attempt: u16,
        /// The machine.
        machine: MachineId,
    },
    /// An update on an attempt.
    Noted {
        /// The ask.
        request: RequestId,
        /// The attempt.
        attempt: u16,
        /// The machine.
        machine: MachineId,
        /// What is told.
        note: Note,
    },
    /// An attempt is over.
    Ended {
        /// The ask.
        request: RequestId,
        /// The attempt.
        attempt: u16,
        /// The machine.
        machine: MachineId,
        /// How.
        outcome: Outcome,
        /// Why.
        why: Why,
        /// The request is over with it.
        over: bool,
        /// A load report that came along.
        load: Option<Load>,
    },
    /// The task is no longer wanted.
    Unwanted(RequestId),
    /// A timer set earlier.
    Timer(u64),
    /// A probe's answer.
    Probed {
        /// The machine.
        machine: MachineId,
        /// It answered.
        answered: bool,
        /// Its load.
        load: Option<Load>,
    },
    /// A message of another scheduler.
    Peer {
        /// Its number.
        from: u32,
        /// The message.
        message: Vec<u8>,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Subscribe to the machine list.
    Watch,
    /// Offer a task to a machine.
    Bind {
        /// The ask.
        request: RequestId,
        /// The machine.
        machine: MachineId,
        /// Wait no longer than this; `None` is until the owner gives up.
        timeout: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Withdraw {
        /// The ask.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Final answer: a retry is harmless.
    Refuse {
        /// The ask.
        request: RequestId,
        /// Advice to stay away this long.
        retry_after: Option<Micros>,
    },
    /// Final answer: no promise.
    Fail(RequestId),
    /// Stop a placed task, to be placed anew.
    Move(RequestId),
    /// Wake this scheduler at a time.
    SetTimer {
        /// Comes back with the event.
        label: u64,
        /// When.
        at: Micros,
    },
    /// Ask a machine for its load.
    Probe(MachineId),
    /// Tell all other schedulers something.
    Tell(Vec<u8>),
    /// A line for the people on call.
    Log(String),
}

/// An ordered table; iteration order decides nothing by accident.
pub type Table<K, V> = BTreeMap<K, V>;
