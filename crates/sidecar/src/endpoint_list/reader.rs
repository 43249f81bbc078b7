//! An incremental reader of endpoint lists. A record is available as soon as its last byte has been pushed, whatever happens
//! to the rest of the list. Beyond the records, memory is bounded by [`MAX_PENDING_BYTES`].

use super::EndpointList;
use super::record::{EndpointRecord, RawRecord, RecordError};
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::Deserializer;
use std::borrow::Cow;
use std::collections::HashSet;
use thiserror::Error;

/// Maximum length of one record, or of one value outside the records.
pub const MAX_PENDING_BYTES: usize = 16 * 1024;

/// Why a list is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ListError {
    /// The list is not JSON, or not an object of the expected form.
    #[error("is not JSON of the expected form after {records} records")]
    Syntax {
        /// Number of records read before the error.
        records: usize,
    },
    /// A record or a value is longer than [`MAX_PENDING_BYTES`].
    #[error("has a value longer than {MAX_PENDING_BYTES} bytes after {records} records")]
    TooLong {
        /// Number of records read before the error.
        records: usize,
    },
    /// A record is invalid.
    #[error("record {position} {error}")]
    Record {
        /// The record's position, counted from 0.
        position: usize,
        /// Why it is invalid.
        error: RecordError,
    },
    /// Two records have the same name.
    #[error("names {0:?} twice")]
    RepeatedName(String),
    /// The list ended prematurely.
    #[error("ends prematurely after {records} records")]
    Unfinished {
        /// Number of records read before the error.
        records: usize,
    },
    /// A required field is missing.
    #[error("has no `{0}`")]
    Missing(&'static str),
}

/// A field of the list object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Field {
    Index,
    Snapshot,
    Endpoints,
    Other,
}

/// The reader's state: the next expected token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    Start,
    FirstKey,
    Key,
    Colon(Field),
    Value(Field),
    AfterValue,
    FirstRecord,
    Record,
    AfterRecord,
    End,
}

/// The result of one step over the pending bytes.
enum Step {
    /// The step made progress.
    Advanced,
    /// More bytes are needed.
    Wait,
}

/// A record, or why it is invalid, and its length in bytes.
type ParsedRecord = (Result<EndpointRecord, RecordError>, usize);

/// Reads one list incrementally.
#[derive(Debug)]
pub struct ListReader {
    pending: Vec<u8>,
    /// Number of pending bytes that are already consumed.
    consumed: usize,
    /// Number of pending bytes that were already searched for the end of a record.
    searched: usize,
    expected: Expected,
    version: Option<i64>,
    is_complete: Option<bool>,
    has_endpoints: bool,
    records: Vec<EndpointRecord>,
    /// Number of records read, valid or not.
    position: usize,
    /// The error of the first invalid record.
    bad_record: Option<ListError>,
    /// The error that ended reading.
    stopped: Option<ListError>,
    parsed: u64,
}

impl Default for ListReader {
    fn default() -> ListReader {
        ListReader {
            pending: Vec::new(),
            consumed: 0,
            searched: 0,
            expected: Expected::Start,
            version: None,
            is_complete: None,
            has_endpoints: false,
            records: Vec::new(),
            position: 0,
            bad_record: None,
            stopped: None,
            parsed: 0,
        }
    }
}

impl ListReader {
    /// Reads the next bytes of the list. After an error no further bytes are read, but the records before it stay available.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ListError> {
        if let Some(error) = &self.stopped {
            return Err(error.clone());
        }
        self.pending.extend_from_slice(bytes);
        let result = self.read();
        self.pending.drain(..self.consumed);
        self.searched = self.searched.saturating_sub(self.consumed);
        self.consumed = 0;
        let result = match self.pending.len() {
            0..=MAX_PENDING_BYTES => result,
            _ => result.and(Err(ListError::TooLong { records: self.position })),
        };
        if let Err(error) = &result {
            self.stopped = Some(error.clone());
        }
        result
    }

    /// The valid records that have arrived completely.
    pub fn records(&self) -> &[EndpointRecord] {
        &self.records
    }

    /// The list's version, once it has arrived.
    pub fn version(&self) -> Option<i64> {
        self.version
    }

    /// Whether the list has arrived completely.
    pub fn is_complete(&self) -> bool {
        self.expected == Expected::End && self.stopped.is_none()
    }

    /// Number of bytes passed to the JSON parser so far, as a measure of the work done.
    pub fn parsed_bytes(&self) -> u64 {
        self.parsed
    }

    /// The record that has arrived in part, if its complete fields suffice for a valid record. If the list has paused or was
    /// truncated, an exclusion in that record has to take effect all the same.
    pub fn partial_record(&self) -> Option<EndpointRecord> {
        let in_record = matches!(self.expected, Expected::FirstRecord | Expected::Record);
        let pending = self.pending.trim_ascii_start();
        if !in_record || self.stopped.is_some() || !pending.starts_with(b"{") {
            return None;
        }
        // With the last field if that is complete too, otherwise without it.
        let before = pending.iter().rposition(|&byte| byte == b',').unwrap_or(0);
        closed_record(pending).or_else(|| closed_record(&pending[..before]))
    }

    /// Returns the complete list, or why it is invalid.
    pub fn finish(self) -> Result<EndpointList, ListError> {
        if let Some(error) = self.stopped.or(self.bad_record) {
            return Err(error);
        }
        if self.expected != Expected::End {
            return Err(ListError::Unfinished { records: self.position });
        }
        let version = self.version.ok_or(ListError::Missing("index"))?;
        let is_complete = self.is_complete.ok_or(ListError::Missing("snapshot"))?;
        if !self.has_endpoints {
            return Err(ListError::Missing("endpoints"));
        }
        let mut names = HashSet::with_capacity(self.records.len());
        if let Some(repeated) = self.records.iter().find(|record| !names.insert(record.name.as_str())) {
            return Err(ListError::RepeatedName(repeated.name.clone()));
        }
        Ok(EndpointList { version, is_complete, records: self.records })
    }

    fn read(&mut self) -> Result<(), ListError> {
        while let Step::Advanced = self.step()? {}
        Ok(())
    }

    fn step(&mut self) -> Result<Step, ListError> {
        self.skip_whitespace();
        let Some(&next) = self.pending.get(self.consumed) else { return Ok(Step::Wait) };
        match self.expected {
            Expected::Start => self.punctuation(next, &[(b'{', Expected::FirstKey)]),
            Expected::FirstKey if next == b'}' => self.punctuation(next, &[(b'}', Expected::End)]),
            Expected::FirstKey | Expected::Key => self.key(),
            Expected::Colon(field) => self.punctuation(next, &[(b':', Expected::Value(field))]),
            Expected::Value(Field::Endpoints) => {
                self.has_endpoints = true;
                self.punctuation(next, &[(b'[', Expected::FirstRecord)])
            }
            Expected::Value(field) => self.value(field),
            Expected::AfterValue => self.punctuation(next, &[(b',', Expected::Key), (b'}', Expected::End)]),
            Expected::FirstRecord if next == b']' => self.punctuation(next, &[(b']', Expected::AfterValue)]),
            Expected::FirstRecord | Expected::Record => self.record(),
            Expected::AfterRecord => {
                self.punctuation(next, &[(b',', Expected::Record), (b']', Expected::AfterValue)])
            }
            Expected::End => Err(self.syntax()),
        }
    }

    fn skip_whitespace(&mut self) {
        let rest = &self.pending[self.consumed..];
        self.consumed += rest.len() - rest.trim_ascii_start().len();
    }

    fn syntax(&self) -> ListError {
        ListError::Syntax { records: self.position }
    }

    fn punctuation(&mut self, next: u8, allowed: &[(u8, Expected)]) -> Result<Step, ListError> {
        let (_, expected) = allowed.iter().find(|(byte, _)| *byte == next).ok_or(self.syntax())?;
        self.expected = *expected;
        self.consumed += 1;
        Ok(Step::Advanced)
    }

    fn key(&mut self) -> Result<Step, ListError> {
        let Some((key, length)) = self.parse::<Cow<'_, str>>()? else { return Ok(Step::Wait) };
        let field = match &*key {
            "index" => Field::Index,
            "snapshot" => Field::Snapshot,
            "endpoints" => Field::Endpoints,
            _ => Field::Other,
        };
        let repeated = match field {
            Field::Index => self.version.is_some(),
            Field::Snapshot => self.is_complete.is_some(),
            Field::Endpoints => self.has_endpoints,
            Field::Other => false,
        };
        if repeated {
            return Err(self.syntax());
        }
        self.consumed += length;
        self.expected = Expected::Colon(field);
        Ok(Step::Advanced)
    }

    fn value(&mut self, field: Field) -> Result<Step, ListError> {
        let length = match field {
            Field::Index => {
                let Some((version, length)) = self.parse::<i64>()? else { return Ok(Step::Wait) };
                self.version = Some(version);
                length
            }
            Field::Snapshot => {
                let Some((is_complete, length)) = self.parse::<bool>()? else { return Ok(Step::Wait) };
                self.is_complete = Some(is_complete);
                length
            }
            Field::Endpoints | Field::Other => {
                let Some((IgnoredAny, length)) = self.parse::<IgnoredAny>()? else { return Ok(Step::Wait) };
                length
            }
        };
        self.consumed += length;
        self.expected = Expected::AfterValue;
        Ok(Step::Advanced)
    }

    /// Parses the next value and returns it with its length; `None` until it has arrived completely, followed by a byte that
    /// shows where it ends.
    fn parse<'a, T: Deserialize<'a>>(&'a mut self) -> Result<Option<(T, usize)>, ListError> {
        let rest = &self.pending[self.consumed..];
        self.parsed += rest.len() as u64;
        let mut values = Deserializer::from_slice(rest).into_iter::<T>();
        match values.next() {
            Some(Ok(value)) if values.byte_offset() < rest.len() => Ok(Some((value, values.byte_offset()))),
            Some(Ok(_)) | None => Ok(None),
            Some(Err(error)) if error.is_eof() => Ok(None),
            Some(Err(_)) => Err(ListError::Syntax { records: self.position }),
        }
    }

    /// Reads the next record. A record ends with a brace, so nothing is parsed until another one has arrived; otherwise each
    /// piece of a record would be parsed again.
    fn record(&mut self) -> Result<Step, ListError> {
        let from = self.searched.max(self.consumed);
        let Some(brace) = self.pending[from..].iter().position(|&byte| byte == b'}') else {
            self.searched = self.pending.len();
            return Ok(Step::Wait);
        };
        let end = from + brace + 1;
        let (record, length) = match self.parse_record(end)? {
            Some(parsed) => parsed,
            None => {
                // The brace is part of a string or ends an inner value.
                self.searched = end;
                return Ok(Step::Advanced);
            }
        };
        self.consumed += length;
        self.expected = Expected::AfterRecord;
        self.add(record);
        Ok(Step::Advanced)
    }

    /// Parses the pending record, provided that it ends before `end`; `None` if it continues beyond that.
    fn parse_record(&mut self, end: usize) -> Result<Option<ParsedRecord>, ListError> {
        let bytes = &self.pending[self.consumed..end];
        self.parsed += bytes.len() as u64;
        // Serde would accept an array as the fields in their order.
        if !bytes.starts_with(b"{") {
            return self.skip_record();
        }
        let mut records = Deserializer::from_slice(bytes).into_iter::<RawRecord<'_>>();
        match records.next() {
            Some(Ok(raw)) => Ok(Some((EndpointRecord::try_from(raw), records.byte_offset()))),
            Some(Err(error)) if error.is_eof() => Ok(None),
            Some(Err(error)) if error.is_data() => self.skip_record(),
            _ => Err(self.syntax()),
        }
    }

    /// Skips a value that is not a valid record object.
    fn skip_record(&self) -> Result<Option<ParsedRecord>, ListError> {
        let mut values = Deserializer::from_slice(&self.pending[self.consumed..]).into_iter::<IgnoredAny>();
        match values.next() {
            Some(Ok(IgnoredAny)) => Ok(Some((Err(RecordError::Shape), values.byte_offset()))),
            Some(Err(error)) if error.is_eof() => Ok(None),
            _ => Err(self.syntax()),
        }
    }

    fn add(&mut self, record: Result<EndpointRecord, RecordError>) {
        match record {
            Ok(record) => self.records.push(record),
            Err(error) => {
                let position = self.position;
                self.bad_record.get_or_insert(ListError::Record { position, error });
            }
        }
        self.position += 1;
    }
}

/// Parses the record that these bytes form with a closing brace appended.
fn closed_record(bytes: &[u8]) -> Option<EndpointRecord> {
    let closed = [bytes, b"}"].concat();
    let raw: RawRecord<'_> = serde_json::from_slice(&closed).ok()?;
    EndpointRecord::try_from(raw).ok()
}
