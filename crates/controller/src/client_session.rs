//! The API server for DRMAA clients: handles connections and sessions, and converts JSON-RPC calls into inputs of the
//! core.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `connection` | reads and writes the lines of one connection, with limits on size, queue and time |
//! | `calls` | parses a call and passes it to its handler |
//! | `sessions` | opening and closing sessions, and looking up the jobs of a session |
//! | `submission`, `control`, `waiting` | the handlers |
//! | `responses`, `rejections` | encoding of results and errors |

mod calls;
mod connection;
mod control;
mod rejections;
mod responses;
mod sessions;
mod submission;
mod waiting;

use crate::server::Server;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections. Those beyond the configured limit are rejected with an error.
pub(crate) async fn accept(server: Rc<Server>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely no file descriptor is available; other connections may release some.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let has_capacity = server.clients.borrow().connections() < server.config.limits.clients;
        if has_capacity {
            spawn_local(connection::serve(server.clone(), stream));
        } else {
            spawn_local(connection::reject(server.clone(), stream));
        }
    }
}
