//! The binary protocol between a simulator of a site and the adapter that plays the decision
//! module.
//!
//! The simulator sends batches of records; the reply to each is a frame of actions. Integers are
//! little-endian, except for addresses. No decision is made here: [`Decoder`] turns records into
//! events, [`Reply`] turns actions into a frame, and [`read_settings`] reads the settings that the
//! first record carries as JSON.

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
