//! The file `done`, which remembers up to where the log was pushed: the number of a segment and an offset in it.

use std::path::Path;
use std::{fs, io};

const FILE: &str = "done";
const NEW_FILE: &str = "done.new";

/// Where the log is read next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Checkpoint {
    /// Number of the oldest segment that is still needed.
    pub(super) segment: u64,
    /// Offset of the first record in it that was not pushed, in bytes.
    pub(super) offset: u64,
}

impl Checkpoint {
    /// Reads the checkpoint of a folder; one that is missing or unreadable is the beginning.
    pub(super) fn load(folder: &Path) -> Checkpoint {
        let text = fs::read_to_string(folder.join(FILE)).unwrap_or_default();
        let mut numbers = text
            .split_whitespace()
            .map(|number| number.parse().unwrap_or(0));
        Checkpoint {
            segment: numbers.next().unwrap_or(0),
            offset: numbers.next().unwrap_or(0),
        }
    }

    /// Writes the checkpoint. The new file is renamed over the old one, so that a crash leaves one of the two whole.
    pub(super) fn store(self, folder: &Path) -> io::Result<()> {
        let new = folder.join(NEW_FILE);
        fs::write(&new, format!("{} {}\n", self.segment, self.offset))?;
        fs::rename(new, folder.join(FILE))
    }
}
