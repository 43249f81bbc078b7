//! The budgets of one sidecar: the protocol with its messages as bytes, and the use of the shares it was granted.

use crate::config::{Config, LimitKind, Time};
use crate::core::{Core, Outbox};
use crate::message::{DecodeError, decode, encode};
use crate::usage::{DemandMeter, Share, TokenBucket};
use serde::Serialize;
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// Maximum number of events that wait to be fetched.
const MAX_EVENTS: usize = 64;

/// An event for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// This sidecar was elected as the allocator.
    Elected {
        /// Term of the allocator.
        term: u64,
    },
    /// This sidecar is no longer the allocator.
    SteppedDown,
    /// The lease expired; only the guaranteed shares are left.
    LeaseExpired,
    /// A lease was granted where there was none.
    LeaseObtained,
}

/// Counters of the protocol. Their JSON names are part of the operations API.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Messages sent.
    pub sent: u64,
    /// Bytes of the messages sent.
    pub sent_bytes: u64,
    /// Messages received and decoded.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Datagrams that are malformed.
    #[serde(rename = "garbled")]
    pub malformed: u64,
    /// Messages of sidecars with another configuration.
    #[serde(rename = "foreign")]
    pub other_config: u64,
    /// Messages in a format version that is not supported.
    #[serde(rename = "format")]
    pub unsupported_format: u64,
    /// Times that the lease expired.
    #[serde(rename = "lapses")]
    pub lease_expiries: u64,
    /// Times that this sidecar was elected as the allocator.
    pub elections: u64,
}

/// Use of one limit.
#[derive(Debug, Clone, Default)]
struct Usage {
    bucket: TokenBucket,
    meter: DemandMeter,
    in_use: u64,
    acquired: u64,
    rejected: u64,
}

/// The budgets of one sidecar.
pub struct Budget {
    config: Config,
    digest: u64,
    core: Core,
    usages: Vec<Usage>,
    outbox: VecDeque<(SocketAddrV4, Vec<u8>)>,
    events: VecDeque<Event>,
    counters: Counters,
    had_lease: bool,
    was_allocator: bool,
    demand_updated_at: Time,
}

/// State of a limit as one sidecar sees it. The JSON names are part of the operations API.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LimitReport {
    /// Name of the limit.
    pub name: String,
    /// Size of the limit: uses per second, or concurrent uses.
    #[serde(rename = "whole")]
    pub size: f64,
    /// Share of this sidecar.
    #[serde(rename = "part")]
    pub share: f64,
    /// Part of the share that needs no lease.
    #[serde(rename = "floor")]
    pub guaranteed: f64,
    /// Amount that this sidecar needs.
    #[serde(rename = "need")]
    pub demand: f64,
    /// Current uses of a concurrency limit.
    #[serde(rename = "out")]
    pub in_use: u64,
    /// Uses that were admitted.
    #[serde(rename = "taken")]
    pub acquired: u64,
    /// Uses that were rejected because the share was used up.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// On the allocator: amount that may be in force at all holders, without the guaranteed shares.
    pub charged: Option<f64>,
}

/// State of the budgets as one sidecar sees it. The JSON names are part of the operations API.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Digest of the configuration.
    pub digest: String,
    /// Term of the latest allocator that this sidecar knows.
    pub term: u64,
    /// Whether an allocator has responded recently.
    #[serde(rename = "answered")]
    pub has_allocator: bool,
    /// Seconds until the lease expires.
    #[serde(rename = "lapses_in_s")]
    pub lease_expires_in_s: Option<f64>,
    /// Whether this sidecar is a voter.
    #[serde(rename = "keeper")]
    pub is_voter: bool,
    /// Whether this sidecar is the allocator.
    #[serde(rename = "divides")]
    pub is_allocator: bool,
    /// Whether leases of earlier allocators may still be in force.
    #[serde(rename = "waits")]
    pub awaits_old_leases: bool,
    /// Number of holders that the allocator tracks.
    pub holders: usize,
    /// Claims beyond a limit; always 0 unless the protocol is broken.
    #[serde(rename = "beyond")]
    pub over_limit: u64,
    /// Lease requests that were dropped because there were too many holders.
    #[serde(rename = "crowded")]
    pub dropped_requests: u64,
    /// Counters of the protocol.
    #[serde(rename = "counted")]
    pub counters: Counters,
    /// State of each limit.
    #[serde(rename = "wholes")]
    pub limits: Vec<LimitReport>,
}

impl Budget {
    /// Creates the budgets of a sidecar that starts now; `id` must be unique to this start.
    pub fn new(config: Config, now: Time, id: u64) -> Budget {
        let usage = Usage { bucket: TokenBucket::new(now), ..Usage::default() };
        Budget {
            digest: config.digest(),
            core: Core::new(&config, now, id),
            usages: vec![usage; config.limits.len()],
            outbox: VecDeque::new(),
            events: VecDeque::new(),
            counters: Counters::default(),
            had_lease: false,
            was_allocator: false,
            demand_updated_at: now,
            config,
        }
    }

    /// Configuration of the budgets.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// State of the protocol.
    pub fn core(&self) -> &Core {
        &self.core
    }

    /// Counters of the protocol.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Share of a limit that this sidecar has, in thousandths.
    pub fn share(&self, limit: usize, now: Time) -> u64 {
        self.core.share(&self.config, limit, now)
    }

    fn share_over_time(&self, limit: usize, now: Time) -> Share {
        let lease_expires_at = self.core.lease_expires_at().unwrap_or_default();
        // The share just before the expiry of the lease, which may have expired by now.
        let lent = self.core.lent_share(limit, lease_expires_at.saturating_sub(Time::from_nanos(1)));
        let guaranteed = self.core.guaranteed_share(&self.config, limit, now);
        Share { guaranteed, lent, lease_expires_at }
    }

    /// Refills all token buckets under the current shares. This has to be done before the shares change.
    fn refill(&mut self, now: Time) {
        for limit in 0..self.usages.len() {
            if let LimitKind::Rate { burst } = self.config.limits[limit].kind {
                let (share, size) = (self.share_over_time(limit, now), self.config.limits[limit].size);
                self.usages[limit].bucket.refill(now, share, burst, size);
            }
        }
    }

    /// Acquires one use of a limit; an error is the time after which to try again.
    ///
    /// `now` has to be read immediately before the call and after anything that the use waited for, because the lease
    /// may have expired meanwhile.
    pub fn try_acquire(&mut self, limit: usize, now: Time) -> Result<(), Time> {
        let (request_interval, share_over_time) =
            (self.config.request_interval(), self.share_over_time(limit, now));
        let share = self.core.share(&self.config, limit, now);
        let size = self.config.limits[limit].size;
        let usage = &mut self.usages[limit];
        usage.meter.record_request(now, usage.in_use);
        let acquired = match self.config.limits[limit].kind {
            LimitKind::Rate { burst } => {
                usage.bucket.refill(now, share_over_time, burst, size);
                usage.bucket.take(share)
            }
            LimitKind::Concurrency { .. } if (usage.in_use + 1) * 1000 <= share => {
                usage.in_use += 1;
                Ok(())
            }
            LimitKind::Concurrency { max_hold } => Err((share > 0).then_some(max_hold / 4)),
        };
        match acquired {
            Ok(()) => {
                usage.acquired += 1;
                Ok(())
            }
            Err(wait) => {
                usage.rejected += 1;
                usage.meter.record_rejection();
                Err(wait.unwrap_or(request_interval))
            }
        }
    }

    /// Ends one use of a concurrency limit.
    pub fn release(&mut self, limit: usize) {
        let usage = &mut self.usages[limit];
        usage.in_use = usage.in_use.saturating_sub(1);
    }

    fn update_demand(&mut self, now: Time) {
        for limit in 0..self.usages.len() {
            let (kind, usage) = (self.config.limits[limit].kind, &mut self.usages[limit]);
            let demand = usage.meter.demand(now, kind, usage.in_use);
            self.core.set_demand(&self.config, now, limit, demand, usage.in_use * 1000);
        }
        self.demand_updated_at = now;
    }

    /// Does what is due at this time, see [`Budget::next_wakeup`].
    pub fn tick(&mut self, now: Time) {
        self.refill(now);
        self.update_demand(now);
        let mut out = Outbox::new();
        self.core.tick(&self.config, now, &mut out);
        self.enqueue(out);
        self.record_changes(now);
    }

    /// Handles a datagram.
    pub fn receive(&mut self, now: Time, from: SocketAddrV4, bytes: &[u8]) {
        let message = match decode(self.digest, self.config.limits.len(), bytes) {
            Ok(message) => message,
            Err(error) => {
                let counter = match error {
                    DecodeError::Malformed => &mut self.counters.malformed,
                    DecodeError::OtherConfig => &mut self.counters.other_config,
                    DecodeError::UnsupportedFormat => &mut self.counters.unsupported_format,
                };
                *counter += 1;
                return;
            }
        };
        self.counters.received += 1;
        self.refill(now);
        let mut out = Outbox::new();
        self.core.receive(&self.config, now, from, &message, &mut out);
        self.enqueue(out);
        self.record_changes(now);
    }

    /// Returns the lease because the sidecar shuts down; uses that have not ended stay charged.
    pub fn leave(&mut self, now: Time) {
        self.refill(now);
        self.update_demand(now);
        let mut out = Outbox::new();
        self.core.leave(&self.config, now, &mut out);
        self.enqueue(out);
    }

    fn enqueue(&mut self, out: Outbox) {
        for (to, message) in out {
            let bytes = encode(self.digest, &message);
            self.counters.sent += 1;
            self.counters.sent_bytes += bytes.len() as u64;
            self.outbox.push_back((to, bytes));
        }
    }

    /// Counts and reports changes of the lease and of the allocator role.
    fn record_changes(&mut self, now: Time) {
        let has_lease = (0..self.usages.len()).any(|limit| self.core.lent_share(limit, now) > 0);
        if has_lease != self.had_lease {
            self.counters.lease_expiries += u64::from(!has_lease);
            self.events.push_back(if has_lease { Event::LeaseObtained } else { Event::LeaseExpired });
        }
        let is_allocator = self.core.is_allocator(now);
        if is_allocator != self.was_allocator {
            self.counters.elections += u64::from(is_allocator);
            let term = self.core.own_term();
            self.events.push_back(if is_allocator { Event::Elected { term } } else { Event::SteppedDown });
        }
        (self.had_lease, self.was_allocator) = (has_lease, is_allocator);
        self.events.truncate(MAX_EVENTS);
    }

    /// Next datagram to send, with its receiver.
    pub fn next_datagram(&mut self) -> Option<(SocketAddrV4, Vec<u8>)> {
        self.outbox.pop_front()
    }

    /// Oldest event that was not fetched yet.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// When [`Budget::tick`] is due next: for the protocol, at the expiry of the lease, or to update the demand.
    pub fn next_wakeup(&self) -> Time {
        let demand_update = self.demand_updated_at + self.config.request_interval() / 4;
        let expiry = self.core.lease_expires_at().filter(|_| self.had_lease);
        let next = self.core.next_wakeup(&self.config).min(demand_update);
        expiry.map_or(next, |expiry| next.min(expiry))
    }

    /// Report for operators.
    pub fn report(&mut self, now: Time) -> Report {
        let (holders, over_limit, dropped_requests) = self.core.allocator_stats();
        let is_allocator = self.core.is_allocator(now);
        let units = |thousandths: u64| thousandths as f64 / 1000.0;
        let report_limit = |index: usize| {
            let (limit, usage) = (&self.config.limits[index], &self.usages[index]);
            LimitReport {
                name: limit.name.clone(),
                size: units(limit.size),
                share: units(self.core.share(&self.config, index, now)),
                guaranteed: units(self.core.guaranteed_share(&self.config, index, now)),
                demand: units(usage.meter.clone().demand(now, limit.kind, usage.in_use)),
                in_use: usage.in_use,
                acquired: usage.acquired,
                rejected: usage.rejected,
                charged: is_allocator.then(|| units(self.core.charged(&self.config, index, now))),
            }
        };
        let expires_in = self.core.lease_expires_at().and_then(|expiry| expiry.checked_sub(now));
        Report {
            digest: format!("{:016x}", self.digest),
            term: self.core.promised_ballot().term,
            has_allocator: self.core.has_allocator(&self.config, now),
            lease_expires_in_s: expires_in.map(|left| left.as_secs_f64()),
            is_voter: self.config.voter_index().is_some(),
            is_allocator,
            awaits_old_leases: self.core.awaits_old_leases(&self.config, now),
            holders,
            over_limit,
            dropped_requests,
            counters: self.counters,
            limits: (0..self.usages.len()).map(report_limit).collect(),
        }
    }
}
