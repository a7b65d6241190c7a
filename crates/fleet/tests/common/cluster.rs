//! A simulated cluster with discrete time steps, whose schedulers receive list updates late and restart. It checks the
//! placement rules, using only what each scheduler received and did.

use super::*;
use fastrand::Rng;

pub const STEP: Micros = SECOND / 20;

pub struct Attempt {
    pub node: NodeId,
    rack: (u8, u16),
    sent_at: Micros,
    ends_at: Micros,
    is_open: bool,
    may_have_run: bool,
}

pub struct TrackedRequest {
    request: PlacementRequest,
    deadline: Micros,
    is_placed: bool,
    attempts: Vec<Attempt>,
}

impl TrackedRequest {
    fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_open)
    }
}

/// An attempt that has not ended.
struct OpenAttempt {
    request: RequestId,
    number: u16,
    node: NodeId,
    ends_at: Micros,
    is_placed: bool,
}

/// One scheduler, the updates in transit to it, and the events that it received.
pub struct Member<D> {
    pub scheduler: D,
    pub received: RecordingScheduler,
    in_transit: Vec<(Micros, Event)>,
    last_list: Option<Event>,
    timers: Vec<(Micros, u64)>,
    requests: BTreeMap<RequestId, TrackedRequest>,
}

impl<D> Member<D> {
    fn new(scheduler: D) -> Member<D> {
        Member {
            scheduler,
            received: RecordingScheduler::default(),
            in_transit: Vec::new(),
            last_list: None,
            timers: Vec::new(),
            requests: BTreeMap::new(),
        }
    }

    /// Returns the first open attempt of each request.
    fn open_attempts(&self) -> Vec<OpenAttempt> {
        let first_open = |(id, tracked): (&RequestId, &TrackedRequest)| {
            let number = tracked
                .attempts
                .iter()
                .position(|attempt| attempt.is_open)?;
            Some(OpenAttempt {
                request: *id,
                number: number as u16,
                node: tracked.attempts[number].node,
                ends_at: tracked.attempts[number].ends_at,
                is_placed: tracked.is_placed,
            })
        };
        self.requests.iter().filter_map(first_open).collect()
    }
}

pub struct Cluster<D> {
    pub settings: Settings,
    pub members: Vec<Member<D>>,
    pub fleet: BTreeMap<NodeId, NodeEntry>,
    pub now: Micros,
    pub rng: Rng,
    pub dispatches: u64,
    /// The maximum number of dispatches to a restarted node within an overload window.
    pub max_slow_start_dispatches: usize,
    version: u64,
    next_request: u64,
    /// Times of dispatches to each incarnation of a node, by node and start time: dispatches to an earlier incarnation
    /// do not count.
    slow_start_dispatches: BTreeMap<(NodeId, Micros), Vec<Micros>>,
    create_scheduler: fn(&Settings, u64) -> D,
}

impl<D: Decide> Cluster<D> {
    pub fn new(
        settings: &Settings,
        nodes: u64,
        seed: u64,
        create_scheduler: fn(&Settings, u64) -> D,
    ) -> Cluster<D> {
        let fleet = entries(0..nodes)
            .into_iter()
            .map(|entry| (entry.node, entry))
            .collect();
        let mut cluster = Cluster {
            settings: settings.clone(),
            members: Vec::new(),
            fleet,
            now: SECOND,
            rng: Rng::with_seed(seed),
            dispatches: 0,
            max_slow_start_dispatches: 0,
            version: 1,
            next_request: 1,
            slow_start_dispatches: BTreeMap::new(),
            create_scheduler,
        };
        for own_index in 0..settings.schedulers {
            let member = cluster.new_member(own_index);
            cluster.members.push(member);
        }
        for index in 0..cluster.members.len() {
            let full_list = cluster.full_list();
            cluster.handle(index, full_list);
        }
        cluster
    }

    fn new_member(&mut self, own_index: u32) -> Member<D> {
        let settings = Settings {
            own_index,
            ..self.settings.clone()
        };
        Member::new((self.create_scheduler)(&settings, self.rng.u64(..)))
    }

    fn next_request_id(&mut self) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        id
    }

    pub fn full_list(&self) -> Event {
        list(
            ListUpdateKind::Full,
            self.version,
            self.fleet.values().cloned().collect(),
        )
    }

    /// Changes these entries. Each scheduler receives the change up to `max_delay` later, as an incremental update or a
    /// full list; some receive it twice, some receive an older list after it, and some a failed poll before it.
    pub fn change(&mut self, changed: Vec<NodeEntry>, max_delay: Micros) {
        self.version += 1;
        for entry in &changed {
            match entry.state {
                NodeStatus::Gone => drop(self.fleet.remove(&entry.node)),
                _ => drop(self.fleet.insert(entry.node, entry.clone())),
            }
        }
        let full = self.full_list();
        let incremental = list(ListUpdateKind::Incremental, self.version, changed);
        for member in &mut self.members {
            let last = member.in_transit.iter().map(|(at, _)| *at).max();
            let after = last.unwrap_or(0).max(self.now);
            let at = after + self.rng.u64(0..=max_delay);
            let event = if self.rng.u8(0..4) == 0 {
                &full
            } else {
                &incremental
            };
            match self.rng.u8(0..8) {
                0 => member.in_transit.push((at, event.clone())),
                1 => member.in_transit.push((at + max_delay, event.clone())),
                2 => {
                    let failed = list(ListUpdateKind::Failed, 0, Vec::new());
                    member.in_transit.push((at, failed));
                }
                _ => {}
            }
            member.in_transit.push((at, event.clone()));
            if self.rng.u8(0..8) == 0 {
                let older = member.last_list.clone();
                member.in_transit.extend(older.map(|older| (at, older)));
            }
        }
    }

    pub fn place(&mut self, index: usize, class: u16, service: u64) {
        let id = self.next_request_id();
        let request = placement_request(id.0, class, service);
        let tracked = TrackedRequest {
            request: request.clone(),
            deadline: self.now + request.deadline_in,
            is_placed: false,
            attempts: Vec::new(),
        };
        self.members[index].requests.insert(id, tracked);
        self.handle(index, Event::Place(request));
    }

    /// Kills a scheduler and starts it again with its last list; its running tasks are handed over to it.
    pub fn restart(&mut self, index: usize) {
        let new = self.new_member(index as u32);
        let old = std::mem::replace(&mut self.members[index], new);
        let is_listed = |entry: &NodeEntry| entry.state != NodeStatus::Gone;
        let cached = old
            .received
            .entries
            .into_values()
            .filter(is_listed)
            .collect();
        self.members[index].in_transit = old.in_transit;
        let is_running = |tracked: &TrackedRequest| tracked.is_placed && tracked.has_open_attempt();
        let mut before: Vec<TrackedRequest> =
            old.requests.into_values().filter(is_running).collect();
        // Half are handed over before the list, half after it.
        let after = before.split_off(before.len() / 2);
        self.hand_over(index, before);
        self.handle(
            index,
            list(ListUpdateKind::Cached, old.received.version, cached),
        );
        self.hand_over(index, after);
    }

    fn hand_over(&mut self, index: usize, requests: Vec<TrackedRequest>) {
        for old in requests {
            let id = self.next_request_id();
            let request = PlacementRequest { id, ..old.request };
            let attempts: Vec<Attempt> = old
                .attempts
                .into_iter()
                .filter(|attempt| attempt.is_open)
                .collect();
            let node = attempts[0].node;
            let tracked = TrackedRequest {
                request: request.clone(),
                deadline: old.deadline,
                is_placed: true,
                attempts,
            };
            self.members[index].requests.insert(id, tracked);
            let reported_by = TaskReporter::Node;
            let running = Event::RunningTask {
                request,
                node,
                reported_by,
            };
            self.handle(index, running);
        }
    }

    pub fn handle(&mut self, index: usize, event: Event) {
        let now = self.now;
        let member = &mut self.members[index];
        member.received.decide(now, std::slice::from_ref(&event));
        if let Event::NodeList { kind, .. } = &event
            && matches!(kind, ListUpdateKind::Incremental | ListUpdateKind::Full)
        {
            member.last_list = Some(event.clone());
        }
        for action in member.scheduler.decide(now, &[event]) {
            match action {
                Action::Dispatch {
                    request,
                    node,
                    timeout,
                    send_by: _,
                } => {
                    self.on_dispatch(index, request, node, timeout);
                }
                Action::SetTimer { label, at } => self.members[index].timers.push((at, label)),
                Action::Reject { request, .. } | Action::Fail(request) => {
                    let tracked = self.members[index].requests.remove(&request);
                    let tracked = tracked.expect("the answer must belong to a known request");
                    let is_answerable = !tracked.is_placed && !tracked.has_open_attempt();
                    assert!(
                        is_answerable,
                        "a request must not be answered while an attempt is in flight"
                    );
                }
                _ => {}
            }
        }
    }

    fn on_dispatch(
        &mut self,
        index: usize,
        request: RequestId,
        node: NodeId,
        timeout: Option<Micros>,
    ) {
        self.dispatches += 1;
        let received = self.members[index].received.entries.get(&node);
        let entry = received
            .expect("the node must have been reported to the scheduler")
            .clone();
        let is_ready = entry.state == NodeStatus::Ready;
        assert!(
            is_ready,
            "scheduler {index} dispatched to {node:?}, which is draining or gone"
        );
        self.check_retry(index, request, &entry);
        self.check_topology_spread(index, request, &entry);
        self.check_slow_start(&entry);
        let now = self.now;
        let tracked = self.members[index].requests.get_mut(&request).unwrap();
        let timeout_at = timeout.map_or(Micros::MAX, |timeout| now + timeout);
        tracked.attempts.push(Attempt {
            node,
            rack: (entry.zone, entry.rack),
            sent_at: now,
            ends_at: tracked.deadline.min(timeout_at),
            is_open: true,
            may_have_run: false,
        });
    }

    /// Checks that a request has one attempt at a time, and that after an attempt that may have run it is retried only
    /// as its idempotency permits.
    fn check_retry(&self, index: usize, request: RequestId, entry: &NodeEntry) {
        let tracked = &self.members[index].requests[&request];
        assert!(
            !tracked.is_placed && !tracked.has_open_attempt(),
            "scheduler {index}: two attempts of {request:?} are in flight"
        );
        assert!(tracked.attempts.len() < self.settings.max_attempts as usize);
        let Some(first) = tracked.attempts.iter().find(|attempt| attempt.may_have_run) else {
            return;
        };
        match self.settings.classes[usize::from(tracked.request.class)].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => {
                panic!("scheduler {index}: {request:?} must not run twice")
            }
            Idempotency::Keyed { window, .. } => {
                let is_same_rack = first.rack == (entry.zone, entry.rack);
                let is_in_window = self.now < first.sent_at + window;
                assert!(
                    is_same_rack && is_in_window,
                    "{request:?} was retried outside its deduplication scope"
                );
            }
        }
    }

    fn check_topology_spread(&self, index: usize, request: RequestId, entry: &NodeEntry) {
        let requests = &self.members[index].requests;
        let PlacementRequest { class, service, .. } = requests[&request].request;
        let class = &self.settings.classes[usize::from(class)];
        if class.topology_spread != TopologySpread::Rack {
            return;
        }
        let rack = (entry.zone, entry.rack);
        let in_rack = requests
            .values()
            .filter(|tracked| tracked.request.service == service)
            .flat_map(|tracked| &tracked.attempts)
            .filter(|attempt| attempt.is_open && attempt.rack == rack)
            .count();
        assert!(
            in_rack < class.max_per_domain as usize,
            "scheduler {index}: {service:?} has {in_rack} tasks in {rack:?}"
        );
    }

    /// Checks the slow-start budget, for schedulers that received the node's last start; the others assume that it is
    /// warm.
    fn check_slow_start(&mut self, entry: &NodeEntry) {
        let node = entry.node;
        let started_at = self.fleet.get(&node).map_or(0, |entry| entry.started_at);
        let is_known = started_at > 0 && entry.started_at == started_at;
        if !is_known || self.now >= started_at + self.settings.slow_start_window {
            return;
        }
        let sent = self
            .slow_start_dispatches
            .entry((node, started_at))
            .or_default();
        sent.retain(|at| at + self.settings.overload_window > self.now);
        sent.push(self.now);
        self.max_slow_start_dispatches = self.max_slow_start_dispatches.max(sent.len());
        assert!(
            sent.len() as f64 <= self.settings.slow_start_budget,
            "{node:?} exceeds its slow-start budget: {sent:?}"
        );
    }

    /// Advances the time, delivers due events, and ends some attempts and tasks at random.
    pub fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.members.len() {
            self.deliver(index);
            for attempt in self.members[index].open_attempts() {
                self.advance(index, &attempt);
            }
        }
    }

    fn deliver(&mut self, index: usize) {
        let now = self.now;
        while let Some(i) = self.members[index]
            .in_transit
            .iter()
            .position(|(at, _)| *at <= now)
        {
            let (_, event) = self.members[index].in_transit.remove(i);
            self.handle(index, event);
        }
        while let Some(i) = self.members[index]
            .timers
            .iter()
            .position(|(at, _)| *at <= now)
        {
            let (_, label) = self.members[index].timers.remove(i);
            self.handle(index, Event::Timer(label));
        }
    }

    /// Lets an attempt end, be placed or continue, at random.
    fn advance(&mut self, index: usize, attempt: &OpenAttempt) {
        let OpenAttempt {
            request,
            number,
            node,
            ends_at,
            is_placed,
        } = *attempt;
        let is_gone = !self.fleet.contains_key(&node);
        let outcome = match (is_placed, self.rng.u8(0..100)) {
            (true, 0..2) => AttemptOutcome::Completed,
            (true, _) if is_gone => AttemptOutcome::Lost,
            (false, _) if ends_at <= self.now => AttemptOutcome::TimedOut,
            (false, 0..10) if is_gone => AttemptOutcome::Unreachable,
            (false, 0..5) => AttemptOutcome::Rejected,
            (false, 5..8) => AttemptOutcome::Lost,
            (false, 8..50) if !is_gone => {
                self.members[index]
                    .requests
                    .get_mut(&request)
                    .unwrap()
                    .is_placed = true;
                self.handle(
                    index,
                    Event::Placed {
                        request,
                        attempt: number,
                        node,
                    },
                );
                return;
            }
            _ => return,
        };
        self.end_attempt(index, request, number, outcome);
    }

    fn end_attempt(
        &mut self,
        index: usize,
        request: RequestId,
        number: u16,
        outcome: AttemptOutcome,
    ) {
        let Some(tracked) = self.members[index].requests.get_mut(&request) else {
            return;
        };
        // The only attempt of a handed-over task has number 0.
        let attempt = &mut tracked.attempts[usize::from(number)];
        attempt.is_open = false;
        attempt.may_have_run = !matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable
        );
        let node = attempt.node;
        let is_final = tracked.is_placed;
        if is_final {
            self.members[index].requests.remove(&request);
        }
        let ended = Event::AttemptEnded {
            request,
            attempt: number,
            node,
            outcome,
            reason: EndReason::Unknown,
            is_final,
            load: None,
        };
        self.handle(index, ended);
    }

    /// Lets up to `max_faults` random nodes drain, fail or restart.
    pub fn inject_faults(&mut self, max_faults: u64, nodes: u64) {
        let faults = self.rng.u64(1..=max_faults);
        let fault = |_| {
            let id = self.rng.u64(0..nodes);
            let restarted = NodeEntry {
                started_at: self.now,
                incarnation: self.now,
                ..entry(id)
            };
            match self.rng.u8(0..4) {
                0 => NodeEntry {
                    state: NodeStatus::Draining,
                    ..restarted
                },
                1 => NodeEntry {
                    state: NodeStatus::Gone,
                    ..restarted
                },
                _ => restarted,
            }
        };
        // An update may contain a node twice; the last entry counts.
        let changed: Vec<NodeEntry> = (0..faults).map(fault).collect();
        self.change(changed, SECOND);
    }

    /// Runs for `seconds` with faults, and with about `tasks` placement requests per second at each scheduler.
    pub fn run(&mut self, seconds: u64, tasks: u64, max_faults: u64, nodes: u64) {
        for step in 0..seconds * SECOND / STEP {
            if step % 20 == 0 {
                self.inject_faults(max_faults, nodes);
            }
            for index in 0..self.members.len() {
                if self.rng.u64(0..SECOND / STEP) < tasks {
                    let class = self.rng.u16(0..3);
                    let service = u64::from(class) * 100 + self.rng.u64(0..5);
                    self.place(index, class, service);
                }
            }
            self.step();
        }
    }
}
