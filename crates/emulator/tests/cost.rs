//! What members of a played fleet send and receive, as it is counted by kind and role.

use cometcroft_emulator::cost::{
    CostLedger, CostReport, Direction, Payer, Period, PeriodCost, Role, RoleSamples, TrafficKind, Volume,
};
use cometcroft_emulator::fleet::{FleetReport, FleetRun};
use cometcroft_emulator::kernel::SEC;
use cometcroft_emulator::net::HostId;
use cometcroft_membership::Features;
use cometcroft_script::{Invariant, Plan, Script};

fn play(script: &str, members: usize) -> FleetReport {
    let script = Script::find(script).expect("a shipped script");
    FleetRun::new(Plan::draw(&script, 1, Some(members)), Features::default()).play(false)
}

fn cost(script: &str, members: usize) -> CostReport {
    play(script, members).cost.expect("a played fleet is counted")
}

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-9 * a.abs().max(b.abs())
}

#[test]
fn kinds_are_told_by_the_first_bytes() {
    use TrafficKind::*;
    for (bytes, kind) in [
        (&b"cf\x02"[..], MembershipDatagram),
        (b"cb\x01", Budget),
        (b"cl\x01", PlanDatagram),
        (b"?", Unknown),
    ] {
        assert_eq!(TrafficKind::of_datagram(bytes), kind);
    }
    assert_eq!(TrafficKind::of_stream(b"cl\xff\xff"), PlanStream);
    // The length of a view may begin with the same two bytes.
    assert_eq!(TrafficKind::of_stream(b"cl\x00\x00"), MembershipStream);
}

#[test]
fn the_worst_window_slides_by_whole_seconds() {
    let (host, kind) = (HostId(3), TrafficKind::Budget);
    let mut ledger = CostLedger::new(100 * SEC);
    let mut record = |second: u64, direction, bytes| {
        ledger.record(second * SEC, host, kind, direction, Volume { messages: 1, bytes });
    };
    record(0, Direction::Out, 100);
    record(9, Direction::Out, 50);
    // The first second is no longer in the window.
    record(10, Direction::Out, 60);
    record(10, Direction::In, 7);
    // Nor is any of these, after a long silence.
    record(100, Direction::In, 30);
    let payers = [Payer { host, votes: false, lived_s: 110.0 }];
    let period = Period { from_s: 0.0, to_s: 110.0 };
    let whole = ledger.whole(period, &payers, &RoleSamples::default());
    let window = whole.roles[&Role::Plain].kinds[&kind].window_bytes;
    assert_eq!((window.sent.max, window.received.max, window.both.max), (150.0, 30.0, 150.0));
    assert!(close(whole.roles[&Role::Plain].total.bytes_s.both.median, 247.0 / 110.0));
    let steady = ledger.steady(period, &payers, &RoleSamples::default());
    assert_eq!(steady.roles[&Role::Plain].kinds[&kind].window_bytes.both.max, 30.0);
}

#[test]
fn what_is_counted_on_the_wire_is_what_members_say_they_sent() {
    let report = play("calm", 12);
    let cost = report.cost.expect("a played fleet is counted");
    let lived_s = report.member_hours * 3600.0;
    let datagrams = cost.whole.totals[&TrafficKind::MembershipDatagram];
    let streams = cost.whole.totals[&TrafficKind::MembershipStream];
    assert!(close(datagrams.sent.messages as f64 / lived_s, report.datagrams_s));
    let datagram_bytes_s = report.bytes_s - report.exchange_bytes_s;
    assert!(close(datagrams.sent.bytes as f64 / lived_s, datagram_bytes_s));
    // Members count views without their lengths of four bytes, and each halves the sum of both ends, rounding down.
    let views = (streams.sent.bytes - 4 * streams.sent.messages) as f64;
    let told = report.exchange_bytes_s * lived_s;
    assert!(told <= views + 1e-6 && told + 0.5 * 12.0 >= views, "{told} of {views}");
    assert_eq!(cost.whole.roles.keys().collect::<Vec<_>>(), [&Role::Plain]);
}

#[test]
fn the_leader_of_a_plan_and_the_divider_of_a_budget_are_told_from_voters() {
    let plan = cost("plan-calm", 12).whole;
    let members = |role| plan.roles.get(&role).map_or(0, |cost| cost.members);
    assert_eq!((members(Role::Plain), members(Role::Voter), members(Role::PlanLeader)), (9, 2, 1));
    let sent = |role| plan.roles[&role].kinds[&TrafficKind::PlanDatagram].bytes_s.sent.median;
    assert!(sent(Role::PlanLeader) > sent(Role::Plain), "{} {}", sent(Role::PlanLeader), sent(Role::Plain));

    let budget = cost("budget-hot-place", 12).whole;
    let allocators = budget.roles.get(&Role::Allocator).map_or(0, |cost| cost.members);
    assert_eq!(allocators, 1);
    assert!(budget.totals[&TrafficKind::Budget].sent.bytes > 0);
}

#[test]
fn the_steady_period_begins_after_the_last_fault_has_settled() {
    // 14 s long, all started within 0.3 s: ten seconds later all is steady.
    let calm = cost("calm", 5);
    let steady = calm.steady.expect("it is long enough").period;
    assert!(steady.from_s > 10.0 && steady.from_s < 10.4 && steady.to_s > 13.0, "{steady:?}");
    assert!(cost("kill", 5).steady.is_none_or(|steady| steady.period.from_s > 10.0));
}

/// A script of a fleet at rest whose members may send and receive so much.
fn limited(limits: &str) -> FleetReport {
    let text = format!("[fleet]\nname = \"limited\"\nlength = \"30s\"\n[limits]\n{limits}\n");
    let script = Script::parse(&text, "limited").expect("it reads");
    FleetRun::new(Plan::draw(&script, 1, Some(6)), Features::default()).play(false)
}

#[test]
fn a_limit_of_bytes_is_kept_or_named_as_broken() {
    let unlimited = limited("").cost.expect("a played fleet is counted");
    let worst = |period: &PeriodCost| period.roles[&Role::Plain].total.window_bytes.both.max as u64;
    let (whole, steady) = (worst(&unlimited.whole), worst(&unlimited.steady.expect("30 s are enough")));
    assert!(steady > 0 && steady < whole, "{steady} {whole}");

    let kept = limited(&format!("window_bytes = {whole}\nsteady_window_bytes = {steady}"));
    assert!(kept.broken.is_empty(), "{:?}", kept.broken);
    for (limit, period) in [("window_bytes", "at some time"), ("steady_window_bytes", "of the steady period")]
    {
        let broken = limited(&format!("{limit} = 10")).broken;
        assert_eq!(broken.len(), 6, "each member breaks it once: {broken:?}");
        assert!(
            broken.iter().all(|b| b.rule == Invariant::OverBytes && b.what.contains(period)),
            "{broken:?}"
        );
    }
    let bare = limited(&format!("steady_window_bytes = {}", steady - 1)).broken;
    assert_eq!(bare.len(), 1, "the worst member alone: {bare:?}");
}
