//! What the tests of `peppercove serve` share: scripted peers, the configuration, and the process.
#![allow(dead_code, reason = "each test binary uses a part of it")]

pub mod clients;
pub mod configuration;
pub mod journal_service;
pub mod listener;
pub mod node_connection;
pub mod peer;
pub mod process;

use std::time::Duration;

/// No wait of a test is longer; nothing else is asserted about times.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Repeats `is_reached` with short pauses until it holds, or until [`TIMEOUT`] has passed.
pub async fn wait_until(mut is_reached: impl FnMut() -> bool) {
    let deadline = std::time::Instant::now() + TIMEOUT;
    while !is_reached() && std::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
