//! Generates the tables of `docs/CAPACITY.md` and its charts.
//!
//! Tables are placed between `<!-- generated: NAME -->` and `<!-- end -->`; the text around them is written by hand.
//! They are generated from `bench/scale/target.json`, `bench/scale/needs.json` and the rows in `bench/scale/*.jsonl`
//! ([`inputs`]). [`measurements`] and [`curve`] estimate figures at any size from rows, [`demand`] compares the
//! estimates with the budgets of [`needs`], [`tables`] and [`chart`] present them, and [`files`] writes or checks the
//! result. A figure without rows is shown as `not measured`.

pub mod chart;
pub mod curve;
pub mod demand;
pub mod files;
pub mod format;
pub mod inputs;
pub mod measurements;
pub mod needs;
pub mod page;
pub mod tables;
