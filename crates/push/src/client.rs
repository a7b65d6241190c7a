//! Decides which batches are sent to a receiver, retried, split and dropped. No sockets, no clock.
//!
//! At most one batch is in flight, so that samples arrive in order. After status 429, a status other than 2xx and 4xx
//! (usually 5xx), or without a response, the same batch is retried with exponential backoff and jitter, and not before
//! `Retry-After`. Any other 4xx status means that some sample is permanently rejected: the batch is bisected until the
//! rejected samples are found, and only those are dropped. After status 415 (the receiver does not support this
//! version), the other version is tried once.

use crate::encode::Version;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

const MICROS_PER_SECOND: f64 = 1e6;

/// Settings of a [`RemoteWriteClient`].
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// The version to try first.
    pub version: Version,
    /// Maximum number of records in a batch.
    pub max_batch_size: usize,
    /// Backoff after the first failure; it doubles with each consecutive failure.
    pub min_backoff: Micros,
    /// Upper limit of the backoff and of a `Retry-After`.
    pub max_backoff: Micros,
    /// Maximum rate of batches, so that the backlogs of many instances do not arrive all at once; 0 means no limit.
    pub max_batches_per_second: f64,
}

/// Outcome of a request that sent a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The HTTP status and the `Retry-After` of the response.
    Status(u16, Option<Micros>),
    /// No response: the connection failed or timed out.
    NoResponse,
}

/// What the caller must do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send this number of records from the front of the log, in this version.
    Send(usize, Version),
    /// Call [`RemoteWriteClient::next`] again at this time.
    Wait(Micros),
    /// The log has no records to send.
    Idle,
}

/// What the caller must do with the records at the front of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchDisposition {
    /// The receiver accepted this number of records: acknowledge them.
    Acknowledge(usize),
    /// The receiver permanently rejected the first record: drop and count it.
    Drop,
    /// Keep the records; they will be sent again.
    Keep,
}

/// The state machine that sends the log to one receiver.
#[derive(Debug)]
pub struct RemoteWriteClient {
    settings: ClientSettings,
    rng: fastrand::Rng,
    version: Version,
    /// Whether the version was switched since the last accepted batch.
    has_switched_version: bool,
    /// Number of records in the batch in flight.
    in_flight: Option<usize>,
    /// Number of records at the front of the log that were in a rejected batch and have been neither accepted nor
    /// dropped since; 0 unless a batch is being bisected.
    bisect_remaining: usize,
    /// Maximum number of records in the next batch; below the configured maximum while a batch is being bisected.
    batch_size: usize,
    /// Backoff after the last failure; 0 after a success.
    backoff: Micros,
    /// No batch is sent before this time.
    not_before: Micros,
}

impl RemoteWriteClient {
    /// Creates a client. Its first batch is sent after a random delay of at most the minimum backoff, so that instances
    /// that start together do not send at the same time.
    pub fn new(settings: ClientSettings, now: Micros, seed: u64) -> RemoteWriteClient {
        let mut rng = fastrand::Rng::with_seed(seed);
        let not_before = now.saturating_add(rng.u64(0..=settings.min_backoff));
        RemoteWriteClient {
            settings,
            rng,
            version: settings.version,
            has_switched_version: false,
            in_flight: None,
            bisect_remaining: 0,
            batch_size: settings.max_batch_size.max(1),
            backoff: 0,
            not_before,
        }
    }

    /// Returns the version that the next batch is sent in.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the next step when the log has `waiting` records to send. After [`NextStep::Send`],
    /// [`RemoteWriteClient::on_outcome`] must be called before another batch is sent.
    pub fn next(&mut self, now: Micros, waiting: usize) -> NextStep {
        if waiting == 0 && self.in_flight.is_none() {
            return NextStep::Idle;
        }
        if self.in_flight.is_some() || now < self.not_before {
            return NextStep::Wait(self.not_before.max(now + 1));
        }
        let count = waiting.min(self.batch_size);
        self.in_flight = Some(count);
        NextStep::Send(count, self.version)
    }

    /// Handles the outcome of the batch in flight. Does nothing if no batch is in flight.
    pub fn on_outcome(&mut self, now: Micros, outcome: RequestOutcome) -> BatchDisposition {
        let Some(count) = self.in_flight.take() else {
            return BatchDisposition::Keep;
        };
        match outcome {
            RequestOutcome::Status(200..=299, _) => self.on_accepted(now, count),
            RequestOutcome::Status(415, _) if !self.has_switched_version => {
                self.switch_version(now)
            }
            RequestOutcome::Status(status, retry_after) if is_transient(status) => {
                self.back_off(now, retry_after)
            }
            RequestOutcome::Status(..) => self.on_rejected(now, count),
            RequestOutcome::NoResponse => self.back_off(now, None),
        }
    }

    fn on_accepted(&mut self, now: Micros, count: usize) -> BatchDisposition {
        self.backoff = 0;
        self.has_switched_version = false;
        self.not_before = now.saturating_add(self.send_interval());
        self.bisect_remaining = self.bisect_remaining.saturating_sub(count);
        self.batch_size = if self.bisect_remaining == 0 {
            self.full_batch()
        } else {
            self.bisect_remaining.min(self.batch_size.max(1))
        };
        BatchDisposition::Acknowledge(count)
    }

    fn switch_version(&mut self, now: Micros) -> BatchDisposition {
        self.has_switched_version = true;
        self.version = self.version.other();
        self.not_before = now;
        BatchDisposition::Keep
    }

    /// Handles a batch with at least one rejected record: bisects it, so that the other records are still delivered.
    fn on_rejected(&mut self, now: Micros, count: usize) -> BatchDisposition {
        self.not_before = now;
        if count > 1 {
            self.bisect_remaining = self.bisect_remaining.max(count);
            self.batch_size = count.div_ceil(2);
            return BatchDisposition::Keep;
        }
        self.bisect_remaining = self.bisect_remaining.saturating_sub(1);
        self.batch_size = if self.bisect_remaining == 0 {
            self.full_batch()
        } else {
            self.bisect_remaining
        };
        BatchDisposition::Drop
    }

    fn back_off(&mut self, now: Micros, retry_after: Option<Micros>) -> BatchDisposition {
        let max_backoff = self.settings.max_backoff.max(self.settings.min_backoff);
        self.backoff = self
            .backoff
            .saturating_mul(2)
            .clamp(self.settings.min_backoff, max_backoff);
        let with_jitter = self.backoff / 2 + self.rng.u64(0..=self.backoff / 2);
        // Retry-After is limited, because with an excessive value the client would stop sending for good.
        let retry_after = retry_after.unwrap_or(0).min(max_backoff);
        self.not_before = now.saturating_add(with_jitter.max(retry_after));
        BatchDisposition::Keep
    }

    fn full_batch(&self) -> usize {
        self.settings.max_batch_size.max(1)
    }

    /// Returns the minimum time between two batches.
    fn send_interval(&self) -> Micros {
        if self.settings.max_batches_per_second > 0.0 {
            (MICROS_PER_SECOND / self.settings.max_batches_per_second) as Micros
        } else {
            0
        }
    }
}

/// Returns whether a status is transient, so that a retry of the same batch may succeed (remote write 1.0, "retries and
/// backoff").
fn is_transient(status: u16) -> bool {
    status == 429 || !(400..500).contains(&status)
}
