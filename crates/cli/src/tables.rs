//! Tables for standard output.

use comfy_table::Table;
use comfy_table::presets::UTF8_BORDERS_ONLY;

/// An empty table with these column headings.
pub fn new_table<const COLUMNS: usize>(headings: [&str; COLUMNS]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY);
    table.set_header(headings);
    table
}
