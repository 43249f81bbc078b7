//! A holder: requests what it needs, and uses what it was granted until the lease expires by its own clock.

use crate::config::{Config, LimitKind, Time};
use crate::message::{Ballot, Message};
use std::net::SocketAddrV4;

/// Number of requests that are sent at a shorter interval after a demand has grown.
const URGENT_REQUESTS: u8 = 8;

/// State of a holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    id: u64,
    started: Time,
    seq: u64,
    requested_at: Time,
    next_request: Time,
    promised: Ballot,
    allocator: Option<SocketAddrV4>,
    /// When an allocator last responded.
    answered_at: Option<Time>,
    shares: Vec<u64>,
    lease_expires_at: Time,
    demand: Vec<u64>,
    /// Demand of the last request.
    requested: Vec<u64>,
    /// Requests that are still sent at a shorter interval because the demand has grown.
    urgent_requests: u8,
    /// Concurrent uses of each limit, in thousandths.
    in_use: Vec<u64>,
    leaving: bool,
}

impl Holder {
    pub(crate) fn new(config: &Config, now: Time, id: u64) -> Holder {
        let zeros = vec![0; config.limits.len()];
        Holder {
            id,
            started: now,
            seq: 0,
            requested_at: now,
            next_request: now,
            promised: Ballot::default(),
            allocator: None,
            answered_at: None,
            shares: zeros.clone(),
            lease_expires_at: now,
            demand: zeros.clone(),
            requested: zeros.clone(),
            urgent_requests: 0,
            in_use: zeros,
            leaving: false,
        }
    }

    /// Share of a limit that is lent to this holder. `now` has to be read after any pause of the process: by an earlier
    /// time an expired lease would still count.
    pub(crate) fn lent_share(&self, limit: usize, now: Time) -> u64 {
        if now < self.lease_expires_at { self.shares[limit] } else { 0 }
    }

    /// Share of a limit that this holder has without a lease. Uses of the previous process at this address may not have
    /// ended yet, so for a concurrency limit it is available only after the longest time that a use may last.
    pub(crate) fn guaranteed_share(&self, config: &Config, now: Time, limit: usize) -> u64 {
        let from = self.started + config.with_clock_margin(config.max_overrun(limit));
        if now >= from { config.guaranteed_share(limit) } else { 0 }
    }

    /// When the lease expires, unless all its shares are zero.
    pub(crate) fn lease_expires_at(&self) -> Option<Time> {
        self.shares.iter().any(|share| *share > 0).then_some(self.lease_expires_at)
    }

    /// Whether an allocator has responded recently.
    pub(crate) fn has_allocator(&self, config: &Config, now: Time) -> bool {
        self.answered_at.is_some_and(|at| now < at + config.request_interval() * 3 / 2)
    }

    pub(crate) fn promised(&self) -> Ballot {
        self.promised
    }

    pub(crate) fn next_wakeup(&self) -> Time {
        self.next_request
    }

    /// Updates the demand and the current uses of a limit.
    pub(crate) fn set_demand(&mut self, config: &Config, now: Time, limit: usize, demand: u64, in_use: u64) {
        self.in_use[limit] = in_use;
        self.demand[limit] = demand;
        // A demand that exceeds the share is requested before the regular interval is over.
        let share = self.lent_share(limit, now) + self.guaranteed_share(config, now, limit);
        if demand > share && demand > self.requested[limit] + self.requested[limit] / 4 {
            self.urgent_requests = URGENT_REQUESTS;
        }
        if demand > share && self.urgent_requests > 0 {
            self.next_request = self.next_request.min(self.requested_at + config.request_interval() / 8);
        } else if demand * 2 < share {
            // So is one that has fallen far below the share: other holders may lack what is unused here.
            self.next_request = self.next_request.min(self.requested_at + config.request_interval() / 4);
        }
    }

    /// Amounts to report as held. For a concurrency limit this includes current uses beyond the share.
    fn held(&self, config: &Config, now: Time) -> Vec<u64> {
        let held = |limit: usize| {
            let in_use = match config.limits[limit].kind {
                LimitKind::Rate { .. } => 0,
                LimitKind::Concurrency { .. } => {
                    self.in_use[limit].saturating_sub(self.guaranteed_share(config, now, limit))
                }
            };
            self.lent_share(limit, now).max(in_use)
        };
        (0..config.limits.len()).map(held).collect()
    }

    /// Creates the next request and its receivers. From now on responses to older requests are ignored.
    pub(crate) fn request(&mut self, config: &Config, now: Time) -> (Message, Vec<SocketAddrV4>) {
        // After a request without response the next one follows sooner, so that the current allocator renews the lease
        // in time.
        let answered = self.seq == 0 || self.answered_at.is_some_and(|at| at >= self.requested_at);
        self.seq += 1;
        self.urgent_requests = self.urgent_requests.saturating_sub(1);
        self.requested.clone_from(&self.demand);
        self.requested_at = now;
        self.next_request =
            now + if answered { config.request_interval() } else { config.request_interval() / 2 };
        let request = Message::LeaseRequest {
            holder: self.id,
            seq: self.seq,
            promised: self.promised,
            weight: config.weight,
            held: self.held(config, now),
            demand: if self.leaving { vec![0; self.demand.len()] } else { self.demand.clone() },
            leaving: self.leaving,
        };
        let to = match self.allocator {
            Some(allocator) if self.has_allocator(config, now) => vec![allocator],
            _ => config.voters.clone(),
        };
        (request, to)
    }

    pub(crate) fn tick(&mut self, config: &Config, now: Time) -> Option<(Message, Vec<SocketAddrV4>)> {
        (now >= self.next_request).then(|| self.request(config, now))
    }

    /// Returns the lease; uses that have not ended stay reported as held.
    pub(crate) fn leave(&mut self, config: &Config, now: Time) -> (Message, Vec<SocketAddrV4>) {
        self.leaving = true;
        self.shares.fill(0);
        self.request(config, now)
    }

    /// Handles a lease grant.
    pub(crate) fn granted(
        &mut self,
        config: &Config,
        now: Time,
        from: SocketAddrV4,
        (ballot, seq): (Ballot, u64),
        shares: &[u64],
    ) {
        // A response to an older request grants a share that the allocator no longer charges to this holder.
        if ballot != self.promised || seq != self.seq || self.leaving {
            return;
        }
        let granted_from = if config.safeguards.lease_from_request { self.requested_at } else { now };
        let expires_at = granted_from + config.lease;
        if now >= expires_at {
            return;
        }
        let lowered = (0..shares.len()).any(|limit| shares[limit] < self.lent_share(limit, now));
        self.shares.copy_from_slice(shares);
        self.lease_expires_at = expires_at;
        (self.allocator, self.answered_at) = (Some(from), Some(now));
        let short = (0..shares.len())
            .any(|limit| self.demand[limit] > shares[limit] + self.guaranteed_share(config, now, limit));
        // The holders whose shares are lowered in favour of this one confirm that within a request interval, so a
        // request before the regular time finds more to lend.
        let urgent = short && self.urgent_requests > 0;
        self.next_request = self.requested_at
            + if urgent { config.request_interval() / 4 } else { config.request_interval() };
        if lowered {
            // A lowered share is charged in full until this holder confirms it by its next request.
            self.next_request = self.next_request.min(now + config.request_interval() / 16);
        }
    }

    /// Promises to ignore older allocators and schedules a new request.
    pub(crate) fn promise(&mut self, now: Time, from: SocketAddrV4, ballot: Ballot) {
        if ballot > self.promised {
            self.promised = ballot;
            (self.allocator, self.answered_at) = (Some(from), Some(now));
            self.next_request = now;
        }
    }

    /// Handles a voter's hint at the allocator.
    pub(crate) fn hinted(&mut self, config: &Config, now: Time, allocator: SocketAddrV4) {
        if !self.has_allocator(config, now) && config.voters.contains(&allocator) {
            self.allocator = Some(allocator);
        }
    }
}
