//! The capacity report: the page against the stored figures, and the arithmetic behind it. Rows in here are made up.

mod demand;
mod estimates;
mod format;
mod inputs;
mod page;
mod support;
mod tables;
