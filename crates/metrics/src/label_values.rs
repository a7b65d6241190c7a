//! Limits on label values, since clients choose some of them.

use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of distinct values of a label; further values are replaced with [`OTHER_LABEL_VALUE`].
pub const MAX_LABEL_VALUES: usize = 64;
/// Maximum length of a label value; longer values are truncated.
pub const MAX_LABEL_VALUE_BYTES: usize = 128;
/// Value that replaces label values over the limit of [`MAX_LABEL_VALUES`].
pub const OTHER_LABEL_VALUE: &str = "other";

/// The distinct values of each label so far, by name of the family and index of the label.
#[derive(Debug, Default)]
pub(crate) struct LabelValues {
    seen: BTreeMap<(&'static str, usize), BTreeSet<String>>,
}

impl LabelValues {
    /// Returns the label values to record a measurement with, within the limits.
    pub(crate) fn limit_all(&mut self, family: &'static str, values: &[&str]) -> Vec<String> {
        values
            .iter()
            .enumerate()
            .map(|(label, value)| self.limit(family, label, truncate(value)))
            .collect()
    }

    fn limit(&mut self, family: &'static str, label: usize, value: &str) -> String {
        let seen = self.seen.entry((family, label)).or_default();
        if !seen.contains(value) && seen.len() >= MAX_LABEL_VALUES {
            return OTHER_LABEL_VALUE.to_owned();
        }
        seen.insert(value.to_owned());
        value.to_owned()
    }
}

/// Truncates a value at a character boundary.
fn truncate(value: &str) -> &str {
    let mut end = value.len().min(MAX_LABEL_VALUE_BYTES);
    while !value.is_char_boundary(end) {
        end -= 1;
    }
    &value[..end]
}
