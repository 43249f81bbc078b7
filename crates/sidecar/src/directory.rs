//! The directory: the list of backend servers as last told, where they are and which of them drain. No I/O.
//!
//! Invariant: from the instant at which the bytes of a record have arrived that bars a backend server, nothing begins there.
//! Records that bar are taken one by one as they arrive ([`Directory::bar`]); what opens a backend server is taken with its
//! whole list alone ([`Directory::take`]).

use crate::discovery::staleness::Staleness;
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::freshness::{Evidence, Freshness, Lack};
use crate::notices::Notices;
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
    told: EndpointEntry,
    /// What the fleet's plan says of it.
    verdict: WeightAdjustment,
    /// When the last request began that it took since it started.
    accepted: Option<Instant>,
}

impl Entry {
    fn is_open(&self) -> bool {
        self.told.state == EndpointState::Ready && self.verdict != WeightAdjustment::Excluded
    }
}

/// What the fleet's plan says of a backend server, by name, zone and group.
pub type Judge = Box<dyn Fn(&str, &str, usize) -> WeightAdjustment>;

/// Where the backend servers are and which of them take nothing new. Told by discovery; the fleet's plan, if there is
/// one, may bar what discovery lists, and never the other way.
pub struct Directory {
    judge: RefCell<Option<Judge>>,
    entries: RefCell<BTreeMap<EndpointId, Entry>>,
    ids: RefCell<HashMap<String, EndpointId>>,
    /// Backend servers that a list barred which has not been taken yet, by name, with its version: an older list does not
    /// open them.
    barred_ahead: RefCell<HashMap<String, i64>>,
    /// The version of the list that is held.
    index: Cell<Option<i64>>,
    /// The next id. Danger: what is still out to one that is gone would be taken for its successor's.
    next: Cell<u32>,
    zones: RefCell<Vec<String>>,
    staleness: Staleness,
    freshness: Freshness,
    notices: Notices,
    start_clock: StartClock,
}

/// News of the list, as the module takes it.
#[derive(Debug, Clone, PartialEq)]
pub struct News {
    /// The version.
    pub index: i64,
    /// All entries, or only those that changed.
    pub scope: ListScope,
    /// The entries.
    pub entries: Vec<EndpointEntry>,
}

/// What came of a list.
#[derive(Debug, Clone, PartialEq)]
pub enum Taken {
    /// It was taken.
    News(News),
    /// It is older than the one held: nothing was taken of it but what it barred as it arrived.
    Older,
}

impl Taken {
    /// The news, if it was taken.
    pub fn news(self) -> Option<News> {
        match self {
            Taken::News(news) => Some(news),
            _ => None,
        }
    }
}

impl Directory {
    /// An empty directory. The module's clock at this moment is `origin`, and `unix` is the time since the Unix epoch.
    pub fn new(zones: Vec<String>, origin: Time, unix: Duration) -> Directory {
        Directory {
            judge: RefCell::new(None),
            entries: RefCell::default(),
            ids: RefCell::default(),
            barred_ahead: RefCell::default(),
            index: Cell::new(None),
            next: Cell::new(0),
            zones: RefCell::new(zones),
            staleness: Staleness::default(),
            freshness: Freshness::default(),
            notices: Notices::default(),
            start_clock: StartClock::new(origin, unix),
        }
    }

    /// New settings.
    pub fn retune(&self, zones: Vec<String>) {
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
    pub fn evidence(&self, id: EndpointId, now: Instant) -> Result<Evidence, Lack> {
        let accepted = self.entries.borrow().get(&id).and_then(|entry| entry.accepted);
        self.freshness.evidence(accepted, now)
    }

    /// A backend server has answered a request that began at `began`, or has turned it away.
    pub fn answered(&self, id: EndpointId, began: Instant, turned_away: bool, now: Instant) {
        self.staleness.answered(id, turned_away, now);
        if let Some(entry) = self.entries.borrow_mut().get_mut(&id) {
            let accepted = entry.accepted.map_or(began, |accepted| accepted.max(began));
            entry.accepted = (!turned_away).then_some(accepted);
        }
    }

    /// The version of the list that is held.
    pub fn version(&self) -> Option<i64> {
        self.index.get()
    }

    /// The time since discovery confirmed the list that is held, if it has since the start.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.staleness.confirmed_at().map(|at| now.saturating_duration_since(at))
    }

    /// What has come of discovery and was not read.
    pub fn notices(&self) -> &Notices {
        &self.notices
    }

    /// Whether a request may be begun there.
    pub fn open(&self, id: EndpointId) -> bool {
        self.entries.borrow().get(&id).is_some_and(Entry::is_open)
    }

    /// Whether a request may be begun there over a connection to this address.
    pub fn open_at(&self, id: EndpointId, address: SocketAddr) -> bool {
        self.entries.borrow().get(&id).is_some_and(|entry| entry.is_open() && entry.address == address)
    }

    /// Versions begin anew: those of lists that came before say nothing any more.
    pub fn forget_versions(&self) {
        self.barred_ahead.borrow_mut().clear();
        self.index.set(None);
    }

    /// Takes over a list, unless it is older than the version `held`; with none held, any list is taken. It does not open what
    /// a later version has barred.
    pub fn take(&self, list: EndpointList, held: Option<i64>) -> Taken {
        let EndpointList { index, whole, records } = list;
        // Danger: an answer that was held up, or a copy of discovery that lags, would un-bar what drains since then. What it
        // bars is in force since its records came.
        if held.is_some_and(|held| index < held) {
            return Taken::Older;
        }
        self.barred_ahead.borrow_mut().retain(|_, barred| *barred > index);
        self.index.set(Some(index));
        let entries = self.book(&records, whole);
        let scope = if whole { ListScope::Complete } else { ListScope::Changes };
        Taken::News(News { index, scope, entries })
    }

    /// Of these records, takes only what bars a backend server that is known and open, and hands it on. They belong to a
    /// list of this version, if that is known, of which more may come; until it is taken, an older list opens none of them.
    pub fn bar(&self, records: &[EndpointRecord], index: Option<i64>) -> Vec<EndpointEntry> {
        let barring: Vec<&EndpointRecord> = records.iter().filter(|record| record.bars()).collect();
        self.bar_ahead(&barring, index);
        let open: Vec<EndpointRecord> = {
            let (ids, entries) = (self.ids.borrow(), self.entries.borrow());
            let is_open = |record: &&&EndpointRecord| {
                let entry = ids.get(&record.name).and_then(|id| entries.get(id));
                entry.is_some_and(|entry| {
                    entry.told.state == EndpointState::Ready || record.state == EndpointState::Removed
                })
            };
            barring.iter().filter(is_open).map(|record| (*record).clone()).collect()
        };
        for EndpointRecord { name, address, state, .. } in &open {
            tracing::trace!(%name, ?address, ?state, index, "endpoint is barred");
        }
        self.book(&open, false)
    }

    /// Bars what a whole list leaves out, and hands it on. The list is not taken, as its call is not waited for any more. What
    /// it leaves out is open again once a list that is taken names it; an older list does not open it, unless
    /// discovery has moved and its version says nothing (`index`: none).
    pub fn bar_left_out(&self, list: &EndpointList, index: Option<i64>) -> Vec<EndpointEntry> {
        let outdated = self.index.get().is_some_and(|held| index.is_some_and(|index| index < held));
        if !list.whole || outdated {
            return Vec::new();
        }
        let listed: HashSet<&str> = list.records.iter().map(|record| record.name.as_str()).collect();
        let (ids, mut entries) = (self.ids.borrow(), self.entries.borrow_mut());
        let mut barred = Vec::new();
        for (name, id) in ids.iter().filter(|(name, _)| !listed.contains(name.as_str())) {
            if let Some(entry) = entries.get_mut(id).filter(|entry| entry.told.state == EndpointState::Ready)
            {
                entry.told.state = EndpointState::Draining;
                if let Some(index) = index {
                    self.barred_ahead.borrow_mut().insert(name.clone(), index);
                }
                barred.push(stricter(entry.told.clone(), entry.verdict));
            }
        }
        barred.sort_by_key(|member| member.endpoint);
        barred
    }

    /// Notes what a list bars that has not been taken, known or not.
    fn bar_ahead(&self, barring: &[&EndpointRecord], index: Option<i64>) {
        // A list whose version is not known yet is newer than the one held, or it will bring no news.
        let index = index.unwrap_or_else(|| self.index.get().map_or(0, |held| held.saturating_add(1)));
        if self.index.get().is_some_and(|held| index <= held) {
            return;
        }
        let mut barred_ahead = self.barred_ahead.borrow_mut();
        for record in barring {
            let barred = barred_ahead.entry(record.name.clone()).or_insert(index);
            *barred = index.max(*barred);
        }
    }

    fn book(&self, records: &[EndpointRecord], whole: bool) -> Vec<EndpointEntry> {
        let (mut entries, mut ids) = (self.entries.borrow_mut(), self.ids.borrow_mut());
        let barred_ahead = self.barred_ahead.borrow();
        let mut members = Vec::with_capacity(records.len());
        let mut listed = HashSet::with_capacity(if whole { records.len() } else { 0 });
        for record in records {
            let barred = barred_ahead.contains_key(&record.name);
            let id = match (ids.get(&record.name), record.address) {
                (Some(&id), _) => id,
                (None, Some(_)) if record.state != EndpointState::Removed && !barred => {
                    let id = EndpointId(self.next.replace(self.next.get() + 1));
                    ids.insert(record.name.clone(), id);
                    id
                }
                // Gone before we heard of it, or since this list was made.
                _ => continue,
            };
            if whole {
                listed.insert(id);
            }
            // Danger: the module takes another start for another process, so one that is told again keeps its time.
            let same = entries.get(&id).filter(|entry| entry.since_ms == record.since_ms);
            let started =
                same.map_or_else(|| self.start_clock.start_time(record.since_ms), |entry| entry.told.started);
            let mut member = self.member(id, record, started);
            if barred && member.state == EndpointState::Ready {
                member.state = EndpointState::Draining;
            }
            let verdict = self.judged(&record.name, &member);
            if let Some(address) = record.address.or(entries.get(&id).map(|entry| entry.address)) {
                let since_ms = record.since_ms;
                let accepted = same.filter(|entry| entry.address == address).and_then(|entry| entry.accepted);
                entries.insert(id, Entry { address, since_ms, told: member.clone(), verdict, accepted });
            }
            if member.state == EndpointState::Removed {
                // Nothing new goes there, and no table may grow with every machine that ever was.
                entries.remove(&id);
                ids.remove(&record.name);
            }
            members.push(stricter(member, verdict));
        }
        if whole {
            entries.retain(|id, _| listed.contains(id));
            ids.retain(|_, id| listed.contains(id));
        }
        members
    }

    /// A record as the module takes it.
    fn member(&self, endpoint: EndpointId, record: &EndpointRecord, started: Option<Time>) -> EndpointEntry {
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
    pub fn judge_by(&self, judge: Judge) {
        self.judge.replace(Some(judge));
    }

    fn judged(&self, name: &str, member: &EndpointEntry) -> WeightAdjustment {
        let judge = self.judge.borrow();
        let zones = self.zones.borrow();
        let zone = zones.get(member.zone.0).map_or("", String::as_str);
        judge.as_ref().map_or(WeightAdjustment::Unchanged, |judge| judge(name, zone, member.cell.0))
    }

    /// The plan has changed: the entries of which it now says something else, as the module takes them.
    pub fn judge(&self) -> Vec<EndpointEntry> {
        let (ids, mut entries) = (self.ids.borrow(), self.entries.borrow_mut());
        let mut changed = Vec::new();
        for (name, id) in ids.iter() {
            let Some(entry) = entries.get_mut(id) else { continue };
            let verdict = self.judged(name, &entry.told);
            if std::mem::replace(&mut entry.verdict, verdict) != verdict {
                changed.push(stricter(entry.told.clone(), verdict));
            }
        }
        changed.sort_by_key(|member| member.endpoint);
        changed
    }

    /// All that is listed: name, zone, group, and whether discovery holds it to be ready.
    pub fn listed(&self) -> Vec<(String, String, usize, bool)> {
        let (ids, entries, zones) = (self.ids.borrow(), self.entries.borrow(), self.zones.borrow());
        let row = |(name, id): (&String, &EndpointId)| {
            let told = &entries.get(id)?.told;
            let zone = zones.get(told.zone.0).cloned().unwrap_or_default();
            Some((name.clone(), zone, told.cell.0, told.state == EndpointState::Ready))
        };
        ids.iter().filter_map(row).collect()
    }
}

/// What discovery told, and what the plan says of it: the stricter of both.
fn stricter(mut member: EndpointEntry, verdict: WeightAdjustment) -> EndpointEntry {
    match verdict {
        WeightAdjustment::Unchanged => {}
        WeightAdjustment::Scaled(share) => member.weight *= share,
        WeightAdjustment::Excluded if member.state == EndpointState::Ready => {
            member.state = EndpointState::Draining
        }
        WeightAdjustment::Excluded => {}
    }
    member
}
