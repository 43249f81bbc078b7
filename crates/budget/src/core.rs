//! The protocol of one sidecar: always a holder, and also a voter and a candidate for allocator if it is configured as
//! one.

use crate::allocator::{Allocator, LeaseRequest};
use crate::config::{Config, Time};
use crate::holder::Holder;
use crate::message::{Ballot, Message};
use crate::voter::Voter;
use std::net::{Ipv4Addr, SocketAddrV4};

/// State that only voters have; each of them is also a candidate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct VoterRole {
    voter: Voter,
    allocator: Allocator,
}

/// Protocol state of one sidecar, without I/O.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Core {
    holder: Holder,
    voter_role: Option<VoterRole>,
}

/// Messages to send.
pub type Outbox = Vec<(SocketAddrV4, Message)>;

impl Core {
    /// Creates the state of a sidecar that starts now; `id` must be unique to this start.
    pub fn new(config: &Config, now: Time, id: u64) -> Core {
        let voter_role = config
            .voter_index()
            .map(|_| VoterRole { voter: Voter::new(now), allocator: Allocator::new(now, id) });
        Core { holder: Holder::new(config, now, id), voter_role }
    }

    /// Share of a limit that this sidecar has, in thousandths: guaranteed and lent.
    pub fn share(&self, config: &Config, limit: usize, now: Time) -> u64 {
        self.guaranteed_share(config, limit, now) + self.holder.lent_share(limit, now)
    }

    /// Share of a limit that needs no lease.
    pub fn guaranteed_share(&self, config: &Config, limit: usize, now: Time) -> u64 {
        self.holder.guaranteed_share(config, now, limit)
    }

    /// Share of a limit that is lent to this sidecar.
    pub fn lent_share(&self, limit: usize, now: Time) -> u64 {
        self.holder.lent_share(limit, now)
    }

    /// When the lease expires, if anything is lent.
    pub fn lease_expires_at(&self) -> Option<Time> {
        self.holder.lease_expires_at()
    }

    /// Whether an allocator has responded recently.
    pub fn has_allocator(&self, config: &Config, now: Time) -> bool {
        self.holder.has_allocator(config, now)
    }

    /// Ballot of the latest allocator that this sidecar knows.
    pub fn promised_ballot(&self) -> Ballot {
        self.holder.promised()
    }

    /// Term of this sidecar's own last candidacy, or 0.
    pub fn own_term(&self) -> u64 {
        self.voter_role.as_ref().map_or(0, |role| role.allocator.ballot().term)
    }

    /// Whether this sidecar is the allocator.
    pub fn is_allocator(&self, now: Time) -> bool {
        self.voter_role.as_ref().is_some_and(|role| role.allocator.is_elected(now))
    }

    /// Whether this sidecar is the allocator but leases of its predecessors may still be in force.
    pub fn awaits_old_leases(&self, config: &Config, now: Time) -> bool {
        self.voter_role.as_ref().is_some_and(|role| {
            role.allocator.is_elected(now) && role.allocator.awaits_old_leases(config, now)
        })
    }

    /// As the allocator: the amount of a limit that may be in force at all holders.
    pub fn charged(&self, config: &Config, limit: usize, now: Time) -> u64 {
        self.voter_role.as_ref().map_or(0, |role| role.allocator.charged(config, now, limit))
    }

    /// As the allocator: the number of holders, of claims beyond a limit (always 0 unless the protocol is broken), and
    /// of requests that were dropped because there were too many holders.
    pub fn allocator_stats(&self) -> (usize, u64, u64) {
        self.voter_role.as_ref().map_or((0, 0, 0), |role| {
            (role.allocator.holders(), role.allocator.over_limit, role.allocator.dropped_requests)
        })
    }

    /// Updates the demand and the current uses of a limit, in thousandths.
    pub fn set_demand(&mut self, config: &Config, now: Time, limit: usize, demand: u64, in_use: u64) {
        self.holder.set_demand(config, now, limit, demand, in_use);
    }

    /// When [`Core::tick`] is due next.
    pub fn next_wakeup(&self, config: &Config) -> Time {
        let holder = self.holder.next_wakeup();
        self.voter_role.as_ref().map_or(holder, |role| holder.min(role.allocator.next_wakeup(config)))
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, config: &Config, now: Time, out: &mut Outbox) {
        if let Some(role) = &mut self.voter_role
            && let Some(vote_request) = role.allocator.tick(config, now, &mut role.voter)
        {
            let others = config.voters.iter().filter(|voter| **voter != config.address);
            out.extend(others.map(|voter| (*voter, vote_request.clone())));
        }
        if let Some(request) = self.holder.tick(config, now) {
            self.send(config, now, request, out);
        }
    }

    /// Returns the lease because the sidecar shuts down.
    pub fn leave(&mut self, config: &Config, now: Time, out: &mut Outbox) {
        let request = self.holder.leave(config, now);
        self.send(config, now, request, out);
    }

    /// Sends a message; what is addressed to this sidecar itself is handled at once.
    fn send(
        &mut self,
        config: &Config,
        now: Time,
        (message, to): (Message, Vec<SocketAddrV4>),
        out: &mut Outbox,
    ) {
        for to in to {
            if to == config.address {
                let mut responses = Outbox::new();
                self.receive(config, now, to, &message, &mut responses);
                // Handling a response sends nothing: after a promise the new request follows at the next tick.
                for (to, response) in responses {
                    if to == config.address {
                        self.receive(config, now, to, &response, out);
                    } else {
                        out.push((to, response));
                    }
                }
            } else {
                out.push((to, message.clone()));
            }
        }
    }

    /// Handles a message.
    pub fn receive(
        &mut self,
        config: &Config,
        now: Time,
        from: SocketAddrV4,
        message: &Message,
        out: &mut Outbox,
    ) {
        match message {
            Message::VoteRequest { ballot, nonce } => {
                let (Some(role), Some(own)) = (&mut self.voter_role, config.voter_index()) else { return };
                let Some(candidate) = config.voters.iter().position(|voter| *voter == from) else { return };
                role.allocator.yield_to(config, now, &mut role.voter, (*ballot, candidate));
                let granted = role.voter.vote(config, now, from, *ballot);
                let (voter, term) = (own as u8, role.voter.term());
                out.push((from, Message::VoteResponse { voter, term, nonce: *nonce, granted }));
            }
            Message::VoteResponse { voter, term, nonce, granted } => {
                let Some(role) = &mut self.voter_role else { return };
                // A vote counts only from the voter's own address; otherwise one voter could vote twice.
                if config.voters.get(usize::from(*voter)) == Some(&from) {
                    role.allocator.vote_response(config, now, (*voter, *term, *nonce), *granted);
                }
            }
            Message::LeaseRequest { holder, seq, promised, weight, held, demand, leaving } => {
                let Some(role) = &mut self.voter_role else { return };
                let request = LeaseRequest {
                    holder: *holder,
                    seq: *seq,
                    promised: *promised,
                    weight: *weight,
                    held,
                    demand,
                    leaving: *leaving,
                };
                let candidate = role.voter.candidate(now);
                if let Some(response) = role.allocator.lease_request(config, now, &request) {
                    out.push((from, response));
                } else if let Some(candidate) = candidate.filter(|at| *at != config.address && *at != from) {
                    let allocator = (u32::from(*candidate.ip()), candidate.port());
                    out.push((from, Message::AllocatorHint { allocator }));
                }
            }
            Message::LeaseGrant { ballot, seq, shares } => {
                self.holder.granted(config, now, from, (*ballot, *seq), shares);
            }
            Message::PromiseRequest { ballot } => self.holder.promise(now, from, *ballot),
            Message::AllocatorHint { allocator: (ip, port) } => {
                let allocator = SocketAddrV4::new(Ipv4Addr::from(*ip), *port);
                self.holder.hinted(config, now, allocator);
            }
        }
    }
}
