//! Connections: what happens to buffered bytes when a connection is closed, and the limits of send buffers.

use peppercove_runtime::{CloseReason, ReceiveBudget, SendBudget, SendBuffer, drive};
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Two ends of a TCP connection: the one under test, and its peer.
async fn connected_pair() -> (Rc<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("cannot bind the listener");
    let address = listener
        .local_addr()
        .expect("cannot read the listener's address");
    let (local, peer) = tokio::join!(TcpStream::connect(address), listener.accept());
    (
        Rc::new(local.expect("cannot connect to the listener")),
        peer.expect("cannot accept the connection").0,
    )
}

fn receive_budget() -> Rc<ReceiveBudget> {
    ReceiveBudget::new(1 << 20)
}

#[tokio::test(flavor = "current_thread")]
async fn close_after_flush_sends_buffered_bytes_and_close_discards_them() {
    for (is_flushed, expected) in [(true, &b"the end of a task"[..]), (false, &b""[..])] {
        let (local, mut peer) = connected_pair().await;
        let send_buffer = SendBuffer::new(&SendBudget::new(1 << 10));
        // Buffered, but not sent yet when the connection is closed.
        assert!(send_buffer.push(b"the end of a task"));
        if is_flushed {
            send_buffer.close_after_flush();
        } else {
            send_buffer.close();
        }
        assert!(!send_buffer.push(b"too late"));
        assert!(matches!(
            drive(&local, &send_buffer, &receive_budget(), |_| true).await,
            CloseReason::Locally
        ));
        drop(local);
        let mut read = Vec::new();
        peer.read_to_end(&mut read)
            .await
            .expect("cannot read until the connection closes");
        assert_eq!(read, expected);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn connection_is_read_once_more_before_it_closes_after_flush() {
    for is_answered in [true, false] {
        let (local, peer) = connected_pair().await;
        let mut peer = peer.into_std().expect("cannot convert the socket");
        let send_buffer = SendBuffer::new(&SendBudget::new(1 << 10));
        // Both happen before `drive` is first polled, and the runtime has not polled the socket in between.
        std::io::Write::write_all(&mut peer, b"a set-up").expect("cannot write to the connection");
        send_buffer.close_after_flush();
        let (mut read, budget) = (Vec::new(), receive_budget());
        let driven = drive(&local, &send_buffer, &budget, |buffer| {
            read.extend_from_slice(&buffer.split());
            if is_answered {
                send_buffer.cancel_close();
                assert!(send_buffer.push(b"its answer"));
                send_buffer.close_after_flush();
            }
            true
        });
        assert!(matches!(driven.await, CloseReason::Locally));
        assert_eq!(read, b"a set-up");
        drop(local);
        peer.set_nonblocking(false)
            .expect("cannot make the socket blocking");
        let mut answer = String::new();
        std::io::Read::read_to_string(&mut peer, &mut answer)
            .expect("cannot read until the connection closes");
        assert_eq!(answer, if is_answered { "its answer" } else { "" });
    }
}

/// Messages to a node must be written before the final answer to the client, regardless of the order in which the tasks
/// of the two connections run.
#[tokio::test(flavor = "current_thread")]
async fn flush_sends_before_any_other_task_runs() {
    let (local, mut peer) = connected_pair().await;
    let send_buffer = SendBuffer::new(&SendBudget::new(1 << 24));
    assert!(send_buffer.push(b"a set-up"));
    assert!(!send_buffer.flush(), "`drive` does not run yet");
    let budget = receive_budget();
    let driven = drive(&local, &send_buffer, &budget, |_| true);
    let steps = async {
        tokio::task::yield_now().await;
        assert!(send_buffer.push(b", and what takes it back"));
        // `drive` is not polled from here on.
        assert!(send_buffer.flush());
        assert_eq!(send_buffer.bytes_written(), 32);
        // Bytes that the socket does not take are reported as left, and are not sent after the connection was closed.
        let all = vec![b'x'; 1 << 23];
        assert!(send_buffer.push(&all) && !send_buffer.flush());
        send_buffer.close();
        assert!(!send_buffer.flush());
        send_buffer.bytes_written()
    };
    let (closed, written) = tokio::join!(driven, steps);
    assert!(matches!(closed, CloseReason::Locally));
    drop(local);
    let mut read = Vec::new();
    let end = peer.read_to_end(&mut read).await;
    assert!(end.is_ok() || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    assert!(read.starts_with(b"a set-up, and what takes it back"));
    assert_eq!(read.len() as u64, written);
}

#[tokio::test(flavor = "current_thread")]
async fn peer_that_does_not_read_loses_its_connection_at_the_limit() {
    let (local, _peer) = connected_pair().await;
    let send_buffer = SendBuffer::new(&SendBudget::new(10));
    assert!(send_buffer.push(b"ten bytes!"));
    assert!(
        !send_buffer.push(b"x"),
        "a write over the budget was not rejected"
    );
    assert!(matches!(
        drive(&local, &send_buffer, &receive_budget(), |_| true).await,
        CloseReason::Locally
    ));
}

/// Guards against memory use without limit by peers that stop in the middle of large messages, and against other peers that
/// are not read because of them.
#[tokio::test(flavor = "current_thread")]
async fn large_incomplete_messages_use_no_more_than_the_receive_budget() {
    const BUDGET: usize = 64 << 10;
    const PEERS: usize = 40;
    const LARGE: usize = 15 << 10;
    let budget = ReceiveBudget::new(BUDGET);
    let (send_budget, mut peers) = (SendBudget::new(1 << 20), Vec::new());
    let local = tokio::task::LocalSet::new();
    let complete = Rc::new(std::cell::Cell::new(0));
    for number in 0..=PEERS {
        let (stream, mut peer) = connected_pair().await;
        let (budget, send_buffer) = (budget.clone(), SendBuffer::new(&send_budget));
        let complete = complete.clone();
        local.spawn_local(async move {
            drive(&stream, &send_buffer, &budget, |received| {
                // A message is complete with a line feed.
                if received.ends_with(b"\n") {
                    received.clear();
                    complete.set(complete.get() + 1);
                }
                true
            })
            .await;
        });
        let message = match number {
            PEERS => &b"a small message\n"[..],
            _ => &[b'x'; LARGE][..],
        };
        local
            .run_until(peer.write_all(message))
            .await
            .expect("cannot write to the connection");
        peers.push(peer);
    }
    let is_read = async {
        while complete.get() == 0 {
            tokio::task::yield_now().await;
        }
    };
    local.run_until(is_read).await;
    let max_overshoot = PEERS * (2 << 10);
    assert!(
        budget.used() <= BUDGET + max_overshoot,
        "{} bytes are buffered, the budget is {BUDGET}",
        budget.used()
    );
    // The messages of the others are read once the budget is free again.
    peers.drain(..PEERS - 1);
    let last = &mut peers[0];
    local
        .run_until(last.write_all(b"\n"))
        .await
        .expect("cannot write to the connection");
    let are_read = async {
        while complete.get() < 2 {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    };
    local.run_until(are_read).await;
    assert!(budget.used() < 1 << 10);
}

/// Guards against a peer that has closed its connection and is taken for connected while the rest of what it sent is read,
/// because the receive budget is exhausted.
#[tokio::test(flavor = "current_thread")]
async fn close_by_the_peer_is_known_before_the_rest_is_read_while_the_budget_is_exhausted() {
    const BUDGET: usize = 2 << 10;
    const INCOMPLETE: usize = 4 << 10;
    const REST: usize = 64 << 10;
    let (stream, mut peer) = connected_pair().await;
    let send_buffer = SendBuffer::new(&SendBudget::new(1 << 20));
    let budget = ReceiveBudget::new(BUDGET);
    let read_before_close_is_known = std::cell::Cell::new(0);
    let driven = drive(&stream, &send_buffer, &budget, |received| {
        if !send_buffer.is_closed_by_peer() {
            read_before_close_is_known.set(received.len());
        }
        true
    });
    let steps = async {
        peer.write_all(&[b'x'; INCOMPLETE])
            .await
            .expect("cannot write to the connection");
        while read_before_close_is_known.get() < INCOMPLETE {
            tokio::task::yield_now().await;
        }
        peer.write_all(&[b'x'; REST])
            .await
            .expect("cannot write to the connection");
        drop(peer);
    };
    assert!(matches!(tokio::join!(driven, steps).0, CloseReason::ByPeer));
    assert_eq!(read_before_close_is_known.get(), INCOMPLETE);
}

#[test]
fn busy_connection_uses_the_budget_that_is_unused_and_slow_ones_leave_some() {
    let budget = SendBudget::new(1 << 20);
    let busy = SendBuffer::new(&budget);
    for _ in 0..30 {
        assert!(
            busy.push(&[0; 16 << 10]),
            "much more than a thousandth of the budget"
        );
    }
    let slow: Vec<SendBuffer> = (0..100).map(|_| SendBuffer::new(&budget)).collect();
    for send_buffer in &slow {
        while send_buffer.push(&[0; 100]) {}
    }
    assert!(budget.used() <= 1 << 20);
    drop(busy);
    assert!(
        SendBuffer::new(&budget).push(&[0; 16 << 10]),
        "the bytes of a dropped connection are released"
    );
    drop(slow);
    assert_eq!(budget.used(), 0);
}
