//! Graceful shutdown.
//!
//! All times count from SIGTERM. The platform kills the process at some time after the longest deadline, which its page
//! can be read to limit to three seconds. Requests that arrive until [`REQUEST_WINDOW`] has passed keep their own
//! deadline; later ones are answered before the earliest possible kill. What is open shortly before the latest time at
//! which the process can rely on being alive is answered then, so that no connection is closed with an open request.

use crate::server::Server;
use peppercove_platform::Input;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Clients that do not know of the shutdown may send requests for this long after SIGTERM, and must get answers to them.
const REQUEST_WINDOW: Duration = Duration::from_millis(700);
/// Limit of the longest deadline in the platform's rule for SIGKILL: a minimum in one reading, a maximum in the other.
const DEADLINE_LIMIT: Duration = Duration::from_millis(3000);
/// The platform does not send SIGKILL earlier than this after the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Time before SIGKILL that is needed to decide and send the last answers.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(50);
/// Maximum time for sending the last answers to clients that read slowly.
const FLUSH_TIME: Duration = Duration::from_millis(500);
/// Interval at which the open requests are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Times by which requests must be answered, relative to SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AnswerLimits {
    /// For requests that arrive within the request window.
    in_window: Duration,
    /// For requests that arrive later.
    after_window: Duration,
}

impl AnswerLimits {
    fn new(longest_deadline: Duration) -> AnswerLimits {
        let before_kill =
            |deadline: Duration| deadline.saturating_add(KILL_MARGIN) - LAST_ANSWERS_TIME;
        AnswerLimits {
            in_window: before_kill(longest_deadline.max(DEADLINE_LIMIT)),
            after_window: before_kill(longest_deadline.min(DEADLINE_LIMIT)),
        }
    }
}

/// Continues to serve while clients may still send, then waits until all requests are answered, and answers those that
/// are still open shortly before the process may be killed.
pub(crate) async fn shut_down(server: &Server, longest_deadline: Duration) {
    let started_at = Instant::now();
    // An event loop that is late sees the signal late by as much.
    let signal_delay = server.timer_lag();
    let limits = AnswerLimits::new(longest_deadline);
    let clock_now = server.clock.now();
    let limit_answers = |limit: Duration| {
        let after_signal = limit.saturating_sub(signal_delay).as_micros();
        let delay = u64::try_from(after_signal).unwrap_or(u64::MAX);
        server.handle(Input::LimitAnswers(clock_now.saturating_add(delay)));
    };
    tracing::info!(open = server.open_requests(), "stopping");
    limit_answers(limits.in_window);
    sleep(REQUEST_WINDOW).await;
    limit_answers(limits.after_window);
    let time_left = limits
        .in_window
        .saturating_sub(signal_delay + started_at.elapsed());
    let in_time = timeout(time_left, all_answered(server)).await.is_ok();
    let open = server.open_requests();
    if !in_time {
        server.handle(Input::AnswerAll);
        let _ = timeout(FLUSH_TIME, last_answers_sent(server)).await;
    }
    tracing::info!(in_time, open, counters = ?server.counters(), "stopped");
}

/// Waits until no request is open, all send buffers are empty, and no client has connected or sent anything between two
/// checks.
///
/// Race: requests that the operating system has received but the program has not read yet, on connections accepted or
/// not, must be answered as well. The runtime polls the sockets during each sleep, so a sleep without any activity
/// shows that nothing is left to read.
async fn all_answered(server: &Server) {
    wait_until_quiet(server, || server.is_flushed()).await;
}

/// Like [`all_answered`], but does not wait for nodes, which may have stopped reading.
async fn last_answers_sent(server: &Server) {
    wait_until_quiet(server, || server.is_flushed_to_clients()).await;
}

async fn wait_until_quiet(server: &Server, is_flushed: impl Fn() -> bool) {
    let mut activity_before = None;
    loop {
        let activity = Some(server.activity());
        let is_unchanged = activity_before == activity;
        if server.open_requests() == 0 && is_flushed() && is_unchanged {
            return;
        }
        activity_before = activity;
        sleep(POLL_INTERVAL).await;
    }
}
