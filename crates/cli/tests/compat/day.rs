//! Days in simulated time: the same jobs, answers, offers and delays to the last one, under the same names.

use crate::{assert_same, output, text};

/// What `hunt` prints, without the seconds that it took.
fn hunt(more: &[&str]) -> String {
    let printed = output(
        0,
        &[&["hunt", "--from", "4000", "--days", "40", "--pairs"], more].concat(),
    );
    let (first, rest) = printed.split_once('\n').expect("lines");
    let (days, after) = first.split_once(" in ").expect("days in seconds");
    let (_, broken) = after
        .split_once(" s, ")
        .expect("seconds, and how many were broken");
    format!("{days}, {broken}\n{rest}")
}

#[test]
fn the_shipped_days_come_to_what_they_did_at_0ad3387() {
    let reports = output(0, &["day", "--all", "--kernel", "--json"]);
    assert_same("day --all", &text("day/shipped.jsonl"), &reports);
}

#[test]
fn a_day_with_every_setting_and_fault_comes_to_what_it_did_at_0ad3387() {
    let report = output(0, &["day", "every-setting-day.xml", "--kernel", "--json"]);
    assert_same("the day", &text("day/every-setting.jsonl"), &report);
}

#[test]
fn random_days_come_to_what_they_did_at_0ad3387() {
    assert_same("hunt", &text("day/hunt.txt"), &hunt(&[]));
}

#[test]
fn random_days_under_a_view_come_to_what_they_did_at_0ad3387() {
    assert_same(
        "hunt --view",
        &text("day/hunt-view.txt"),
        &hunt(&["--view", "4"]),
    );
}

#[test]
fn a_random_day_is_written_as_at_0ad3387() {
    let day = output(0, &["hunt", "--show", "--from", "4001"]);
    assert_same("hunt --show", &text("day/hunt-4001.xml"), &day);
}
