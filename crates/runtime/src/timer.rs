//! The loop that calls a state machine when its next timer is due.

use crate::Clock;
use peppercove::Micros;
use std::cell::Cell;
use tokio::sync::Notify;

/// Sleeps until the next wake-up time of a state machine, which may be moved to an earlier time in the meantime.
#[derive(Debug, Default)]
pub struct Timer {
    wake: Notify,
    /// The time until which the loop sleeps.
    armed_for: Cell<Option<Micros>>,
}

impl Timer {
    /// Must be called whenever the wake-up time of the state machine may have changed to `next`.
    pub fn reschedule(&self, next: Option<Micros>) {
        // A later wake-up time needs no action: the loop queries it after the current sleep.
        let is_earlier = |at: Micros| self.armed_for.get().is_none_or(|armed| at < armed);
        if next.is_some_and(is_earlier) {
            self.wake.notify_one();
        }
    }

    /// Calls `tick` with each wake-up time that `next` returns, once that time is reached. Never returns.
    ///
    /// Invariant: everything that arrived before the wake-up time has been read when `tick` is called. The tokio
    /// runtime polls sockets and timers together, and wakes readers first.
    pub async fn run(
        &self,
        clock: &Clock,
        next: impl Fn() -> Option<Micros>,
        tick: impl Fn(Micros),
    ) {
        loop {
            let at = next();
            self.armed_for.set(at);
            tokio::select! {
                at = sleep_until(clock, at) => {
                    // No time is earlier than 0, so `reschedule` does not wake the loop during `tick`. The loop asks
                    // for the next wake-up time afterwards anyway.
                    self.armed_for.set(Some(0));
                    tick(at);
                }
                // The wake-up time was moved to an earlier time.
                () = self.wake.notified() => {}
            }
        }
    }
}

/// Sleeps until `at` and returns it. Never returns if `at` is `None`.
async fn sleep_until(clock: &Clock, at: Option<Micros>) -> Micros {
    match at {
        Some(at) => {
            tokio::time::sleep_until(clock.instant(at)).await;
            at
        }
        None => std::future::pending().await,
    }
}
