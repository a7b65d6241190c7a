use super::Connection;
use peppercove_runtime::{CloseReason, ReceiveBudget, SendBudget, drive};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// Two ends of a connection.
async fn connected_streams() -> (Rc<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("cannot bind the listener");
    let address = listener
        .local_addr()
        .expect("cannot read the listener's address");
    let (local, peer) = tokio::join!(TcpStream::connect(address), listener.accept());
    let local = local.expect("cannot connect to the listener");
    let (peer, _) = peer.expect("cannot accept the connection");
    (Rc::new(local), peer)
}

/// Drives a new connection to a peer that does not read, while `act` uses it.
async fn run_with_connection(act: impl AsyncFnOnce(&Connection)) -> CloseReason {
    let (local, _peer) = connected_streams().await;
    let connection = Connection::new(0, &SendBudget::new(1 << 24));
    let budget = ReceiveBudget::new(1 << 20);
    let driven = drive(&local, &connection.send_buffer, &budget, |_| true);
    let steps = async {
        tokio::task::yield_now().await;
        act(&connection).await;
    };
    tokio::join!(driven, steps).0
}

/// Guards against a message that waits for a full socket and is sent later than it may.
#[tokio::test(flavor = "current_thread")]
async fn connection_is_closed_unless_the_socket_has_taken_enough_bytes() {
    let reason = run_with_connection(async |connection| {
        assert!(connection.send(b"request"));
        connection.close_unless_written(7);
        assert!(!connection.send_buffer.is_closing());
        assert!(
            !connection.send(&vec![0; 1 << 23]),
            "the socket does not take this much while the peer does not read"
        );
        connection.close_unless_written(8);
        assert!(!connection.send_buffer.is_closing(), "a part was written");
        connection.close_unless_written(7 + (1 << 23));
    })
    .await;
    assert!(matches!(reason, CloseReason::Locally));
}

#[tokio::test(flavor = "current_thread")]
async fn send_writes_immediately_and_a_cancel_that_cannot_be_written_closes_the_connection() {
    let reason = run_with_connection(async |connection| {
        // No other task runs in between.
        assert!(connection.send(b"set-up"));
        connection.send_cancel(b"given up");
        assert_eq!(connection.send_buffer.bytes_written(), 14);
        assert!(
            !connection.send(&vec![0; 1 << 23]),
            "the socket does not take this much while the peer does not read"
        );
        connection.send_cancel(b"given up");
    })
    .await;
    assert!(matches!(reason, CloseReason::Locally));
}

/// Guards against a connection that stays open because its peer does not read notifications, and against one that is
/// closed although an answer is left to write.
#[tokio::test(flavor = "current_thread")]
async fn connection_is_closed_although_notifications_are_unread_but_not_before_answers_are_written()
{
    for has_unsent_answer in [false, true] {
        let closed = run_with_connection(async |connection| {
            connection.push_answer(b"answer");
            assert!(connection.has_unsent_answers());
            assert!(connection.send_buffer.flush());
            assert!(!connection.has_unsent_answers());
            assert!(
                !connection.send(&vec![0; 1 << 23]),
                "the socket does not take this much while the peer does not read"
            );
            if has_unsent_answer {
                connection.push_answer(b"answer");
            }
            assert_eq!(connection.has_unsent_answers(), has_unsent_answer);
            connection.close_after_answers();
            assert!(!connection.has_lost_answers.get());
            connection.push_answer(b"answer");
            assert!(connection.has_lost_answers.get());
        });
        let closed = tokio::time::timeout(std::time::Duration::from_millis(200), closed).await;
        assert_eq!(closed.is_err(), has_unsent_answer, "{closed:?}");
    }
}
