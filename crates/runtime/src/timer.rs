//! The loop that calls a state machine when it wants to be called.

use crate::Clock;
use peppercove::Micros;
use std::cell::Cell;
use tokio::sync::Notify;

/// Sleeps until the time that a state machine named last, or an earlier one that it names meanwhile.
#[derive(Debug, Default)]
pub struct Timer {
    wake: Notify,
    /// The time that the loop sleeps until.
    armed_for: Cell<Option<Micros>>,
}

impl Timer {
    /// The state machine was called and now wants to be called at `next`.
    pub fn reschedule(&self, next: Option<Micros>) {
        // A later time than the one waited for is looked at when that has come.
        let is_earlier = |at: Micros| self.armed_for.get().is_none_or(|armed| at < armed);
        if next.is_some_and(is_earlier) {
            self.wake.notify_one();
        }
    }

    /// Calls `tick` whenever the time that `next` names has come, with that time; never returns.
    ///
    /// Invariant: what arrived before that time has been read by then. The runtime polls sockets and timers together,
    /// and wakes those who read first.
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
                    // No time is earlier: `changed` need not wake the loop, which asks for the next time anyway.
                    self.armed_for.set(Some(0));
                    tick(at);
                }
                // An earlier time was named.
                () = self.wake.notified() => {}
            }
        }
    }
}

/// Sleeps until a time and returns it; for ever where there is none.
async fn sleep_until(clock: &Clock, at: Option<Micros>) -> Micros {
    match at {
        Some(at) => {
            tokio::time::sleep_until(clock.instant(at)).await;
            at
        }
        None => std::future::pending().await,
    }
}
