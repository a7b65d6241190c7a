//! The daemon's clock.

use peppercove::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wall time at the start, in microseconds since the Unix epoch, and monotonic from then on.
#[derive(Clone, Debug)]
pub struct Clock {
    /// The start on the monotonic clock.
    start: Instant,
    /// The start in wall time; at least 1.
    start_time: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let start_time = u64::try_from(since_epoch.as_micros()).unwrap_or(0);
        Clock {
            start: Instant::now(),
            start_time: start_time.max(1),
        }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.start_time + u64::try_from(self.start.elapsed().as_micros()).unwrap_or(0)
    }

    /// The time at which the clock was started.
    pub fn start_time(&self) -> Micros {
        self.start_time
    }

    /// A time of this clock in the form that the runtime's timers take.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let since_start = Duration::from_micros(at.saturating_sub(self.start_time));
        tokio::time::Instant::from_std(self.start + since_start)
    }
}
