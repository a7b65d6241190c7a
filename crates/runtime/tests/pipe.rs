//! Connections of bytes: what an end of theirs does with what waits to be written.

use peppercove_runtime::{Budget, Closed, Outbox, carry};
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

async fn pair() -> (Rc<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (here, there) = tokio::join!(TcpStream::connect(address), listener.accept());
    (
        Rc::new(here.expect("connected")),
        there.expect("accepted").0,
    )
}

#[tokio::test(flavor = "current_thread")]
async fn a_connection_that_is_finished_writes_what_waits_and_one_that_is_closed_does_not() {
    for (finish, wanted) in [(true, &b"the end of a task"[..]), (false, &b""[..])] {
        let (here, mut there) = pair().await;
        let outbox = Outbox::new(&Budget::new(1 << 10));
        // Queued, and not written yet when the connection is given up for another one.
        assert!(outbox.push(b"the end of a task"));
        if finish {
            outbox.finish();
        } else {
            outbox.close();
        }
        assert!(!outbox.push(b"too late"));
        assert!(matches!(
            carry(&here, &outbox, |_| true).await,
            Closed::Here
        ));
        drop(here);
        let mut read = Vec::new();
        there.read_to_end(&mut read).await.expect("closed");
        assert_eq!(read, wanted);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn what_came_while_nobody_looked_is_read_before_a_connection_that_is_finished_ends() {
    for stays in [true, false] {
        let (here, there) = pair().await;
        let mut there = there.into_std().expect("a socket");
        let outbox = Outbox::new(&Budget::new(1 << 10));
        // Both stand before the one that carries has its first turn, and the runtime has not looked in between.
        std::io::Write::write_all(&mut there, b"a set-up").expect("written");
        outbox.finish();
        let mut read = Vec::new();
        let carried = carry(&here, &outbox, |buffer| {
            read.extend_from_slice(&buffer.split());
            if stays {
                outbox.stay();
                assert!(outbox.push(b"its answer"));
                outbox.finish();
            }
            true
        });
        assert!(matches!(carried.await, Closed::Here));
        assert_eq!(read, b"a set-up");
        drop(here);
        there.set_nonblocking(false).expect("blocking");
        let mut answer = String::new();
        std::io::Read::read_to_string(&mut there, &mut answer).expect("closed");
        assert_eq!(answer, if stays { "its answer" } else { "" });
    }
}

/// Danger: what goes to a host must be out before the final answer to its owner, whichever connection has its turn first.
#[tokio::test(flavor = "current_thread")]
async fn what_is_written_at_once_is_out_before_any_other_connection_has_its_turn() {
    let (here, mut there) = pair().await;
    let outbox = Outbox::new(&Budget::new(1 << 24));
    assert!(outbox.push(b"a set-up"));
    assert!(!outbox.write(), "carried by nobody yet");
    let carried = carry(&here, &outbox, |_| true);
    let acts = async {
        tokio::task::yield_now().await;
        assert!(outbox.push(b", and what takes it back"));
        // No turn of the one that carries from here on.
        assert!(outbox.write());
        assert_eq!(outbox.written(), 32);
        // What a peer does not read is known to be left, and is never sent where the connection ends.
        let all = vec![b'x'; 1 << 23];
        assert!(outbox.push(&all) && !outbox.write());
        outbox.close();
        assert!(!outbox.write());
        outbox.written()
    };
    let (closed, written) = tokio::join!(carried, acts);
    assert!(matches!(closed, Closed::Here));
    drop(here);
    let mut read = Vec::new();
    let end = there.read_to_end(&mut read).await;
    assert!(end.is_ok() || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    assert!(read.starts_with(b"a set-up, and what takes it back"));
    assert_eq!(read.len() as u64, written);
}

#[tokio::test(flavor = "current_thread")]
async fn a_peer_that_reads_nothing_loses_its_connection_at_the_bound() {
    let (here, _there) = pair().await;
    let outbox = Outbox::new(&Budget::new(10));
    assert!(outbox.push(b"ten bytes!"));
    assert!(!outbox.push(b"x"), "past the bound");
    assert!(matches!(
        carry(&here, &outbox, |_| true).await,
        Closed::Here
    ));
}

#[test]
fn a_busy_connection_uses_what_idle_ones_leave_and_slow_ones_leave_some_for_the_next() {
    let budget = Budget::new(1 << 20);
    let busy = Outbox::new(&budget);
    for _ in 0..30 {
        assert!(
            busy.push(&[0; 16 << 10]),
            "far more than a thousandth of what there is"
        );
    }
    let slow: Vec<Outbox> = (0..100).map(|_| Outbox::new(&budget)).collect();
    for outbox in &slow {
        while outbox.push(&[0; 100]) {}
    }
    assert!(budget.used() <= 1 << 20);
    drop(busy);
    assert!(
        Outbox::new(&budget).push(&[0; 16 << 10]),
        "what a connection held is free after it"
    );
    drop(slow);
    assert_eq!(budget.used(), 0);
}
