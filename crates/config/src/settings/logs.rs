//! The section `logs`: format and level of the log on standard error.

use super::attribute::attribute;
use crate::schema::{Document, Element, Occurrence, ValueKind};

/// Schema of the section.
pub(super) const ELEMENT: Element = Element {
    name: "logs",
    occurrence: Occurrence::Optional,
    description: "What is logged, to standard error.",
    attributes: &[
        attribute(
            "format",
            ValueKind::Choice(&["text", "json"]),
            Some("text"),
            "Lines of text or of JSON.",
        ),
        attribute(
            "level",
            ValueKind::Choice(&["error", "warn", "info", "debug", "trace"]),
            Some("info"),
            "The least severe that is logged.",
        ),
    ],
    children: &[],
};

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl LogFormat {
    /// Reads the section `logs` of a validated document.
    pub(super) fn read(section: &Document) -> LogFormat {
        if section.string("format") == "json" {
            LogFormat::Json
        } else {
            LogFormat::Text
        }
    }
}
