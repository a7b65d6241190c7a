//! Recording of the core's inputs, one line of JSON each, for `peppercove replay`.

use peppercove::Micros;
use peppercove_core::Input;
use peppercove_core::recording::{self, RecordingHeader};
use std::cell::RefCell;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

/// Writes the inputs to a file. An input that cannot be written is lost; the controller goes on.
pub(crate) struct InputRecorder {
    file: RefCell<BufWriter<File>>,
}

impl InputRecorder {
    /// Creates the file and writes the header.
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
