use super::*;

#[test]
fn completed_and_placed_requests_never_go_back_and_one_attempt_is_in_flight() {
    use RequestState::{Completed, Dispatched, Pending, Placed};
    let all = [
        Pending,
        Dispatched(0),
        Dispatched(1),
        Placed(0),
        Placed(1),
        Completed,
    ];
    for to in all {
        let mut completed = Completed;
        assert_eq!(
            completed.transition_to(to),
            Err(InvalidTransition {
                from: Completed,
                to
            })
        );
        let mut placed = Placed(1);
        assert_eq!(placed.transition_to(to).is_ok(), to == Completed, "{to:?}");
    }
    let mut dispatched = Dispatched(0);
    assert!(
        dispatched.transition_to(Placed(1)).is_err(),
        "another attempt cannot acknowledge"
    );
    assert!(
        dispatched.transition_to(Dispatched(1)).is_err(),
        "two attempts cannot be in flight"
    );
    assert!(dispatched.transition_to(Placed(0)).is_ok());
}
