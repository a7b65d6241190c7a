//! Every decision of the scheduler, in the order of a task's life. The interface is `src/interface.rs`.
//!
//! The ordinary path is L-JBA: each machine has one entry in a late table of this scheduler's own; a task is
//! drawn among the machines that can take it and stand at or below their mean, with chance by cores; it is
//! added to the entry at once and offered without waiting. What narrows the filter or corrects an entry is a
//! function of its own below, with the danger it meets. `docs/design.md` tells when each of them acts.

use crate::interface::*;
use crate::state::{
    Attempt, Counts, Homes, Machine, Mean, Part, Stage, Task, first, narrow, preferred_node_rank,
    release, scatter,
};
use std::{cell::Cell, collections::BTreeSet};

/// Share of memory filled by choice: the last tenth is left for tasks that grow after they start.
const MEMORY_FILL: f64 = 0.9;
/// Weight of a new sample in what is learned: about the last ten samples count.
const LEARN: f64 = 0.1;
/// Weight of a sample of use: each task swings for itself, so that about forty count.
const LEARN_USE: f64 = 0.025;
/// Share of the aim that an expected start may take; the rest covers what the estimate cannot see.
const AIM_SHARE: f64 = 0.5;
/// Starts within this factor of the soonest count as equally soon, so that the draw keeps its randomness.
const NEAR_SOONEST: f64 = 1.3;
/// A start is overdue at this multiple of its estimate: estimates are off by up to about half.
const OVERDUE: f64 = 2.0;
/// Ended programs remembered a machine; machines keep a handful.
const PROGRAMS: usize = 6;
/// Empty machines stay closed while the mean entry of opened ones is below this; the rest is for swings and
/// for machines that leave.
const OPENED_FILL: f64 = 0.7;
/// Homes of a service before any start is seen: the fewest that leave the draw a choice.
const HOMES: f64 = 2.0;
/// Share of the starts at homes wanted in time: more homes spread a service until about one start in five
/// finds no program there; fewer would crowd it for little.
const HOMES_TIMELY: f64 = 0.8;
/// Part of a machine that a class leaves to higher priorities when all of its tasks are pushed out: half, so
/// that it still finds room on machines that the others use little.
const HEADROOM_MOST: f64 = 0.5;
/// Chance of a probe after a bind, and machines probed then: the least the update condition needs.
const PROBE_CHANCE: f64 = 0.25;

/// One scheduler's decisions: it is told what happened and answers with what to do.
pub struct Scheduler {
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    born: Option<Micros>,
    machines: Table<NodeId, Machine>,
    version: u64,
    watch_at: Option<Micros>,
    watch_failures: u32,
    tasks: Table<RequestId, Task>,
    /// Tasks without an offer, by when each has to be answered.
    held: BTreeSet<(Micros, RequestId)>,
    others: Mean,
    services: Table<ServiceId, Table<NodeId, u32>>,
    /// Machines that owe a word on an offer, and some that did.
    awaited: BTreeSet<NodeId>,
    use_ratio: [f64; 2],
    start_times: Vec<[f64; 2]>,
    homes: Vec<f64>,
    headroom: Vec<f64>,
    room_news: bool,
    next_try: Micros,
    wake: Micros,
    compared: Cell<u64>,
    out: Vec<Action>,
}

impl Scheduler {
    /// A scheduler that has just started and knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Scheduler {
        // Before any start is seen: one without the program misses the aim, one with it takes a part of it.
        let start_times = settings.classes.iter().map(|c| {
            [
                c.latency_objective as f64 * 0.25,
                c.latency_objective as f64 * 2.0,
            ]
        });
        Scheduler {
            // Before any use is seen: a machine full by asks is taken to be full by use.
            use_ratio: [
                1.0 / settings.cores_overcommit.max(1.0),
                1.0 / settings.memory_overcommit.max(1.0),
            ],
            start_times: start_times.collect(),
            homes: vec![HOMES; settings.classes.len()],
            headroom: vec![0.0; settings.classes.len()],
            rng: fastrand::Rng::with_seed(seed),
            settings,
            now: 0,
            born: None,
            machines: Table::new(),
            version: 0,
            watch_at: None,
            watch_failures: 0,
            tasks: Table::new(),
            held: BTreeSet::new(),
            others: Mean::default(),
            services: Table::new(),
            awaited: BTreeSet::new(),
            room_news: false,
            next_try: 0,
            wake: Micros::MAX,
            compared: Cell::new(0),
            out: Vec::new(),
        }
    }

    /// Takes in what happened at `now` and returns what to do about it.
    pub fn handle(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.now = self.now.max(now.min(Micros::MAX / 4));
        if self.born.is_none() {
            self.born = Some(self.now);
            self.watch_at = self.settings.is_list_polled.then_some(self.now);
        }
        for event in events {
            self.take_in(event);
        }
        self.ask_for_list();
        self.look_for_silence();
        self.place_held();
        self.set_wake();
        std::mem::take(&mut self.out)
    }

    /// Machines that binds have looked at, and held against each other: for tests of what a bind costs.
    pub fn comparisons(&self) -> u64 {
        self.compared.get()
    }

    fn take_in(&mut self, event: &Event) {
        match event {
            Event::NodeList {
                kind: scope,
                version,
                entries: lines,
            } => self.on_list(*scope, *version, lines),
            Event::Place(ask) => self.on_place(ask),
            Event::RunningTask {
                request,
                node: machine,
            } => self.on_standing(request, *machine),
            Event::Placed {
                request,
                attempt,
                node: machine,
            } => self.on_placed(*request, *attempt, *machine),
            Event::TaskUpdated {
                request,
                attempt,
                node: machine,
                update: note,
            } => {
                self.on_note(*request, *attempt, *machine, *note);
            }
            Event::AttemptEnded {
                request,
                attempt,
                node: machine,
                outcome,
                reason: why,
                is_final: over,
                load,
            } => {
                self.on_ended(*request, *attempt, *machine, *outcome, *why, *over);
                if let Some(load) = load {
                    self.on_load(*machine, load);
                }
            }
            Event::RequestCancelled(request) => self.close(*request),
            Event::Timer(_) => (self.wake, self.room_news) = (Micros::MAX, true),
            Event::Probed {
                node: machine,
                answered,
                load,
            } => {
                if *answered {
                    self.on_heard(*machine);
                }
                if let Some(load) = load {
                    self.on_load(*machine, load);
                }
            }
            Event::Peer { .. } => {}
        }
    }

    // ---- The machine list ----

    fn on_list(&mut self, scope: ListUpdateKind, version: u64, lines: &[NodeEntry]) {
        if scope == ListUpdateKind::Failed {
            // Danger: all schedulers lose the list at once and ask again in step; waits grow and scatter.
            let [first, most] = self.settings.poll_backoff;
            let wait = (first << self.watch_failures).min(most);
            self.watch_failures = (self.watch_failures + 1).min(4);
            self.watch_at = Some(self.now + wait / 2 + self.rng.u64(0..=wait / 2));
            return;
        }
        if !matches!(scope, ListUpdateKind::Cached | ListUpdateKind::SubsetChange) {
            (self.watch_failures, self.watch_at) = (0, None);
        }
        // Danger: a list older than the one held would bring drained machines back.
        if version < self.version && scope != ListUpdateKind::Cached {
            return;
        }
        self.version = version;
        self.room_news = true;
        if !matches!(
            scope,
            ListUpdateKind::Incremental | ListUpdateKind::SubsetChange
        ) {
            let named: BTreeSet<NodeId> = lines.iter().map(|line| line.node).collect();
            for machine in self.machines.values_mut() {
                if !named.contains(&machine.line.node) {
                    machine.line.state = NodeStatus::Gone;
                }
            }
        }
        for line in lines {
            self.on_line(line);
        }
        // Bounded state: a machine that left is forgotten with its last task. Danger: one that was gone for
        // an instant comes back cold, and the offers that it got are still to be counted.
        let since = self.now.saturating_sub(self.cold_window());
        self.machines.retain(|_, m| {
            let offered = m.offers.back().is_some_and(|at| *at > since);
            m.line.state != NodeStatus::Gone || offered || m.programs.values().any(|p| p.0 > 0)
        });
        self.others = Mean::of(self.machines.values().filter_map(|m| m.others));
    }

    fn on_line(&mut self, line: &NodeEntry) {
        // Times near the end of their type would overflow in sums.
        let line = &NodeEntry {
            started_at: line.started_at.min(self.now),
            ..line.clone()
        };
        let kind = self.settings.node_kinds.get(usize::from(line.kind));
        let then = self.now.saturating_sub(self.settings.poll_interval / 4); // A guess of the list's lateness.
        let machine = self
            .machines
            .entry(line.node)
            .or_insert_with(|| Machine::new(line.node));
        let (cores, memory) = kind.map_or((0.0, 0.0), |k| (k.cores, k.memory));
        (machine.cores, machine.memory, machine.listed) = (cores, memory, true);
        if line.started_at != machine.line.started_at {
            // A restarted process keeps no program, no load and no fault of its earlier life.
            machine.programs.retain(|_, (running, _)| *running > 0);
            (machine.others, machine.refused, machine.rests) = (None, None, Table::new());
            machine.excess = [0.0; 2];
        }
        machine.line = line.clone();
        // Danger: a list that runs behind would erase what the machine itself told since.
        let news = then >= machine.told_at;
        if let (Some(free_cores), Some(free_memory), true) =
            (line.free_cores, line.free_memory, news)
        {
            let asked = [cores - free_cores, memory - free_memory];
            Scheduler::learn_others(&self.settings, machine, asked, then);
        }
    }

    /// Danger: a late report lacks the binds made since and would erase them from the entry. Own asks are
    /// known exactly, so a report only tells what others asked: its total less what was ours at that time.
    /// When exactly it was made is not told, so own asks at that time are uncertain: the news overwrites by
    /// the part that others have in it, twice over, since both the old and the new figure hold that error.
    fn learn_others(settings: &Settings, machine: &mut Machine, asked: [f64; 2], then: Micros) {
        let own = machine.own_at(then);
        let alone = settings.schedulers <= 1;
        let weight = (1.0 - 1.0 / f64::from(settings.schedulers.max(1))).powi(2);
        for i in 0..2 {
            let seen = if alone || !asked[i].is_finite() {
                0.0
            } else {
                (asked[i] - own[i]).max(0.0)
            };
            let others = machine.others.get_or_insert([f64::NAN; 2]);
            others[i] = if others[i].is_nan() {
                seen
            } else {
                others[i] + weight * (seen - others[i])
            };
        }
    }

    fn ask_for_list(&mut self) {
        if self.watch_at.is_some_and(|at| at <= self.now) {
            self.watch_at = None;
            self.out.push(Action::WatchNodes);
        }
    }

    // ---- A task comes ----

    fn on_place(&mut self, ask: &PlacementRequest) {
        if !ask.makes_sense(&self.settings) {
            self.out.push(Action::Reject {
                request: ask.id,
                retry_after: None,
            });
            return;
        }
        if self.tasks.contains_key(&ask.id) {
            return;
        }
        let deadline = self.now.saturating_add(ask.deadline_in);
        let task = Task::new(ask, self.now, deadline, Stage::Held);
        self.tasks.insert(ask.id, task);
        if !self.try_place(ask.id, None) {
            self.hold(ask.id);
        }
    }

    fn on_standing(&mut self, ask: &PlacementRequest, machine: NodeId) {
        if !ask.makes_sense(&self.settings) || self.tasks.contains_key(&ask.id) {
            return;
        }
        let mut task = Task::new(ask, self.now, self.now, Stage::Placed);
        let attempt = self.open_attempt(&task.ask, machine, 0.0, true, false);
        // Danger: lists and reports count the task already, and as another's. It would stand in the entry
        // twice, and after a restart the machines would look full.
        if let Some(m) = self.machines.get_mut(&machine) {
            let before = m.others;
            m.was_own_before(ask);
            self.others.change(before, m.others);
        }
        task.attempts.push(attempt);
        self.tasks.insert(ask.id, task);
    }

    fn hold(&mut self, request: RequestId) {
        if let Some(task) = self.tasks.get(&request) {
            self.held.insert((self.ends_at(task), request));
        }
    }

    fn is_held(&self, request: RequestId) -> bool {
        self.tasks
            .get(&request)
            .is_some_and(|t| t.stage == Stage::Held)
    }

    /// Until then a held task can still be placed. Held past the window of its key, it can be placed no more.
    fn ends_at(&self, task: &Task) -> Micros {
        let class = &self.settings.classes[usize::from(task.ask.class)];
        let first = task.attempts.iter().find(|a| a.may_have_run);
        let window = match (class.idempotency, first) {
            (Idempotency::Keyed { window, .. }, Some(first)) => {
                (first.sent_at + window).saturating_sub(self.settings.tick)
            }
            _ => Micros::MAX,
        };
        task.deadline.saturating_sub(self.margin()).min(window)
    }

    /// Danger: many tasks are held where room is short. Looked at with each batch, they take all the time
    /// that there is, and answers come too late. They are looked at when something can come of it.
    fn place_held(&mut self) {
        while let Some((_, request)) = self.held.first().copied().filter(|(at, _)| *at <= self.now)
        {
            self.held.pop_first();
            if self.is_held(request) {
                // It can be placed no more: its owner is told at once.
                self.answer_no(request);
            }
        }
        if self.now < self.next_try || !self.room_news || self.held.is_empty() {
            return;
        }
        // Danger: when room is short the first in line takes it; the most worth for its room goes first.
        let waiting = std::mem::take(&mut self.held)
            .into_iter()
            .filter(|(_, r)| self.is_held(*r));
        let mut ranked: Vec<(f64, RequestId)> = waiting.map(|(_, r)| (self.value(r), r)).collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        (self.room_news, self.next_try) = (false, self.now + self.shortest_aim() / 32);
        let open = self.open_to(&ranked);
        for (_, request) in ranked {
            if !self.try_place(request, Some(&open)) {
                self.hold(request);
            }
        }
    }

    /// Machines that could take the least of these tasks. Nothing opens while they are gone through.
    fn open_to(&self, waiting: &[(f64, RequestId)]) -> Vec<NodeId> {
        let asks = || {
            waiting
                .iter()
                .filter_map(|(_, r)| self.tasks.get(r))
                .map(|t| &t.ask)
        };
        let least = |of: fn(&PlacementRequest) -> f64| asks().map(of).fold(f64::INFINITY, f64::min);
        let least = [least(|a| a.cores), least(|a| a.memory)];
        let mean = self.others.get();
        let open = |m: &&Machine| {
            m.line.state == NodeStatus::Ready
                && self.has_room(m, least, 1.0, mean)
                && self.cold_allows(m)
        };
        self.machines
            .values()
            .filter(open)
            .map(|m| m.line.node)
            .collect()
    }

    /// Worth for its room: worth goes with size, so only class and timeliness tell.
    fn value(&self, request: RequestId) -> f64 {
        let Some(task) = self.tasks.get(&request) else {
            return 0.0;
        };
        let class = &self.settings.classes[usize::from(task.ask.class)];
        let timely = self.is_timely(task);
        class.weight
            * class.start_seconds.max(1.0)
            * (2.0 + if timely { 1.0 } else { class.late_weight })
    }

    fn shortest_aim(&self) -> Micros {
        self.settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or(self.settings.poll_interval)
    }

    /// Time to spare before a deadline: answers count for a little longer, batches come a tick apart.
    fn margin(&self) -> Micros {
        self.settings.answer_slack + 2 * self.settings.tick
    }

    // ---- The filter and the draw ----

    /// Draws a machine and offers the task; false leaves it held.
    fn try_place(&mut self, request: RequestId, among: Option<&[NodeId]>) -> bool {
        let Some(task) = self.tasks.get(&request) else {
            return true;
        };
        if task.deadline <= self.now + self.margin() || self.now < task.rests_until {
            return false;
        }
        // An unheard machine starts at the mean of those heard.
        let mean_others = self.others.get();
        let counts = self.counts(task);
        let may = |m: &&Machine| self.may_take(m, task, mean_others, &counts);
        let mut set: Vec<&Machine> = match among {
            Some(ids) => ids
                .iter()
                .filter_map(|id| self.machines.get(id))
                .filter(may)
                .collect(),
            None => self.machines.values().filter(may).collect(),
        };
        self.compared
            .set(self.compared.get() + among.map_or(self.machines.len(), <[_]>::len) as u64);
        self.keep_opened(&mut set, mean_others);
        self.keep_home(&mut set, &task.ask, mean_others);
        narrow(&mut set, |m| {
            self.keeps_memory_free(m, &task.ask, mean_others)
        });
        self.keep_timely(&mut set, task);
        let set: Vec<(NodeId, f64, f64)> = set
            .iter()
            .map(|m| (m.line.node, m.cores, self.entry(m, mean_others)))
            .collect();
        let Some(machine) = self.draw(set) else {
            return false;
        };
        self.offer(request, machine);
        true
    }

    fn may_take(&self, m: &Machine, task: &Task, mean_others: [f64; 2], counts: &Counts) -> bool {
        let class = &self.settings.classes[usize::from(task.ask.class)];
        m.line.state == NodeStatus::Ready
            && class.node_kind.is_none_or(|k| k == m.line.kind)
            && self.fits(m, &task.ask, mean_others)
            && self.is_rested(m, &task.ask, class)
            && self.group_allows(m, task, class)
            && self.spread_allows(m, class, counts)
            && self.cold_allows(m)
    }

    fn fits(&self, m: &Machine, ask: &PlacementRequest, mean_others: [f64; 2]) -> bool {
        let open = 1.0 - self.headroom[usize::from(ask.class)];
        let refused = m.refused.filter(|_| self.now < m.refused_until);
        let refused = refused.is_some_and(|r| ask.cores >= r[0] && ask.memory >= r[1]);
        !refused && self.has_room(m, [ask.cores, ask.memory], open, mean_others)
    }

    fn has_room(&self, m: &Machine, asks: [f64; 2], open: f64, mean_others: [f64; 2]) -> bool {
        let asked = m.asked(mean_others);
        asked[0] + asks[0] <= open * self.settings.cores_overcommit * m.cores
            && asked[1] + asks[1] <= open * self.settings.memory_overcommit * m.memory
    }

    /// Danger: a machine that answers nothing, or fails one tenant's tasks of one class, keeps an inviting
    /// entry and swallows task after task. What failed rests; a silent machine is tried with a task that may
    /// run twice.
    fn is_rested(&self, m: &Machine, ask: &PlacementRequest, class: &TaskClass) -> bool {
        let allows = |part: Part, may: bool| {
            m.rests
                .get(&part)
                .is_none_or(|r| may && self.now >= r.until)
        };
        allows(Part::Silent, class.idempotency == Idempotency::Idempotent)
            && [Part::Line, Part::of(ask)]
                .into_iter()
                .all(|part| allows(part, true))
    }

    /// Danger: a keyed task that may have run starts a second time on machines that do not know its key.
    fn group_allows(&self, m: &Machine, task: &Task, class: &TaskClass) -> bool {
        let Some(first) = task.attempts.iter().find(|a| a.may_have_run) else {
            return true;
        };
        let same_zone = m.line.zone == first.zone;
        self.may_send_again(task)
            && match class.idempotency {
                Idempotency::Keyed {
                    scope: DedupScope::Zone,
                    ..
                } => same_zone,
                Idempotency::Keyed {
                    scope: DedupScope::Rack,
                    ..
                } => same_zone && m.line.rack == first.rack,
                _ => true,
            }
    }

    /// Danger: a bind that crowds a service into one place; everything without an end counts.
    fn spread_allows(&self, m: &Machine, class: &TaskClass, counts: &Counts) -> bool {
        class.topology_spread == TopologySpread::Off
            || counts.at(m.place(class.topology_spread)) < class.max_per_domain
    }

    /// The tasks of a task's service by place. One handed over on a machine that no list names may stand
    /// anywhere, so it counts everywhere.
    fn counts(&self, task: &Task) -> Counts {
        let spread = self.settings.classes[usize::from(task.ask.class)].topology_spread;
        let held = self
            .services
            .get(&task.ask.service)
            .filter(|_| spread != TopologySpread::Off);
        let held = held
            .into_iter()
            .flatten()
            .filter_map(|(id, n)| Some((self.machines.get(id)?, *n)));
        Counts::of(held.map(|(m, n)| (m.listed.then(|| m.place(spread)), n)))
    }

    /// Danger: all schedulers together push a fresh machine over. The offers that it always bears are split
    /// among them, in any window, until it is warm for sure; refused offers count too. What does not divide
    /// goes to the numbers that follow a hash of the machine and its life: each offer has one owner.
    fn cold_allows(&self, m: &Machine) -> bool {
        if !self.is_cold(m) {
            return true;
        }
        let window = self.cold_window();
        // What an earlier life of this scheduler sent within the window is not known.
        if self.born.is_some_and(|born| self.now < born + window) && m.line.started_at > 0 {
            return false;
        }
        let all = u64::from(self.settings.schedulers.max(1));
        let bears = self.settings.slow_start_budget.max(0.0) as u64;
        let first = scatter(m.line.node.0 ^ scatter(m.line.incarnation)) % all;
        let place = (u64::from(self.settings.own_index) + all - first) % all;
        let share = bears / all + u64::from(place < bears % all);
        let share = m.line.slow_start_share.map_or(share, u64::from);
        let recent = m
            .offers
            .iter()
            .filter(|at| **at + window > self.now)
            .count();
        (recent as u64) < share
    }

    fn cold_window(&self) -> Micros {
        self.settings.overload_window + self.settings.overload_window / 4
    }

    fn is_cold(&self, m: &Machine) -> bool {
        let warm_at = m.line.started_at
            + self.settings.slow_start_window
            + self.settings.slow_start_window / 8;
        m.line.started_at > 0 && self.now < warm_at
    }

    /// Danger: memory in use at its end evicts tasks, and the asks do not show it. Machines that would keep
    /// a part of their memory free are preferred.
    fn keeps_memory_free(
        &self,
        m: &Machine,
        ask: &PlacementRequest,
        mean_others: [f64; 2],
    ) -> bool {
        let memory =
            m.expected_use(mean_others, self.use_ratio)[1] + ask.memory * self.use_ratio[1];
        memory <= MEMORY_FILL * m.memory
    }

    /// Danger: an empty machine is always the emptiest and draws; each one opened beyond the needed has its
    /// price. Machines that hold tasks are preferred while their mean leaves room to spare, unless a machine
    /// drains: the tasks that it sends away need all the room there is.
    fn keep_opened(&self, set: &mut Vec<&Machine>, mean_others: [f64; 2]) {
        let opened = |m: &Machine| m.asked(mean_others)[0] >= self.settings.mean_cores / 2.0;
        let entries: Vec<f64> = set
            .iter()
            .filter(|m| opened(m))
            .map(|m| self.entry(m, mean_others))
            .collect();
        let spare = entries.iter().sum::<f64>() <= OPENED_FILL * entries.len() as f64;
        let draining = || {
            self.machines
                .values()
                .any(|m| m.line.state == NodeStatus::Draining)
        };
        if self.settings.fleet_price > 0.0 && spare && !draining() {
            narrow(set, opened);
        }
    }

    /// Danger: a start without the program costs many times more and misses the aim, which is worth many
    /// seconds of service; so does a start behind many others. Machines expected to make it are preferred.
    fn keep_timely(&self, set: &mut Vec<&Machine>, task: &Task) {
        let class = &self.settings.classes[usize::from(task.ask.class)];
        let left =
            (task.arrived + class.latency_objective).saturating_sub(self.now) as f64 * AIM_SHARE;
        let soonest = set
            .iter()
            .map(|m| self.start_estimate(m, &task.ask))
            .fold(f64::INFINITY, f64::min);
        let limit = left.max(soonest * NEAR_SOONEST);
        narrow(set, |m| self.start_estimate(m, &task.ask) <= limit);
    }

    /// Danger: with many schedulers nobody sees where the others left a program, and its tasks start
    /// on ever new machines. The draw keeps to known holders and a few homes, ranked by service and id,
    /// larger machines ahead in proportion: all schedulers come to the same ones without a word.
    fn keep_home(&self, set: &mut Vec<&Machine>, ask: &PlacementRequest, mean_others: [f64; 2]) {
        let rank = |m: &Machine| preferred_node_rank(ask.service, m.line.node, m.cores);
        let mut ranked: Vec<(f64, &Machine)> = set.iter().map(|m| (rank(m), *m)).collect();
        // As many again stand in for homes that run short of memory.
        let homes = self.homes[usize::from(ask.class)].round() as usize;
        first(&mut ranked, homes * 2, |a, b| {
            b.0.total_cmp(&a.0).then(a.1.line.node.cmp(&b.1.line.node))
        });
        let mut ranked: Vec<&Machine> = ranked.into_iter().map(|(_, m)| m).collect();
        narrow(&mut ranked, |m| self.keeps_memory_free(m, ask, mean_others));
        // Danger: homes may be learned to grow with the machines; each held against each is their square.
        let homes = Homes::of(
            ranked.into_iter().take(homes).map(|m| m.line.node),
            &self.compared,
        );
        set.retain(|m| m.holds_program(ask.service) || homes.hold(m.line.node));
    }

    fn start_estimate(&self, m: &Machine, ask: &PlacementRequest) -> f64 {
        let cold = usize::from(!m.holds_program(ask.service));
        let own = self.start_times[usize::from(ask.class)][cold];
        let left =
            |(sent, estimate): &(Micros, f64)| (estimate - (self.now - sent) as f64).max(0.0);
        // Machines start a few tasks at a time: about a quarter of what is before this one delays it.
        let before: f64 = m.starting.values().map(left).sum::<f64>() * 0.25;
        // A fresh machine warms up from the least share it promises.
        let up = self.now.saturating_sub(m.line.started_at) as f64;
        let part = if self.is_cold(m) {
            up / self.settings.slow_start_window.max(1) as f64
        } else {
            1.0
        };
        let warmth = self.settings.slow_start_min_share
            + (1.0 - self.settings.slow_start_min_share) * part.min(1.0);
        (own + before) / warmth.max(f64::MIN_POSITIVE)
    }

    /// The entry: the larger share of cores or memory, as asked of what it accepts or as used of what it has.
    fn entry(&self, m: &Machine, mean_others: [f64; 2]) -> f64 {
        let asked = m.asked(mean_others);
        let used = m.expected_use(mean_others, self.use_ratio);
        let cores = (asked[0] / self.settings.cores_overcommit).max(used[0]) / m.cores.max(1e-9);
        let memory = (asked[1] / self.settings.memory_overcommit).max(used[1]) / m.memory.max(1e-9);
        cores.max(memory)
    }

    /// L-JBA: among those at or below the mean entry, with chance by cores.
    fn draw(&mut self, mut set: Vec<(NodeId, f64, f64)>) -> Option<NodeId> {
        let mean = set.iter().map(|(_, _, entry)| entry).sum::<f64>() / set.len().max(1) as f64;
        set.retain(|(_, _, entry)| *entry <= mean + 1e-9);
        let total: f64 = set.iter().map(|(_, cores, _)| cores).sum();
        let mut left = self.rng.f64() * total;
        let drawn = set.iter().find(|(_, cores, _)| {
            left -= cores;
            left < 0.0
        });
        drawn.or(set.last()).map(|(machine, _, _)| *machine)
    }

    // ---- The offer ----

    fn offer(&mut self, request: RequestId, machine: NodeId) {
        let Some(mut task) = self.tasks.remove(&request) else {
            return;
        };
        let m = &self.machines[&machine];
        let (estimate, warm) = (
            self.start_estimate(m, &task.ask),
            m.holds_program(task.ask.service),
        );
        let (timeout, part) = (self.patience(&task, estimate), Part::of(&task.ask));
        let attempt = self.open_attempt(&task.ask, machine, estimate, warm, true);
        task.attempts.push(attempt);
        task.stage = Stage::Offered;
        self.tasks.insert(request, task);
        if let Some(m) = self.machines.get_mut(&machine) {
            let window = self.settings.overload_window * 2;
            m.offers.retain(|at| at + window > self.now);
            m.offers.push_back(self.now);
            let tried = [Part::Silent, Part::Line, part]
                .into_iter()
                .filter(|p| m.rests.contains_key(p));
            for part in tried.collect::<Vec<Part>>() {
                self.rest(machine, part);
            }
        }
        self.out.push(Action::Dispatch {
            request,
            node: machine,
            timeout,
        });
        self.probe_some();
    }

    /// Adds the task to its entry at once.
    fn open_attempt(
        &mut self,
        ask: &PlacementRequest,
        machine: NodeId,
        estimate: f64,
        warm: bool,
        starting: bool,
    ) -> Attempt {
        let now = self.now;
        // A task handed over on a machine that no list has named yet: it is counted, not sent to.
        let m = self
            .machines
            .entry(machine)
            .or_insert_with(|| Machine::new(machine));
        m.add_own(now, ask, 1.0, self.settings.poll_interval);
        let program = m.programs.entry(ask.service).or_insert((0, now));
        *program = (program.0 + 1, now);
        if starting {
            m.starting.insert(ask.id, (now, estimate));
            m.unanswered.insert(ask.id, now);
            self.awaited.insert(machine);
        }
        *self
            .services
            .entry(ask.service)
            .or_default()
            .entry(machine)
            .or_insert(0) += 1;
        let (rack, zone) = (m.line.rack, m.line.zone);
        let (open, may_have_run, erred) = (true, false, false);
        Attempt {
            machine,
            rack,
            zone,
            sent_at: now,
            warm,
            open,
            starting,
            may_have_run,
            erred,
        }
    }

    /// Danger: a silent machine holds a task until its deadline. An attempt is given up while another could
    /// still succeed; one that must not run twice waits where only the end of its start is told.
    fn patience(&self, task: &Task, estimate: f64) -> Option<Micros> {
        let class = &self.settings.classes[usize::from(task.ask.class)];
        let left = task.deadline.saturating_sub(self.now) as f64;
        // A further try of a task confined to a rack or zone seldom finds the program there.
        let confined = matches!(
            class.idempotency,
            Idempotency::Keyed {
                scope: DedupScope::Rack | DedupScope::Zone,
                ..
            }
        );
        let wait = match self.settings.placement_ack {
            PlacementAck::Accepted => class.latency_objective as f64,
            // A start that is cut off is lost work, so half of what is left is waited at least.
            PlacementAck::Running => {
                (estimate * OVERDUE).max(left * if confined { 0.75 } else { 0.5 })
            }
        };
        let retry = self.start_times[usize::from(task.ask.class)][0]
            .max(class.latency_objective as f64 * 0.5);
        let last = task.attempts.len() + 1 >= self.settings.max_attempts as usize;
        let keeps = match class.idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { .. } => last || wait + retry > left,
            Idempotency::NonIdempotent => {
                self.settings.placement_ack == PlacementAck::Running || wait * OVERDUE > left
            }
        };
        (!keeps).then_some(wait as Micros)
    }

    fn probe_some(&mut self) {
        if self.settings.can_probe && self.rng.f64() < PROBE_CHANCE {
            let ready = self.ready(|_| true);
            if !ready.is_empty() {
                self.out
                    .push(Action::Probe(ready[self.rng.usize(0..ready.len())]));
            }
        }
    }

    fn ready(&self, passes: impl Fn(&Machine) -> bool) -> Vec<NodeId> {
        let ready = |m: &&Machine| m.line.state == NodeStatus::Ready && passes(m);
        self.machines
            .values()
            .filter(ready)
            .map(|m| m.line.node)
            .collect()
    }

    // ---- What machines answer ----

    fn on_heard(&mut self, machine: NodeId) {
        let Some(m) = self.machines.get_mut(&machine) else {
            return;
        };
        m.heard_at = self.now;
        if m.rests.remove(&Part::Silent).is_some() {
            self.room_news = true;
            self.out.push(Action::Log(format!(
                "machine {:x} answers again",
                machine.0
            )));
        }
    }

    fn on_placed(&mut self, request: RequestId, attempt: u16, machine: NodeId) {
        self.on_heard(machine);
        if let Some(m) = self.machines.get_mut(&machine) {
            m.unanswered.remove(&request);
        }
        if self.settings.placement_ack == PlacementAck::Running {
            self.on_runs(request, attempt);
        }
        let Some(task) = self
            .tasks
            .get_mut(&request)
            .filter(|t| t.stage == Stage::Offered)
        else {
            return;
        };
        task.stage = Stage::Placed;
        let (parts, first) = ([Part::Line, Part::of(&task.ask)], self.first_rest());
        let Some(m) = self.machines.get_mut(&machine) else {
            return;
        };
        m.errors.remove(&parts[1]);
        for part in parts {
            if let Some(rest) = m.rests.get_mut(&part) {
                // The trial itself had doubled it: a success halves it and lets the next one follow.
                (rest.until, rest.wait) = (self.now, rest.wait / 4);
            }
        }
        m.rests
            .retain(|part, rest| !parts.contains(part) || rest.wait >= first);
    }

    /// A start is over: what it took teaches the estimates of its class.
    fn on_runs(&mut self, request: RequestId, attempt: u16) {
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        let Some(a) = task
            .attempts
            .get_mut(usize::from(attempt))
            .filter(|a| a.starting)
        else {
            return;
        };
        a.starting = false;
        let took = (self.now - a.sent_at) as f64;
        let class = usize::from(task.ask.class);
        let aim = self.settings.classes[class].latency_objective as f64;
        if !a.warm && self.start_times[class][0] < aim {
            // How many tasks a service has is not told: homes that are often late are too many for it.
            let timely = if took <= aim { 1.0 } else { 0.0 };
            let homes = self.homes[class] * (1.0 + (timely - HOMES_TIMELY) * 0.5);
            self.homes[class] = homes.clamp(1.0, self.machines.len().max(1) as f64);
        }
        let time = &mut self.start_times[class][usize::from(!a.warm)];
        *time += LEARN * (took.min(*time * 4.0) - *time);
        if let Some(m) = self.machines.get_mut(&a.machine) {
            m.starting.remove(&request);
        }
    }

    fn on_note(&mut self, request: RequestId, attempt: u16, machine: NodeId, note: TaskUpdate) {
        self.on_heard(machine);
        let Some(task) = self.tasks.get(&request) else {
            return;
        };
        let ask = [task.ask.cores, task.ask.memory];
        match note {
            TaskUpdate::Running => self.on_runs(request, attempt),
            TaskUpdate::CoresUsed(x) => self.learn_use(0, x, ask[0]),
            TaskUpdate::MemoryUsed(x) => self.learn_use(1, x, ask[1]),
            TaskUpdate::ServedShare(_) | TaskUpdate::NodeMemoryShare(_) => {}
        }
    }

    fn learn_use(&mut self, i: usize, used: f64, asked: f64) {
        if used.is_finite() && asked > 0.0 && used >= 0.0 {
            let ratio = (used / asked).min(2.0);
            self.use_ratio[i] += LEARN_USE * (ratio - self.use_ratio[i]);
        }
    }

    /// What a machine uses beyond what its asks explain: neighbours, hungry services.
    fn learn_excess(&mut self, machine: NodeId, busy: [Option<f64>; 2]) {
        let (mean, ratio) = (self.others.get(), self.use_ratio);
        let Some(m) = self.machines.get_mut(&machine) else {
            return;
        };
        let (asked, size) = (m.asked(mean), [m.cores, m.memory]);
        for i in 0..2 {
            if let Some(share) = busy[i].filter(|b| b.is_finite()) {
                m.excess[i] += LEARN * (share * size[i] - asked[i] * ratio[i] - m.excess[i]);
            }
        }
    }

    fn on_load(&mut self, machine: NodeId, load: &LoadReport) {
        self.room_news = true;
        let mean = self.others.get();
        let then = self.now.saturating_sub(self.shortest_aim() / 2);
        let Some(m) = self.machines.get_mut(&machine) else {
            return;
        };
        let (size, asked) = ([m.cores, m.memory], m.asked(mean));
        let free = [load.free_cores, load.free_memory];
        let mut busy = [load.cpu_utilization, None];
        match self.settings.load_basis {
            LoadBasis::Requested => {
                if let [Some(cores), Some(memory)] = free {
                    let asked = [size[0] - cores, size[1] - memory];
                    let before = m.others;
                    Scheduler::learn_others(&self.settings, m, asked, then);
                    self.others.change(before, m.others);
                    m.told_at = then;
                }
            }
            LoadBasis::Used => {
                for i in 0..2 {
                    busy[i] = free[i].map(|f| 1.0 - f / size[i].max(1e-9)).or(busy[i]);
                }
            }
        }
        for i in 0..2 {
            // A nearly empty machine says nothing of what tasks use.
            if let Some(share) = busy[i].filter(|_| asked[i] > size[i] * 0.25) {
                self.learn_use(i, share * size[i], asked[i]);
            }
        }
        self.learn_excess(machine, busy);
    }

    // ---- The end of an attempt ----

    fn on_ended(
        &mut self,
        request: RequestId,
        attempt: u16,
        machine: NodeId,
        outcome: AttemptOutcome,
        why: EndReason,
        over: bool,
    ) {
        let silent = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        );
        if !silent && outcome != AttemptOutcome::Cancelled {
            self.on_heard(machine);
        }
        let Some(mut task) = self.tasks.remove(&request) else {
            return;
        };
        let Some(a) = task
            .attempts
            .get_mut(usize::from(attempt))
            .filter(|a| a.open)
        else {
            self.tasks.insert(request, task);
            return;
        };
        let sent_at = a.sent_at;
        (a.open, a.starting, a.erred) = (false, false, outcome == AttemptOutcome::Error);
        a.may_have_run = !matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        );
        let at = a.machine;
        self.close_attempt(&task.ask, at);
        let unheard = self.machines.get(&at).is_none_or(|m| m.heard_at <= sent_at);
        if outcome == AttemptOutcome::Completed || why == EndReason::Preempted {
            self.learn_headroom(task.ask.class, why == EndReason::Preempted);
        }
        match outcome {
            AttemptOutcome::Rejected => self.on_refused(at, &task.ask, why),
            AttemptOutcome::TimedOut | AttemptOutcome::Unreachable if unheard => self.on_silent(at),
            AttemptOutcome::Error if task.stage == Stage::Offered => self.on_error(at, &task),
            // It answers others: the danger lies in what was asked.
            AttemptOutcome::TimedOut | AttemptOutcome::Lost if task.stage == Stage::Offered => {
                self.rest(at, Part::of(&task.ask));
            }
            _ => {}
        }
        if outcome == AttemptOutcome::Rejected {
            task.rests_until = self.rest_after_refusal(&task);
        }
        let goes_on = !over && task.stage == Stage::Offered;
        if goes_on {
            task.stage = Stage::Held;
        } else if over {
            task.stage = Stage::Over;
        }
        if task.stage == Stage::Over && !task.attempts.iter().any(|a| a.open) {
            return;
        }
        let spent = task.attempts.len() >= self.settings.max_attempts as usize;
        let hopeless = spent || outcome == AttemptOutcome::NotSent || !self.may_send_again(&task);
        self.tasks.insert(request, task);
        if goes_on && hopeless {
            self.answer_no(request);
        } else if goes_on && !self.try_place(request, None) {
            self.hold(request);
        }
    }

    /// Danger: a task that takes the last room of a machine is pushed out moments later by one of a higher
    /// priority, which is priced and starts it anew. A class leaves a part of each machine free that follows
    /// the share of its tasks pushed out lately.
    fn learn_headroom(&mut self, class: u16, pushed_out: bool) {
        let wanted = if pushed_out { HEADROOM_MOST } else { 0.0 };
        let headroom = &mut self.headroom[usize::from(class)];
        *headroom += LEARN * (wanted - *headroom);
    }

    /// Own tasks that end or are lost leave the entry; the program stays a while.
    fn close_attempt(&mut self, ask: &PlacementRequest, machine: NodeId) {
        self.room_news = true;
        let now = self.now;
        release(&mut self.services, ask.service, machine);
        let Some(m) = self.machines.get_mut(&machine) else {
            return;
        };
        m.add_own(now, ask, -1.0, self.settings.poll_interval);
        m.refused = None;
        m.starting.remove(&ask.id);
        m.unanswered.remove(&ask.id);
        m.end_program(ask.service, now, PROGRAMS);
    }

    /// An error rests the like of it on its machine. Danger: a task that no machine can use errs wherever it
    /// is offered, and a few of them would close a whole cluster to their class. What errs on a second
    /// machine speaks against itself: neither rests unless another error came there before a placing.
    fn on_error(&mut self, machine: NodeId, task: &Task) {
        let part = Part::of(&task.ask);
        if let Some(m) = self.machines.get_mut(&machine) {
            *m.errors.entry(part).or_insert(0) += 1;
        }
        let alone = |m: &Machine| m.errors.get(&part).is_none_or(|n| *n <= 1);
        let elsewhere = task
            .attempts
            .iter()
            .filter(|a| a.erred && a.machine != machine);
        let elsewhere: Vec<NodeId> = elsewhere.map(|a| a.machine).collect();
        for other in &elsewhere {
            if let Some(m) = self.machines.get_mut(other).filter(|m| alone(m)) {
                m.rests.remove(&part);
            }
        }
        if elsewhere.is_empty() || !self.machines.get(&machine).is_some_and(alone) {
            self.rest(machine, part);
        }
    }

    /// A refusal marks the entry full. Danger: a table that is wrong about one machine sends it everything
    /// that is held, and each offer is turned away at once.
    fn on_refused(&mut self, machine: NodeId, ask: &PlacementRequest, why: EndReason) {
        let pause = self.shortest_aim();
        let accepts = [
            self.settings.cores_overcommit,
            self.settings.memory_overcommit,
        ];
        let Some(m) = self.machines.get_mut(&machine) else {
            return;
        };
        let (size, asks) = ([m.cores, m.memory], [ask.cores, ask.memory]);
        let short = match why {
            EndReason::InsufficientCores => 0,
            EndReason::InsufficientMemory => 1,
            // It looks at offers too slowly, or drains before the list says so.
            EndReason::QueueFull | EndReason::Ineligible => return self.rest(machine, Part::Line),
            // Turned away for no reason that the table could show: only the like of it rests.
            _ => return self.rest(machine, Part::of(ask)),
        };
        // Less than this task's ask was free, half of it in the mean: the rest others asked.
        let before = m.others;
        let others = m.others.get_or_insert([0.0; 2]);
        others[short] =
            others[short].max(accepts[short] * size[short] - asks[short] / 2.0 - m.own[short]);
        self.others.change(before, m.others);
        let mut refused = [0.0; 2];
        refused[short] = asks[short];
        m.refused = Some(refused);
        (m.refused_until, m.told_at) = (self.now + pause, self.now);
    }

    /// Danger: where room is short, all schedulers follow the same late news, and the few attempts of a
    /// task are turned away within moments, each at its price. Past the aim no hurry pays for them: those
    /// left are spread over the time left, so that each meets other news.
    fn rest_after_refusal(&self, task: &Task) -> Micros {
        let attempts =
            u64::from(self.settings.max_attempts).saturating_sub(task.attempts.len() as u64);
        if self.is_timely(task) {
            return 0;
        }
        self.now + task.deadline.saturating_sub(self.now) / (attempts + 1)
    }

    /// A start now would still earn its full worth; a task that came again has lost it.
    fn is_timely(&self, task: &Task) -> bool {
        let class = &self.settings.classes[usize::from(task.ask.class)];
        !task.ask.is_retry && self.now < task.arrived + class.latency_objective
    }

    fn may_send_again(&self, task: &Task) -> bool {
        let class = &self.settings.classes[usize::from(task.ask.class)];
        let Some(first) = task.attempts.iter().find(|a| a.may_have_run) else {
            return true;
        };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { window, .. } => {
                self.now + self.settings.tick < first.sent_at + window
            }
        }
    }

    /// The last answer to a task that is not placed: a refusal only where a retry is known to be harmless.
    fn answer_no(&mut self, request: RequestId) {
        let Some(task) = self.tasks.get(&request) else {
            return;
        };
        let class = &self.settings.classes[usize::from(task.ask.class)];
        let may_have_run = task.attempts.iter().any(|a| a.open || a.may_have_run);
        let harmless = match class.idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: DedupScope::All,
                ..
            } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !may_have_run,
        };
        let refusal = Action::Reject {
            request,
            retry_after: None,
        };
        self.out.push(if harmless {
            refusal
        } else {
            Action::Fail(request)
        });
        self.close(request);
    }

    /// The request is over; attempts still out are counted until their end is told.
    fn close(&mut self, request: RequestId) {
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        task.stage = Stage::Over;
        if !task.attempts.iter().any(|a| a.open) {
            self.tasks.remove(&request);
        }
    }

    // ---- Silence ----

    fn on_silent(&mut self, machine: NodeId) {
        if self
            .machines
            .get(&machine)
            .is_some_and(|m| !m.rests.contains_key(&Part::Silent))
        {
            self.rest(machine, Part::Silent);
            self.out.push(Action::Log(format!(
                "machine {:x} answers nothing",
                machine.0
            )));
        }
    }

    fn first_rest(&self) -> Micros {
        self.shortest_aim() * 2
    }

    /// What failed rests, and only that: a machine may fail, leave unanswered or turn away a part of what
    /// it is sent and serve the rest. After it one trial at a time tells whether the trouble is over; each
    /// doubles the rest, up to half of the time that a list is good for.
    fn rest(&mut self, machine: NodeId, part: Part) {
        let (first, most, now) = (self.first_rest(), self.settings.poll_interval / 2, self.now);
        let Some(m) = self.machines.get_mut(&machine) else {
            return;
        };
        // Bounded state: what was not tried for long is forgotten.
        m.rests
            .retain(|p, r| *p == Part::Silent || *p == part || r.until.saturating_add(most) > now);
        let rest = m.rests.entry(part).or_default();
        if rest.until <= now {
            rest.wait = rest.wait.saturating_mul(2).clamp(first, most.max(first));
            rest.until = now + rest.wait;
        }
    }

    /// Danger: each attempt waits out its own patience while its silent machine goes on drawing others.
    fn look_for_silence(&mut self) {
        let least = self.shortest_aim() as f64;
        let overdue = |m: &Machine| {
            let first = m.unanswered.values().copied().min()?;
            let longest = m
                .starting
                .values()
                .map(|(_, estimate)| *estimate)
                .fold(0.0, f64::max);
            let wait = match self.settings.placement_ack {
                PlacementAck::Accepted => least,
                PlacementAck::Running => (longest * OVERDUE).max(least),
            };
            (m.heard_at.max(first) as f64 + wait < self.now as f64).then_some(m.line.node)
        };
        let machines = &self.machines;
        self.awaited
            .retain(|id| machines.get(id).is_some_and(|m| !m.unanswered.is_empty()));
        let silent = self
            .awaited
            .iter()
            .filter_map(|id| overdue(machines.get(id)?));
        for machine in silent.collect::<Vec<NodeId>>() {
            self.on_silent(machine);
        }
        if self.settings.can_probe {
            let lapsed = |m: &Machine| {
                m.rests
                    .get(&Part::Silent)
                    .is_some_and(|r| r.until <= self.now)
            };
            let due = self.ready(lapsed);
            for machine in due {
                self.rest(machine, Part::Silent);
                self.out.push(Action::Probe(machine));
            }
        }
    }

    // ---- Timers ----

    fn set_wake(&mut self) {
        let ends = self
            .held
            .first()
            .map(|(at, _)| (*at).min(self.now + self.shortest_aim() / 8));
        let wake = ends.into_iter().chain(self.watch_at).min();
        if let Some(at) = wake
            .map(|at| at.max(self.now + 1))
            .filter(|at| *at < self.wake)
        {
            self.wake = at;
            self.out.push(Action::SetTimer { label: 0, at });
        }
    }
}
