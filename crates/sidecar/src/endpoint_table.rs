//! The directory: the list of backend servers as last told, where they are and which of them drain. No I/O.
//!
//! Invariant: from the instant at which the bytes of a record have arrived that bars a backend server, nothing begins there.
//! Records that bar are taken one by one as they arrive ([`EndpointTable::exclude`]); what opens a backend server is taken with its
//! whole list alone ([`EndpointTable::apply`]).

use crate::discovery::staleness::Staleness;
use crate::discovery_connections::DiscoveryConnections;
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::freshness::{Evidence, Freshness, NoEvidence};
use crate::start_clock::StartClock;
use cometcroft::*;
use cometcroft_plan::WeightAdjustment;
use cometcroft_settings::hash;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[derive(Debug)]
struct Entry {
    address: SocketAddr,
    /// When it started, as discovery told it.
    since_ms: i64,
    /// As discovery told it.
    listed: EndpointEntry,
    /// What the fleet's plan says of it.
    adjustment: WeightAdjustment,
    /// When the last request began that it took since it started.
    accepted: Option<Instant>,
}

impl Entry {
    fn is_open(&self) -> bool {
        self.listed.state == EndpointState::Ready && self.adjustment != WeightAdjustment::Excluded
    }
}

/// What the fleet's plan says of a backend server, by name, zone and group.
pub type WeightAdjuster = Box<dyn Fn(&str, &str, usize) -> WeightAdjustment>;

/// Where the backend servers are and which of them take nothing new. Told by discovery; the fleet's plan, if there is
/// one, may bar what discovery lists, and never the other way.
pub struct EndpointTable {
    adjuster: RefCell<Option<WeightAdjuster>>,
    entries: RefCell<BTreeMap<EndpointId, Entry>>,
    ids: RefCell<HashMap<String, EndpointId>>,
    /// Backend servers that a list barred which has not been taken yet, by name, with its version: an older list does not
    /// open them.
    excluded_by_newer: RefCell<HashMap<String, i64>>,
    /// The version of the list that is held.
    version: Cell<Option<i64>>,
    /// The next id. Danger: what is still out to one that is gone would be taken for its successor's.
    next_id: Cell<u32>,
    zones: RefCell<Vec<String>>,
    staleness: Staleness,
    freshness: Freshness,
    discovery_connections: DiscoveryConnections,
    start_clock: StartClock,
}

/// A change of the endpoint list, as the module takes it.
#[derive(Debug, Clone, PartialEq)]
pub struct ListUpdate {
    /// The version.
    pub version: i64,
    /// All entries, or only those that changed.
    pub scope: ListScope,
    /// The entries.
    pub entries: Vec<EndpointEntry>,
}

/// What came of a list.
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyResult {
    /// It was taken.
    Applied(ListUpdate),
    /// It is older than the one held: nothing was taken of it but what it barred as it arrived.
    Older,
}

impl ApplyResult {
    /// The news, if it was taken.
    pub fn update(self) -> Option<ListUpdate> {
        match self {
            ApplyResult::Applied(news) => Some(news),
            _ => None,
        }
    }
}

impl EndpointTable {
    /// An empty directory. The module's clock at this moment is `origin`, and `unix` is the time since the Unix epoch.
    pub fn new(zones: Vec<String>, origin: Time, unix: Duration) -> EndpointTable {
        EndpointTable {
            adjuster: RefCell::new(None),
            entries: RefCell::default(),
            ids: RefCell::default(),
            excluded_by_newer: RefCell::default(),
            version: Cell::new(None),
            next_id: Cell::new(0),
            zones: RefCell::new(zones),
            staleness: Staleness::default(),
            freshness: Freshness::default(),
            discovery_connections: DiscoveryConnections::default(),
            start_clock: StartClock::new(origin, unix),
        }
    }

    /// New settings.
    pub fn set_zones(&self, zones: Vec<String>) {
        self.zones.replace(zones);
    }

    /// Compares the module's clock with the wall clock, by which starts are told.
    pub fn observe_clocks(&self, now: Time, unix: Duration) {
        self.start_clock.observe(now, unix);
    }

    /// No backend server is named.
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }

    /// How many backend servers are named.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// The present address of a backend server.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.entries.borrow().get(&id).map(|e| e.address)
    }

    /// Evidence that what is named is out of date.
    pub fn staleness(&self) -> &Staleness {
        &self.staleness
    }

    /// How long the list may be used.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// What shows that a request may begin at this backend server, if it is listed as ready.
    pub fn evidence(&self, id: EndpointId, now: Instant) -> Result<Evidence, NoEvidence> {
        let accepted = self.entries.borrow().get(&id).and_then(|entry| entry.accepted);
        self.freshness.evidence(accepted, now)
    }

    /// A backend server has answered a request that began at `began`, or has turned it away.
    pub fn record_response(&self, id: EndpointId, began: Instant, turned_away: bool, now: Instant) {
        self.staleness.record_response(id, turned_away, now);
        if let Some(entry) = self.entries.borrow_mut().get_mut(&id) {
            let accepted = entry.accepted.map_or(began, |accepted| accepted.max(began));
            entry.accepted = (!turned_away).then_some(accepted);
        }
    }

    /// The version of the list that is held.
    pub fn version(&self) -> Option<i64> {
        self.version.get()
    }

    /// The time since discovery confirmed the list that is held, if it has since the start.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.staleness.confirmed_at().map(|at| now.saturating_duration_since(at))
    }

    /// What has come of discovery and was not read.
    pub fn discovery_connections(&self) -> &DiscoveryConnections {
        &self.discovery_connections
    }

    /// Whether a request may be begun there.
    pub fn is_open(&self, id: EndpointId) -> bool {
        self.entries.borrow().get(&id).is_some_and(Entry::is_open)
    }

    /// Whether a request may be begun there over a connection to this address.
    pub fn is_open_at(&self, id: EndpointId, address: SocketAddr) -> bool {
        self.entries.borrow().get(&id).is_some_and(|entry| entry.is_open() && entry.address == address)
    }

    /// Versions begin anew: those of lists that came before say nothing any more.
    pub fn forget_versions(&self) {
        self.excluded_by_newer.borrow_mut().clear();
        self.version.set(None);
    }

    /// Takes over a list, unless it is older than the version `held`; with none held, any list is taken. It does not open what
    /// a later version has barred.
    pub fn apply(&self, list: EndpointList, held: Option<i64>) -> ApplyResult {
        let EndpointList { version, is_complete, records } = list;
        // Danger: an answer that was held up, or a copy of discovery that lags, would un-bar what drains since then. What it
        // bars is in force since its records came.
        if held.is_some_and(|held| version < held) {
            return ApplyResult::Older;
        }
        self.excluded_by_newer.borrow_mut().retain(|_, barred| *barred > version);
        self.version.set(Some(version));
        let entries = self.book(&records, is_complete);
        let scope = if is_complete { ListScope::Complete } else { ListScope::Changes };
        ApplyResult::Applied(ListUpdate { version, scope, entries })
    }

    /// Of these records, takes only what bars a backend server that is known and open, and hands it on. They belong to a
    /// list of this version, if that is known, of which more may come; until it is taken, an older list opens none of them.
    pub fn exclude(&self, records: &[EndpointRecord], version: Option<i64>) -> Vec<EndpointEntry> {
        let barring: Vec<&EndpointRecord> = records.iter().filter(|record| record.is_excluded()).collect();
        self.note_exclusions(&barring, version);
        let open: Vec<EndpointRecord> = {
            let (ids, entries) = (self.ids.borrow(), self.entries.borrow());
            let is_open = |record: &&&EndpointRecord| {
                let entry = ids.get(&record.name).and_then(|id| entries.get(id));
                entry.is_some_and(|entry| {
                    entry.listed.state == EndpointState::Ready || record.state == EndpointState::Removed
                })
            };
            barring.iter().filter(is_open).map(|record| (*record).clone()).collect()
        };
        for EndpointRecord { name, address, state, .. } in &open {
            tracing::trace!(%name, ?address, ?state, version, "endpoint is barred");
        }
        self.book(&open, false)
    }

    /// Bars what a whole list leaves out, and hands it on. The list is not taken, as its call is not waited for any more. What
    /// it leaves out is open again once a list that is taken names it; an older list does not open it, unless
    /// discovery has moved and its version says nothing (`version`: none).
    pub fn exclude_unlisted(&self, list: &EndpointList, version: Option<i64>) -> Vec<EndpointEntry> {
        let outdated = self.version.get().is_some_and(|held| version.is_some_and(|version| version < held));
        if !list.is_complete || outdated {
            return Vec::new();
        }
        let listed: HashSet<&str> = list.records.iter().map(|record| record.name.as_str()).collect();
        let (ids, mut entries) = (self.ids.borrow(), self.entries.borrow_mut());
        let mut barred = Vec::new();
        for (name, id) in ids.iter().filter(|(name, _)| !listed.contains(name.as_str())) {
            if let Some(entry) =
                entries.get_mut(id).filter(|entry| entry.listed.state == EndpointState::Ready)
            {
                entry.listed.state = EndpointState::Draining;
                if let Some(version) = version {
                    self.excluded_by_newer.borrow_mut().insert(name.clone(), version);
                }
                barred.push(stricter(entry.listed.clone(), entry.adjustment));
            }
        }
        barred.sort_by_key(|entry| entry.endpoint);
        barred
    }

    /// Notes what a list bars that has not been taken, known or not.
    fn note_exclusions(&self, barring: &[&EndpointRecord], version: Option<i64>) {
        // A list whose version is not known yet is newer than the one held, or it will bring no news.
        let version = version.unwrap_or_else(|| self.version.get().map_or(0, |held| held.saturating_add(1)));
        if self.version.get().is_some_and(|held| version <= held) {
            return;
        }
        let mut excluded_by_newer = self.excluded_by_newer.borrow_mut();
        for record in barring {
            let barred = excluded_by_newer.entry(record.name.clone()).or_insert(version);
            *barred = version.max(*barred);
        }
    }

    fn book(&self, records: &[EndpointRecord], is_complete: bool) -> Vec<EndpointEntry> {
        let (mut entries, mut ids) = (self.entries.borrow_mut(), self.ids.borrow_mut());
        let excluded_by_newer = self.excluded_by_newer.borrow();
        let mut members = Vec::with_capacity(records.len());
        let mut listed = HashSet::with_capacity(if is_complete { records.len() } else { 0 });
        for record in records {
            let barred = excluded_by_newer.contains_key(&record.name);
            let id = match (ids.get(&record.name), record.address) {
                (Some(&id), _) => id,
                (None, Some(_)) if record.state != EndpointState::Removed && !barred => {
                    let id = EndpointId(self.next_id.replace(self.next_id.get() + 1));
                    ids.insert(record.name.clone(), id);
                    id
                }
                // Gone before we heard of it, or since this list was made.
                _ => continue,
            };
            if is_complete {
                listed.insert(id);
            }
            // Danger: the module takes another start for another process, so one that is told again keeps its time.
            let same = entries.get(&id).filter(|entry| entry.since_ms == record.since_ms);
            let started = same
                .map_or_else(|| self.start_clock.start_time(record.since_ms), |entry| entry.listed.started);
            let mut entry = self.entry(id, record, started);
            if barred && entry.state == EndpointState::Ready {
                entry.state = EndpointState::Draining;
            }
            let adjustment = self.adjustment(&record.name, &entry);
            if let Some(address) = record.address.or(entries.get(&id).map(|entry| entry.address)) {
                let since_ms = record.since_ms;
                let accepted = same.filter(|entry| entry.address == address).and_then(|entry| entry.accepted);
                entries.insert(id, Entry { address, since_ms, listed: entry.clone(), adjustment, accepted });
            }
            if entry.state == EndpointState::Removed {
                // Nothing new goes there, and no table may grow with every machine that ever was.
                entries.remove(&id);
                ids.remove(&record.name);
            }
            members.push(stricter(entry, adjustment));
        }
        if is_complete {
            entries.retain(|id, _| listed.contains(id));
            ids.retain(|_, id| listed.contains(id));
        }
        members
    }

    /// A record as the module takes it.
    fn entry(&self, endpoint: EndpointId, record: &EndpointRecord, started: Option<Time>) -> EndpointEntry {
        let zones = self.zones.borrow();
        let zone = record.zone.as_ref().and_then(|zone| zones.iter().position(|z| z == zone));
        EndpointEntry {
            endpoint,
            key: hash(&record.name),
            cell: CellId(record.group),
            zone: ZoneId(zone.unwrap_or(zones.len())),
            started,
            state: record.state,
            weight: record.weight,
        }
    }

    /// From now on the plan judges what is listed.
    pub fn set_weight_adjuster(&self, adjuster: WeightAdjuster) {
        self.adjuster.replace(Some(adjuster));
    }

    fn adjustment(&self, name: &str, entry: &EndpointEntry) -> WeightAdjustment {
        let adjuster = self.adjuster.borrow();
        let zones = self.zones.borrow();
        let zone = zones.get(entry.zone.0).map_or("", String::as_str);
        adjuster.as_ref().map_or(WeightAdjustment::Unchanged, |adjuster| adjuster(name, zone, entry.cell.0))
    }

    /// The plan has changed: the entries of which it now says something else, as the module takes them.
    pub fn refresh_adjustments(&self) -> Vec<EndpointEntry> {
        let (ids, mut entries) = (self.ids.borrow(), self.entries.borrow_mut());
        let mut changed = Vec::new();
        for (name, id) in ids.iter() {
            let Some(entry) = entries.get_mut(id) else { continue };
            let adjustment = self.adjustment(name, &entry.listed);
            if std::mem::replace(&mut entry.adjustment, adjustment) != adjustment {
                changed.push(stricter(entry.listed.clone(), adjustment));
            }
        }
        changed.sort_by_key(|entry| entry.endpoint);
        changed
    }

    /// All that is listed: name, zone, group, and whether discovery holds it to be ready.
    pub fn listed(&self) -> Vec<(String, String, usize, bool)> {
        let (ids, entries, zones) = (self.ids.borrow(), self.entries.borrow(), self.zones.borrow());
        let row = |(name, id): (&String, &EndpointId)| {
            let listed = &entries.get(id)?.listed;
            let zone = zones.get(listed.zone.0).cloned().unwrap_or_default();
            Some((name.clone(), zone, listed.cell.0, listed.state == EndpointState::Ready))
        };
        ids.iter().filter_map(row).collect()
    }
}

/// What discovery told, and what the plan says of it: the stricter of both.
fn stricter(mut entry: EndpointEntry, adjustment: WeightAdjustment) -> EndpointEntry {
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
