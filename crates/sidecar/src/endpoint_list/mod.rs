//! Lists of endpoints as discovery writes them: the records, and a reader that yields each record as soon as its bytes
//! have arrived. No I/O.

mod reader;
mod record;

pub use reader::{ListError, ListReader, MAX_PENDING_BYTES};
pub use record::{EndpointRecord, RecordError};

use serde_json::Value;

/// A list that has arrived whole.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointList {
    /// Its version.
    pub version: i64,
    /// It names all endpoints, not only those that changed.
    pub is_complete: bool,
    /// Its records, in their order; no name stands twice.
    pub records: Vec<EndpointRecord>,
}

impl EndpointList {
    /// Reads a list that is held as a JSON value.
    pub fn from_value(list: &Value) -> Result<EndpointList, ListError> {
        let mut reader = ListReader::default();
        reader.push(list.to_string().as_bytes())?;
        reader.finish()
    }
}
