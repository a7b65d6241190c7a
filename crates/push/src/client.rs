//! What is sent, tried again, split and dropped: decisions only.
//!
//! One batch is out at a time, so that samples arrive in order. A receiver that answers 5xx or 429, or not at all, is
//! tried again after scattered, growing waits, its `Retry-After` kept; the batch stays the same. Any other 4xx will not
//! get better: a batch that is refused is halved until the records that the receiver will not take are found, and only
//! those are dropped. 415 says that the receiver does not speak this version: the other one is tried, once.

use crate::encode::Version;

/// A time or a span in microseconds.
pub type Micros = u64;

/// What bounds the sender, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Version that is tried first.
    pub version: Version,
    /// Records of one batch at most.
    pub batch: usize,
    /// First wait after a failure.
    pub min_backoff: Micros,
    /// Waits double up to this.
    pub max_backoff: Micros,
    /// Batches that may be sent within a second: a backlog of many instances must not all come at once.
    pub per_second: f64,
}

/// What came of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An answer with this status, and how long it asks to stay away.
    Status(u16, Option<Micros>),
    /// No answer: connection, time-out.
    NoAnswer,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the first so many records of the backlog.
    Send(usize, Version),
    /// Ask again then.
    Wait(Micros),
    /// Nothing waits.
    Idle,
}

/// What is to become of the records at the front of the backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchDisposition {
    /// The first so many are done with.
    Done(usize),
    /// The first one is refused for good: drop it and count it.
    Drop,
    /// They stay.
    Keep,
}

/// Decides for one receiver.
#[derive(Debug)]
pub struct RemoteWriteClient {
    settings: ClientSettings,
    rng: fastrand::Rng,
    version: Version,
    /// The other version was tried for the batch at the front.
    switched: bool,
    out: Option<usize>,
    /// Records that are still suspected after a refusal; 0 is none.
    suspected: usize,
    /// Batches halve while a refusal is looked into.
    size: usize,
    wait: Micros,
    not_before: Micros,
}

impl RemoteWriteClient {
    /// A sender that has sent nothing. Its first batch leaves at a random moment of the first wait.
    pub fn new(settings: ClientSettings, now: Micros, seed: u64) -> RemoteWriteClient {
        let mut rng = fastrand::Rng::with_seed(seed);
        let not_before = now.saturating_add(rng.u64(0..=settings.min_backoff));
        let (version, size) = (settings.version, settings.batch.max(1));
        RemoteWriteClient {
            settings,
            rng,
            version,
            switched: false,
            out: None,
            suspected: 0,
            size,
            wait: 0,
            not_before,
        }
    }

    /// The version that the receiver speaks, as far as is known.
    pub fn version(&self) -> Version {
        self.version
    }

    /// What to do, with so many records waiting. After [`Step::Send`] the outcome must be told before it is asked again.
    pub fn next(&mut self, now: Micros, waiting: usize) -> NextStep {
        if waiting == 0 && self.out.is_none() {
            return NextStep::Idle;
        }
        if self.out.is_some() || now < self.not_before {
            return NextStep::Wait(self.not_before.max(now + 1));
        }
        let count = waiting.min(self.size);
        self.out = Some(count);
        NextStep::Send(count, self.version)
    }

    /// What came of the batch that is out.
    pub fn on_outcome(&mut self, now: Micros, outcome: RequestOutcome) -> BatchDisposition {
        let Some(count) = self.out.take() else {
            return BatchDisposition::Keep;
        };
        match outcome {
            RequestOutcome::Status(200..=299, _) => {
                (self.wait, self.switched) = (0, false);
                let pace = if self.settings.per_second > 0.0 {
                    1e6 / self.settings.per_second
                } else {
                    0.0
                };
                self.not_before = now.saturating_add(pace as Micros);
                self.suspected = self.suspected.saturating_sub(count);
                if self.suspected == 0 {
                    self.size = self.settings.batch.max(1);
                } else {
                    self.size = self.suspected.min(self.size.max(1));
                }
                BatchDisposition::Done(count)
            }
            RequestOutcome::Status(415, _) if !self.switched => {
                self.switched = true;
                self.version = if self.version == Version::V1 {
                    Version::V2
                } else {
                    Version::V1
                };
                self.not_before = now;
                BatchDisposition::Keep
            }
            RequestOutcome::Status(status, after)
                if status == 429 || !(400..500).contains(&status) =>
            {
                self.back_off(now, after);
                BatchDisposition::Keep
            }
            RequestOutcome::NoAnswer => {
                self.back_off(now, None);
                BatchDisposition::Keep
            }
            RequestOutcome::Status(..) => {
                self.not_before = now;
                if count == 1 {
                    self.suspected = self.suspected.saturating_sub(1);
                    self.size = if self.suspected == 0 {
                        self.settings.batch.max(1)
                    } else {
                        self.suspected
                    };
                    return BatchDisposition::Drop;
                }
                // One of these is at fault: looked for by halves, the others get through.
                self.suspected = self.suspected.max(count);
                self.size = count.div_ceil(2);
                BatchDisposition::Keep
            }
        }
    }

    fn back_off(&mut self, now: Micros, after: Option<Micros>) {
        self.wait = self.wait.saturating_mul(2).clamp(
            self.settings.min_backoff,
            self.settings.max_backoff.max(self.settings.min_backoff),
        );
        let wait = self.wait / 2 + self.rng.u64(0..=self.wait / 2);
        // A receiver may not ask for longer than the longest wait: it might never come back to us.
        let after = after
            .unwrap_or(0)
            .min(self.settings.max_backoff.max(self.settings.min_backoff));
        self.not_before = now.saturating_add(wait.max(after));
    }
}
