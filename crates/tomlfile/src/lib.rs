//! Reads TOML files that are written by hand: times with units, numbers or ranges, and errors of one line that name file,
//! line, column, field and reason.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use serde::de::{self, DeserializeOwned, Deserializer, Visitor};
use serde::ser::{SerializeSeq, Serializer};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A number, or a range `[least, most]` to draw a number from. Both ends are equal for a single number.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Span(pub f64, pub f64);

/// A time with a unit (`"250ms"`, `"12.5s"`), or a range of two such times. Held in seconds; both ends are equal for a
/// single time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Time(pub f64, pub f64);

fn non_negative<E: de::Error>(value: f64) -> Result<f64, E> {
    if value.is_finite() && value >= 0.0 {
        return Ok(value);
    }
    Err(E::custom(format!("{value} must be finite and not negative")))
}

fn ascending<E: de::Error>(lo: f64, hi: f64) -> Result<(f64, f64), E> {
    if lo <= hi { Ok((lo, hi)) } else { Err(E::custom(format!("range [{lo}, {hi}] runs backwards"))) }
}

fn parse_seconds<E: de::Error>(text: &str) -> Result<f64, E> {
    let unit_start = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_start);
    let scale = match unit {
        "ns" => 1e-9,
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        _ => return Err(E::custom(format!("time {text:?} needs a unit: ns, us, ms, s or m"))),
    };
    let number: f64 = number.trim().parse().map_err(|_| E::custom(format!("time {text:?} has no number")))?;
    // Rounded to nanoseconds, the resolution of the clock, so that a time that is written out is read back unchanged.
    non_negative((number * scale * 1e9).round() / 1e9)
}

struct SpanVisitor;

impl<'de> Visitor<'de> for SpanVisitor {
    type Value = Span;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number or a range [least, most]")
    }
    fn visit_f64<E: de::Error>(self, value: f64) -> Result<Span, E> {
        non_negative(value).map(|v| Span(v, v))
    }
    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Span, E> {
        self.visit_f64(value as f64)
    }
    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Span, E> {
        self.visit_f64(value as f64)
    }
    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Span, A::Error> {
        let mut next = || seq.next_element::<f64>()?.ok_or_else(|| de::Error::custom("a range has two ends"));
        let (lo, hi) = (non_negative(next()?)?, non_negative(next()?)?);
        if seq.next_element::<f64>()?.is_some() {
            return Err(de::Error::custom("a range has two ends"));
        }
        ascending(lo, hi).map(|(lo, hi)| Span(lo, hi))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Span, D::Error> {
        d.deserialize_any(SpanVisitor)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        if self.0 == self.1 {
            return s.serialize_f64(self.0);
        }
        let mut seq = s.serialize_seq(Some(2))?;
        seq.serialize_element(&self.0)?;
        seq.serialize_element(&self.1)?;
        seq.end()
    }
}

struct TimeVisitor;

impl<'de> Visitor<'de> for TimeVisitor {
    type Value = Time;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a time such as \"250ms\" or a range of two")
    }
    fn visit_str<E: de::Error>(self, text: &str) -> Result<Time, E> {
        parse_seconds(text).map(|t| Time(t, t))
    }
    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Time, A::Error> {
        let mut next =
            || seq.next_element::<String>()?.ok_or_else(|| de::Error::custom("a range has two ends"));
        let (lo, hi) = (parse_seconds(&next()?)?, parse_seconds(&next()?)?);
        if seq.next_element::<String>()?.is_some() {
            return Err(de::Error::custom("a range has two ends"));
        }
        ascending(lo, hi).map(|(lo, hi)| Time(lo, hi))
    }
}

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Time, D::Error> {
        d.deserialize_any(TimeVisitor)
    }
}

impl Serialize for Time {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        // Nanoseconds are the resolution of the clock: a script that is written out must run exactly as it was generated.
        let nanoseconds = |t: f64| format!("{}ns", (t * 1e9).round());
        if self.0 == self.1 {
            return s.serialize_str(&nanoseconds(self.0));
        }
        let mut seq = s.serialize_seq(Some(2))?;
        seq.serialize_element(&nanoseconds(self.0))?;
        seq.serialize_element(&nanoseconds(self.1))?;
        seq.end()
    }
}

impl Time {
    /// The time; the middle of a range.
    pub fn exact(self) -> Duration {
        Duration::from_nanos(((self.0 + self.1) * 5e8).round() as u64)
    }
}

/// An error in a file, in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileError(String);

impl FileError {
    /// An error in a field, at a byte offset of the file's text.
    pub fn at(file: &str, text: &str, byte: usize, field: &str, reason: &str) -> FileError {
        let (line, column) = line_and_column(text, byte);
        FileError(format!("{file}:{line}:{column}: {field}: {reason}"))
    }

    /// An error without a position.
    pub fn new(file: &str, reason: impl fmt::Display) -> FileError {
        FileError(format!("{file}: {reason}"))
    }
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for FileError {}

/// Parses the text of a file; `file` is only used in errors. The error of an unknown field suggests the most similar known
/// field.
pub fn read<T: DeserializeOwned>(text: &str, file: &str) -> Result<T, FileError> {
    toml::from_str(text).map_err(|error| {
        let reason = error.message().replace('\n', " ");
        let reason = closest_field(&reason)
            .map_or(reason.clone(), |field| format!("{reason}; did you mean {field:?}?"));
        match error.span() {
            Some(span) => FileError::at(file, text, span.start, &key_at(text, span.start), &reason),
            None => FileError::new(file, reason),
        }
    })
}

/// The known field that is most similar to the unknown one; both are taken from serde's message.
fn closest_field(reason: &str) -> Option<String> {
    let (unknown, expected) = reason.strip_prefix("unknown field ")?.split_once(", expected ")?;
    let unknown = unknown.trim_matches('`');
    let known = expected.split('`').skip(1).step_by(2);
    let closest = known.map(|field| (strsim::damerau_levenshtein(unknown, field), field)).min()?;
    (closest.0 <= 3).then(|| closest.1.to_owned())
}

/// Line and column of a byte offset in a text, counted from 1.
pub fn line_and_column(text: &str, byte: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..byte.min(text.len())];
    let line = before.iter().filter(|&&b| b == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|&&b| b != b'\n').count() + 1;
    (line, column)
}

/// The key, or the table header, on the line of a byte offset.
pub fn key_at(text: &str, byte: usize) -> String {
    let byte = byte.min(text.len());
    let mut start = byte;
    while start > 0 && text.as_bytes()[start - 1] != b'\n' {
        start -= 1;
    }
    let line = text[start..].lines().next().unwrap_or_default();
    line.split('=').next().unwrap_or_default().trim().to_owned()
}

#[cfg(test)]
mod tests;
