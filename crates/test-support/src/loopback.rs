//! Runtime for tests with real sockets on loopback.

use tokio::task::LocalSet;

/// Runs a test on a current-thread runtime with a `LocalSet`, like that of the daemon, so that it may spawn local
/// tasks.
///
/// # Panics
/// If the test panics or the runtime cannot be created.
pub fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime cannot be created");
    LocalSet::new().block_on(&runtime, test);
}
