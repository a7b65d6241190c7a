//! Graceful shutdown.

use crate::server::Server;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Clients may go on sending for this long after SIGTERM, and are owed answers to what they send.
const DRAIN_TIME: Duration = Duration::from_millis(750);
/// The platform kills the process no sooner after SIGTERM than the longest deadline, or this where it is shorter.
const MIN_KILL_DELAY: Duration = Duration::from_millis(3000);
/// Time beyond the longest deadline in which the last answers are sent.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(500);
/// Time between two looks at what is open.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Goes on serving while clients may still send, then waits until all requests are answered.
pub(crate) async fn shut_down(server: &Server, longest_deadline: Duration) {
    let started_at = Instant::now();
    tracing::info!(open = server.open_requests(), "stopping");
    sleep(DRAIN_TIME).await;
    let limit = longest_deadline.max(MIN_KILL_DELAY) + LAST_ANSWERS_TIME;
    let time_left = limit.saturating_sub(started_at.elapsed());
    let in_time = timeout(time_left, all_answered(server)).await.is_ok();
    let open = server.open_requests();
    tracing::info!(in_time, open, counters = ?server.counters(), "stopped");
}

/// Waits until no request is open, nothing waits to be sent, and the clients are quiet.
///
/// Race: what the system has received and nobody has read yet, on connections accepted or not, is owed an answer as
/// well. The runtime polls the sockets during each wait; a wait that brought nothing shows that nothing is left.
async fn all_answered(server: &Server) {
    let mut activity_before = None;
    loop {
        let activity = Some(server.activity());
        let is_quiet = activity_before == activity;
        if server.open_requests() == 0 && server.is_flushed() && is_quiet {
            return;
        }
        activity_before = activity;
        sleep(POLL_INTERVAL).await;
    }
}
