//! Files written by commit 0ad3387 are still read, and come to what 0ad3387 made of them: journals, records, days.
//!
//! `README.md` beside this tells how each file was made. Everything goes through the program, so that no name of the
//! code stands here but those of [`terms`], which tells how the `Debug` output of `replay` has been renamed since.

mod bench_rows;
mod capacity;
mod day;
mod generated;
mod incident;
mod journal;
mod record;
mod rpc;
mod terms;

use std::path::PathBuf;
use std::process::Command;

/// The folder of the files.
fn data() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/compat/data"))
}

/// One of the files, as text.
fn text(name: &str) -> String {
    std::fs::read_to_string(data().join(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// What the program prints, run in the folder of the files; its exit status must be the stated one.
fn output(status: i32, arguments: &[&str]) -> String {
    let done = Command::new(env!("CARGO_BIN_EXE_peppercove"))
        .args(arguments)
        .current_dir(data())
        .env_remove("RUST_LOG")
        .output()
        .expect("the program runs");
    let errors = String::from_utf8_lossy(&done.stderr);
    assert_eq!(done.status.code(), Some(status), "{arguments:?}: {errors}");
    String::from_utf8(done.stdout).expect("text")
}

/// Two texts are the same to the last byte; otherwise the first line that differs is told.
fn assert_same(what: &str, expected: &str, actual: &str) {
    for (number, (expected, actual)) in (1..).zip(expected.lines().zip(actual.lines())) {
        assert_eq!(expected, actual, "{what}, line {number}");
    }
    assert_eq!(
        expected.lines().count(),
        actual.lines().count(),
        "{what}: lines"
    );
    assert!(expected == actual, "{what}: ends of lines");
}
