//! Fills the generated tables into the page, between its markers.

use super::tables::Table;
use crate::error::PageError;
use std::collections::BTreeSet;

const START_MARKER: &str = "<!-- generated: ";
const START_MARKER_END: &str = " -->\n";
const END_MARKER: &str = "<!-- end -->";

/// Returns the page with each table between its markers, `<!-- generated: NAME -->` and `<!-- end -->`. The text
/// outside the markers is kept.
///
/// # Errors
/// [`PageError`] if a marker names no table, has no end marker or occurs twice, or if a table has no marker.
pub fn fill(page: &str, tables: &[Table]) -> Result<String, PageError> {
    let mut filled = String::new();
    let mut rest = page;
    let mut seen = BTreeSet::new();
    while let Some(start) = rest.find(START_MARKER) {
        let after = &rest[start + START_MARKER.len()..];
        let (name, after) = after
            .split_once(START_MARKER_END)
            .ok_or(PageError::UnterminatedMarker)?;
        let table = tables.iter().find(|table| table.name == name);
        let table = table.ok_or_else(|| PageError::UnknownTable(name.to_owned()))?;
        if !seen.insert(name) {
            return Err(PageError::DuplicateTable(name.to_owned()));
        }
        let end = after
            .find(END_MARKER)
            .filter(|end| !after[..*end].contains(START_MARKER));
        let end = end.ok_or_else(|| PageError::MissingEnd(name.to_owned()))?;
        filled.push_str(&rest[..start]);
        filled += &format!("{START_MARKER}{name} -->\n\n{}\n{END_MARKER}", table.text);
        rest = &after[end + END_MARKER.len()..];
    }
    match tables.iter().find(|table| !seen.contains(table.name)) {
        Some(missing) => Err(PageError::MissingMarker(missing.name.to_owned())),
        None => Ok(filled + rest),
    }
}
