//! The scheduler of background work.

use crate::pressure::Pressure;
use crate::token_bucket::{ClassBudget, TokenBucket};
use crate::{Action, ClassStatus, Cost, EndReason, Event, Micros, Settings, WorkId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Processor time of one processor in one second, in microseconds.
const CPU_MICROS_PER_SECOND: f64 = 1e6;
/// Interval at which ready items in the queue are checked again, since budgets refill continuously.
const BUDGET_CHECK_INTERVAL: Micros = 10_000;

/// A work item that is queued or running.
struct WorkItem {
    class: usize,
    /// Expected cost.
    cost: Cost,
    deadline: Option<Micros>,
    submitted_at: Micros,
    /// End of the backoff after a failure.
    not_before: Micros,
    /// Number of attempts that were started.
    attempts: u32,
    is_running: bool,
}

/// Queue, budget and counters of a class.
#[derive(Default)]
struct ClassState {
    budget: ClassBudget,
    running: usize,
    /// Queued items by time of submission, oldest first. An item that is retried keeps its time of submission.
    queue: BTreeSet<(Micros, WorkId)>,
    status: ClassStatus,
}

/// Decides when background work runs.
pub struct BackgroundScheduler {
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    items: BTreeMap<WorkId, WorkItem>,
    classes: Vec<ClassState>,
    /// Budget of processor time of all classes together.
    cpu_budget: TokenBucket,
    pressure: Pressure,
    /// Whether running items were told to pause.
    is_paused: bool,
    actions: Vec<Action>,
}

impl BackgroundScheduler {
    /// Creates a scheduler without work. `seed` determines the jitter of backoffs.
    pub fn new(settings: Settings, seed: u64) -> BackgroundScheduler {
        let classes = settings
            .classes
            .iter()
            .map(|_| ClassState::default())
            .collect();
        BackgroundScheduler {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            items: BTreeMap::new(),
            classes,
            cpu_budget: TokenBucket::default(),
            pressure: Pressure::default(),
            is_paused: false,
            actions: Vec::new(),
        }
    }

    /// Handles an event at `now` and returns the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        self.refill_until_pressure_expiry(now);
        self.now = self.now.max(now);
        self.refill_budgets();
        self.apply(event);
        self.pause_or_resume();
        self.drop_expired();
        self.start_ready();
        std::mem::take(&mut self.actions)
    }

    /// Returns the latest time at which [`BackgroundScheduler::handle`] must be called if no event occurs before;
    /// `None` if there is nothing to wait for.
    pub fn next_wake(&self) -> Option<Micros> {
        if self.items.values().all(|item| item.is_running) && !self.is_paused {
            return None;
        }
        let queued = || self.items.values().filter(|item| !item.is_running);
        let retry = queued()
            .map(|item| item.not_before)
            .filter(|at| *at > self.now)
            .min();
        let deadline = queued().filter_map(|item| item.deadline).min();
        let budget = queued()
            .any(|item| item.not_before <= self.now)
            .then_some(self.now + BUDGET_CHECK_INTERVAL);
        let pressure_end = self
            .is_paused
            .then(|| self.pressure.expires_at(&self.settings))
            .flatten();
        [retry, deadline, budget, pressure_end]
            .into_iter()
            .flatten()
            .min()
            .map(|at| at.max(self.now + 1))
    }

    /// Returns the status of a class; all zero if no class has this index.
    pub fn status(&self, class: usize) -> ClassStatus {
        let Some(state) = self.classes.get(class) else {
            return ClassStatus::default();
        };
        let oldest_age = state
            .queue
            .first()
            .map_or(0, |(at, _)| self.now.saturating_sub(*at));
        ClassStatus {
            queued: state.queue.len(),
            running: state.running,
            oldest_age,
            ..state.status
        }
    }

    /// Returns the share of each second's processor time that background work may use now.
    pub fn cpu_share(&self) -> f64 {
        self.pressure.cpu_share(self.now, &self.settings)
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Submit {
                work,
                class,
                cost,
                deadline,
            } => self.submit(work, class, cost, deadline),
            Event::Completed(work, cost) => {
                if let Some(item) = self.take_running(work, cost) {
                    self.classes[item.class].status.completed += 1;
                }
            }
            Event::Failed {
                work,
                cost,
                is_retryable,
                retry_after,
            } => self.retry_or_end(work, cost, is_retryable, retry_after),
            Event::Cancel(work) => self.cancel(work),
            Event::PlacementLatency(latency) => self.pressure.report(self.now, latency),
        }
    }

    // ---- Budgets ----

    /// If the reported latency expired since the last call, refills the budget at the old share up to the time of
    /// expiry.
    fn refill_until_pressure_expiry(&mut self, now: Micros) {
        let expiry = self.pressure.expires_at(&self.settings);
        if let Some(at) = expiry.filter(|at| self.now < *at && *at <= now) {
            let rate = self.cpu_share() * CPU_MICROS_PER_SECOND;
            self.cpu_budget.refill(at - 1, rate, CPU_MICROS_PER_SECOND);
        }
    }

    fn refill_budgets(&mut self) {
        let rate = self.cpu_share() * CPU_MICROS_PER_SECOND;
        self.cpu_budget
            .refill(self.now, rate, CPU_MICROS_PER_SECOND);
        for (state, class) in self.classes.iter_mut().zip(&self.settings.classes) {
            state.budget.refill(self.now, class.budget);
        }
    }

    // ---- Work items ----

    fn submit(&mut self, work: WorkId, class: usize, cost: Cost, deadline: Option<Micros>) {
        if self.items.contains_key(&work) {
            return;
        }
        if !self.has_queue_capacity(class) || !cost.is_valid() {
            if let Some(state) = self.classes.get_mut(class) {
                state.status.ended.count(EndReason::Rejected);
            }
            self.actions.push(Action::End(work, EndReason::Rejected));
            return;
        }
        self.classes[class].queue.insert((self.now, work));
        let item = WorkItem {
            class,
            cost,
            deadline,
            submitted_at: self.now,
            not_before: self.now,
            attempts: 0,
            is_running: false,
        };
        self.items.insert(work, item);
    }

    fn has_queue_capacity(&self, class: usize) -> bool {
        self.settings
            .classes
            .get(class)
            .is_some_and(|settings| self.classes[class].queue.len() < settings.max_queued)
    }

    /// Removes a running item, and charges the difference between its actual and its expected cost.
    ///
    /// `None` if the item is not running: a late or repeated event has no effect.
    fn take_running(&mut self, work: WorkId, cost: Cost) -> Option<WorkItem> {
        let item = self.items.get(&work).filter(|item| item.is_running)?;
        let cost = if cost.is_valid() { cost } else { item.cost };
        let excess = cost.excess_over(item.cost);
        let state = &mut self.classes[item.class];
        state.budget.take(excess);
        self.cpu_budget.take(excess.cpu);
        state.running -= 1;
        state.status.used.add(cost);
        self.items.remove(&work)
    }

    fn retry_or_end(
        &mut self,
        work: WorkId,
        cost: Cost,
        is_retryable: bool,
        retry_after: Option<Micros>,
    ) {
        let Some(mut item) = self.take_running(work, cost) else {
            return;
        };
        let state = &mut self.classes[item.class];
        state.status.failed_attempts += 1;
        let policy = self.settings.classes[item.class].retry;
        if !is_retryable || item.attempts >= policy.max_attempts {
            state.status.ended.count(EndReason::Failed);
            self.actions.push(Action::End(work, EndReason::Failed));
            return;
        }
        let backoff = policy.backoff(item.attempts, &mut self.rng);
        let wait = backoff.max(retry_after.unwrap_or(0));
        item.is_running = false;
        item.not_before = self.now.saturating_add(wait);
        // The item keeps its age, so it does not go to the end of the queue.
        state.queue.insert((item.submitted_at, work));
        self.items.insert(work, item);
    }

    /// Cancels a queued item. A running item continues: its end is still reported and its cost charged.
    fn cancel(&mut self, work: WorkId) {
        if self.items.get(&work).is_some_and(|item| !item.is_running) {
            self.end_queued(work, EndReason::Cancelled);
        }
    }

    fn end_queued(&mut self, work: WorkId, reason: EndReason) {
        let Some(item) = self.items.remove(&work) else {
            return;
        };
        let state = &mut self.classes[item.class];
        state.queue.remove(&(item.submitted_at, work));
        state.status.ended.count(reason);
        self.actions.push(Action::End(work, reason));
    }

    /// Tells all running items to pause when placement comes under pressure, and to resume when it no longer is.
    fn pause_or_resume(&mut self) {
        let is_pressed = self.pressure.is_pressed(self.now, &self.settings);
        if is_pressed == self.is_paused {
            return;
        }
        self.is_paused = is_pressed;
        for (work, _) in self.items.iter().filter(|(_, item)| item.is_running) {
            self.actions.push(if is_pressed {
                Action::Pause(*work)
            } else {
                Action::Resume(*work)
            });
        }
    }

    fn drop_expired(&mut self) {
        let has_expired = |item: &WorkItem| {
            !item.is_running && item.deadline.is_some_and(|deadline| deadline <= self.now)
        };
        let expired: Vec<WorkId> = self
            .items
            .iter()
            .filter(|(_, item)| has_expired(item))
            .map(|(work, _)| *work)
            .collect();
        for work in expired {
            self.end_queued(work, EndReason::DeadlineExceeded);
        }
    }

    // ---- Starting ----

    /// Starts ready items in order of urgency while slots and budgets permit.
    fn start_ready(&mut self) {
        // A budget may be overdrawn by one item; otherwise an item larger than one second's budget would never start.
        while self.has_free_slot() && self.cpu_budget.has_tokens() {
            let Some(work) = self.most_urgent() else {
                return;
            };
            self.start(work);
        }
    }

    fn has_free_slot(&self) -> bool {
        let running: usize = self.classes.iter().map(|class| class.running).sum();
        running < self.settings.max_running
    }

    fn start(&mut self, work: WorkId) {
        let Some(item) = self.items.get_mut(&work) else {
            return;
        };
        let state = &mut self.classes[item.class];
        state.queue.remove(&(item.submitted_at, work));
        state.running += 1;
        state.budget.take(item.cost);
        self.cpu_budget.take(item.cost.cpu);
        item.is_running = true;
        item.attempts += 1;
        self.actions.push(Action::Start(work));
    }

    /// Returns the ready item with the highest sum of priority and age. Ties go to the oldest item, then to the class
    /// with the lowest index.
    fn most_urgent(&self) -> Option<WorkId> {
        let mut best = None;
        for (state, class) in self.classes.iter().zip(&self.settings.classes) {
            if state.running >= class.max_running || !state.budget.has_tokens() {
                continue;
            }
            // Within a class the oldest ready item is the most urgent, so only that one is compared.
            let is_ready = |(_, work): &&(Micros, WorkId)| {
                let item = self.items.get(work);
                item.is_some_and(|item| item.not_before <= self.now)
            };
            let Some((submitted_at, work)) = state.queue.iter().find(is_ready) else {
                continue;
            };
            let age = self.now.saturating_sub(*submitted_at) / self.settings.aging_interval.max(1);
            let urgency = (u64::from(class.priority) + age, Reverse(*submitted_at));
            if best.is_none_or(|(highest, _)| urgency > highest) {
                best = Some((urgency, *work));
            }
        }
        best.map(|(_, work)| work)
    }
}
