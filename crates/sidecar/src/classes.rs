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

/// Rank of an effect: the higher, the less a request may be run again.
fn strictness(effect: Effect) -> u8 {
    match effect {
        Effect::Safe => 0,
        Effect::Keyed { .. } => 1,
        Effect::Unsafe => 2,
    }
}

#[derive(Debug, Clone)]
struct Slot {
    name: String,
    class: RequestClass,
    /// Time at which the class was removed from the settings.
    retired: Option<Instant>,
    /// Applies to requests without a key while a class changes between safe and keyed; no form matches it
    /// directly.
    interim: bool,
    /// Number of open requests with this class number.
    held: usize,
}

/// All classes by number. A number stands for one class as long as any request has it.
#[derive(Debug, Default)]
pub struct ClassRegistry {
    slots: Vec<Slot>,
}

impl ClassRegistry {
    /// Creates a registry of these classes, numbered in their order.
    pub fn new(names: &[String], classes: &[RequestClass]) -> ClassRegistry {
        let slots = names.iter().zip(classes).map(|(name, class)| Slot::of(name, class.clone()));
        ClassRegistry { slots: slots.collect() }
    }

    /// Puts new settings in force: these classes apply from `now` on. Returns, for each number, the one that it
    /// continues: itself if nothing changed, the former class of the same name, or none.
    pub fn apply_settings(
        &mut self,
        names: &[String],
        classes: &[RequestClass],
        now: Instant,
    ) -> Vec<Option<ClassId>> {
        let before = self.slots.len();
        let mut continued: Vec<_> = (0..before).map(|number| Some(ClassId(number))).collect();
        for (number, slot) in self.slots.iter_mut().enumerate().filter(|(_, s)| s.retired.is_none()) {
            let stays = names.iter().zip(classes).any(|(n, c)| *n == slot.name && *c == slot.class);
            if !stays {
                slot.retired = Some(now);
            }
            continued[number] = Some(ClassId(number));
        }
        for (name, class) in names.iter().zip(classes) {
            if self.slots.iter().any(|s| s.retired.is_none() && s.name == *name) {
                continue;
            }
            let previous =
                self.slots.iter().rposition(|s| s.name == *name && s.retired == Some(now) && !s.interim);
            let previous_effect = previous.map(|previous| self.slots[previous].class.effect);
            self.insert(Slot::of(name, class.clone()), previous.map(ClassId), &mut continued, now);
            let strictness_sum = previous_effect.map(|effect| strictness(effect) + strictness(class.effect));
            if strictness_sum == Some(1) {
                // A request without a key must not be retried while its class requires keys, so it is treated
                // as unsafe.
                let class = RequestClass { effect: Effect::Unsafe, ..class.clone() };
                let slot = Slot { retired: Some(now), interim: true, ..Slot::of(name, class) };
                self.insert(slot, previous.map(ClassId), &mut continued, now);
            }
        }
        continued
    }

    /// Stores a class under a number that nothing refers to any more, or under a new one.
    fn insert(
        &mut self,
        slot: Slot,
        continues: Option<ClassId>,
        continued: &mut Vec<Option<ClassId>>,
        now: Instant,
    ) {
        let reusable = |s: &Slot| s.held == 0 && s.retired.is_some_and(|at| now >= at + CHANGE_OVERLAP);
        match self.slots.iter().position(reusable) {
            Some(free) => (self.slots[free], continued[free]) = (slot, continues),
            None => {
                self.slots.push(slot);
                continued.push(continues);
            }
        }
    }

    /// The number of a request's class, by name and form of the request.
    pub fn find(&self, name: &[u8], form: RequestForm, now: Instant) -> Option<ClassId> {
        let with_name = || self.slots.iter().enumerate().filter(|(_, s)| s.name.as_bytes() == name);
        let current = |s: &Slot| s.retired.is_none_or(|at| now < at + CHANGE_OVERLAP);
        let valid = || with_name().filter(|(_, s)| current(s) && !s.interim);
        if !valid().any(|(_, s)| RequestForm::expected(s.class.effect) == form) {
            return None;
        }
        let strictest = valid().max_by_key(|(_, s)| (strictness(s.class.effect), s.retired));
        let strictest = strictest.filter(|(_, s)| {
            s.class.effect == Effect::Unsafe || RequestForm::expected(s.class.effect) == form
        });
        let found = strictest.or_else(|| with_name().find(|(_, s)| s.interim && current(s)));
        found.map(|(number, _)| ClassId(number))
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

impl Slot {
    fn of(name: &str, class: RequestClass) -> Slot {
        Slot { name: name.to_owned(), class, retired: None, interim: false, held: 0 }
    }
}
