//! Distributes indexed work to threads.

use std::ops::ControlFlow;
use std::panic::resume_unwind;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Calls `work` once with each index below `count` on `workers` threads. Calls start in ascending order of the index.
/// Each thread has its own state; the states are returned in no particular order.
///
/// A thread takes no further index after `work` returned `Break`; the other threads continue.
///
/// # Panics
/// If `work` panics.
pub fn run_on_workers<State, Work>(workers: usize, count: u64, work: Work) -> Vec<State>
where
    State: Default + Send,
    Work: Fn(&mut State, u64) -> ControlFlow<()> + Sync,
{
    let next = AtomicU64::new(0);
    let run_worker = || {
        let mut state = State::default();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            if index >= count || work(&mut state, index).is_break() {
                return state;
            }
        }
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..workers).map(|_| scope.spawn(run_worker)).collect();
        let states = threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_else(|p| resume_unwind(p)));
        states.collect()
    })
}
