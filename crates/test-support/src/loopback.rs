//! Tests with real sockets on loopback, in one thread.

use tokio::task::LocalSet;

/// Runs a test on a runtime as the daemon has it: in this thread, where it may start local tasks.
///
/// # Panics
/// Where the test does, and where no runtime can be had.
pub fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}
