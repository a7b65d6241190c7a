//! The binary protocol between a cluster simulator and the adapter that runs the decision module.
//!
//! The simulator sends batches of records; the reply to each batch is a frame of actions. Integers
//! are little-endian, except for addresses. This module makes no decisions: [`Decoder`] turns
//! records into events, [`Reply`] encodes actions as a frame, and [`read_settings`] parses the JSON
//! settings in the start record of an instance.

mod cursor;
mod decoder;
mod error;
mod records;
mod reply;
mod settings;

pub use decoder::{Batch, Decoder, Incoming};
pub use error::ProtocolError;
pub use records::{RecordSchema, set_load_value};
pub use reply::Reply;
pub use settings::read_settings;
