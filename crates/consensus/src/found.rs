//! A founding: by an operator's word alone the log begins anew, from the newest copy that is reached.

use crate::chain::{Council, Epoch, FOUNDER, Place};
use crate::config::{Config, Time};
use crate::error::ConsensusError;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Answers are gathered for so long, the newest copy is fetched within this, and voices come within that.
const GATHER: Duration = Duration::from_millis(800);
const FETCH: Duration = Duration::from_secs(3);
const VOICES: Duration = Duration::from_millis(1500);
/// Questions are said again.
const AGAIN: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum Stage {
    Gather,
    Fetch,
    Voices(Council),
}

/// What a founder wants done.
pub(crate) enum Step {
    Nothing,
    /// Ask everybody where they stand.
    Ask,
    /// Ask this one for its copy.
    Pull(SocketAddrV4),
    /// Ask the keepers for their voices.
    Voices(Council),
    /// It is founded.
    Founded(Council),
    Failed(ConsensusError),
}

/// A founding under way.
#[derive(Debug)]
pub(crate) struct Founder {
    pub nonce: u64,
    began: Time,
    asked: Option<Time>,
    stage: Stage,
    /// By place: the start, and the last founding that it knows of or gave its voice.
    keepers: BTreeMap<usize, (u64, u64)>,
    newest: (Place, SocketAddrV4),
    leads: Option<u8>,
    voices: BTreeSet<usize>,
    against: BTreeSet<usize>,
}

impl Founder {
    pub fn new(now: Time, nonce: u64, own: (Place, SocketAddrV4)) -> Founder {
        Founder {
            nonce,
            began: now,
            asked: None,
            stage: Stage::Gather,
            keepers: BTreeMap::new(),
            newest: own,
            leads: None,
            voices: BTreeSet::new(),
            against: BTreeSet::new(),
        }
    }

    pub fn counted(
        &mut self,
        place: Option<usize>,
        from: (SocketAddrV4, u64),
        at: Place,
        told: (Option<u8>, u64),
    ) {
        if !matches!(self.stage, Stage::Gather) {
            return;
        }
        if let Some(place) = place {
            self.keepers.insert(place, (from.1, told.1.max(at.founding)));
        }
        if at.beyond(self.newest.0) {
            self.newest = (at, from.0);
        }
        self.leads = self.leads.or(told.0);
    }

    pub fn voice(&mut self, place: usize, start: u64, founding: u64, given: bool) {
        if let Stage::Voices(council) = &self.stage
            && council.epoch.founding == founding
            && council.seats.get(place) == Some(&start)
        {
            if given {
                self.voices.insert(place)
            } else {
                self.against.insert(place)
            };
        }
    }

    pub fn step(&mut self, config: &Config, now: Time, own: Place) -> Step {
        let again = self.asked.is_none_or(|asked| asked + AGAIN <= now);
        if again {
            self.asked = Some(now);
        }
        match &self.stage {
            Stage::Gather if now < self.began + GATHER => {
                if again {
                    Step::Ask
                } else {
                    Step::Nothing
                }
            }
            Stage::Gather => {
                let reached = self.keepers.len();
                if reached < config.majority() {
                    return Step::Failed(ConsensusError::NoMajority { reached, of: config.keepers.len() });
                }
                // Danger: to found beside keepers that agree would throw away what they go on to agree on.
                if let Some(leads) = self.leads {
                    return Step::Failed(ConsensusError::HasLeader(usize::from(leads)));
                }
                (self.stage, self.began, self.asked) = (Stage::Fetch, now, None);
                Step::Nothing
            }
            Stage::Fetch if self.newest.0.beyond(own) => {
                if now >= self.began + FETCH {
                    return Step::Failed(ConsensusError::CopyNotReached(self.newest.0.index));
                }
                if again { Step::Pull(self.newest.1) } else { Step::Nothing }
            }
            Stage::Fetch => {
                let known = self.keepers.values().map(|(_, founding)| *founding).max().unwrap_or(0);
                let times = (known.max(own.founding) >> FOUNDER) + 1;
                let founding = times << FOUNDER | self.nonce & ((1 << FOUNDER) - 1);
                let start = |place| self.keepers.get(&place).map_or(0, |(start, _)| *start);
                let seats = (0..config.keepers.len()).map(start).collect();
                let council = Council { epoch: Epoch { founding, number: 0 }, seats };
                (self.stage, self.began, self.asked) = (Stage::Voices(council), now, None);
                Step::Nothing
            }
            Stage::Voices(council) => {
                if self.voices.len() >= config.majority() {
                    return Step::Founded(council.clone());
                }
                if self.against.len() > config.keepers.len() - config.majority() || now >= self.began + VOICES
                {
                    return Step::Failed(ConsensusError::Contested);
                }
                if again { Step::Voices(council.clone()) } else { Step::Nothing }
            }
        }
    }
}
