//! The format of discovery's endpoint lists: the records, and an incremental reader that yields each record as soon as its
//! bytes have arrived. No I/O.

mod reader;
mod record;

pub use reader::{ListError, ListReader, MAX_PENDING_BYTES};
pub use record::{EndpointRecord, RecordError};

use serde_json::Value;

/// An endpoint list that has arrived completely.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointList {
    /// The list's version (`index` in JSON).
    pub version: i64,
    /// Whether the list names all endpoints (`snapshot` in JSON) or only those that changed.
    pub is_complete: bool,
    /// The records in their original order, with distinct names.
    pub records: Vec<EndpointRecord>,
}

impl EndpointList {
    /// Reads a list from a JSON value.
    pub fn from_value(list: &Value) -> Result<EndpointList, ListError> {
        let mut reader = ListReader::default();
        reader.push(list.to_string().as_bytes())?;
        reader.finish()
    }
}
