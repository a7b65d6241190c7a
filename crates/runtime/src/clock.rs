//! The daemon's clock.

use peppercove::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wall time at its start, in microseconds since the Unix epoch, and monotonic from then on.
#[derive(Clone, Debug)]
pub struct Clock {
    began: Instant,
    base: Micros,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Clock {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            began: Instant::now(),
            base: u64::try_from(since.as_micros()).unwrap_or(0).max(1),
        }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.base + u64::try_from(self.began.elapsed().as_micros()).unwrap_or(0)
    }

    /// When it began, on its own scale.
    pub fn began(&self) -> Micros {
        self.base
    }

    /// A time of this clock as the runtime's timers want it.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(
            self.began + Duration::from_micros(at.saturating_sub(self.base)),
        )
    }
}
