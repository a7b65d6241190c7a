//! When work that is not placing may run: pushing, storing, reporting, moving. Decisions only: no clock, no threads.
//!
//! Work comes in classes with a priority, budgets and a bounded queue. A piece of work is started when its class has a
//! slot and budget, and when the processor time that all background work may take allows it. That time is a share of
//! each second which follows the delay of placing: the whole of it while placing is calm, a small floor while it is
//! pressed, and between the two in proportion. What waits ages: each [`Settings::ages_every`] of waiting counts as one
//! step of priority, so that nothing starves. The floor, the ages and the bounds of the queues together bound the wait
//! of the lowest class.
//!
//! May use: nothing but the standard library and a seeded generator. Must not know: what the work is.

mod bucket;

use bucket::Bucket;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A time or a span in microseconds.
pub type Micros = u64;

/// What a piece of work costs, or a budget for each second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Processor time, in microseconds.
    pub cpu: f64,
    /// Bytes read or written.
    pub bytes: f64,
    /// Requests made.
    pub requests: f64,
}

/// How a class of work is tried again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retry {
    /// First wait; waits double, and are scattered between a half and the whole.
    pub least: Micros,
    /// They grow up to this.
    pub most: Micros,
    /// Tries of one piece of work, the first included.
    pub tries: u32,
}

/// One class of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Higher ones go first.
    pub priority: u32,
    /// What it may use each second; a burst of one second is allowed.
    pub budget: Cost,
    /// Pieces that may wait; further ones are turned away.
    pub queue: usize,
    /// Pieces that may run at once, so that a slow class does not hold every slot.
    pub slots: usize,
    /// How it is tried again.
    pub retry: Retry,
}

/// What the scheduler is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// Pieces that may run at once, all classes together.
    pub slots: usize,
    /// Share of a second's processor time that background work may take while placing is calm.
    pub calm_share: f64,
    /// And while placing is pressed: above 0, or the lowest class would wait for ever.
    pub pressed_share: f64,
    /// Up to this delay of placing it is calm.
    pub calm_below: Micros,
    /// From this delay on it is pressed.
    pub pressed_from: Micros,
    /// Each so long of waiting counts as one step of priority.
    pub ages_every: Micros,
    /// A pressure of which nothing is heard for so long has passed.
    pub pressure_lasts: Micros,
}

/// One piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkId(pub u64);

/// Something that happened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A piece of work is wanted.
    Submit {
        /// Made by who submits; not used twice.
        work: WorkId,
        /// Index of its class.
        class: usize,
        /// What it is expected to cost.
        cost: Cost,
        /// It is of no use if not started by then.
        deadline: Option<Micros>,
    },
    /// A piece of work went well; what it did cost.
    Completed(WorkId, Cost),
    /// It failed; `retry_after` is the other side's wish, and `again` false where a further try is of no use.
    Failed {
        /// Which.
        work: WorkId,
        /// What it did cost.
        cost: Cost,
        /// A further try may go well.
        again: bool,
        /// Not before this long.
        retry_after: Option<Micros>,
    },
    /// It is no longer wanted.
    Cancel(WorkId),
    /// The delay that placing has now.
    PlacementLatency(Micros),
}

/// Why a piece of work ends without having gone well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Ended {
    /// Its class has no room to wait, or does not exist.
    TurnedAway,
    /// Its deadline passed before it was started.
    TooLate,
    /// It failed for good, or too often.
    Failed,
    /// It is no longer wanted.
    Cancelled,
}

/// Something to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start it.
    Start(WorkId),
    /// Pause it where it can: placing is pressed. It goes on when [`Action::GoOn`] comes.
    GiveWay(WorkId),
    /// Placing is calmer.
    GoOn(WorkId),
    /// It is over; whoever submitted it is to be told.
    End(WorkId, Ended),
}

/// How one class stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassStatus {
    /// Pieces that wait, for their turn or for a further try.
    pub waiting: usize,
    /// Pieces that run.
    pub running: usize,
    /// Pieces that went well.
    pub finished: u64,
    /// Tries that failed.
    pub failed: u64,
    /// Pieces turned away, too late, failed for good and cancelled.
    pub ended: [u64; 4],
    /// What it has used.
    pub used: Cost,
    /// Time since the oldest that waits was submitted.
    pub oldest: Micros,
}

struct Piece {
    class: usize,
    cost: Cost,
    deadline: Option<Micros>,
    submitted: Micros,
    not_before: Micros,
    tries: u32,
    running: bool,
}

#[derive(Default)]
struct ClassState {
    buckets: [Bucket; 3],
    running: usize,
    waiting: BTreeSet<(Micros, WorkId)>,
    status: ClassStatus,
}

/// Decides when background work runs.
pub struct BackgroundScheduler {
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    pieces: BTreeMap<WorkId, Piece>,
    classes: Vec<ClassState>,
    processor: Bucket,
    delay: Micros,
    heard: Option<Micros>,
    gave_way: bool,
    out: Vec<Action>,
}

impl BackgroundScheduler {
    /// A scheduler with nothing to do.
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
            pieces: BTreeMap::new(),
            classes,
            processor: Bucket::default(),
            delay: 0,
            heard: None,
            gave_way: false,
            out: Vec::new(),
        }
    }

    /// Takes in what happened at `now` and says what to do.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        // A pressure that passed since the last call passed at its own time: the floor holds up to there.
        let passed = self
            .heard
            .map(|at| at.saturating_add(self.settings.pressure_lasts));
        if let Some(at) = passed.filter(|at| self.now < *at && *at <= now) {
            self.processor.fill(at - 1, self.share() * 1e6, 1e6);
        }
        self.now = self.now.max(now);
        self.fill();
        match event {
            Event::Tick => {}
            Event::Submit {
                work,
                class,
                cost,
                deadline,
            } => self.submit(work, class, cost, deadline),
            Event::Completed(work, cost) => {
                if let Some(piece) = self.take_running(work, cost) {
                    self.classes[piece.class].status.finished += 1;
                }
            }
            Event::Failed {
                work,
                cost,
                again,
                retry_after,
            } => self.failed(work, cost, again, retry_after),
            Event::Cancel(work) => self.cancel(work),
            Event::PlacementLatency(delay) => (self.delay, self.heard) = (delay, Some(self.now)),
        }
        self.give_way();
        self.drop_late();
        self.start();
        std::mem::take(&mut self.out)
    }

    /// When it wants to be called at the latest, if nothing happens before.
    pub fn next_wake(&self) -> Option<Micros> {
        if self.pieces.values().all(|p| p.running) && !self.gave_way {
            return None;
        }
        let waiting = self.pieces.values().filter(|p| !p.running);
        let retry = waiting
            .clone()
            .map(|p| p.not_before)
            .filter(|at| *at > self.now)
            .min();
        let late = waiting.clone().filter_map(|p| p.deadline).min();
        // Budgets come back bit by bit; a hundredth of a second is a step worth looking at.
        let budget = waiting
            .clone()
            .any(|p| p.not_before <= self.now)
            .then_some(self.now + 10_000);
        let passed = self
            .gave_way
            .then(|| self.heard.unwrap_or(0) + self.settings.pressure_lasts);
        [retry, late, budget, passed]
            .into_iter()
            .flatten()
            .min()
            .map(|at| at.max(self.now + 1))
    }

    /// How a class stands.
    pub fn status(&self, class: usize) -> ClassStatus {
        let Some(state) = self.classes.get(class) else {
            return ClassStatus::default();
        };
        let oldest = state
            .waiting
            .first()
            .map_or(0, |(at, _)| self.now.saturating_sub(*at));
        ClassStatus {
            waiting: state.waiting.len(),
            running: state.running,
            oldest,
            ..state.status
        }
    }

    /// Share of a second's processor time that background work may take now.
    pub fn share(&self) -> f64 {
        let s = &self.settings;
        if !self.hears_pressure() || self.delay <= s.calm_below {
            return s.calm_share;
        }
        let span = s.pressed_from.saturating_sub(s.calm_below).max(1) as f64;
        let pressed = ((self.delay - s.calm_below) as f64 / span).min(1.0);
        s.calm_share + (s.pressed_share - s.calm_share) * pressed
    }

    fn hears_pressure(&self) -> bool {
        self.heard
            .is_some_and(|at| self.now < at.saturating_add(self.settings.pressure_lasts))
    }

    fn is_pressed(&self) -> bool {
        self.hears_pressure() && self.delay >= self.settings.pressed_from
    }

    fn fill(&mut self) {
        let share = self.share();
        self.processor.fill(self.now, share * 1e6, 1e6);
        for (state, class) in self.classes.iter_mut().zip(&self.settings.classes) {
            let rates = [class.budget.cpu, class.budget.bytes, class.budget.requests];
            for (bucket, rate) in state.buckets.iter_mut().zip(rates) {
                bucket.fill(self.now, rate, rate);
            }
        }
    }

    fn submit(&mut self, work: WorkId, class: usize, cost: Cost, deadline: Option<Micros>) {
        let room = self
            .settings
            .classes
            .get(class)
            .is_some_and(|c| self.classes[class].waiting.len() < c.queue);
        if self.pieces.contains_key(&work) {
            return;
        }
        if !room || !is_sane(cost) {
            if let Some(state) = self.classes.get_mut(class) {
                state.status.ended[Ended::TurnedAway as usize] += 1;
            }
            self.out.push(Action::End(work, Ended::TurnedAway));
            return;
        }
        let (submitted, not_before) = (self.now, self.now);
        self.classes[class].waiting.insert((submitted, work));
        self.pieces.insert(
            work,
            Piece {
                class,
                cost,
                deadline,
                submitted,
                not_before,
                tries: 0,
                running: false,
            },
        );
    }

    /// Takes a running piece out, and books what it did cost beyond what was expected.
    fn take_running(&mut self, work: WorkId, cost: Cost) -> Option<Piece> {
        // Late or doubled words on a piece that is over change nothing.
        let piece = self.pieces.get(&work).filter(|p| p.running)?;
        let class = piece.class;
        let cost = if is_sane(cost) { cost } else { piece.cost };
        let more = [
            cost.cpu - piece.cost.cpu,
            cost.bytes - piece.cost.bytes,
            cost.requests - piece.cost.requests,
        ];
        let state = &mut self.classes[class];
        for (bucket, more) in state.buckets.iter_mut().zip(more) {
            bucket.take(more);
        }
        self.processor.take(more[0]);
        state.running -= 1;
        state.status.used.cpu += cost.cpu;
        state.status.used.bytes += cost.bytes;
        state.status.used.requests += cost.requests;
        self.pieces.remove(&work)
    }

    fn failed(&mut self, work: WorkId, cost: Cost, again: bool, retry_after: Option<Micros>) {
        let Some(mut piece) = self.take_running(work, cost) else {
            return;
        };
        let state = &mut self.classes[piece.class];
        state.status.failed += 1;
        let retry = self.settings.classes[piece.class].retry;
        if !again || piece.tries >= retry.tries {
            state.status.ended[Ended::Failed as usize] += 1;
            self.out.push(Action::End(work, Ended::Failed));
            return;
        }
        let doubled = retry
            .least
            .saturating_mul(1 << (piece.tries - 1).min(32))
            .min(retry.most.max(retry.least));
        // Scattered, so that many who failed together do not come again together.
        let wait = doubled / 2 + self.rng.u64(0..=doubled / 2);
        let wait = wait.max(retry_after.unwrap_or(0));
        (piece.running, piece.not_before) = (false, self.now.saturating_add(wait));
        // Its first waiting counts on: a piece that is tried again does not start at the end of the line.
        state.waiting.insert((piece.submitted, work));
        self.pieces.insert(work, piece);
    }

    fn cancel(&mut self, work: WorkId) {
        // What runs is waited for: its end is told, and its cost is booked.
        if self.pieces.get(&work).is_some_and(|p| !p.running) {
            self.end_waiting(work, Ended::Cancelled);
        }
    }

    fn end_waiting(&mut self, work: WorkId, ended: Ended) {
        let Some(piece) = self.pieces.remove(&work) else {
            return;
        };
        let state = &mut self.classes[piece.class];
        state.waiting.remove(&(piece.submitted, work));
        state.status.ended[ended as usize] += 1;
        self.out.push(Action::End(work, ended));
    }

    /// Running work is told at once when placing becomes pressed, and when that has passed.
    fn give_way(&mut self) {
        let pressed = self.is_pressed();
        if pressed == self.gave_way {
            return;
        }
        self.gave_way = pressed;
        for (work, _) in self.pieces.iter().filter(|(_, p)| p.running) {
            self.out.push(if pressed {
                Action::GiveWay(*work)
            } else {
                Action::GoOn(*work)
            });
        }
    }

    fn drop_late(&mut self) {
        let late = |p: &Piece| !p.running && p.deadline.is_some_and(|d| d <= self.now);
        let late: Vec<WorkId> = self
            .pieces
            .iter()
            .filter(|(_, p)| late(p))
            .map(|(w, _)| *w)
            .collect();
        for work in late {
            self.end_waiting(work, Ended::TooLate);
        }
    }

    /// Starts what may be started, most urgent first.
    fn start(&mut self) {
        loop {
            let running: usize = self.classes.iter().map(|c| c.running).sum();
            // A budget may be overdrawn by one piece, or work larger than a second's budget would never start.
            if running >= self.settings.slots || !self.processor.has_some() {
                return;
            }
            let Some(work) = self.most_urgent() else {
                return;
            };
            let Some(piece) = self.pieces.get_mut(&work) else {
                return;
            };
            let state = &mut self.classes[piece.class];
            state.waiting.remove(&(piece.submitted, work));
            state.running += 1;
            for (bucket, cost) in state.buckets.iter_mut().zip([
                piece.cost.cpu,
                piece.cost.bytes,
                piece.cost.requests,
            ]) {
                bucket.take(cost);
            }
            self.processor.take(piece.cost.cpu);
            (piece.running, piece.tries) = (true, piece.tries + 1);
            self.out.push(Action::Start(work));
        }
    }

    /// By priority and age; the oldest of the one that has waited longest where they are equal.
    fn most_urgent(&self) -> Option<WorkId> {
        let mut best: Option<(u64, std::cmp::Reverse<Micros>, WorkId)> = None;
        for (state, class) in self.classes.iter().zip(&self.settings.classes) {
            if state.running >= class.slots || !state.buckets.iter().all(Bucket::has_some) {
                continue;
            }
            let ready = |(_, w): &&(Micros, WorkId)| {
                self.pieces.get(w).is_some_and(|p| p.not_before <= self.now)
            };
            // Within a class the oldest is the most urgent, so only that one is compared.
            let Some((submitted, work)) = state.waiting.iter().find(ready) else {
                continue;
            };
            let age = self.now.saturating_sub(*submitted) / self.settings.ages_every.max(1);
            let rank = (
                u64::from(class.priority) + age,
                std::cmp::Reverse(*submitted),
                *work,
            );
            if best.as_ref().is_none_or(|b| (rank.0, rank.1) > (b.0, b.1)) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, work)| work)
    }
}

fn is_sane(cost: Cost) -> bool {
    [cost.cpu, cost.bytes, cost.requests]
        .iter()
        .all(|x| x.is_finite() && *x >= 0.0)
}
