//! Merging of updates in SWIM's order: a higher generation overrides a lower one, then a higher incarnation, then the
//! worse state; leaving is final for a generation. The local member refutes accusations against itself.

use super::Membership;
use super::dissemination::GOSSIP_FANOUT;
use crate::change::{Cause, Change, Output};
use crate::message::{Name, Payload, Record, State, Update};

impl Membership {
    /// Merges an update about any member.
    pub(super) fn merge(&mut self, update: Update) {
        let record = &update.record;
        if record.name == self.local.record.name {
            self.merge_about_self(record, update.state, &update.reporter);
            return;
        }
        let Some(member) = self.table.get(&record.name) else {
            self.discover(update);
            return;
        };
        let known_generation = member.record.generation;
        if record.generation < known_generation && self.features().generation_order {
            self.dropped.stale += 1;
        } else if record.generation != known_generation {
            self.merge_restart(update);
        } else {
            self.merge_same_generation(update);
        }
    }

    /// Adds a member that was not known.
    fn discover(&mut self, update: Update) {
        if !self.table.insert(update.record.clone(), self.now, self.config.max_members) {
            self.dropped.full += 1;
            return;
        }
        let name = &update.record.name;
        self.ring.insert(name.clone(), &mut self.rng);
        self.transition(name, update.state, Cause::Discovered, &update.reporter);
        self.disseminate(update);
    }

    /// Merges the first update about another generation of a known member.
    fn merge_restart(&mut self, update: Update) {
        let (name, now) = (&update.record.name, self.now);
        self.table.update_record(name, |member| {
            member.record = update.record.clone();
            member.generation_since = now;
        });
        // A report that a new generation is dead is an accusation like any other, and gets the local suspicion
        // timeout.
        let state = if update.state == State::Dead { State::Suspect } else { update.state };
        self.transition(name, state, Cause::Restarted, &update.reporter);
        self.disseminate(update);
    }

    /// Merges an update about a known generation of a known member.
    fn merge_same_generation(&mut self, update: Update) {
        let Some(member) = self.table.get(&update.record.name) else { return };
        let (known_state, known_incarnation) = (member.state, member.record.incarnation);
        let incarnation = update.record.incarnation;
        let newer = incarnation > known_incarnation;
        if !newer {
            self.queue.received_duplicate(&update, self.max_transmissions());
        }
        match (update.state, known_state) {
            (_, State::Left) => {}
            (State::Left, _) => {
                self.transition(&update.record.name, State::Left, Cause::Left, &update.reporter);
                self.disseminate(update);
            }
            (State::Alive, _) if newer => {
                self.set_incarnation(&update.record);
                self.transition(&update.record.name, State::Alive, Cause::Refuted, &update.reporter);
                self.disseminate(update);
            }
            _ if incarnation < known_incarnation => self.dropped.stale += 1,
            (State::Alive, _) => {}
            (State::Suspect | State::Dead, _) => {
                if newer {
                    self.set_incarnation(&update.record);
                }
                self.accuse(&update.record.name, update.reporter, update.state, Cause::Reported);
            }
        }
    }

    fn set_incarnation(&mut self, record: &Record) {
        self.table.update_record(&record.name, |member| member.record.incarnation = record.incarnation);
    }

    /// Merges an update about the local member.
    pub(super) fn merge_about_self(&mut self, record: &Record, state: State, reporter: &Name) {
        let own = &self.local.record;
        if record.generation > own.generation {
            self.handle_higher_generation(record);
        } else if record.generation == own.generation
            && !self.local.leaving
            && state != State::Alive
            && record.incarnation >= own.incarnation
            && self.features().refutation
        {
            self.refute(record.incarnation, reporter);
        }
    }

    /// Handles a higher generation under the local member's name. Soon after the start, it is that of a previous
    /// process whose wall clock was ahead, so the local member raises its own generation above it. Otherwise another
    /// process has taken over the name.
    fn handle_higher_generation(&mut self, record: &Record) {
        let recently_started = self.now < self.local.started + self.timing().restart_grace;
        if recently_started && !self.local.raised_generation {
            self.local.raised_generation = true;
            let generation = record.generation + 1;
            self.change_own_record(|own| (own.generation, own.incarnation) = (generation, 0));
        } else if self.features().generation_order {
            self.become_superseded(record);
        }
    }

    /// Stops sending permanently, because another process has taken over the local member's name.
    fn become_superseded(&mut self, successor: &Record) {
        self.local.superseded = true;
        self.probing.abandon_current();
        self.queue.clear();
        self.outputs.push_back(Output::Changed(Change {
            name: self.local.record.name.clone(),
            generation: successor.generation,
            from: Some(State::Alive),
            to: State::Dead,
            cause: Cause::Superseded.text(),
            reporter: successor.name.clone(),
        }));
    }

    /// Refutes an accusation with a higher incarnation, and also sends the refutation directly to the accuser.
    fn refute(&mut self, incarnation: u32, accuser: &Name) {
        self.events.refuted += 1;
        self.health.degrade();
        self.change_own_record(|own| own.incarnation = incarnation.saturating_add(1));
        if let Some(accuser) = self.table.record(accuser) {
            let update = self.local.update();
            self.send(accuser.address(), accuser.formats.1, Payload::Gossip, Some(update));
        }
    }

    /// Changes the local member's record and announces it.
    fn change_own_record(&mut self, change: impl FnOnce(&mut Record)) {
        self.table.toggle_digest(self.local.record.digest());
        change(&mut self.local.record);
        self.table.toggle_digest(self.local.record.digest());
        self.disseminate(self.local.update());
        self.gossip(GOSSIP_FANOUT);
    }
}
