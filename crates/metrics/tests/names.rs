//! Names, kinds and labels of all figures, as commit 0ad3387 had them: dashboards and alert rules of others use them.

use peppercove_metrics::FAMILIES;

#[test]
fn names_kinds_and_labels_are_those_of_0ad3387() {
    let line = |family: &peppercove_metrics::Family| {
        let kind = format!("{:?}", family.kind).to_lowercase();
        format!("{} {kind} {}", family.name, family.labels.join(","))
    };
    let made: Vec<String> = FAMILIES.iter().map(line).collect();
    assert_eq!(made, include_str!("names.txt").lines().collect::<Vec<_>>());
}
