//! Settings by which pushing shares the processor with placement: its classes of background work, their expected cost,
//! and the latencies at which placement counts as calm or as under pressure. No I/O.

use peppercove_background::{Cost, Micros, RetryPolicy, Settings, WorkClass};

/// The tasks of pushing. Each is a class of background work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushTask {
    /// Collect the metrics and append them to the write-ahead log.
    Collect,
    /// Send a batch from the write-ahead log.
    Send,
}

impl PushTask {
    /// Returns the index of the task's class in [`Settings::classes`].
    pub fn class_index(self) -> usize {
        self as usize
    }

    /// Returns the cost that is charged until the actual cost is known: the order of magnitude for several hundred
    /// series.
    pub fn expected_cost(self) -> Cost {
        let cpu = match self {
            PushTask::Collect => 2_000.0,
            PushTask::Send => 5_000.0,
        };
        Cost {
            cpu,
            ..Cost::default()
        }
    }
}

/// Interval between two measurements of the event loop's lag, in microseconds. With 100 ms, pressure on placement
/// would be detected five times as late.
pub const LAG_CHECK_INTERVAL: Micros = 20_000;
/// Age at which the last reported latency no longer counts: many measurements, so that a few missing ones do not end
/// the pressure.
const PRESSURE_TIMEOUT: Micros = 50 * LAG_CHECK_INTERVAL;
/// Time in the queue that raises an item's priority by one.
const AGING_INTERVAL: Micros = 1_000_000;

/// The background scheduler does not retry: [`RemoteWriteClient`](crate::client::RemoteWriteClient) keeps a failed
/// batch and decides when to send it again.
const NO_RETRY: RetryPolicy = RetryPolicy {
    min_backoff: 1,
    max_backoff: 1,
    max_attempts: 1,
};

/// Returns the settings of the background scheduler for pushing.
///
/// Pushing may use `calm_share` of a second's processor time while the latency of placement is at most `calm_below`,
/// and `pressed_share` while it is at least `pressed_from`; both latencies are in microseconds.
pub fn settings(
    calm_share: f64,
    pressed_share: f64,
    calm_below: Micros,
    pressed_from: Micros,
) -> Settings {
    let one_at_a_time = |priority| WorkClass {
        priority,
        budget: Cost::default(),
        max_queued: 1,
        max_running: 1,
        retry: NO_RETRY,
    };
    // Collecting has priority over sending: metrics that are not collected in time are lost, logged samples are not.
    let (collect, send) = (one_at_a_time(1), one_at_a_time(0));
    Settings {
        classes: vec![collect, send],
        max_running: 2,
        calm_share,
        pressed_share: pressed_share.min(calm_share),
        calm_below,
        pressed_from,
        aging_interval: AGING_INTERVAL,
        pressure_timeout: PRESSURE_TIMEOUT,
    }
}
