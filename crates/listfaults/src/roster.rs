//! The registry's endpoint list: every endpoint with its status, and the version at which it last changed. No I/O.

use crate::ids::{EndpointId, Version};
use std::net::SocketAddr;

/// Zones that endpoints are spread over.
pub const ZONES: [&str; 2] = ["a", "b"];
const GROUPS: usize = 8;

/// Status of an endpoint on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Takes requests.
    Up,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Is gone.
    Removed,
}

impl Status {
    /// Its word on the wire.
    pub fn word(self) -> &'static str {
        match self {
            Status::Up => "up",
            Status::Draining => "draining",
            Status::Removed => "removed",
        }
    }

    /// It takes nothing new.
    pub fn is_closed(self) -> bool {
        self != Status::Up
    }
}

/// One endpoint.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Which.
    pub id: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: &'static str,
    /// Its group.
    pub group: usize,
    /// Its status.
    pub status: Status,
    /// When it last started, as Unix time in milliseconds; 0 means long ago.
    pub since_ms: u64,
    /// The version at which it last changed.
    pub changed: Version,
}

/// What an answer holds.
#[derive(Debug, Clone)]
pub struct List {
    /// The version that it brings the caller to.
    pub version: Version,
    /// It is a whole list.
    pub snapshot: bool,
    /// Its rows.
    pub rows: Vec<Entry>,
    /// Of a whole list, the endpoints that it leaves out.
    pub left_out: Vec<EndpointId>,
}

/// The endpoint list.
#[derive(Debug)]
pub struct Roster {
    version: Version,
    entries: Vec<Entry>,
}

impl Roster {
    /// All endpoints are up, at these addresses.
    pub fn new(addresses: &[SocketAddr]) -> Roster {
        let version = Version(1);
        let entry = |(place, &address): (usize, &SocketAddr)| Entry {
            id: EndpointId(place),
            address,
            zone: ZONES[place % ZONES.len()],
            group: place % GROUPS,
            status: Status::Up,
            since_ms: 0,
            changed: version,
        };
        Roster { version, entries: addresses.iter().enumerate().map(entry).collect() }
    }

    /// The present version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// How many endpoints there are, of any status.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// There are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The endpoints of this status.
    pub fn with_status(&self, status: Status) -> Vec<EndpointId> {
        self.entries.iter().filter(|entry| entry.status == status).map(|entry| entry.id).collect()
    }

    /// Gives these endpoints another status, as one new version. One that comes up has started at `unix_ms`, if it was gone.
    pub fn change(&mut self, endpoints: &[EndpointId], status: Status, unix_ms: u64) {
        self.version = Version(self.version.0 + 1);
        for endpoint in endpoints {
            let Some(entry) = self.entries.get_mut(endpoint.0) else { continue };
            if entry.status == Status::Removed && status == Status::Up {
                entry.since_ms = unix_ms;
            }
            entry.status = status;
            entry.changed = self.version;
        }
    }

    /// The whole list; what is removed is not in it, and what drains may be left out too.
    pub fn whole(&self, leave_out_draining: bool) -> List {
        let listed = |entry: &&Entry| match entry.status {
            Status::Up => true,
            Status::Draining => !leave_out_draining,
            Status::Removed => false,
        };
        let (rows, absent): (Vec<&Entry>, Vec<&Entry>) = self.entries.iter().partition(listed);
        List {
            version: self.version,
            snapshot: true,
            rows: rows.into_iter().cloned().collect(),
            left_out: absent.into_iter().map(|entry| entry.id).collect(),
        }
    }

    /// What has changed since a version.
    pub fn changes_since(&self, version: Version) -> List {
        let rows = self.entries.iter().filter(|entry| entry.changed > version).cloned().collect();
        List { version: self.version, snapshot: false, rows, left_out: Vec::new() }
    }
}
