//! The loop that calls a state machine when it wants to be called.

use crate::Clock;
use peppercove::Micros;
use std::cell::Cell;
use tokio::sync::Notify;

/// Sleeps until the time a state machine named last, or an earlier one that it names meanwhile.
#[derive(Debug, Default)]
pub struct Timer {
    wake: Notify,
    /// The time slept for.
    armed: Cell<Option<Micros>>,
}

impl Timer {
    /// The state machine was called and now wants to be called at `next`.
    pub fn changed(&self, next: Option<Micros>) {
        // A wake that is due later than the one waited for can be set then.
        if next.is_some_and(|at| self.armed.get().is_none_or(|armed| at < armed)) {
            self.wake.notify_one();
        }
    }

    /// Calls `tick` whenever the time that `next` names has come, with that time; never ends. What came before that time
    /// has been read by then: the runtime looks for both at once, and wakes those who read first.
    pub async fn keep(
        &self,
        clock: &Clock,
        next: impl Fn() -> Option<Micros>,
        tick: impl Fn(Micros),
    ) {
        loop {
            let at = next();
            self.armed.set(at);
            let sleep = async {
                match at {
                    Some(at) => {
                        tokio::time::sleep_until(clock.instant(at)).await;
                        at
                    }
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                at = sleep => {
                    self.armed.set(Some(0));
                    tick(at);
                }
                () = self.wake.notified() => {}
            }
        }
    }
}
