//! The table of endpoints: what is known of each, and the lists that change it.

use super::Balancer;
use super::rate::fade;
use crate::interface::*;
use std::collections::BTreeSet;

/// The most attempts an endpoint is judged by.
const JUDGED: f64 = 20.0;

/// What is known of one endpoint.
#[derive(Debug, Default)]
pub(super) struct Endpoint {
    pub(super) member: EndpointEntry,
    /// It was listed as draining and not as ready since.
    pub(super) drained: bool,
    /// The load it reported last, and when.
    pub(super) load: Option<(f64, Time)>,
    pub(super) probed: Option<Time>,
    /// Faded counts: attempts ended, those that failed, and the sum of latency over expected latency.
    pub(super) ended: f64,
    pub(super) failed: f64,
    pub(super) slow: f64,
    /// The time up to which they have faded.
    pub(super) judged: Time,
    /// The share of the laps in which it is visited.
    pub(super) pace: f64,
    /// What part of it lies in this balancer's stretch, times what the stretch stands for.
    pub(super) part: f64,
    /// What its visits add up to; a whole one is a call.
    pub(super) credit: f64,
    /// Faded count of late or failed attempts of each class, less what it has answered since.
    pub(super) silent: Vec<f64>,
    /// Connections to it, idle ones too; more than these could not be made, see `book_connection`.
    pub(super) open: f64,
    /// Connections in a row that could not be made.
    pub(super) unmade: i32,
    pub(super) down_until: Time,
    /// It fails or is slow: repeatable calls only.
    pub(super) probation: bool,
    pub(super) used: Time,
    /// When it last answered anything, a probe included.
    pub(super) heard: Time,
    /// When the last request was sent that it took.
    pub(super) accepted: Option<Time>,
    /// Own attempts out to it.
    pub(super) out: f64,
    /// It is one of the rows that are walked.
    pub(super) walked: bool,
    /// What a cold endpoint may still be sent.
    pub(super) cold_left: f64,
    /// The part of the calls of a warm one that it may have: less where cold ones let balancers walk more
    /// rows.
    pub(super) cold_part: f64,
    /// The total of `WarmCalls` up to which `cold_left` counts.
    pub(super) cold_at: f64,
}

impl Endpoint {
    /// Rule 3. Danger: a list may name endpoints as gone that run and serve, even all of a tier. Where the
    /// state of draining alone binds, they stay in the walk and their own answers tell who is dead.
    pub(super) fn may_be_sent_to(&self, use_removed_endpoints: bool) -> bool {
        match self.member.state {
            EndpointState::Ready => true,
            EndpointState::Draining => false,
            EndpointState::Removed => use_removed_endpoints && !self.drained,
        }
    }

    /// It takes no new connection, and the ones it has are in use.
    pub(super) fn unreachable(&self, now: Time) -> bool {
        self.down_until > now && self.out >= self.open
    }

    /// Lets what it is judged by fade up to `now`.
    pub(super) fn forget(&mut self, now: Time, memory: f64) {
        self.forget_by(now, fade(self.judged, now, memory));
    }

    /// Forgets by this factor, which is what fades from when it was judged last until now.
    pub(super) fn forget_by(&mut self, now: Time, faded: f64) {
        // However many attempts there were, the last few count.
        let kept = faded * (JUDGED / self.ended.max(JUDGED));
        self.ended *= kept;
        self.failed *= kept;
        self.slow *= kept;
        for silent in &mut self.silent {
            *silent *= faded;
        }
        self.judged = now;
    }
}

/// All endpoints that are listed, and for a while what is gone, in the order of their ids. A place in it is
/// good until an endpoint is added or removed.
#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) ids: Vec<EndpointId>,
    pub(super) endpoints: Vec<Endpoint>,
    /// Places by key, while `ordered`.
    pub(super) by_key: Vec<(u64, u32)>,
    pub(super) ordered: bool,
}

impl Table {
    /// Where this endpoint stands.
    pub(super) fn place(&self, id: EndpointId) -> Option<usize> {
        // Ids are given out one after the other, so most endpoints stand as far from the first as their id.
        let likely = id.0.checked_sub(self.ids.first()?.0)? as usize;
        if self.ids.get(likely) == Some(&id) {
            return Some(likely);
        }
        self.ids.binary_search(&id).ok()
    }

    /// What is known of this endpoint.
    pub(super) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.place(id).map(|place| &self.endpoints[place])
    }

    /// The same, to be changed.
    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.place(id).map(|place| &mut self.endpoints[place])
    }

    /// What is known of this endpoint, which is added if it is new.
    fn get_or_insert_with(&mut self, id: EndpointId, new: impl FnOnce() -> Endpoint) -> &mut Endpoint {
        let place = match self.place(id) {
            Some(place) => place,
            None => {
                let place = self.ids.partition_point(|&other| other < id);
                self.ids.insert(place, id);
                self.endpoints.insert(place, new());
                self.ordered = false;
                place
            }
        };
        &mut self.endpoints[place]
    }

    /// Makes room for a list of so many, and no more than that.
    fn reserve(&mut self, listed: usize) {
        let more = listed.saturating_sub(self.ids.len());
        self.ids.reserve_exact(more);
        self.endpoints.reserve_exact(more);
    }

    /// Removes those of which this holds.
    pub(super) fn remove_all(&mut self, removed: impl Fn(&Endpoint) -> bool) {
        if !self.endpoints.iter().any(&removed) {
            return;
        }
        let mut stays = self.endpoints.iter().map(|up| !removed(up)).collect::<Vec<_>>().into_iter();
        self.ids.retain(|_| stays.next().unwrap_or(true));
        self.endpoints.retain(|up| !removed(up));
        self.ordered = false;
    }

    /// Puts the places in order of their keys, if that has changed.
    pub(super) fn order(&mut self) {
        if !self.ordered {
            let keys = self.endpoints.iter().enumerate().map(|(place, up)| (up.member.key, place as u32));
            self.by_key.clear();
            self.by_key.extend(keys);
            self.by_key.sort_unstable();
            self.ordered = true;
        }
    }
}

impl Balancer {
    /// What is known of this endpoint.
    pub(super) fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.table.get(id)
    }

    /// The same, to be changed.
    pub(super) fn endpoint_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.table.get_mut(id)
    }

    /// News of the list.
    pub(super) fn members(&mut self, now: Time, scope: ListScope, entries: &[EndpointEntry]) {
        if scope != ListScope::Restored {
            self.refused_lists = 0;
        }
        if scope != ListScope::Changes {
            self.mark_gone(entries);
            self.table.reserve(entries.len());
        }
        for entry in entries {
            self.member(now, entry);
        }
        self.snapshot(now);
    }

    /// What a complete list leaves out is gone.
    fn mark_gone(&mut self, entries: &[EndpointEntry]) {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
        for id in self.table.ids.clone() {
            if let Some(up) = self.endpoint_mut(id).filter(|_| !listed.contains(&id)) {
                up.member.state = EndpointState::Removed;
                self.let_go(id);
            }
        }
    }

    /// One entry of a list.
    fn member(&mut self, now: Time, entry: &EndpointEntry) {
        // Danger: many balancers that save up for a whole call would all spend it in the same second.
        let cold_left = self.rng.f64();
        let cold_at = self.warm_calls.sum(now);
        // Danger: where each calls once within the ramp, none would come to a row that has a part of a turn.
        let credit = if self.warmth_of(entry, now) < 1.0 { self.rng.f64() } else { 0.0 };
        let classes = self.settings.classes.len();
        let fresh = || Endpoint {
            member: entry.clone(),
            judged: now,
            part: 1.0,
            cold_part: 1.0,
            silent: vec![0.0; classes],
            used: now,
            credit,
            cold_left,
            cold_at,
            ..Endpoint::default()
        };
        let up = self.table.get_or_insert_with(entry.endpoint, fresh);
        let other_key = up.member.key != entry.key;
        let drained = up.drained && entry.state == EndpointState::Removed;
        if up.member.started != entry.started {
            *up = fresh();
        }
        up.drained = entry.state == EndpointState::Draining || drained;
        up.member = entry.clone();
        if !entry.weight.is_finite() || entry.weight <= 0.0 {
            up.member.weight = 1.0;
        }
        self.table.ordered &= !other_key;
        self.let_go(entry.endpoint);
    }

    /// Rule 5: idle connections to what drains are closed, at the notice and after each later outcome.
    pub(super) fn let_go(&mut self, id: EndpointId) {
        if self.settings.rules.close_idle_within.is_some()
            && self.endpoint(id).is_some_and(|up| up.member.state != EndpointState::Ready)
        {
            self.actions.push(Action::CloseIdle(id));
        }
    }

    /// An endpoint's size against the others', where the list tells it.
    pub(super) fn size(&self, up: &Endpoint) -> f64 {
        if self.settings.weights == WeightKind::Size { up.member.weight } else { 1.0 }
    }
}
