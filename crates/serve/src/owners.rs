//! Connections of owners.

use crate::hosts::read;
use crate::shell::Shell;
use peppercove_platform::Input;
use peppercove_runtime::carry;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Wait after the system had no descriptor for a connection: asking at once again would only spin.
const NO_DESCRIPTOR: Duration = Duration::from_millis(20);

/// Takes connections for good.
pub(crate) async fn accept(shell: Rc<Shell>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::debug!(%error, "no connection taken");
                tokio::time::sleep(NO_DESCRIPTOR).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        // Without room for it, it is closed at once: its owner can come again.
        let Some((owner, connection)) = shell.admit() else {
            continue;
        };
        if shell.is_crowded() {
            // Danger: the system would take connections faster than those to hosts that make room for them are closed.
            tokio::task::yield_now().await;
        }
        let shell = shell.clone();
        spawn_local(async move {
            let stream = Rc::new(stream);
            carry(&stream, &connection.outbox, |buffer| {
                shell.is_active();
                read(&shell, &connection, buffer, |message| {
                    shell.take_in(owner, &connection, message)
                })
            })
            .await;
            drop(stream);
            shell.drop_owner(owner);
            shell.input(Input::ClientDisconnected(owner));
        });
    }
}
