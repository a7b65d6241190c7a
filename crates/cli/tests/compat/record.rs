//! Records of what controllers were told, and what `replay` prints for them.

use crate::{assert_same, output, terms, text};

fn check(record: &str, settings: &str) {
    let expected = terms::translate(&text(&format!("record/{record}.{settings}.replay.txt")));
    let (record, settings) = (format!("record/{record}.jsonl"), format!("{settings}.xml"));
    let printed = output(0, &["replay", &record, "--config", &settings]);
    assert_same(&record, &expected, &printed);
}

#[test]
fn the_record_of_a_killed_controllers_next_life_replays_as_at_0ad3387() {
    check("controller-0", "recorded");
}

#[test]
fn the_record_of_a_day_with_faults_replays_as_at_0ad3387() {
    check("controller-1", "recorded");
}

#[test]
fn a_record_with_every_input_replays_as_at_0ad3387_with_a_journal() {
    check("every-input", "recorded");
}

#[test]
fn a_record_with_every_input_replays_as_at_0ad3387_without_a_journal() {
    check("every-input", "settings");
}

#[test]
fn a_record_with_every_input_replays_as_at_0ad3387_under_settings_of_its_own() {
    check("every-input", "every-setting");
}
