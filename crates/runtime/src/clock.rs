//! The clock of a daemon.

use peppercove::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that starts at the wall-clock time, in microseconds since the Unix epoch, and is monotonic from then on.
#[derive(Clone, Debug)]
pub struct Clock {
    /// The start on the monotonic clock.
    start: Instant,
    /// The start in wall-clock time; at least 1.
    start_time: Micros,
}

impl Clock {
    /// Starts a clock.
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

    /// The current time.
    pub fn now(&self) -> Micros {
        self.start_time + u64::try_from(self.start.elapsed().as_micros()).unwrap_or(0)
    }

    /// The time at which the clock was started.
    pub fn start_time(&self) -> Micros {
        self.start_time
    }

    /// Converts a time of this clock to an instant for tokio's timers.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let since_start = Duration::from_micros(at.saturating_sub(self.start_time));
        tokio::time::Instant::from_std(self.start + since_start)
    }
}
