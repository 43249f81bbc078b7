//! Suspicion: a member that does not answer is suspect first, and dead only after a timeout, which is the shorter the more
//! members accuse it (Lifeguard's dynamic suspicion). Until then it may refute.

use super::Membership;
use super::table::Member;
use crate::Time;
use crate::change::Cause;
use crate::message::{Name, State, Update};

/// With this many accusers the timeout is at its shortest.
const MAX_ACCUSERS: usize = 3;
/// The local member probes a suspect again this many times.
const MAX_CONFIRMATION_PROBES: u32 = 4;

impl Membership {
    /// Handles an accusation: `reporter` holds a member for suspect or dead.
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
            self.shorten_to_full_suspicion(name);
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

    /// A member that another holds for dead gets no more than the shortest timeout. The other side of a partition holds all
    /// of this side for dead; whoever lives still has the time to refute it.
    fn shorten_to_full_suspicion(&mut self, name: &Name) {
        let suspicion = self.timing().min_suspicion;
        if let Some(member) = self.table.get_mut(name).filter(|member| member.state == State::Suspect) {
            member.suspect_until = member.suspect_until.min(member.since + suspicion);
        }
    }

    /// Shortens a suspicion by the number of its accusers.
    pub(super) fn shorten_suspicion(&mut self, name: &Name) {
        let timing = self.timing();
        // In a fleet of three only one other member can agree.
        let wanted = MAX_ACCUSERS.min(self.table.present_count().saturating_sub(1)).max(1);
        let Some(member) = self.table.get_mut(name) else { return };
        let share = match wanted {
            1 => 1.0,
            _ => ((member.accusers.len() as f64).ln() / (wanted as f64).ln()).min(1.0),
        };
        let timeout = timing.max_suspicion - (timing.max_suspicion - timing.min_suspicion).mul_f64(share);
        member.suspect_until = member.suspect_until.min(member.since + timeout);
    }

    /// Restarts a suspicion because the member answered a probe. It stays suspect until it refutes; but a pause that it makes
    /// before its refutation arrives must not be added to the one before.
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

    /// Extends all suspicions because the local member was paused for `late_by`.
    pub(super) fn extend_suspicions(&mut self, late_by: Time) {
        let earliest = self.deadline + late_by + self.timing().min_suspicion;
        let suspects: Vec<Name> = self.table.suspects().cloned().collect();
        for name in suspects {
            if let Some(member) = self.table.get_mut(&name) {
                member.suspect_until = (member.suspect_until + late_by).max(earliest);
            }
        }
    }

    /// When the next suspect is to be probed again or times out.
    pub(super) fn next_suspicion_at(&self) -> Option<Time> {
        let suspects = self.table.suspects().filter_map(|name| self.table.get(name));
        suspects.map(|member| self.suspicion_due(member)).min()
    }

    /// When a suspect is to be probed again or times out.
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

    /// Probes suspects again, or declares them dead, as is due.
    pub(super) fn check_suspicions(&mut self) {
        let now = self.now;
        let is_due = |member: &Member| self.suspicion_due(member) <= now;
        let due = self.table.suspects().filter(|name| self.table.get(name).is_some_and(is_due));
        for name in due.cloned().collect::<Vec<Name>>() {
            if self.send_confirmation_probe(&name) {
                continue;
            }
            // A member that nobody answers cannot tell dead members from those that it does not reach.
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

    /// Probes a suspect again if it has probes left; returns whether it did. Updates are passed on a limited number of times,
    /// so the suspect's refutation may have reached all members but the local one.
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
        // The first and the last probe have the time to be answered, however short the suspicion has become.
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
