//! The classes in force and those on their way out: which number a request's class has. No I/O.

use cometcroft::{ClassId, Effect, RequestClass};
use std::time::{Duration, Instant};

/// For so long around a change requests come in the old form and in the new. New settings are in use after 1.2 s, and
/// what was sent until then may be slow to come.
pub const CHANGE_OVERLAP: Duration = Duration::from_secs(4);

/// The form of a request, which shows what its sender takes its class for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestForm {
    /// A GET without a body.
    Plain,
    /// A POST with a key.
    Keyed,
    /// A POST without one.
    Unkeyed,
}

impl RequestForm {
    /// The form of a request; none where it has that of no class.
    pub fn of(method: &[u8], body: bool, key: Option<&[u8]>) -> Option<RequestForm> {
        match (method, key) {
            (b"GET", _) if !body => Some(RequestForm::Plain),
            // Danger: a keyed request without its key is as unsafe to repeat as any.
            (b"POST", Some(key)) => (!key.is_empty()).then_some(RequestForm::Keyed),
            (b"POST", None) => Some(RequestForm::Unkeyed),
            _ => None,
        }
    }

    fn due(effect: Effect) -> RequestForm {
        match effect {
            Effect::Safe => RequestForm::Plain,
            Effect::Keyed { .. } => RequestForm::Keyed,
            Effect::Unsafe => RequestForm::Unkeyed,
        }
    }
}

/// The less may be done again, the stricter.
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
    /// Since when it is on its way out.
    retired: Option<Instant>,
    /// Stands for requests whose form is that of neither; it is found by no form of its own.
    interim: bool,
    /// Requests that have this number.
    held: usize,
}

/// All classes by number. A number stands for one class as long as anything refers to it.
#[derive(Debug, Default)]
pub struct ClassRegistry {
    slots: Vec<Slot>,
}

impl ClassRegistry {
    /// A register of these classes, numbered in their order.
    pub fn new(names: &[String], classes: &[RequestClass]) -> ClassRegistry {
        let slots = names.iter().zip(classes).map(|(name, class)| Slot::of(name, class.clone()));
        ClassRegistry { slots: slots.collect() }
    }

    /// New settings: these classes are in force from `now` on. For each number, the one that it continues: itself where
    /// nothing changes, the class of its name as it was before, or none.
    pub fn apply_settings(
        &mut self,
        names: &[String],
        classes: &[RequestClass],
        now: Instant,
    ) -> Vec<Option<ClassId>> {
        let before = self.slots.len();
        let mut from: Vec<_> = (0..before).map(|number| Some(ClassId(number))).collect();
        for (number, slot) in self.slots.iter_mut().enumerate().filter(|(_, s)| s.retired.is_none()) {
            let stays = names.iter().zip(classes).any(|(n, c)| *n == slot.name && *c == slot.class);
            if !stays {
                slot.retired = Some(now);
            }
            from[number] = Some(ClassId(number));
        }
        for (name, class) in names.iter().zip(classes) {
            if self.slots.iter().any(|s| s.retired.is_none() && s.name == *name) {
                continue;
            }
            let old =
                self.slots.iter().rposition(|s| s.name == *name && s.retired == Some(now) && !s.interim);
            let changed = old.map(|old| self.slots[old].class.effect);
            self.place(Slot::of(name, class.clone()), old.map(ClassId), &mut from, now);
            let pair = changed.map(|effect| strictness(effect) + strictness(class.effect));
            if pair == Some(1) {
                // Danger: one that comes without a key while its class asks for keys is repeated by nobody's leave.
                let class = RequestClass { effect: Effect::Unsafe, ..class.clone() };
                let slot = Slot { retired: Some(now), interim: true, ..Slot::of(name, class) };
                self.place(slot, old.map(ClassId), &mut from, now);
            }
        }
        from
    }

    /// Puts a class under a number that nothing refers to any more, or under a new one.
    fn place(
        &mut self,
        slot: Slot,
        continues: Option<ClassId>,
        from: &mut Vec<Option<ClassId>>,
        now: Instant,
    ) {
        let over = |s: &Slot| s.held == 0 && s.retired.is_some_and(|at| now >= at + CHANGE_OVERLAP);
        match self.slots.iter().position(over) {
            Some(free) => (self.slots[free], from[free]) = (slot, continues),
            None => {
                self.slots.push(slot);
                from.push(continues);
            }
        }
    }

    /// The number of a request's class, by the name and the form that it came with.
    pub fn find(&self, name: &[u8], form: RequestForm, now: Instant) -> Option<ClassId> {
        let of_name = || self.slots.iter().enumerate().filter(|(_, s)| s.name.as_bytes() == name);
        let current = |s: &Slot| s.retired.is_none_or(|at| now < at + CHANGE_OVERLAP);
        let valid = || of_name().filter(|(_, s)| current(s) && !s.interim);
        if !valid().any(|(_, s)| RequestForm::due(s.class.effect) == form) {
            return None;
        }
        let strict = valid().max_by_key(|(_, s)| (strictness(s.class.effect), s.retired));
        let strict = strict
            .filter(|(_, s)| s.class.effect == Effect::Unsafe || RequestForm::due(s.class.effect) == form);
        let found = strict.or_else(|| of_name().find(|(_, s)| s.interim && current(s)));
        found.map(|(number, _)| ClassId(number))
    }

    /// A request has this number until [`Register::release`].
    pub fn hold(&mut self, class: ClassId) {
        self.slots.get_mut(class.0).into_iter().for_each(|slot| slot.held += 1);
    }

    /// A request that had this number is over.
    pub fn release(&mut self, class: ClassId) {
        self.slots.get_mut(class.0).into_iter().for_each(|slot| slot.held = slot.held.saturating_sub(1));
    }

    /// All classes by number, those on their way out too.
    pub fn classes(&self) -> Vec<RequestClass> {
        self.slots.iter().map(|slot| slot.class.clone()).collect()
    }

    /// Their names.
    pub fn names(&self) -> Vec<String> {
        self.slots.iter().map(|slot| slot.name.clone()).collect()
    }
}

impl Slot {
    fn of(name: &str, class: RequestClass) -> Slot {
        Slot { name: name.to_owned(), class, retired: None, interim: false, held: 0 }
    }
}
