use super::rotate_after;
use peppercove_platform::ClientId;

/// Guards against connections that get no notifications while earlier ones always have some.
#[test]
fn each_slice_begins_after_the_client_that_was_served_last() {
    for (last_served, expected) in [
        (0, [1, 2, 5]),
        (1, [2, 5, 1]),
        (3, [5, 1, 2]),
        (5, [1, 2, 5]),
    ] {
        let mut clients = [1, 2, 5].map(ClientId);
        rotate_after(&mut clients, ClientId(last_served));
        assert_eq!(clients, expected.map(ClientId));
    }
}
