//! The protocol of one sidecar: holder always, keeper and candidate where the file says so.

use crate::config::{Config, Time};
use crate::divider::{Divider, Question};
use crate::holder::Holder;
use crate::keeper::Keeper;
use crate::message::{Ballot, Message};
use std::net::{Ipv4Addr, SocketAddrV4};

/// What a keeper has beside the holder that everybody is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seat {
    keeper: Keeper,
    divider: Divider,
}

/// The protocol of one sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Core {
    holder: Holder,
    seat: Option<Seat>,
}

/// Messages to be sent.
pub type Outbox = Vec<(SocketAddrV4, Message)>;

impl Core {
    /// A sidecar that starts now; `id` is this start's alone.
    pub fn new(config: &Config, now: Time, id: u64) -> Core {
        let seat = config.keeper().map(|_| Seat { keeper: Keeper::new(now), divider: Divider::new(now, id) });
        Core { holder: Holder::new(config, now, id), seat }
    }

    /// Its part of a whole now, in thousandths: its floor and what is lent to it.
    pub fn part(&self, config: &Config, whole: usize, now: Time) -> u64 {
        self.floor(config, whole, now) + self.holder.lent(whole, now)
    }

    /// What it has of a whole without any lease.
    pub fn floor(&self, config: &Config, whole: usize, now: Time) -> u64 {
        self.holder.floor(config, now, whole)
    }

    /// What is lent to it of a whole now.
    pub fn lent(&self, whole: usize, now: Time) -> u64 {
        self.holder.lent(whole, now)
    }

    /// When what is lent to it lapses, if anything is.
    pub fn lent_until(&self) -> Option<Time> {
        self.holder.until()
    }

    /// Whether a divider answers it.
    pub fn answered(&self, config: &Config, now: Time) -> bool {
        self.holder.answered(config, now)
    }

    /// The divider's term as this one knows it.
    pub fn ballot(&self) -> Ballot {
        self.holder.promised()
    }

    /// Its own term, if it divides or did.
    pub fn own_term(&self) -> u64 {
        self.seat.as_ref().map_or(0, |seat| seat.divider.ballot().term)
    }

    /// Whether it divides.
    pub fn divides(&self, now: Time) -> bool {
        self.seat.as_ref().is_some_and(|seat| seat.divider.divides(now))
    }

    /// Whether it divides, but waits for what others may have lent.
    pub fn waits(&self, config: &Config, now: Time) -> bool {
        self.seat.as_ref().is_some_and(|seat| seat.divider.divides(now) && seat.divider.waits(config, now))
    }

    /// As a divider: what may be in force of a whole.
    pub fn charged(&self, config: &Config, whole: usize, now: Time) -> u64 {
        self.seat.as_ref().map_or(0, |seat| seat.divider.charged(config, now, whole))
    }

    /// As a divider: holders, claims beyond the whole (there can be none), questions without room.
    pub fn dividing(&self) -> (usize, u64, u64) {
        self.seat
            .as_ref()
            .map_or((0, 0, 0), |seat| (seat.divider.holders(), seat.divider.beyond, seat.divider.crowded))
    }

    /// What it needs of a whole, and what of it is out, both in thousandths.
    pub fn need(&mut self, config: &Config, now: Time, whole: usize, want: u64, out: u64) {
        self.holder.need(config, now, whole, want, out);
    }

    /// When it wants to be called next.
    pub fn next_at(&self, config: &Config) -> Time {
        let holder = self.holder.next_at();
        self.seat.as_ref().map_or(holder, |seat| holder.min(seat.divider.next_at(config)))
    }

    /// Its time has come.
    pub fn tick(&mut self, config: &Config, now: Time, out: &mut Outbox) {
        if let Some(seat) = &mut self.seat
            && let Some(vote) = seat.divider.tick(config, now, &mut seat.keeper)
        {
            let others = config.keepers.iter().filter(|keeper| **keeper != config.address);
            out.extend(others.map(|keeper| (*keeper, vote.clone())));
        }
        if let Some(asked) = self.holder.tick(config, now) {
            self.send(config, now, asked, out);
        }
    }

    /// It leaves.
    pub fn leave(&mut self, config: &Config, now: Time, out: &mut Outbox) {
        let asked = self.holder.leave(config, now);
        self.send(config, now, asked, out);
    }

    fn send(&mut self, config: &Config, now: Time, asked: (Message, Vec<SocketAddrV4>), out: &mut Outbox) {
        let (message, to) = asked;
        for to in to {
            if to == config.address {
                let mut answers = Outbox::new();
                self.hear(config, now, to, &message, &mut answers);
                // At most: promise, ask again, grant.
                for (to, answer) in answers {
                    if to == config.address {
                        self.hear(config, now, to, &answer, out);
                    } else {
                        out.push((to, answer));
                    }
                }
            } else {
                out.push((to, message.clone()));
            }
        }
    }

    /// A message has come.
    pub fn hear(
        &mut self,
        config: &Config,
        now: Time,
        from: SocketAddrV4,
        message: &Message,
        out: &mut Outbox,
    ) {
        match message {
            Message::Vote { ballot, nonce } => {
                let (Some(seat), Some(place)) = (&mut self.seat, config.keeper()) else { return };
                let Some(stands) = config.keepers.iter().position(|keeper| *keeper == from) else { return };
                seat.divider.yields(config, now, &mut seat.keeper, (*ballot, stands));
                let given = seat.keeper.vote(config, now, from, *ballot);
                let (keeper, term) = (place as u8, seat.keeper.term());
                out.push((from, Message::Voted { keeper, term, nonce: *nonce, given }));
            }
            Message::Voted { keeper, term, nonce, given } => {
                let Some(seat) = &mut self.seat else { return };
                // Danger: one voice from another place would count twice.
                if config.keepers.get(usize::from(*keeper)) == Some(&from) {
                    seat.divider.voted(config, now, (*keeper, *term, *nonce), *given);
                }
            }
            Message::Ask { holder, seq, promised, weight, have, want, leaving } => {
                let Some(seat) = &mut self.seat else { return };
                let question = Question {
                    holder: *holder,
                    seq: *seq,
                    promised: *promised,
                    weight: *weight,
                    have,
                    want,
                    leaving: *leaving,
                };
                let divider = seat.keeper.divider(now);
                if let Some(answer) = seat.divider.hear(config, now, &question) {
                    out.push((from, answer));
                } else if let Some(divider) = divider.filter(|at| *at != config.address && *at != from) {
                    let divider = (u32::from(*divider.ip()), divider.port());
                    out.push((from, Message::Hint { divider }));
                }
            }
            Message::Grant { ballot, seq, parts } => {
                self.holder.granted(config, now, from, (*ballot, *seq), parts);
            }
            Message::Promise { ballot } => self.holder.promise(now, from, *ballot),
            Message::Hint { divider: (ip, port) } => {
                let divider = SocketAddrV4::new(Ipv4Addr::from(*ip), *port);
                self.holder.hinted(config, now, divider);
            }
        }
    }
}
