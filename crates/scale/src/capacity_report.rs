//! The generated part of `docs/CAPACITY.md` and its charts.
//!
//! Tables stand between `<!-- generated: NAME -->` and `<!-- end -->`; the text around them is written by hand. All of
//! them come from `bench/scale/target.json`, `bench/scale/needs.json` and the rows in `bench/scale/*.jsonl`
//! ([`inputs`]). [`measurements`] and [`curve`] turn rows into figures at any size, [`demand`] compares those with the
//! budgets of [`needs`], [`tables`] and [`chart`] show them, [`files`] writes or checks the result. What has no rows is
//! `not measured`.

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
