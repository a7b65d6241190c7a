//! The file `done`, which stores the position up to which the log was pushed: a segment number and an offset in it.

use std::path::Path;
use std::{fs, io};

const FILE: &str = "done";
const TEMPORARY_FILE: &str = "done.new";

/// The position of the first record that was not pushed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Checkpoint {
    /// Number of the oldest segment that is still needed.
    pub(super) segment: u64,
    /// Offset in that segment of the first record that was not pushed, in bytes.
    pub(super) offset: u64,
}

impl Checkpoint {
    /// Reads the checkpoint of a directory. If it is missing or unreadable, returns the start of the log.
    pub(super) fn load(directory: &Path) -> Checkpoint {
        let text = fs::read_to_string(directory.join(FILE)).unwrap_or_default();
        let mut numbers = text
            .split_whitespace()
            .map(|number| number.parse().unwrap_or(0));
        Checkpoint {
            segment: numbers.next().unwrap_or(0),
            offset: numbers.next().unwrap_or(0),
        }
    }

    /// Writes the checkpoint. The new file is renamed over the old one, so that after a crash one of the two is
    /// complete.
    pub(super) fn store(self, directory: &Path) -> io::Result<()> {
        let temporary = directory.join(TEMPORARY_FILE);
        fs::write(&temporary, format!("{} {}\n", self.segment, self.offset))?;
        fs::rename(temporary, directory.join(FILE))
    }
}
