//! Request classes while their settings change: which requests are accepted, and what holds for them.
mod common;

use cometcroft::*;
use cometcroft_platform::{Platform, Tokio};
use cometcroft_sidecar::classes::{CHANGE_OVERLAP, ClassRegistry, RequestForm};
use proptest::prelude::*;
use std::time::{Duration, Instant};

#[test]
fn during_a_change_both_request_forms_are_accepted_under_the_stricter_effect() {
    let keyed = Effect::Keyed { scope: DedupScope::All, window: Duration::from_secs(5) };
    let effects = [
        (Effect::Safe, RequestForm::Plain),
        (keyed, RequestForm::Keyed),
        (Effect::Unsafe, RequestForm::Unkeyed),
    ];
    let class = |effect| RequestClass { effect, ..Settings::example().classes[0].clone() };
    let (names, now) = (["c".to_owned()], Tokio.now());
    for (old, old_form) in effects {
        for (new, new_form) in effects.into_iter().filter(|(new, _)| *new != old) {
            let mut registry = ClassRegistry::new(&names, &[class(old)]);
            assert_eq!(registry.find(b"c", new_form, now), None);
            let from = registry.apply_settings(&names, &[class(new)], now);
            assert!(
                from.iter().all(|from| *from == Some(ClassId(0))),
                "the state of the previous class is kept"
            );
            for (form, at) in [(old_form, now), (new_form, now), (new_form, now + CHANGE_OVERLAP)] {
                let found = registry.find(b"c", form, at).expect("one of the two classes");
                let effect = registry.classes()[found.0].effect;
                let keeps = effect == Effect::Unsafe || effect == keyed && form == RequestForm::Keyed;
                assert!(
                    keeps || at > now || (old, new) == (Effect::Safe, Effect::Safe),
                    "{old:?} {new:?} {form:?}"
                );
                assert!(at == now || effect == new, "the new class alone after the overlap");
            }
            assert_eq!(registry.find(b"c", old_form, now + CHANGE_OVERLAP), None);
        }
    }
}

proptest! {
    #![proptest_config(common::proptest_config(60))]
    /// For any sequence of reloads and requests, a class number keeps its class while a request holds it, and the registry stays
    /// small.
    #[test]
    fn a_class_number_keeps_its_class_while_it_is_held(
        steps in proptest::collection::vec((0..4u8, 0..3u8, 0..5u8, 0..3000u64), 1..300),
    ) {
        let keyed = Effect::Keyed { scope: DedupScope::All, window: Duration::from_secs(5) };
        let class = |n: u8| RequestClass {
            effect: [Effect::Safe, keyed, Effect::Unsafe][usize::from(n % 3)],
            deadline: Duration::from_secs(1 + u64::from(n / 3)),
            ..Settings::example().classes[0].clone()
        };
        let names: Vec<_> = ["a", "b"].map(str::to_owned).into();
        let mut registry = ClassRegistry::new(&names, &[class(0), class(1)]);
        let (mut now, mut held) = (Tokio.now(), std::collections::VecDeque::new());
        for (what, one, two, later) in steps {
            now += Duration::from_millis(later);
            match what {
                0 => {
                    let from = registry.apply_settings(&names[..1 + usize::from(two % 2)], &[class(one), class(two)], now);
                    prop_assert_eq!(from.len(), registry.classes().len());
                }
                1 if !held.is_empty() => {
                    let (id, _): (ClassId, RequestClass) = held.pop_front().expect("one");
                    registry.release(id);
                }
                _ => {
                    let form = [RequestForm::Plain, RequestForm::Keyed, RequestForm::Unkeyed][usize::from(one)];
                    if let Some(id) = registry.find([&b"a"[..], b"b"][usize::from(two % 2)], form, now) {
                        registry.hold(id);
                        held.push_back((id, registry.classes()[id.0].clone()));
                    }
                }
            }
            for (id, class) in &held {
                prop_assert_eq!(&registry.classes()[id.0], class);
            }
            prop_assert!(registry.classes().len() <= 40 + held.len());
        }
    }
}

const SCOPES: [DedupScope; 3] = [DedupScope::All, DedupScope::Zone, DedupScope::Cell];
const WINDOWS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(4)];
const FORMS: [RequestForm; 3] = [RequestForm::Plain, RequestForm::Keyed, RequestForm::Unkeyed];

/// Every effect that settings can state, with two windows.
fn all_effects() -> Vec<Effect> {
    let keyed = SCOPES.into_iter().flat_map(|scope| WINDOWS.map(|window| Effect::Keyed { scope, window }));
    [Effect::Safe, Effect::Unsafe].into_iter().chain(keyed).collect()
}

/// A second attempt of a request, as seen from the endpoint that may have run the first.
#[derive(Debug, Clone, Copy)]
struct Retry {
    form: RequestForm,
    same_zone: bool,
    same_cell: bool,
    age: Duration,
}

/// Every kind of retry that effects treat differently.
fn all_retries() -> Vec<Retry> {
    let mut retries = Vec::new();
    for form in FORMS {
        for (same_zone, same_cell) in [(false, false), (false, true), (true, false), (true, true)] {
            for age in [1, 3, 5].map(Duration::from_secs) {
                retries.push(Retry { form, same_zone, same_cell, age });
            }
        }
    }
    retries
}

/// Whether endpoints under this effect run the request only once in spite of the retry.
fn permits(effect: Effect, retry: Retry) -> bool {
    match effect {
        Effect::Safe => true,
        Effect::Unsafe => false,
        Effect::Keyed { scope, window } => {
            retry.form == RequestForm::Keyed
                && scope.covers(retry.same_zone, retry.same_cell)
                && retry.age < window
        }
    }
}

fn class_with(effect: Effect) -> RequestClass {
    RequestClass { effect, ..Settings::example().classes[0].clone() }
}

/// A reload that narrows the scope or the window of a keyed class: retries that endpoints in the new form would run again.
#[test]
fn during_a_change_a_retry_is_sent_exactly_where_both_versions_permit_it() {
    let (names, now) = (["c".to_owned()], Tokio.now());
    for old in all_effects() {
        for new in all_effects() {
            let mut registry = ClassRegistry::new(&names, &[class_with(old)]);
            registry.apply_settings(&names, &[class_with(new)], now);
            for retry in all_retries() {
                let Some(class) = registry.find(b"c", retry.form, now) else { continue };
                let effect = registry.classes()[class.0].effect;
                let both = permits(old, retry) && permits(new, retry);
                assert_eq!(permits(effect, retry), both, "{old:?} to {new:?}: {effect:?} for {retry:?}");
            }
        }
    }
}

/// A reload that shortens a class's times: requests planned for longer than one of the versions gives.
#[test]
fn during_a_change_the_shorter_times_of_both_versions_hold() {
    let (names, now) = (["c".to_owned()], Tokio.now());
    let long = RequestClass {
        target_latency: Duration::from_secs(2),
        target_latency_work_factor: 3.0,
        deadline: Duration::from_secs(5),
        late_value: 0.5,
        ..class_with(Effect::Safe)
    };
    let short = RequestClass {
        target_latency: Duration::from_secs(1),
        target_latency_work_factor: 0.0,
        deadline: Duration::from_secs(3),
        late_value: 0.0,
        ..class_with(Effect::Safe)
    };
    for (old, new) in [(&long, &short), (&short, &long)] {
        let mut registry = ClassRegistry::new(&names, std::slice::from_ref(old));
        registry.apply_settings(&names, std::slice::from_ref(new), now);
        let class_at =
            |at| registry.find(b"c", RequestForm::Plain, at).map(|id| registry.classes()[id.0].clone());
        assert_eq!(class_at(now).as_ref(), Some(&short));
        assert_eq!(class_at(now + CHANGE_OVERLAP).as_ref(), Some(new));
    }
}

/// A version of the class that was in the settings for some time.
struct Version {
    effect: Effect,
    replaced: Option<Instant>,
}

proptest! {
    #![proptest_config(common::proptest_config(300))]
    /// Several reloads within the overlap: a retry that the last two versions permit and an earlier one does not.
    #[test]
    fn after_several_reloads_every_version_of_the_overlap_binds(
        steps in proptest::collection::vec((proptest::option::of(0..8usize), 0..3000u64), 1..12),
    ) {
        let effects = all_effects();
        let (names, mut now) = (["c".to_owned(), "d".to_owned()], Tokio.now());
        let other = class_with(Effect::Safe);
        let mut registry = ClassRegistry::new(&names, &[class_with(Effect::Safe), other.clone()]);
        let mut versions = vec![Version { effect: Effect::Safe, replaced: None }];
        for (effect, pause_ms) in steps {
            now += Duration::from_millis(pause_ms);
            let effect = effect.map(|number| effects[number]);
            let current = versions.last().filter(|last| last.replaced.is_none()).map(|last| last.effect);
            match effect {
                Some(effect) => registry.apply_settings(&names, &[class_with(effect), other.clone()], now),
                None => registry.apply_settings(&names[1..], std::slice::from_ref(&other), now),
            };
            if current != effect {
                versions.iter_mut().filter(|v| v.replaced.is_none()).for_each(|v| v.replaced = Some(now));
                versions.extend(effect.map(|effect| Version { effect, replaced: None }));
            }
            let binding: Vec<Effect> = versions
                .iter()
                .filter(|version| version.replaced.is_none_or(|at| now < at + CHANGE_OVERLAP))
                .map(|version| version.effect)
                .collect();
            for retry in all_retries() {
                let Some(class) = registry.find(b"c", retry.form, now) else { continue };
                let found = registry.classes()[class.0].effect;
                if permits(found, retry) {
                    prop_assert!(
                        binding.iter().all(|effect| permits(*effect, retry)),
                        "{:?} for {:?} under {:?}", found, retry, binding
                    );
                }
            }
        }
    }
}
