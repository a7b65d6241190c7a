//! A recording of the bench becomes the day and the settings that it did at 0ad3387.

use crate::{assert_same, output};
use std::path::Path;

#[test]
fn a_recording_becomes_the_day_of_0ad3387() {
    let session = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/session");
    let made = tempfile::tempdir().expect("a folder");
    let (tap, out) = (
        session.join("session.tap"),
        made.path().join("imported.xml"),
    );
    let (tap, out) = (tap.to_str().expect("a name"), out.to_str().expect("a name"));
    let said = output(0, &["trouble", "import", tap, "--out", out]);
    assert_eq!(
        said,
        format!("{out}: 2 controllers, 7 nodes, 71 jobs in 2.3 s, 5 faults\n")
    );
    for file in ["imported.xml", "imported-settings.xml"] {
        let expected = std::fs::read_to_string(session.join(file)).expect(file);
        let made = std::fs::read_to_string(made.path().join(file)).expect(file);
        assert_same(file, &expected, &made);
    }
}
