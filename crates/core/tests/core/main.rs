//! The core, by its one entry: inputs in, outputs out.

mod admission;
mod adoption;
mod connections;
mod harness;
mod placement;
mod properties;
