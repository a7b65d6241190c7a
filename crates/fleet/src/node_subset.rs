//! A bounded view: the machines of a large fleet that one scheduler works with.
//!
//! In the view are
//! - the machines that have one of the first slots with this scheduler as owner ([`crate::replica_slots`]): so many slots that each
//!   view has about [`SIZE`] machines, some of each kind in each zone, and that each machine is in several views;
//! - the homes of the services whose tasks came lately: the module ranks homes over the whole fleet, and all schedulers
//!   come to the same ones only if they see them;
//! - the rack of a keyed task that may have run and may be sent on within its rack alone;
//! - while a task waits that no machine in view can take, a part of the rest, and from time to time the next part.
//!
//! What is outside is not told to the module. What leaves is told as gone, so that nothing new is sent there; tasks that
//! stand there go on to be counted at their place.

use crate::replica_slots::{cold_start_share, slot_owner};
use crate::topology::{MIN_NODES_PER_ZONE_AND_KIND, Places, place};
use peppercove::{
    Action, AttemptOutcome, DedupScope, Event, Idempotency, ListUpdateKind, Micros, NodeEntry,
    NodeId, NodeStatus, RequestId, Scheduler, ServiceId, Settings, preferred_node_rank,
};
use peppercove_core::Decide;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Machines of a view, beside those that each zone and kind has at least. A fleet that is no larger is seen whole.
pub const TARGET_SUBSET_SIZE: u64 = 1024;

/// Homes of a service that are kept in view: four times those that the module begins with, which ranks as many again as
/// stand-ins and learns to use more where starts are in time.
const HOMES: usize = 8;

/// Services whose homes are remembered, for each of those whose homes are in view.
const REMEMBERED: u64 = 8;

/// What decides in a process: the module, and the view around it.
pub type SubsetScheduler = NodeSubset<Scheduler>;

/// Homes of a service, best first, and when a task of it came last.
#[derive(Debug)]
struct Homes {
    kind: Option<u8>,
    best: Vec<(f64, NodeId)>,
    used_at: Micros,
    in_view: bool,
}

/// A machine as the list names it.
#[derive(Debug)]
struct Known {
    line: NodeEntry,
    /// One of its first slots is this scheduler's.
    own: bool,
    /// The module has been told the room that this line names.
    room_told: bool,
}

/// Zone and rack.
type Rack = (u8, u16);

/// A request without an answer.
#[derive(Debug)]
struct Open {
    class: u16,
    waits: bool,
    /// Where its last attempt went. Danger: a machine that dies is off the list before the attempt ends.
    rack: Option<Rack>,
}

/// The decision module with a bounded view of the fleet.
#[derive(Debug)]
pub struct NodeSubset<D> {
    module: D,
    settings: Settings,
    size: u64,
    now: Micros,
    version: u64,
    /// The view is bounded: the fleet is larger than it.
    bounded: bool,
    /// Until then others may not know yet that the views are bounded, or are no more.
    unsettled_until: Micros,
    /// As the list names them; a view that is not bounded is all of them.
    fleet: BTreeMap<NodeId, Known>,
    places: Places,
    /// What the module has been told of as it is.
    shown: BTreeSet<NodeId>,
    homes: BTreeMap<ServiceId, Homes>,
    /// Homes in view, by how many services have them there.
    home_of: BTreeMap<NodeId, u32>,
    /// Homes that the last list took out of view, to be told.
    left_homes: Vec<NodeId>,
    /// Racks that are in view whole, until when.
    racks: BTreeMap<Rack, Micros>,
    /// The part of the rest that is in view, and where the next one begins.
    more: BTreeSet<NodeId>,
    next_more: NodeId,
    more_at: Micros,
    open: BTreeMap<RequestId, Open>,
    /// Tasks that were handed over before the list named their machine. Danger: their place is not known, so each counts
    /// at all places, and the module is to be told the place even where the machine is outside the view.
    unplaced: BTreeMap<NodeId, BTreeSet<RequestId>>,
    /// Machines outside the view where tasks were handed over, whose places the module is not told yet.
    outside: BTreeSet<NodeId>,
}

impl<D: Decide> NodeSubset<D> {
    /// Around a module that has just started with these settings.
    pub fn new(module: D, settings: &Settings) -> NodeSubset<D> {
        NodeSubset::with_target_size(module, settings, TARGET_SUBSET_SIZE)
    }

    /// With views of another size, for tests and measurements.
    pub fn with_target_size(module: D, settings: &Settings, size: u64) -> NodeSubset<D> {
        NodeSubset::with_target_sizes(module, settings, size, MIN_NODES_PER_ZONE_AND_KIND)
    }

    /// With views of another size and another number of machines of each zone and kind, for small fleets.
    pub fn with_target_sizes(
        module: D,
        settings: &Settings,
        size: u64,
        each: u64,
    ) -> NodeSubset<D> {
        NodeSubset {
            module,
            settings: settings.clone(),
            size,
            now: 0,
            version: 0,
            bounded: false,
            unsettled_until: 0,
            fleet: BTreeMap::new(),
            places: Places::new(each),
            shown: BTreeSet::new(),
            homes: BTreeMap::new(),
            home_of: BTreeMap::new(),
            left_homes: Vec::new(),
            racks: BTreeMap::new(),
            more: BTreeSet::new(),
            next_more: NodeId(0),
            more_at: 0,
            open: BTreeMap::new(),
            unplaced: BTreeMap::new(),
            outside: BTreeSet::new(),
        }
    }

    /// The view is smaller than the fleet.
    pub fn is_bounded(&self) -> bool {
        self.bounded
    }

    /// Machines that the module works with.
    pub fn len(&self) -> usize {
        if self.bounded {
            self.shown.len()
        } else {
            self.fleet.len()
        }
    }

    /// Nothing is in view.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the module works with a machine.
    pub fn contains(&self, machine: NodeId) -> bool {
        if self.bounded {
            self.shown.contains(&machine)
        } else {
            self.fleet.contains_key(&machine)
        }
    }

    /// The module itself.
    pub fn inner(&self) -> &D {
        &self.module
    }

    /// How much is held beside the list, by name: for tests that it stays bounded.
    pub fn table_sizes(&self) -> [(&'static str, usize); 7] {
        [
            ("shown", self.shown.len()),
            ("services", self.homes.len()),
            ("homes", self.home_of.len()),
            ("racks", self.racks.len()),
            ("more", self.more.len()),
            ("open", self.open.len()),
            ("unplaced", self.unplaced.len()),
        ]
    }

    // ---- What is in view ----

    fn is_in_view(&self, known: &Known) -> bool {
        let line = &known.line;
        known.own
            || self.home_of.contains_key(&line.node)
            || self.more.contains(&line.node)
            || self.racks.contains_key(&(line.zone, line.rack))
    }

    /// One of the first slots of the machine is this scheduler's.
    fn is_own(&self, line: &NodeEntry) -> bool {
        let (own, all) = (self.settings.own_index, self.settings.schedulers);
        let slots = self.places.slots(place(line));
        slots == u32::MAX || (0..slots).any(|slot| slot_owner(line.node, slot, all) == own)
    }

    /// The line as the module is told it. Danger: the list named the room at its own time; told again later, it would
    /// erase what the machine itself has said since. Not told at all, a machine that comes into view would count as full
    /// as the mean of those in view, and where these are full nothing would go to the room outside.
    fn told(&self, line: &NodeEntry, fresh: bool) -> NodeEntry {
        let (own, all) = (self.settings.own_index, self.settings.schedulers);
        let bears = self.settings.slow_start_budget.max(0.0) as u64;
        let split = || {
            self.bounded
                .then(|| cold_start_share(line.node, own, all, bears))
        };
        let cold_share = if self.now < self.unsettled_until {
            Some(0)
        } else {
            split()
        };
        let room = if fresh {
            (line.free_cores, line.free_memory)
        } else {
            (None, None)
        };
        NodeEntry {
            slow_start_share: cold_share,
            free_cores: room.0,
            free_memory: room.1,
            ..line.clone()
        }
    }

    /// The module is to send nothing new there, whatever the list says. Its place stays known.
    fn gone(line: &NodeEntry) -> NodeEntry {
        NodeEntry {
            state: NodeStatus::Gone,
            free_cores: None,
            free_memory: None,
            ..line.clone()
        }
    }

    /// What the module has to be told of these machines so that it works with those in view and no others.
    fn changes(&mut self, machines: impl IntoIterator<Item = NodeId>) -> Vec<NodeEntry> {
        let mut lines = Vec::new();
        for machine in machines {
            let Some(known) = self.fleet.get(&machine) else {
                continue;
            };
            let wanted = self.is_in_view(known);
            if wanted && !self.shown.contains(&machine) {
                lines.push(self.told(&known.line, !known.room_told));
                self.shown.insert(machine);
                self.room_was_told(machine);
            } else if !wanted && self.shown.remove(&machine) {
                lines.push(Self::gone(&known.line));
            }
        }
        lines
    }

    fn room_was_told(&mut self, machine: NodeId) {
        if let Some(known) = self.fleet.get_mut(&machine) {
            known.room_told = true;
        }
    }

    /// Tells the module of these lines, if there are any.
    fn tell(&self, lines: Vec<NodeEntry>, events: &mut Vec<Event>) {
        if !lines.is_empty() {
            events.push(Event::NodeList {
                kind: ListUpdateKind::SubsetChange,
                version: self.version,
                entries: lines,
            });
        }
    }

    // ---- The list ----

    fn on_list(
        &mut self,
        scope: ListUpdateKind,
        version: u64,
        lines: &[NodeEntry],
        events: &mut Vec<Event>,
    ) {
        let old = version < self.version && scope != ListUpdateKind::Cached;
        if matches!(scope, ListUpdateKind::Failed | ListUpdateKind::SubsetChange) || old {
            events.push(Event::NodeList {
                kind: scope,
                version,
                entries: lines.to_vec(),
            });
            return;
        }
        self.version = version;
        let (whole, was, first) = (
            scope != ListUpdateKind::Incremental,
            self.bounded,
            self.fleet.is_empty(),
        );
        let turned = self.take_in(whole, lines);
        self.bound(first);
        if !self.bounded && !was {
            lines
                .iter()
                .for_each(|line| drop(self.unplaced.remove(&line.node)));
            let settled = self.now >= self.unsettled_until;
            lines.iter().for_each(|line| self.room_was_told(line.node));
            let told = |line: &NodeEntry| {
                if settled {
                    line.clone()
                } else {
                    self.told(line, true)
                }
            };
            events.push(Event::NodeList {
                kind: scope,
                version,
                entries: lines.iter().map(told).collect(),
            });
            return;
        }
        let moved = self.bounded && self.places.settle(self.size, self.settings.schedulers);
        if moved || was != self.bounded {
            let own: Vec<bool> = self
                .fleet
                .values()
                .map(|known| self.is_own(&known.line))
                .collect();
            self.fleet
                .values_mut()
                .zip(own)
                .for_each(|(known, own)| known.own = own);
        }
        self.keep_homes(&turned);
        if whole || moved || was != self.bounded {
            self.tell_whole(scope, version, lines, events);
            return;
        }
        let mut told = Vec::new();
        for line in lines {
            let wanted = self
                .fleet
                .get(&line.node)
                .is_some_and(|known| self.is_in_view(known));
            if wanted {
                self.shown.insert(line.node);
                self.room_was_told(line.node);
                told.push(self.told(line, true));
            } else if self.shown.remove(&line.node) {
                told.push(Self::gone(line));
            }
        }
        told.extend(self.place_standing(lines));
        // Passed on also where it tells nothing: the call for the list was answered.
        events.push(Event::NodeList {
            kind: scope,
            version,
            entries: told,
        });
        // A service that lost a home has another one now.
        let mut homes = std::mem::take(&mut self.left_homes);
        homes.extend(self.home_of.keys());
        let lines = self.changes(homes);
        self.tell(lines, events);
    }

    /// Takes the list in; returns the machines that take tasks now and did not before, or the other way round.
    fn take_in(&mut self, whole: bool, lines: &[NodeEntry]) -> BTreeSet<NodeId> {
        let mut turned = BTreeSet::new();
        let ready = |line: &NodeEntry| (line.state == NodeStatus::Ready).then_some(line.kind);
        // Danger: a list that names a machine twice, gone and back, would lose it. The last line stands.
        let named: BTreeMap<NodeId, NodeStatus> = lines.iter().map(|l| (l.node, l.state)).collect();
        let unnamed = self
            .fleet
            .keys()
            .copied()
            .filter(|machine| whole && !named.contains_key(machine));
        // Bounded state: what has left is forgotten; the module knows by itself what it holds there.
        let gone = named
            .iter()
            .filter(|(_, state)| **state == NodeStatus::Gone)
            .map(|(machine, _)| *machine);
        let left: Vec<NodeId> = unnamed.chain(gone).collect();
        for line in lines {
            let own = self.bounded && self.is_own(line);
            let before = self.fleet.insert(
                line.node,
                Known {
                    line: line.clone(),
                    own,
                    room_told: false,
                },
            );
            let before = before.as_ref().map(|known| &known.line);
            if before.and_then(ready) != ready(line) {
                turned.insert(line.node);
            }
            self.places.change(before, Some(line));
        }
        for machine in left {
            let before = self.fleet.remove(&machine);
            self.places
                .change(before.as_ref().map(|known| &known.line), None);
            self.more.remove(&machine);
            turned.insert(machine);
        }
        turned
    }

    /// The view changes as a whole, and the module is told all that is in it.
    fn tell_whole(
        &mut self,
        scope: ListUpdateKind,
        version: u64,
        list: &[NodeEntry],
        events: &mut Vec<Event>,
    ) {
        self.left_homes.clear();
        let in_view = |known: &&Known| !self.bounded || self.is_in_view(known);
        let told = |known: &Known| self.told(&known.line, !known.room_told);
        let mut lines: Vec<NodeEntry> = self.fleet.values().filter(in_view).map(told).collect();
        lines.iter().for_each(|line| self.room_was_told(line.node));
        self.shown = lines
            .iter()
            .filter(|_| self.bounded)
            .map(|line| line.node)
            .collect();
        lines.extend(self.place_standing(list));
        // What is whole to the list is whole to the module: what is not named is gone for it.
        let scope = if scope == ListUpdateKind::Cached {
            scope
        } else {
            ListUpdateKind::Full
        };
        events.push(Event::NodeList {
            kind: scope,
            version,
            entries: lines,
        });
    }

    /// Tasks that were handed over on machines outside the view stand at a place now that the list names them, be it as
    /// gone.
    fn place_standing(&mut self, list: &[NodeEntry]) -> Vec<NodeEntry> {
        let named = |line: &&NodeEntry| self.unplaced.remove(&line.node).is_some();
        let named: Vec<&NodeEntry> = list.iter().filter(named).collect();
        named
            .into_iter()
            .filter(|line| !self.contains(line.node))
            .map(Self::gone)
            .collect()
    }

    /// The view is bounded where the fleet is larger than it. Danger: bounds that follow from more than the list, such as
    /// what was before, differ for good between schedulers that have been there all along and those that start, and so do
    /// the ramps of cold machines.
    fn bound(&mut self, first: bool) {
        let (ready, least) = (self.places.ready(), self.places.least(self.size));
        let bounded = ready > least;
        if bounded == self.bounded {
            return;
        }
        self.bounded = bounded;
        // Danger: the ramp of a cold machine is split in one way by those whose views are bounded and in another by the
        // others, and together they would push it over. Until all have been told, nothing of it is used; also by one that
        // has just started, unless the fleet is so large that it cannot have been smaller lately.
        if !first || ready <= least.saturating_mul(2) {
            let window = self.settings.overload_window + self.settings.overload_window / 4;
            self.unsettled_until = self.now + self.settings.poll_interval + window;
        }
        self.shown.clear();
        self.more.clear();
        self.racks.clear();
        self.homes.clear();
        self.home_of.clear();
    }

    /// Others know by now how a cold machine's ramp is split.
    fn settle(&mut self, events: &mut Vec<Event>) {
        if self.unsettled_until == 0 || self.now < self.unsettled_until {
            return;
        }
        self.unsettled_until = 0;
        let shown = |known: &&Known| !self.bounded || self.shown.contains(&known.line.node);
        let lines = self
            .fleet
            .values()
            .filter(shown)
            .map(|known| self.told(&known.line, false))
            .collect();
        self.tell(lines, events);
    }

    // ---- Homes ----

    fn cores(&self, line: &NodeEntry) -> f64 {
        self.settings
            .node_kinds
            .get(usize::from(line.kind))
            .map_or(0.0, |kind| kind.cores)
    }

    /// The homes of a service, best first.
    fn best(&self, service: ServiceId, kind: Option<u8>) -> Vec<(f64, NodeId)> {
        let usable = |line: &&NodeEntry| {
            line.state == NodeStatus::Ready && kind.is_none_or(|kind| kind == line.kind)
        };
        let mut best: Vec<(f64, NodeId)> = Vec::with_capacity(HOMES + 1);
        for line in self.fleet.values().map(|known| &known.line).filter(usable) {
            let rank = preferred_node_rank(service, line.node, self.cores(line));
            if best.len() < HOMES || best.last().is_some_and(|(worst, _)| rank > *worst) {
                let at = best.partition_point(|(better, _)| *better >= rank);
                best.insert(at, (rank, line.node));
                best.truncate(HOMES);
            }
        }
        best
    }

    /// A task of the service came: its homes are in view, and those of services that had none for longest are not.
    fn use_homes(&mut self, service: ServiceId, class: u16) -> Vec<NodeEntry> {
        let now = self.now;
        if let Some(homes) = self.homes.get_mut(&service) {
            homes.used_at = now;
            if homes.in_view {
                return Vec::new();
            }
        } else {
            let kind = self
                .settings
                .classes
                .get(usize::from(class))
                .and_then(|class| class.node_kind);
            let best = self.best(service, kind);
            self.homes.insert(
                service,
                Homes {
                    kind,
                    best,
                    used_at: now,
                    in_view: false,
                },
            );
        }
        let mut changed = self.put_in_view(service, true);
        let most = (self.size / HOMES as u64).max(1);
        let oldest = |homes: &BTreeMap<ServiceId, Homes>, in_view: bool| {
            let mut of = homes
                .iter()
                .filter(|(s, h)| (h.in_view || !in_view) && **s != service);
            let first = of.next()?;
            Some(
                *of.fold(first, |a, b| if b.1.used_at < a.1.used_at { b } else { a })
                    .0,
            )
        };
        while self.homes.values().filter(|h| h.in_view).count() as u64 > most
            && let Some(service) = oldest(&self.homes, true)
        {
            changed.extend(self.put_in_view(service, false));
        }
        while self.homes.len() as u64 > most * REMEMBERED
            && let Some(service) = oldest(&self.homes, false)
        {
            changed.extend(self.put_in_view(service, false));
            self.homes.remove(&service);
        }
        self.changes(changed)
    }

    /// Counts the homes of a service in, or out.
    fn put_in_view(&mut self, service: ServiceId, in_view: bool) -> Vec<NodeId> {
        let Some(homes) = self
            .homes
            .get_mut(&service)
            .filter(|homes| homes.in_view != in_view)
        else {
            return Vec::new();
        };
        homes.in_view = in_view;
        let machines: Vec<NodeId> = homes.best.iter().map(|(_, machine)| *machine).collect();
        for machine in &machines {
            let count = self.home_of.entry(*machine).or_insert(0);
            *count = if in_view {
                *count + 1
            } else {
                count.saturating_sub(1)
            };
            if *count == 0 {
                self.home_of.remove(machine);
            }
        }
        machines
    }

    /// Homes follow the list: a service that lost one has the next best one, and a new machine may be better.
    fn keep_homes(&mut self, turned: &BTreeSet<NodeId>) {
        if turned.is_empty() {
            return;
        }
        let lines = turned
            .iter()
            .filter_map(|machine| self.fleet.get(machine))
            .map(|known| &known.line);
        let risen: Vec<&NodeEntry> = lines
            .filter(|line| line.state == NodeStatus::Ready)
            .collect();
        let stale = |service: &ServiceId, homes: &Homes| {
            let worst = homes
                .best
                .last()
                .filter(|_| homes.best.len() == HOMES)
                .map(|(worst, _)| *worst);
            let better = |line: &&NodeEntry| {
                homes.kind.is_none_or(|kind| kind == line.kind)
                    && worst.is_none_or(|w| {
                        preferred_node_rank(*service, line.node, self.cores(line)) > w
                    })
            };
            homes
                .best
                .iter()
                .any(|(_, machine)| turned.contains(machine))
                || risen.iter().any(better)
        };
        let stale: Vec<ServiceId> = self
            .homes
            .iter()
            .filter(|(s, h)| stale(s, h))
            .map(|(s, _)| *s)
            .collect();
        let mut left = Vec::new();
        for service in stale {
            let in_view = self.homes.get(&service).is_some_and(|homes| homes.in_view);
            left.extend(self.put_in_view(service, false));
            if !in_view {
                // Worked out again when a task of it comes.
                self.homes.remove(&service);
                continue;
            }
            let kind = self.homes.get(&service).and_then(|homes| homes.kind);
            let best = self.best(service, kind);
            if let Some(homes) = self.homes.get_mut(&service) {
                homes.best = best;
            }
            self.put_in_view(service, true);
        }
        self.left_homes = left;
    }

    // ---- What a task needs beyond the view ----

    /// Danger: a keyed task that may have run goes on within its rack alone, and one machine of it may be all that the
    /// view has.
    fn bring_rack(&mut self, request: RequestId) -> Vec<NodeEntry> {
        let Some(open) = self.open.get(&request) else {
            return Vec::new();
        };
        let repeat = self
            .settings
            .classes
            .get(usize::from(open.class))
            .map(|class| class.idempotency);
        let (
            Some(Idempotency::Keyed {
                scope: DedupScope::Rack,
                window,
            }),
            Some(rack),
        ) = (repeat, open.rack)
        else {
            return Vec::new();
        };
        self.racks.insert(rack, self.now + window);
        let machines = self.in_racks(&[rack]);
        self.changes(machines)
    }

    fn in_racks(&self, racks: &[Rack]) -> Vec<NodeId> {
        let lines = self.fleet.values().map(|known| &known.line);
        lines
            .filter(|line| racks.contains(&(line.zone, line.rack)))
            .map(|line| line.node)
            .collect()
    }

    fn drop_racks(&mut self) -> Vec<NodeEntry> {
        let over: Vec<Rack> = self
            .racks
            .iter()
            .filter(|(_, until)| **until <= self.now)
            .map(|(rack, _)| *rack)
            .collect();
        if over.is_empty() {
            return Vec::new();
        }
        self.racks.retain(|rack, _| !over.contains(rack));
        let machines = self.in_racks(&over);
        self.changes(machines)
    }

    /// Danger: a task that no machine in view can take would be turned away while others have room. While one waits, a
    /// part of the rest as large as the view is looked at beside it, and then the next part; the whole fleet in turn.
    fn look_further(&mut self) -> Vec<NodeEntry> {
        let waits = self.open.values().any(|open| open.waits);
        let due = self.now >= self.more_at;
        if waits && due {
            let pause = self
                .settings
                .classes
                .iter()
                .map(|c| c.latency_objective)
                .min()
                .unwrap_or(0)
                / 8;
            self.more_at = self.now + pause.max(self.settings.tick);
            let before = std::mem::take(&mut self.more);
            let outside =
                |(machine, known): (&NodeId, &Known)| (!self.is_in_view(known)).then_some(*machine);
            let after = self
                .fleet
                .range((Bound::Excluded(self.next_more), Bound::Unbounded));
            let rest = self.fleet.range(..=self.next_more);
            let more = after
                .chain(rest)
                .filter_map(outside)
                .take(self.size as usize);
            let more: Vec<NodeId> = more.collect();
            self.next_more = more.last().copied().unwrap_or(self.next_more);
            self.more = more.into_iter().collect();
            let changed: BTreeSet<NodeId> = before.union(&self.more).copied().collect();
            self.changes(changed)
        } else if !waits
            && !self.more.is_empty()
            && self.now >= self.more_at + self.settings.poll_interval
        {
            let before = std::mem::take(&mut self.more);
            self.changes(before)
        } else {
            Vec::new()
        }
    }

    // ---- What happened ----

    /// The places of tasks that were handed over outside the view, all at once: the module goes through its table for
    /// each list.
    fn place_outside(&mut self, events: &mut Vec<Event>) {
        let outside = std::mem::take(&mut self.outside);
        let known = outside
            .iter()
            .filter(|m| !self.shown.contains(m))
            .filter_map(|m| self.fleet.get(m));
        self.tell(known.map(|known| Self::gone(&known.line)).collect(), events);
    }

    fn on_event(&mut self, event: &Event, events: &mut Vec<Event>) {
        // Their places are known before anything is placed beside them.
        if !matches!(event, Event::RunningTask { .. }) {
            self.place_outside(events);
        }
        match event {
            Event::NodeList {
                kind: scope,
                version,
                entries: lines,
            } => {
                return self.on_list(*scope, *version, lines, events);
            }
            Event::Place(ask) if self.bounded => {
                let lines = self.use_homes(ask.service, ask.class);
                self.tell(lines, events);
            }
            Event::AttemptEnded {
                request,
                outcome,
                is_final: false,
                ..
            } if self.bounded => {
                let never_ran = matches!(
                    outcome,
                    AttemptOutcome::Rejected
                        | AttemptOutcome::Unreachable
                        | AttemptOutcome::NotSent
                );
                if !never_ran {
                    let lines = self.bring_rack(*request);
                    self.tell(lines, events);
                }
            }
            _ => {}
        }
        events.push(event.clone());
        match event {
            Event::RunningTask {
                request,
                node: machine,
            } if !self.fleet.contains_key(machine) => {
                self.unplaced
                    .entry(*machine)
                    .or_default()
                    .insert(request.id);
            }
            Event::RunningTask { node: machine, .. }
                if self.bounded && !self.shown.contains(machine) =>
            {
                self.outside.insert(*machine);
            }
            Event::AttemptEnded {
                request,
                node: machine,
                ..
            } => {
                if let Some(requests) = self.unplaced.get_mut(machine) {
                    requests.remove(request);
                    if requests.is_empty() {
                        self.unplaced.remove(machine);
                    }
                }
            }
            _ => {}
        }
    }

    /// Which requests wait for a machine, from what happened and what the module made of it. Danger: a view may turn
    /// bounded while they wait, so they are followed in a whole one too.
    fn follow(&mut self, events: &[Event], actions: &[Action]) {
        for event in events {
            match event {
                Event::Placed { request, .. }
                | Event::AttemptEnded {
                    request,
                    is_final: true,
                    ..
                }
                | Event::RequestCancelled(request) => {
                    self.open.remove(request);
                }
                Event::Place(ask) => {
                    let open = Open {
                        class: ask.class,
                        waits: true,
                        rack: None,
                    };
                    self.open.entry(ask.id).or_insert(open);
                }
                Event::AttemptEnded { request, .. } => self.waits(*request, true),
                _ => {}
            }
        }
        for action in actions {
            match action {
                Action::Dispatch {
                    request,
                    node: machine,
                    ..
                } => {
                    self.waits(*request, false);
                    let rack = self
                        .fleet
                        .get(machine)
                        .map(|known| (known.line.zone, known.line.rack));
                    if let Some(open) = self.open.get_mut(request) {
                        open.rack = rack;
                    }
                }
                Action::Reject { request, .. } | Action::Fail(request) => {
                    self.open.remove(request);
                }
                _ => {}
            }
        }
    }

    fn waits(&mut self, request: RequestId, waits: bool) {
        if let Some(open) = self.open.get_mut(&request) {
            open.waits = waits;
        }
    }
}

impl<D: Decide> Decide for NodeSubset<D> {
    fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        // Times near the end of their type would overflow in sums.
        self.now = self.now.max(now.min(Micros::MAX / 4));
        let news = |e: &Event| {
            matches!(
                e,
                Event::NodeList { .. } | Event::RunningTask { .. } | Event::AttemptEnded { .. }
            )
        };
        if !self.bounded && self.unsettled_until == 0 && !events.iter().any(news) {
            let actions = self.module.decide(now, events);
            self.follow(events, &actions);
            return actions;
        }
        let mut passed = Vec::with_capacity(events.len() + 2);
        self.settle(&mut passed);
        if self.bounded {
            let lines = self.drop_racks();
            self.tell(lines, &mut passed);
        }
        for event in events {
            self.on_event(event, &mut passed);
        }
        self.place_outside(&mut passed);
        if self.bounded {
            let lines = self.look_further();
            self.tell(lines, &mut passed);
        }
        let actions = self.module.decide(now, &passed);
        self.follow(events, &actions);
        actions
    }
}
