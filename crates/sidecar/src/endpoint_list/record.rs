//! One record of a list: an endpoint, where it is and what discovery says of it.

use cometcroft::EndpointState;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::borrow::Cow;
use std::net::SocketAddr;
use thiserror::Error;

/// An endpoint as discovery lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRecord {
    /// The same at every sidecar.
    pub name: String,
    /// Where it listens; may be missing where nothing new may be sent there anyway.
    pub address: Option<SocketAddr>,
    /// Whether it takes new requests.
    pub state: EndpointState,
    /// The name of its zone.
    pub zone: Option<String>,
    /// Its group of servers.
    pub group: usize,
    /// Its registered size.
    pub weight: f64,
    /// When it last started, as Unix time in milliseconds; 0 is long ago.
    pub since_ms: i64,
}

impl EndpointRecord {
    /// Nothing new may be sent there.
    pub fn is_excluded(&self) -> bool {
        self.state != EndpointState::Ready
    }
}

/// Why a record cannot be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RecordError {
    /// It is no JSON object, or one of its fields has another type or stands twice.
    #[error("is not an object of the expected fields")]
    Shape,
    /// It has no name.
    #[error("has no `name`")]
    Name,
    /// Its status is missing or unknown.
    #[error("has a `status` other than up, draining and removed")]
    Status,
    /// It is up, and has no address that can be read.
    #[error("has no `address` of the form IP:PORT")]
    Address,
}

/// A record as it stands in JSON. Fields that are of no use without their type count as missing.
#[derive(Deserialize)]
pub(super) struct RawRecord<'a> {
    #[serde(borrow, default)]
    name: Cow<'a, str>,
    #[serde(borrow, default)]
    status: Cow<'a, str>,
    #[serde(default, deserialize_with = "text")]
    address: Option<String>,
    #[serde(default, deserialize_with = "text")]
    zone: Option<String>,
    #[serde(default, deserialize_with = "unsigned")]
    group: Option<u64>,
    #[serde(default, deserialize_with = "float")]
    weight: Option<f64>,
    #[serde(default, deserialize_with = "integer")]
    since_ms: Option<i64>,
}

fn text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<String>, D::Error> {
    Ok(match Value::deserialize(deserializer)? {
        Value::String(text) => Some(text),
        _ => None,
    })
}

fn unsigned<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    Ok(Value::deserialize(deserializer)?.as_u64())
}

fn integer<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<i64>, D::Error> {
    Ok(Value::deserialize(deserializer)?.as_i64())
}

fn float<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    Ok(Value::deserialize(deserializer)?.as_f64())
}

impl TryFrom<RawRecord<'_>> for EndpointRecord {
    type Error = RecordError;

    fn try_from(raw: RawRecord<'_>) -> Result<EndpointRecord, RecordError> {
        if raw.name.is_empty() {
            return Err(RecordError::Name);
        }
        let state = match &*raw.status {
            "up" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "removed" => EndpointState::Removed,
            _ => return Err(RecordError::Status),
        };
        let address = raw.address.and_then(|address| address.parse().ok());
        if address.is_none() && state == EndpointState::Ready {
            return Err(RecordError::Address);
        }
        Ok(EndpointRecord {
            name: raw.name.into_owned(),
            address,
            state,
            zone: raw.zone,
            group: raw.group.unwrap_or(0) as usize,
            weight: raw.weight.unwrap_or(1.0),
            since_ms: raw.since_ms.unwrap_or(0),
        })
    }
}
