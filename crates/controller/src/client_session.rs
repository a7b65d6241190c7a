//! The API server for DRMAA clients: connections, sessions, and JSON-RPC calls turned into inputs of the core.
//!
//! | module | job |
//! | --- | --- |
//! | `connection` | reads and writes the lines of one connection, within its bounds |
//! | `calls` | reads a call and passes it to its handler |
//! | `sessions` | sessions, and the jobs that a session may name |
//! | `submission`, `control`, `waiting` | the handlers |
//! | `responses`, `rejections` | results and errors as clients see them |

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

/// Wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections, up to the limit.
pub(crate) async fn accept(server: Rc<Server>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely no descriptor is left: other connections may close theirs.
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
