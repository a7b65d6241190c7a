//! A controller's journal, as a SIGKILL left it.

use crate::{assert_same, data, text};
use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};

/// What came of opening a journal.
struct Opened {
    /// What the controller said when it was stopped.
    said: String,
    /// The entries that it read, as its record has them, a JSON object a line.
    entries: String,
    /// The journal as it wrote it anew.
    anew: Vec<u8>,
}

/// Starts a controller on a copy of the journal, and stops it once it listens.
fn open(journal: &str) -> Opened {
    let folder = tempfile::tempdir().expect("a folder");
    let (copy, record) = (folder.path().join("journal"), folder.path().join("record"));
    std::fs::copy(data().join(journal), &copy).expect("copied");
    let mut child = Command::new(env!("CARGO_BIN_EXE_peppercove"))
        .args([
            "controller",
            "--config",
            "settings.xml",
            "--set",
            "node-list/address=127.0.0.1:9",
        ])
        .args(["--set", &format!("controller/journal={}", copy.display())])
        .args(["--set", &format!("controller/record={}", record.display())])
        .current_dir(data())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("started");
    let mut out = BufReader::new(child.stdout.take().expect("piped"));
    let mut line = String::new();
    out.read_line(&mut line).expect("it says where it listens");
    assert!(line.starts_with("listening 127.0.0.1:"), "{line}");
    let signalled = Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status();
    assert!(signalled.is_ok_and(|s| s.success()));
    let mut said = String::new();
    out.read_to_string(&mut said).expect("it ends");
    assert!(child.wait().expect("a child").success());
    let record = std::fs::read_to_string(&record).expect("a record");
    let head = record.lines().next().expect("a head");
    let (_, entries) = head.split_once("\"journal\":[").expect("the entries");
    let entries = entries.strip_suffix("]}").expect("they are the last field");
    Opened {
        said,
        entries: entries.into(),
        anew: std::fs::read(&copy).expect("the journal"),
    }
}

fn check(name: &str) {
    let opened = open(&format!("journal/{name}.journal"));
    assert_same(
        "what it says",
        &text(&format!("journal/{name}.said.txt")),
        &opened.said,
    );
    let entries = text(&format!("journal/{name}.entries.jsonl"));
    let entries: Vec<&str> = entries.lines().collect();
    assert_same("entries", &entries.join(","), &opened.entries);
    let anew = std::fs::read(data().join(format!("journal/{name}.anew.journal"))).expect("read");
    assert_eq!(opened.anew, anew, "the journal written anew");
}

#[test]
fn the_journal_of_a_first_life_is_read_and_written_anew_as_0ad3387_did() {
    check("killed-1");
}

#[test]
fn the_journal_of_a_second_life_with_renamed_and_finished_copies_is_read_as_0ad3387_did() {
    let entries = text("journal/killed-2.entries.jsonl");
    for kind in ["Sent", "Runs", "Renamed", "Closed", "Ran"] {
        assert!(
            entries.contains(&format!("{{\"{kind}\":")),
            "the file shows no {kind}"
        );
    }
    check("killed-2");
}
