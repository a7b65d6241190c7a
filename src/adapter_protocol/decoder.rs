//! Decodes batches of records.

use super::cursor::Cursor;
use super::records;
use super::{ProtocolError, RecordSchema, read_settings};
use crate::api::{Event, ListUpdateKind, Micros, NodeEntry, RequestId, Settings};
use std::collections::BTreeMap;

/// A decoded record, addressed to one instance.
#[derive(Clone, Debug)]
pub enum Incoming {
    /// The instance is started.
    Start {
        /// Seed of its random number generator.
        seed: u64,
        /// Settings of the instance.
        settings: Box<Settings>,
    },
    /// The instance is stopped.
    Stop,
    /// An event for the instance.
    Event(Event),
}

/// A decoded batch.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Time of the batch.
    pub now: Micros,
    /// The records in order, each with the number of its instance.
    pub records: Vec<(u16, Incoming)>,
}

/// Record codes.
mod code {
    pub const START: u8 = 1;
    pub const NODE_LIST: u8 = 2;
    pub const PLACE: u8 = 3;
    pub const PLACED: u8 = 4;
    pub const ATTEMPT_ENDED: u8 = 5;
    pub const REQUEST_CANCELLED: u8 = 6;
    pub const TIMER: u8 = 7;
    pub const PROBED: u8 = 8;
    pub const PEER: u8 = 9;
    pub const STOP: u8 = 10;
    pub const RUNNING_TASK: u8 = 11;
    pub const TASK_UPDATED: u8 = 12;
    /// Defines the entries of a numbered node list, to which later `NODE_LIST` records refer.
    pub const DEFINE_LIST: u8 = 13;
    /// Selects the instance to which the following records are addressed.
    pub const INSTANCE: u8 = 14;
}

/// Decodes the batches of one input. It keeps the state that spans batches: the numbered node
/// lists, and the record schema of each instance.
#[derive(Debug, Default)]
pub struct Decoder {
    lists: BTreeMap<u8, Vec<NodeEntry>>,
    schemas: BTreeMap<u16, RecordSchema>,
}

impl Decoder {
    /// Decodes the body of a frame with `count` records.
    ///
    /// # Errors
    /// Returns a [`ProtocolError`] with the position and cause of the first malformed record.
    pub fn batch(&mut self, now: Micros, count: u32, body: &[u8]) -> Result<Batch, ProtocolError> {
        let mut cursor = Cursor::new(body);
        let mut records = Vec::new();
        let mut instance = None;
        for index in 0..count {
            let at = cursor.position();
            let decoded = self
                .record(&mut cursor, &mut instance)
                .and_then(|incoming| {
                    let Some(incoming) = incoming else {
                        return Ok(None);
                    };
                    let instance = instance.ok_or(ProtocolError::MissingInstance)?;
                    Ok(Some((instance, incoming)))
                });
            let in_record = |error| ProtocolError::Record {
                index,
                at,
                source: Box::new(error),
            };
            records.extend(decoded.map_err(in_record)?);
        }
        if cursor.remaining() > 0 {
            return Err(ProtocolError::TrailingBytes(cursor.remaining()));
        }
        Ok(Batch { now, records })
    }

    /// Decodes one record. Returns `None` for records that only update the decoder itself.
    fn record(
        &mut self,
        cursor: &mut Cursor<'_>,
        instance: &mut Option<u16>,
    ) -> Result<Option<Incoming>, ProtocolError> {
        let code = cursor.u8()?;
        let schema = instance.and_then(|instance| self.schemas.get(&instance));
        let default_schema = RecordSchema::default();
        let schema = schema.unwrap_or(&default_schema);
        let event = match code {
            code::START => return self.start(cursor, *instance).map(Some),
            code::STOP => return Ok(Some(Incoming::Stop)),
            code::DEFINE_LIST => {
                self.define_list(cursor)?;
                return Ok(None);
            }
            code::INSTANCE => {
                *instance = Some(cursor.u16()?);
                return Ok(None);
            }
            code::NODE_LIST => Some(self.node_list(cursor, schema)?),
            code::PLACE => Some(records::place(cursor)?),
            code::PLACED => Some(records::placed(cursor)?),
            code::ATTEMPT_ENDED => Some(records::attempt_ended(cursor, schema)?),
            code::REQUEST_CANCELLED => Some(Event::RequestCancelled(RequestId(cursor.u64()?))),
            code::TIMER => Some(Event::Timer(cursor.u64()?)),
            code::PROBED => Some(records::probed(cursor, schema)?),
            code::PEER => Some(records::peer_message(cursor)?),
            code::RUNNING_TASK => Some(records::running_task(cursor)?),
            code::TASK_UPDATED => records::task_updated(cursor)?,
            other => return Err(ProtocolError::UnknownRecord(other)),
        };
        Ok(event.map(Incoming::Event))
    }

    fn start(
        &mut self,
        cursor: &mut Cursor<'_>,
        instance: Option<u16>,
    ) -> Result<Incoming, ProtocolError> {
        let seed = cursor.u64()?;
        let length = cursor.u32()? as usize;
        let (settings, schema) = read_settings(cursor.take(length)?)?;
        if let Some(instance) = instance {
            self.schemas.insert(instance, schema);
        }
        Ok(Incoming::Start {
            seed,
            settings: Box::new(settings),
        })
    }

    fn define_list(&mut self, cursor: &mut Cursor<'_>) -> Result<(), ProtocolError> {
        let list = cursor.u8()?;
        let count = cursor.u32()?;
        let mut entries = Vec::new();
        for _ in 0..count {
            entries.push(records::node_entry(cursor)?);
        }
        self.lists.insert(list, entries);
        Ok(())
    }

    fn node_list(
        &self,
        cursor: &mut Cursor<'_>,
        schema: &RecordSchema,
    ) -> Result<Event, ProtocolError> {
        let list = cursor.u8()?;
        let version = cursor.u64()?;
        let kind = match cursor.u8()? {
            0 => ListUpdateKind::Incremental,
            1 => ListUpdateKind::Full,
            2 => ListUpdateKind::Cached,
            3 => ListUpdateKind::Failed,
            other => return Err(ProtocolError::UnknownListUpdateKind(other)),
        };
        let mut entries = match kind {
            ListUpdateKind::Failed => Vec::new(),
            ListUpdateKind::Incremental
            | ListUpdateKind::Full
            | ListUpdateKind::Cached
            | ListUpdateKind::SubsetChange => self.lists.get(&list).cloned().unwrap_or_default(),
        };
        if !schema.has_free_capacity {
            for entry in &mut entries {
                (entry.free_cores, entry.free_memory) = (None, None);
            }
        }
        Ok(Event::NodeList {
            kind,
            version,
            entries,
        })
    }
}
