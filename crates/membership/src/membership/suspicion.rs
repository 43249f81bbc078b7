//! Suspicion: a member that does not answer is suspect at first, and dead only after a timeout, within which it may
//! refute the suspicion. The more members accuse it, the shorter is the timeout (Lifeguard's dynamic suspicion).

use super::Membership;
use super::table::Member;
use crate::Time;
use crate::change::Cause;
use crate::message::{Name, State, Update};

/// The number of accusers at which the timeout is at its minimum; further ones are ignored.
const MAX_ACCUSERS: usize = 3;
/// Number of times that the local member probes a suspect again.
const MAX_CONFIRMATION_PROBES: u32 = 4;

impl Membership {
    /// Handles an accusation: according to `reporter`, a member is suspect or dead.
    pub(super) fn accuse(&mut self, name: &Name, reporter: Name, accusation: State, cause: Cause) {
        let (features, reported_dead) = (self.features(), accusation == State::Dead);
        let Some(member) = self.table.get(name) else { return };
        if !features.suspicion || (reported_dead && !features.local_suspicion) {
            if member.state != State::Dead {
                self.transition(name, State::Dead, cause, &reporter);
                self.disseminate_state_of(name);
            }
            return;
        }
        match member.state {
            State::Alive => {
                self.transition(name, State::Suspect, cause, &reporter);
                self.disseminate_state_of(name);
            }
            State::Suspect => self.add_accuser(name, reporter),
            State::Dead | State::Left => {}
        }
        if reported_dead {
            self.shorten_to_min_suspicion(name);
        }
    }

    fn add_accuser(&mut self, name: &Name, reporter: Name) {
        let Some(member) = self.table.get_mut(name) else { return };
        if member.accusers.contains(&reporter) || member.accusers.len() >= MAX_ACCUSERS {
            return;
        }
        member.accusers.push(reporter.clone());
        let update = Update { record: member.record.clone(), state: State::Suspect, reporter };
        self.disseminate(update);
        self.shorten_suspicion(name);
    }

    /// Shortens a suspicion to the minimum timeout, because another member reports the member as dead. The state is
    /// not simply taken over: after a partition, the other side regards all members of this side as dead, and those
    /// that are alive must have the time to refute it.
    fn shorten_to_min_suspicion(&mut self, name: &Name) {
        let suspicion = self.timing().min_suspicion;
        if let Some(member) = self.table.get_mut(name).filter(|member| member.state == State::Suspect) {
            member.suspect_until = member.suspect_until.min(member.since + suspicion);
        }
    }

    /// Shortens a suspicion according to the number of accusers.
    pub(super) fn shorten_suspicion(&mut self, name: &Name) {
        let timing = self.timing();
        // In a fleet of three, only one other member can accuse the suspect too.
        let wanted = MAX_ACCUSERS.min(self.table.present_count().saturating_sub(1)).max(1);
        let Some(member) = self.table.get_mut(name) else { return };
        let share = match wanted {
            1 => 1.0,
            _ => ((member.accusers.len() as f64).ln() / (wanted as f64).ln()).min(1.0),
        };
        let timeout = timing.max_suspicion - (timing.max_suspicion - timing.min_suspicion).mul_f64(share);
        member.suspect_until = member.suspect_until.min(member.since + timeout);
    }

    /// Restarts a suspicion because the member answered a probe. The member remains suspect until it refutes the
    /// suspicion, but another pause before its refutation arrives must not add up with the earlier one.
    pub(super) fn restart_suspicion(&mut self, name: &Name, generation: u64) {
        let (now, timing) = (self.now, self.timing());
        if let Some(member) = self.table.get_mut(name)
            && member.state == State::Suspect
            && member.record.generation == generation
        {
            member.since = now;
            member.suspect_until = now + timing.max_suspicion;
            member.confirmation_probes = 0;
            member.accusers.truncate(1);
        }
    }

    /// Extends all suspicions, because the local member was paused for `late_by`.
    pub(super) fn extend_suspicions(&mut self, late_by: Time) {
        let earliest = self.deadline + late_by + self.timing().min_suspicion;
        let suspects: Vec<Name> = self.table.suspects().cloned().collect();
        for name in suspects {
            if let Some(member) = self.table.get_mut(&name) {
                member.suspect_until = (member.suspect_until + late_by).max(earliest);
            }
        }
    }

    /// When the next suspect is due to be probed again or to be declared dead.
    pub(super) fn next_suspicion_at(&self) -> Option<Time> {
        let suspects = self.table.suspects().filter_map(|name| self.table.get(name));
        suspects.map(|member| self.suspicion_due(member)).min()
    }

    /// When a suspect is due to be probed again or to be declared dead.
    fn suspicion_due(&self, member: &Member) -> Time {
        let timing = self.timing();
        let probes_left = match self.features().confirmation_probes {
            true => MAX_CONFIRMATION_PROBES.saturating_sub(member.confirmation_probes),
            false => 0,
        };
        if probes_left == 0 {
            return member.suspect_until;
        }
        let interval = timing.min_suspicion / MAX_CONFIRMATION_PROBES;
        let next_probe = member.suspect_until.saturating_sub(interval * probes_left);
        next_probe.max(member.last_confirmation_probe + timing.direct_timeout).min(member.suspect_until)
    }

    /// Probes the suspects again, or declares them dead, that are due.
    pub(super) fn check_suspicions(&mut self) {
        let now = self.now;
        let is_due = |member: &Member| self.suspicion_due(member) <= now;
        let due = self.table.suspects().filter(|name| self.table.get(name).is_some_and(is_due));
        for name in due.cloned().collect::<Vec<Name>>() {
            if self.send_confirmation_probe(&name) {
                continue;
            }
            // An isolated member cannot tell dead members from those that it does not reach.
            if self.is_isolated() {
                let until = now + self.timing().min_suspicion;
                if let Some(member) = self.table.get_mut(&name) {
                    member.suspect_until = until;
                }
                continue;
            }
            let reporter = self.local.record.name.clone();
            self.transition(&name, State::Dead, Cause::SuspicionExpired, &reporter);
            self.disseminate_state_of(&name);
        }
    }

    /// Probes a suspect again, if it has probes left; returns whether it did. Updates are transmitted a limited
    /// number of times, so the suspect's refutation may have reached all members but the local one.
    fn send_confirmation_probe(&mut self, name: &Name) -> bool {
        let (now, direct) = (self.now, self.timing().direct_timeout);
        let sequence = self.probing.next_sequence();
        if !self.features().confirmation_probes {
            return false;
        }
        let Some(member) = self.table.get_mut(name) else { return false };
        if member.confirmation_probes >= MAX_CONFIRMATION_PROBES {
            return false;
        }
        member.confirmation_probes += 1;
        member.last_confirmation_probe = now;
        // The suspect gets the time to answer the first and the last probe, however short the suspicion has become.
        if [1, MAX_CONFIRMATION_PROBES].contains(&member.confirmation_probes) {
            member.suspect_until = member.suspect_until.max(now + direct);
        }
        if member.suspect_until <= now + direct {
            member.confirmation_probes = MAX_CONFIRMATION_PROBES;
        }
        let record = member.record.clone();
        self.send_ping(&record, sequence);
        true
    }
}
