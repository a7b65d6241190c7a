//! Records the inputs of the core, one JSON object per line, for `peppercove replay`.

use peppercove::Micros;
use peppercove_core::Input;
use peppercove_core::recording::{self, RecordingHeader};
use std::cell::RefCell;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

/// Writes inputs to a file. Write errors are ignored: the input is missing from the recording, and the controller
/// continues.
pub(crate) struct InputRecorder {
    file: RefCell<BufWriter<File>>,
}

impl InputRecorder {
    /// Creates the recording and writes its header.
    pub(crate) fn create(path: &Path, header: &RecordingHeader) -> io::Result<InputRecorder> {
        let mut file = BufWriter::new(File::create(path)?);
        let header = serde_json::to_string(header).unwrap_or_default();
        let _ = writeln!(file, "{header}");
        Ok(InputRecorder {
            file: RefCell::new(file),
        })
    }

    pub(crate) fn record(&self, now: Micros, input: &Input) {
        let line = recording::format_line(now, input);
        let _ = writeln!(self.file.borrow_mut(), "{line}");
    }

    pub(crate) fn flush(&self) {
        let _ = self.file.borrow_mut().flush();
    }
}
