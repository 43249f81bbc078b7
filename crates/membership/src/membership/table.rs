//! The member table: all known members but the local one, with counts and a digest that are kept up to date.

use crate::Time;
use crate::message::{Name, Record, State};
use std::collections::{BTreeMap, BTreeSet};

/// A known member and its state.
#[derive(Debug)]
pub(super) struct Member {
    pub record: Record,
    pub state: State,
    /// When the member entered its state, or its suspicion was last restarted.
    pub since: Time,
    /// When this generation became known.
    pub generation_since: Time,
    /// When the last message sent by the member itself arrived.
    pub last_received: Option<Time>,
    /// When the member was last informed that it is accused.
    pub last_informed: Option<Time>,
    /// The accusers of a suspect.
    pub accusers: Vec<Name>,
    /// When the suspicion of a suspect times out.
    pub suspect_until: Time,
    /// How often the local member has probed a suspect again.
    pub confirmation_probes: u32,
    /// When the last of these probes was sent.
    pub last_confirmation_probe: Time,
}

impl Member {
    /// A member that becomes known now. Its state is left, which enters into no count, until
    /// [`MemberTable::set_state`] sets its first one.
    pub fn new(record: Record, now: Time) -> Member {
        Member {
            record,
            state: State::Left,
            since: now,
            generation_since: now,
            last_received: None,
            last_informed: None,
            accusers: Vec::new(),
            suspect_until: now,
            confirmation_probes: 0,
            last_confirmation_probe: now,
        }
    }

    /// Whether the member is present, that is alive or suspect.
    pub fn is_present(&self) -> bool {
        self.state.is_present()
    }
}

/// All known members but the local one.
#[derive(Debug)]
pub(super) struct MemberTable {
    members: BTreeMap<Name, Member>,
    suspects: BTreeSet<Name>,
    dead: BTreeSet<Name>,
    present: usize,
    present_by_tier: BTreeMap<u8, u32>,
    digest: u64,
}

impl MemberTable {
    /// A table without members. `digest` is that of the local member's record, which the digest of the view includes.
    pub fn new(digest: u64) -> MemberTable {
        MemberTable {
            members: BTreeMap::new(),
            suspects: BTreeSet::new(),
            dead: BTreeSet::new(),
            present: 0,
            present_by_tier: BTreeMap::new(),
            digest,
        }
    }

    /// A member by name.
    pub fn get(&self, name: &Name) -> Option<&Member> {
        self.members.get(name)
    }

    /// A member by name, to change fields that enter into no count or digest. Records are changed by
    /// [`MemberTable::update_record`], states by [`MemberTable::set_state`].
    pub fn get_mut(&mut self, name: &Name) -> Option<&mut Member> {
        self.members.get_mut(name)
    }

    /// A copy of a member's record.
    pub fn record(&self, name: &Name) -> Option<Record> {
        self.members.get(name).map(|member| member.record.clone())
    }

    /// Whether a member is known.
    pub fn contains(&self, name: &Name) -> bool {
        self.members.contains_key(name)
    }

    /// All members, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The names of all suspects, ordered.
    pub fn suspects(&self) -> impl Iterator<Item = &Name> {
        self.suspects.iter()
    }

    /// The number of suspects.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// The number of dead members.
    pub fn dead_count(&self) -> usize {
        self.dead.len()
    }

    /// The dead member at an index in the order of names.
    pub fn nth_dead(&self, index: usize) -> Option<&Member> {
        self.dead.iter().nth(index).and_then(|name| self.members.get(name))
    }

    /// The number of present members, without the local one.
    pub fn present_count(&self) -> usize {
        self.present
    }

    /// The number of present members of a tier, without the local one.
    pub fn present_in_tier(&self, tier: u8) -> u32 {
        self.present_by_tier.get(&tier).copied().unwrap_or(0)
    }

    /// The digest of the view: all present members and the local one.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Adds a record's digest to the view's digest, or removes it. The view's digest is the exclusive or of its
    /// records' digests.
    pub fn toggle_digest(&mut self, digest: u64) {
        self.digest ^= digest;
    }

    /// Adds a member. If the table already holds `capacity` members, one that has left is removed; returns `false` if
    /// there is none. Members in other states are kept, so that a flood of new members cannot displace them.
    pub fn insert(&mut self, record: Record, now: Time, capacity: usize) -> bool {
        if self.members.len() >= capacity {
            let has_left = |(_, member): &(&Name, &Member)| member.state == State::Left;
            let Some(left) = self.members.iter().find(has_left).map(|(name, _)| name.clone()) else {
                return false;
            };
            self.members.remove(&left);
        }
        self.members.insert(record.name.clone(), Member::new(record, now));
        true
    }

    /// Changes a member's record, and updates counts and digest.
    pub fn update_record(&mut self, name: &Name, change: impl FnOnce(&mut Member)) {
        let Some(member) = self.members.get_mut(name) else { return };
        let (old_digest, old_tier) = (member.record.digest(), member.record.tier);
        change(member);
        if member.is_present() {
            self.digest ^= old_digest ^ member.record.digest();
            *self.present_by_tier.entry(old_tier).or_default() -= 1;
            *self.present_by_tier.entry(member.record.tier).or_default() += 1;
        }
    }

    /// Changes a member's state, clears its accusers, and updates counts and digest; returns the previous state.
    pub fn set_state(&mut self, name: &Name, state: State) -> Option<State> {
        let member = self.members.get_mut(name)?;
        let was_present = member.is_present();
        let previous = std::mem::replace(&mut member.state, state);
        member.accusers.clear();
        if was_present != member.is_present() {
            self.digest ^= member.record.digest();
            let in_tier = self.present_by_tier.entry(member.record.tier).or_default();
            if was_present {
                self.present -= 1;
                *in_tier -= 1;
            } else {
                self.present += 1;
                *in_tier += 1;
            }
        }
        set_membership(&mut self.suspects, name, state == State::Suspect);
        set_membership(&mut self.dead, name, state == State::Dead);
        Some(previous)
    }

    /// Removes the members that have been dead, or left the fleet, at least `after` ago.
    pub fn remove_absent(&mut self, now: Time, after: Time) {
        let expired = |member: &&Member| !member.is_present() && member.since + after <= now;
        let names: Vec<Name> = self.iter().filter(expired).map(|member| member.record.name.clone()).collect();
        for name in names {
            self.members.remove(&name);
            self.dead.remove(&name);
        }
    }
}

fn set_membership(set: &mut BTreeSet<Name>, name: &Name, is_member: bool) {
    if is_member {
        set.insert(name.clone());
    } else {
        set.remove(name);
    }
}
