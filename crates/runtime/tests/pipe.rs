//! Connections of bytes: what an end of theirs does with what waits to be written.

use peppercove_runtime::{Closed, Outbox, carry};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (here, there) = tokio::join!(TcpStream::connect(address), listener.accept());
    (here.expect("connected"), there.expect("accepted").0)
}

#[tokio::test(flavor = "current_thread")]
async fn a_connection_that_is_finished_writes_what_waits_and_one_that_is_closed_does_not() {
    for (finish, wanted) in [(true, &b"the end of a task"[..]), (false, &b""[..])] {
        let (here, mut there) = pair().await;
        let outbox = Outbox::new(1 << 10);
        // Queued, and not written yet when the connection is given up for another one.
        assert!(outbox.push(b"the end of a task"));
        if finish {
            outbox.finish();
        } else {
            outbox.close();
        }
        assert!(!outbox.push(b"too late"));
        assert!(matches!(carry(&here, &outbox, |_| true).await, Closed::Here));
        drop(here);
        let mut read = Vec::new();
        there.read_to_end(&mut read).await.expect("closed");
        assert_eq!(read, wanted);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_peer_that_reads_nothing_loses_its_connection_at_the_bound() {
    let (here, _there) = pair().await;
    let outbox = Outbox::new(10);
    assert!(outbox.push(b"ten bytes!"));
    assert!(!outbox.push(b"x"), "past the bound");
    assert!(matches!(carry(&here, &outbox, |_| true).await, Closed::Here));
}
