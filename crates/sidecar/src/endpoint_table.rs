//! The table of endpoints that discovery has listed, with their addresses and states. No I/O.
//!
//! Invariant: once the bytes of a record that excludes an endpoint (one that drains or was removed) have arrived, no request
//! begins there. Such records take effect one by one as they arrive ([`EndpointTable::exclude`]). Records that open an
//! endpoint take effect only with their complete list ([`EndpointTable::apply`]).

use crate::discovery::staleness::Staleness;
use crate::discovery_connections::DiscoveryConnections;
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::freshness::{Evidence, Freshness, NoEvidence};
use crate::start_clock::StartClock;
use crate::zones::ZoneNumbers;
use cometcroft::*;
use cometcroft_plan::WeightAdjustment;
use cometcroft_settings::hash;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A process of an endpoint. An address is not an identity: another process may come up there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointProcess {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Number of starts of the endpoint that discovery has told before this one.
    pub restarts: u32,
}

impl From<SocketAddr> for EndpointProcess {
    fn from(address: SocketAddr) -> EndpointProcess {
        EndpointProcess { address, restarts: 0 }
    }
}

#[derive(Debug)]
struct Entry {
    address: SocketAddr,
    restarts: u32,
    /// Start time according to discovery, as Unix time in milliseconds.
    since_ms: i64,
    /// The entry according to discovery, without the plan's adjustment.
    listed: EndpointEntry,
    adjustment: WeightAdjustment,
    /// When the latest request that the endpoint has accepted since its start began.
    accepted: Option<Instant>,
}

impl Entry {
    fn is_open(&self) -> bool {
        self.listed.state == EndpointState::Ready && self.adjustment != WeightAdjustment::Excluded
    }
}

/// Looks up the plan's adjustment for the endpoint with this name, zone and group.
pub type WeightAdjuster = Box<dyn Fn(&str, &str, usize) -> WeightAdjustment>;

/// The known endpoints, their addresses and whether they accept new requests. The entries come from discovery; the fleet's
/// plan, if there is one, may exclude endpoints that discovery lists as ready, but never opens one that discovery excludes.
pub struct EndpointTable {
    adjuster: RefCell<Option<WeightAdjuster>>,
    entries: RefCell<BTreeMap<EndpointId, Entry>>,
    ids: RefCell<HashMap<String, EndpointId>>,
    /// Endpoints excluded by a list that has not been applied yet, by name, with that list's version. An older list does not
    /// open them.
    excluded_by_newer: RefCell<HashMap<String, i64>>,
    /// The version of the current list.
    version: Cell<Option<i64>>,
    /// The next id. Ids are never reused: otherwise attempts still in flight at a removed endpoint would be attributed to
    /// its successor.
    next_id: Cell<u32>,
    zones: ZoneNumbers,
    staleness: Staleness,
    freshness: Freshness,
    discovery_connections: DiscoveryConnections,
    start_clock: StartClock,
}

/// A change of the endpoint list, in the decision module's types.
#[derive(Debug, Clone, PartialEq)]
pub struct ListUpdate {
    /// The list's version.
    pub version: i64,
    /// Whether `entries` is the complete list or only the changes.
    pub scope: ListScope,
    /// The entries, with the plan's adjustments.
    pub entries: Vec<EndpointEntry>,
}

/// The result of [`EndpointTable::apply`].
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyResult {
    /// The list is in force.
    Applied(ListUpdate),
    /// The list is older than the current one and was ignored, apart from the endpoints it excluded while it arrived.
    Older,
}

impl ApplyResult {
    /// The update, if the list was applied.
    pub fn update(self) -> Option<ListUpdate> {
        match self {
            ApplyResult::Applied(update) => Some(update),
            _ => None,
        }
    }
}

impl EndpointTable {
    /// Creates an empty table; `zones` get their numbers in this order. `origin` is the current time of the decision module's clock, `unix` the current Unix time.
    pub fn new(zones: &[String], origin: Time, unix: Duration) -> EndpointTable {
        EndpointTable {
            adjuster: RefCell::new(None),
            entries: RefCell::default(),
            ids: RefCell::default(),
            excluded_by_newer: RefCell::default(),
            version: Cell::new(None),
            next_id: Cell::new(0),
            zones: ZoneNumbers::new(zones),
            staleness: Staleness::default(),
            freshness: Freshness::default(),
            discovery_connections: DiscoveryConnections::default(),
            start_clock: StartClock::new(origin, unix),
        }
    }

    /// The numbers of the zones, in which the entries state theirs.
    pub fn zones(&self) -> &ZoneNumbers {
        &self.zones
    }

    /// Compares the decision module's clock with the wall clock, in which discovery states start times.
    pub fn observe_clocks(&self, now: Time, unix: Duration) {
        self.start_clock.observe(now, unix);
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }

    /// The number of known endpoints.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// The endpoint's current address.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.entries.borrow().get(&id).map(|e| e.address)
    }

    /// The endpoint's current process.
    pub fn process(&self, id: EndpointId) -> Option<EndpointProcess> {
        let entries = self.entries.borrow();
        entries.get(&id).map(|entry| EndpointProcess { address: entry.address, restarts: entry.restarts })
    }

    /// Evidence on whether the list is out of date.
    pub fn staleness(&self) -> &Staleness {
        &self.staleness
    }

    /// How long the list stays valid.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Evidence that a request may begin at this endpoint, provided that it is listed as ready.
    pub fn evidence(&self, id: EndpointId, now: Instant) -> Result<Evidence, NoEvidence> {
        let accepted = self.entries.borrow().get(&id).and_then(|entry| entry.accepted);
        self.freshness.evidence(accepted, now)
    }

    /// Records that the endpoint responded to a request that began at `began`.
    pub fn record_response(&self, id: EndpointId, began: Instant, rejected: bool, now: Instant) {
        self.staleness.record_response(id, rejected, now);
        if let Some(entry) = self.entries.borrow_mut().get_mut(&id) {
            let accepted = entry.accepted.map_or(began, |accepted| accepted.max(began));
            entry.accepted = (!rejected).then_some(accepted);
        }
    }

    /// The version of the current list.
    pub fn version(&self) -> Option<i64> {
        self.version.get()
    }

    /// The time since discovery last confirmed the current list; `None` if it has not since the start.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.staleness.confirmed_at().map(|at| now.saturating_duration_since(at))
    }

    /// The connections on which unread notifications of discovery may be waiting.
    pub fn discovery_connections(&self) -> &DiscoveryConnections {
        &self.discovery_connections
    }

    /// Whether the endpoint accepts new requests.
    pub fn is_open(&self, id: EndpointId) -> bool {
        self.entries.borrow().get(&id).is_some_and(Entry::is_open)
    }

    /// Whether the endpoint accepts new requests and is still this process.
    pub fn is_open_at(&self, id: EndpointId, process: impl Into<EndpointProcess>) -> bool {
        self.is_open(id) && self.process(id) == Some(process.into())
    }

    /// Forgets the versions seen so far. Called when discovery's numbering starts over and they can't be compared any more.
    pub fn forget_versions(&self) {
        self.excluded_by_newer.borrow_mut().clear();
        self.version.set(None);
    }

    /// Applies a list, unless its version is lower than `min_version`. Endpoints that a newer list has excluded stay closed.
    pub fn apply(&self, list: EndpointList, min_version: Option<i64>) -> ApplyResult {
        let EndpointList { version, is_complete, records } = list;
        // A delayed response, or one of a discovery replica that lags, would reopen endpoints that have begun to drain since.
        // The endpoints that it excludes have been excluded since its records arrived.
        if min_version.is_some_and(|min_version| version < min_version) {
            return ApplyResult::Older;
        }
        self.excluded_by_newer.borrow_mut().retain(|_, excluded_by| *excluded_by > version);
        self.version.set(Some(version));
        let entries = self.apply_records(&records, is_complete);
        let scope = if is_complete { ListScope::Complete } else { ListScope::Changes };
        ApplyResult::Applied(ListUpdate { version, scope, entries })
    }

    /// Excludes the endpoints that these records exclude and returns the entries that changed; other records are ignored. The
    /// records belong to a list of version `version` (if known yet) that may still be arriving. Until that list is applied,
    /// an older one opens none of these endpoints.
    pub fn exclude(&self, records: &[EndpointRecord], version: Option<i64>) -> Vec<EndpointEntry> {
        let excluding: Vec<&EndpointRecord> = records.iter().filter(|record| record.is_excluded()).collect();
        self.remember_exclusions(&excluding, version);
        let open: Vec<EndpointRecord> = {
            let (ids, entries) = (self.ids.borrow(), self.entries.borrow());
            let is_open = |record: &&&EndpointRecord| {
                let entry = ids.get(&record.name).and_then(|id| entries.get(id));
                entry.is_some_and(|entry| {
                    entry.listed.state == EndpointState::Ready || record.state == EndpointState::Removed
                })
            };
            excluding.iter().filter(is_open).map(|record| (*record).clone()).collect()
        };
        for EndpointRecord { name, address, state, .. } in &open {
            tracing::trace!(%name, ?address, ?state, version, "endpoint excluded");
        }
        self.apply_records(&open, false)
    }

    /// Excludes the endpoints that a complete list omits and returns the entries that changed. Used for a list that is not
    /// applied because its call was abandoned. An omitted endpoint reopens once an applied list names it, but an older list
    /// does not reopen it, unless `version` is `None`: discovery has moved, and versions can't be compared.
    pub fn exclude_unlisted(&self, list: &EndpointList, version: Option<i64>) -> Vec<EndpointEntry> {
        let outdated =
            self.version.get().is_some_and(|current| version.is_some_and(|version| version < current));
        if !list.is_complete || outdated {
            return Vec::new();
        }
        let listed: HashSet<&str> = list.records.iter().map(|record| record.name.as_str()).collect();
        let (ids, mut entries) = (self.ids.borrow(), self.entries.borrow_mut());
        let mut excluded = Vec::new();
        for (name, id) in ids.iter().filter(|(name, _)| !listed.contains(name.as_str())) {
            if let Some(entry) =
                entries.get_mut(id).filter(|entry| entry.listed.state == EndpointState::Ready)
            {
                entry.listed.state = EndpointState::Draining;
                if let Some(version) = version {
                    self.excluded_by_newer.borrow_mut().insert(name.clone(), version);
                }
                excluded.push(adjusted(entry.listed.clone(), entry.adjustment));
            }
        }
        excluded.sort_by_key(|entry| entry.endpoint);
        excluded
    }

    /// Remembers the endpoints, known or not, that a list which has not been applied excludes.
    fn remember_exclusions(&self, excluding: &[&EndpointRecord], version: Option<i64>) {
        // A list whose version is not known yet is assumed to be newer than the current one: if it isn't, it changes nothing.
        let version =
            version.unwrap_or_else(|| self.version.get().map_or(0, |current| current.saturating_add(1)));
        if self.version.get().is_some_and(|current| version <= current) {
            return;
        }
        let mut excluded_by_newer = self.excluded_by_newer.borrow_mut();
        for record in excluding {
            let excluded_by = excluded_by_newer.entry(record.name.clone()).or_insert(version);
            *excluded_by = version.max(*excluded_by);
        }
    }

    /// Enters these records and returns the resulting entries. With `is_complete`, endpoints without a record are dropped.
    fn apply_records(&self, records: &[EndpointRecord], is_complete: bool) -> Vec<EndpointEntry> {
        let (mut entries, mut ids) = (self.entries.borrow_mut(), self.ids.borrow_mut());
        let excluded_by_newer = self.excluded_by_newer.borrow();
        let mut applied: Vec<EndpointEntry> = Vec::with_capacity(records.len());
        let mut started_at = HashSet::new();
        let mut listed = HashSet::with_capacity(if is_complete { records.len() } else { 0 });
        for record in records {
            let excluded = excluded_by_newer.contains_key(&record.name);
            let id = match (ids.get(&record.name), record.address) {
                (Some(&id), _) => id,
                (None, Some(_)) if record.state != EndpointState::Removed && !excluded => {
                    let id = EndpointId(self.next_id.replace(self.next_id.get() + 1));
                    ids.insert(record.name.clone(), id);
                    id
                }
                // Removed before it was ever known here, or excluded by a newer list.
                _ => continue,
            };
            if is_complete {
                listed.insert(id);
            }
            // The decision module takes a different start time for a new process, so a repeated record must keep the time
            // that was computed for it first.
            let same = entries.get(&id).filter(|entry| entry.since_ms == record.since_ms);
            let started = same
                .map_or_else(|| self.start_clock.start_time(record.since_ms), |entry| entry.listed.started);
            let mut entry = self.entry(id, record, started, entries.get(&id));
            if excluded && entry.state == EndpointState::Ready {
                entry.state = EndpointState::Draining;
            }
            let adjustment = self.adjustment(&record.name, &entry);
            if let Some(address) = record.address.or(entries.get(&id).map(|entry| entry.address)) {
                let since_ms = record.since_ms;
                let known = entries.get(&id);
                let has_restarted = known.is_some_and(|entry| entry.since_ms != since_ms);
                let is_new = has_restarted || known.is_none_or(|entry| entry.address != address);
                if is_new && record.state == EndpointState::Ready {
                    started_at.insert(address);
                }
                let restarts = known.map_or(0, |entry| entry.restarts + u32::from(has_restarted));
                let accepted = same.filter(|entry| entry.address == address).and_then(|entry| entry.accepted);
                entries.insert(
                    id,
                    Entry { address, restarts, since_ms, listed: entry.clone(), adjustment, accepted },
                );
            }
            if entry.state == EndpointState::Removed {
                // Without this, the tables would grow with every endpoint that ever existed.
                entries.remove(&id);
                ids.remove(&record.name);
            }
            applied.push(adjusted(entry, adjustment));
        }
        applied.extend(close_replaced(&mut entries, &started_at, &applied));
        if is_complete {
            entries.retain(|id, _| listed.contains(id));
            ids.retain(|_, id| listed.contains(id));
        }
        applied
    }

    /// Converts a record to the decision module's types. A record that does not name the zone or the group, as one that has
    /// arrived in part, leaves those of the `known` entry as they are.
    fn entry(
        &self,
        endpoint: EndpointId,
        record: &EndpointRecord,
        started: Option<Time>,
        known: Option<&Entry>,
    ) -> EndpointEntry {
        let named_zone = record.zone.as_ref().map(|zone| self.zones.number_of(zone));
        let known_zone = known.map(|known| known.listed.zone);
        let known_cell = known.map(|known| known.listed.cell);
        EndpointEntry {
            endpoint,
            key: hash(&record.name),
            cell: record.group.map(CellId).or(known_cell).unwrap_or_else(|| unknown_cell(endpoint)),
            zone: named_zone.or(known_zone).unwrap_or_else(|| unknown_zone(endpoint)),
            started,
            state: record.state,
            weight: record.weight,
        }
    }

    /// Sets the source of the plan's adjustments.
    pub fn set_weight_adjuster(&self, adjuster: WeightAdjuster) {
        self.adjuster.replace(Some(adjuster));
    }

    fn adjustment(&self, name: &str, entry: &EndpointEntry) -> WeightAdjustment {
        let adjuster = self.adjuster.borrow();
        let zone = self.zones.name_of(entry.zone);
        adjuster.as_ref().map_or(WeightAdjustment::Unchanged, |adjuster| adjuster(name, &zone, entry.cell.0))
    }

    /// Looks up the plan's adjustments again and returns the entries whose adjustment has changed.
    pub fn refresh_adjustments(&self) -> Vec<EndpointEntry> {
        let (ids, mut entries) = (self.ids.borrow(), self.entries.borrow_mut());
        let mut changed = Vec::new();
        for (name, id) in ids.iter() {
            let Some(entry) = entries.get_mut(id) else { continue };
            let adjustment = self.adjustment(name, &entry.listed);
            if std::mem::replace(&mut entry.adjustment, adjustment) != adjustment {
                changed.push(adjusted(entry.listed.clone(), adjustment));
            }
        }
        changed.sort_by_key(|entry| entry.endpoint);
        changed
    }

    /// All known endpoints: name, zone, group, and whether discovery lists them as ready.
    pub fn listed(&self) -> Vec<(String, String, usize, bool)> {
        let (ids, entries) = (self.ids.borrow(), self.entries.borrow());
        let summary = |(name, id): (&String, &EndpointId)| {
            let listed = &entries.get(id)?.listed;
            let zone = self.zones.name_of(listed.zone);
            Some((name.clone(), zone, listed.cell.0, listed.state == EndpointState::Ready))
        };
        ids.iter().filter_map(summary).collect()
    }
}

/// Closes the endpoints that listened where another one has started since: their processes have ended, although no record
/// of theirs says so yet. Returns their entries; those that this list names are as it says.
fn close_replaced(
    entries: &mut BTreeMap<EndpointId, Entry>,
    started_at: &HashSet<SocketAddr>,
    named: &[EndpointEntry],
) -> Vec<EndpointEntry> {
    if started_at.is_empty() {
        return Vec::new();
    }
    let named: HashSet<EndpointId> = named.iter().map(|entry| entry.endpoint).collect();
    let mut closed = Vec::new();
    for (id, entry) in entries.iter_mut() {
        let is_replaced = started_at.contains(&entry.address) && !named.contains(id);
        if is_replaced && entry.listed.state == EndpointState::Ready {
            tracing::info!(address = %entry.address, "another endpoint has started at the address of one");
            entry.listed.state = EndpointState::Draining;
            closed.push(adjusted(entry.listed.clone(), entry.adjustment));
        }
    }
    closed
}

/// The zone of an endpoint whose zone is not known: it is not that of any other endpoint.
fn unknown_zone(endpoint: EndpointId) -> ZoneId {
    ZoneId(usize::MAX - endpoint.0 as usize)
}

/// The cell of an endpoint whose group is not known: it is not that of any other endpoint.
fn unknown_cell(endpoint: EndpointId) -> CellId {
    CellId(usize::MAX - endpoint.0 as usize)
}

/// Applies the plan's adjustment to an entry. It never makes the entry available where discovery does not.
fn adjusted(mut entry: EndpointEntry, adjustment: WeightAdjustment) -> EndpointEntry {
    match adjustment {
        WeightAdjustment::Unchanged => {}
        WeightAdjustment::Scaled(share) => entry.weight *= share,
        WeightAdjustment::Excluded if entry.state == EndpointState::Ready => {
            entry.state = EndpointState::Draining
        }
        WeightAdjustment::Excluded => {}
    }
    entry
}
