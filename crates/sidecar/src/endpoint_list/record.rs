//! A record of an endpoint list: an endpoint's address, state and attributes.

use cometcroft::EndpointState;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::borrow::Cow;
use std::net::SocketAddr;
use thiserror::Error;

/// An endpoint as discovery lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint's name, which identifies it at every sidecar.
    pub name: String,
    /// The address the endpoint listens on. Always present if the endpoint is ready.
    pub address: Option<SocketAddr>,
    /// Whether the endpoint is ready, drains or was removed.
    pub state: EndpointState,
    /// The name of the endpoint's zone.
    pub zone: Option<String>,
    /// The number of the endpoint's group.
    pub group: Option<usize>,
    /// The endpoint's registered capacity weight.
    pub weight: f64,
    /// When the endpoint last started, as Unix time in milliseconds; 0 stands for long ago.
    pub since_ms: i64,
}

impl EndpointRecord {
    /// Whether the endpoint must get no new requests, because it drains or was removed.
    pub fn is_excluded(&self) -> bool {
        self.state != EndpointState::Ready
    }
}

/// Why a record is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The record is not a JSON object, a required field has the wrong type, or a field is repeated.
    #[error("is not an object with the expected fields")]
    Shape,
    /// The name is missing.
    #[error("has no `name`")]
    Name,
    /// The status is missing or unknown.
    #[error("has a `status` other than up, draining or removed")]
    Status,
    /// The status is `up`, but the address is missing or malformed.
    #[error("has no `address` of the form IP:PORT")]
    Address,
}

/// A record as in JSON. Optional fields of the wrong type count as missing.
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
            group: raw.group.map(|group| group as usize),
            weight: raw.weight.unwrap_or(1.0),
            since_ms: raw.since_ms.unwrap_or(0),
        })
    }
}
