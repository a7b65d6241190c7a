//! Rows of `bench scale` that 0ad3387 wrote, and the tables that it made of them.

use crate::{data, output, text};

/// All numbers of a page, in order. What stands around them is prose, which may be put otherwise.
fn numbers(page: &str) -> Vec<&str> {
    page.split(|c: char| !c.is_ascii_digit() && c != '.')
        .filter(|part| part.contains(|c| c != '.'))
        .collect()
}

#[test]
fn the_rows_of_0ad3387_become_the_same_numbers() {
    let root = tempfile::tempdir().expect("a folder");
    for file in [
        "bench/scale/rows.jsonl",
        "bench/scale/target.json",
        "bench/scale/needs.json",
        "docs/CAPACITY.md",
    ] {
        let path = root.path().join(file);
        std::fs::create_dir_all(path.parent().expect("a parent")).expect("made");
        std::fs::copy(data().join("capacity").join(file), path).expect("copied");
    }
    output(
        0,
        &[
            "bench",
            "capacity",
            "--root",
            root.path().to_str().expect("a name"),
        ],
    );
    let made = std::fs::read_to_string(root.path().join("docs/CAPACITY.md")).expect("the page");
    let expected = text("capacity/made.md");
    let (made, expected) = (numbers(&made), numbers(&expected));
    assert!(expected.len() > 1000, "the page has numbers");
    assert_eq!(made, expected);
}
