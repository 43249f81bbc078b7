//! The classes in force and those being phased out, and the number that a request's class has. No I/O.

use cometcroft::{ClassId, Effect, RequestClass};
use std::time::{Duration, Instant};

/// Time after a change during which requests arrive in the old form and in the new one. New settings are in use
/// after 1.2 s, and a request sent until then may arrive late.
pub const CHANGE_OVERLAP: Duration = Duration::from_secs(4);

/// The form of a request, which shows what class its sender takes it for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestForm {
    /// A GET without a body.
    Plain,
    /// A POST with an idempotency key.
    Keyed,
    /// A POST without an idempotency key.
    Unkeyed,
}

impl RequestForm {
    /// The form of a request; `None` if no class has that form.
    pub fn of(method: &[u8], body: bool, key: Option<&[u8]>) -> Option<RequestForm> {
        match (method, key) {
            (b"GET", _) if !body => Some(RequestForm::Plain),
            // A keyed request without its key is as unsafe to retry as any other.
            (b"POST", Some(key)) => (!key.is_empty()).then_some(RequestForm::Keyed),
            (b"POST", None) => Some(RequestForm::Unkeyed),
            _ => None,
        }
    }

    fn expected(effect: Effect) -> RequestForm {
        match effect {
            Effect::Safe => RequestForm::Plain,
            Effect::Keyed { .. } => RequestForm::Keyed,
            Effect::Unsafe => RequestForm::Unkeyed,
        }
    }
}

/// What the class of a slot applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// The class as one version of the settings states it.
    Configured,
    /// While versions overlap: what all of them permit.
    Overlap,
    /// While versions overlap and one of them requires keys: requests without a key.
    OverlapWithoutKey,
}

#[derive(Debug, Clone)]
struct Slot {
    name: String,
    class: RequestClass,
    role: Role,
    /// Position in the order in which slots were filled.
    sequence: u64,
    /// End of the time for which the class applies to new requests; `None` while it is configured.
    valid_until: Option<Instant>,
    /// Number of open requests with this class number.
    held: usize,
}

impl Slot {
    fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_none_or(|until| now < until)
    }

    fn is_reusable(&self, now: Instant) -> bool {
        self.held == 0 && !self.is_valid(now)
    }

    fn is_current(&self) -> bool {
        self.role == Role::Configured && self.valid_until.is_none()
    }
}

/// All classes by number. A number stands for one class as long as any request has it.
#[derive(Debug, Default)]
pub struct ClassRegistry {
    slots: Vec<Slot>,
    next_sequence: u64,
}

impl ClassRegistry {
    /// Creates a registry of these classes, numbered in their order.
    pub fn new(names: &[String], classes: &[RequestClass]) -> ClassRegistry {
        let mut registry = ClassRegistry::default();
        for (name, class) in names.iter().zip(classes) {
            let slot = registry.new_slot(name, class.clone(), Role::Configured, None);
            registry.slots.push(slot);
        }
        registry
    }

    /// The class with this number.
    pub fn class(&self, number: ClassId) -> Option<&RequestClass> {
        self.slots.get(number.0).map(|slot| &slot.class)
    }

    /// Puts new settings in force: these classes apply from `now` on. Returns, for each number, the one that it
    /// continues: itself if nothing changed, the former class of the same name, or none.
    pub fn apply_settings(
        &mut self,
        names: &[String],
        classes: &[RequestClass],
        now: Instant,
    ) -> Vec<Option<ClassId>> {
        let mut continued: Vec<_> = (0..self.slots.len()).map(|number| Some(ClassId(number))).collect();
        for slot in self.slots.iter_mut().filter(|slot| slot.is_current()) {
            let unchanged = names.iter().zip(classes).any(|(n, c)| *n == slot.name && *c == slot.class);
            if !unchanged {
                slot.valid_until = Some(now + CHANGE_OVERLAP);
            }
        }
        for (name, class) in names.iter().zip(classes) {
            if !self.slots.iter().any(|slot| slot.is_current() && slot.name == *name) {
                self.add_version(name, class, now, &mut continued);
            }
        }
        continued
    }

    /// Adds a class that is new or has changed, and what it has in common with the versions that it overlaps.
    fn add_version(
        &mut self,
        name: &str,
        class: &RequestClass,
        now: Instant,
        continued: &mut Vec<Option<ClassId>>,
    ) {
        let previous = self.newest_version(name.as_bytes(), now);
        let overlapped: Vec<RequestClass> =
            self.versions(name.as_bytes(), now).map(|(_, slot)| slot.class.clone()).collect();
        // The former overlaps do not take this version into account.
        for slot in self.slots.iter_mut().filter(|slot| slot.name == name && slot.role != Role::Configured) {
            slot.valid_until = Some(now);
        }
        let slot = self.new_slot(name, class.clone(), Role::Configured, None);
        self.insert(slot, previous, continued, now);
        let common = overlapped.iter().fold(class.clone(), |common, version| version.intersection(&common));
        let until = Some(now + CHANGE_OVERLAP);
        let some_take_no_key = overlapped.iter().chain([class]).any(|version| version.effect == Effect::Safe);
        if some_take_no_key && matches!(common.effect, Effect::Keyed { .. }) {
            // A request without a key must not be retried while a version requires keys.
            let class = RequestClass { effect: Effect::Unsafe, ..common.clone() };
            let slot = self.new_slot(name, class, Role::OverlapWithoutKey, until);
            self.insert(slot, previous, continued, now);
        }
        if common != *class {
            let slot = self.new_slot(name, common, Role::Overlap, until);
            self.insert(slot, previous, continued, now);
        }
    }

    fn new_slot(
        &mut self,
        name: &str,
        class: RequestClass,
        role: Role,
        valid_until: Option<Instant>,
    ) -> Slot {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        Slot { name: name.to_owned(), class, role, sequence, valid_until, held: 0 }
    }

    /// Stores a class under a number that nothing refers to any more, or under a new one.
    fn insert(
        &mut self,
        slot: Slot,
        continues: Option<ClassId>,
        continued: &mut Vec<Option<ClassId>>,
        now: Instant,
    ) {
        match self.slots.iter().position(|slot| slot.is_reusable(now)) {
            Some(free) => (self.slots[free], continued[free]) = (slot, continues),
            None => {
                self.slots.push(slot);
                continued.push(continues);
            }
        }
    }

    /// The slots with this name that apply to requests that arrive now.
    fn valid_slots(&self, name: &[u8], now: Instant) -> impl Iterator<Item = (ClassId, &Slot)> {
        let numbered = self.slots.iter().enumerate().map(|(number, slot)| (ClassId(number), slot));
        numbered.filter(move |(_, slot)| slot.name.as_bytes() == name && slot.is_valid(now))
    }

    /// The versions of a class that overlap now.
    fn versions(&self, name: &[u8], now: Instant) -> impl Iterator<Item = (ClassId, &Slot)> {
        self.valid_slots(name, now).filter(|(_, slot)| slot.role == Role::Configured)
    }

    fn newest_version(&self, name: &[u8], now: Instant) -> Option<ClassId> {
        self.versions(name, now).max_by_key(|(_, slot)| slot.sequence).map(|(number, _)| number)
    }

    /// The number of a request's class, by name and form of the request. The form has to be that of one of the
    /// versions that overlap now; the class is what all of them permit.
    pub fn find(&self, name: &[u8], form: RequestForm, now: Instant) -> Option<ClassId> {
        if !self.versions(name, now).any(|(_, slot)| RequestForm::expected(slot.class.effect) == form) {
            return None;
        }
        let overlap = |role| self.valid_slots(name, now).find(|(_, slot)| slot.role == role);
        let without_key = (form == RequestForm::Plain).then(|| overlap(Role::OverlapWithoutKey)).flatten();
        let overlap = without_key.or_else(|| overlap(Role::Overlap)).map(|(number, _)| number);
        overlap.or_else(|| self.newest_version(name, now))
    }

    /// Marks the number as used by one more request, until [`ClassRegistry::release`].
    pub fn hold(&mut self, class: ClassId) {
        self.slots.get_mut(class.0).into_iter().for_each(|slot| slot.held += 1);
    }

    /// Records that a request with this number has ended.
    pub fn release(&mut self, class: ClassId) {
        self.slots.get_mut(class.0).into_iter().for_each(|slot| slot.held = slot.held.saturating_sub(1));
    }

    /// All classes by number, including those being phased out.
    pub fn classes(&self) -> Vec<RequestClass> {
        self.slots.iter().map(|slot| slot.class.clone()).collect()
    }

    /// The names of all classes by number.
    pub fn names(&self) -> Vec<String> {
        self.slots.iter().map(|slot| slot.name.clone()).collect()
    }
}
