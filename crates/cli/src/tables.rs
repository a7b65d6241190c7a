//! Tables on standard output.

use comfy_table::Table;
use comfy_table::presets::UTF8_BORDERS_ONLY;

/// An empty table with these columns.
pub fn new_table<const COLUMNS: usize>(head: [&str; COLUMNS]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY);
    table.set_header(head);
    table
}
