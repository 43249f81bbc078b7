//! State changes of members, and their consequences.

use super::Membership;
use crate::change::{Cause, Change, Output};
use crate::message::{Name, State};

impl Membership {
    /// Sets a member's state, reports the change, and schedules its consequences.
    pub(super) fn transition(&mut self, name: &Name, to: State, cause: Cause, reporter: &Name) {
        let Some(previous) = self.table.set_state(name, to) else { return };
        self.enter_state(name, previous, to, reporter);
        if to == State::Dead || previous == State::Dead {
            // Dead members are contacted soon after the change, and less and less often while nothing changes.
            self.reconnect.hasten(self.now, self.timing().max_pause / 2);
        }
        if previous != to || matches!(cause, Cause::Discovered | Cause::Restarted) {
            self.anti_entropy.view_changed = true;
            let from = (cause != Cause::Discovered).then_some(previous);
            self.report_change(name, from, to, cause, reporter);
        }
        if to == State::Suspect {
            self.shorten_suspicion(name);
        }
    }

    /// Sets the time at which the state was entered, and for a suspicion its accuser and timeout.
    fn enter_state(&mut self, name: &Name, previous: State, to: State, reporter: &Name) {
        let (now, timeout) = (self.now, self.timing().max_suspicion);
        let Some(member) = self.table.get_mut(name) else { return };
        if to == State::Suspect {
            member.accusers.push(reporter.clone());
            member.suspect_until = now + timeout;
            member.confirmation_probes = 0;
            member.last_confirmation_probe = now;
        }
        if previous != to {
            member.since = now;
        }
    }

    fn report_change(&mut self, name: &Name, from: Option<State>, to: State, cause: Cause, reporter: &Name) {
        let Some(member) = self.table.get(name) else { return };
        let change = Change {
            name: name.clone(),
            generation: member.record.generation,
            from,
            to,
            cause: cause.text(),
            reporter: reporter.clone(),
        };
        self.outputs.push_back(Output::Changed(change));
    }
}
