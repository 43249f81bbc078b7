//! Turns a played fleet's report into a record of the capacity data.

use cometcroft_capacity::data::{FleetRecord, Moment, Period, Role, RoleRecord, Spread, Traffic};
use cometcroft_emulator::cost::{self, KindCost, PeriodCost, RoleCost, TrafficKind};
use cometcroft_emulator::fleet::FleetReport;

/// A kind of traffic that is less than this share of a role's bytes is left out.
const LEAST_SHARE: f64 = 0.1;
/// Figures are rounded to a tenth, and times to a thousandth: JSON's reader is exact for numbers of so few digits alone.
const TENTHS: f64 = 10.0;
const THOUSANDTHS: f64 = 1000.0;

/// The record of a report.
pub fn of(moment: Moment, report: &FleetReport) -> FleetRecord {
    let share = report.share.as_ref().map_or(0.0, |share| share.bytes_s);
    let agreed = report.agreed.as_ref();
    let plan = agreed.map_or(0.0, |agreed| agreed.bytes_s);
    FleetRecord {
        moment,
        members: report.members,
        seed: report.seed,
        seconds: rounded(report.seconds, THOUSANDTHS),
        violations: report.broken.len(),
        mean_sent_bytes_s: rounded(report.bytes_s + share + plan, TENTHS),
        equal_s: report.equal_s.map(time),
        in_force_s: agreed.and_then(|agreed| agreed.in_force_s.iter().copied().reduce(f64::max)).map(time),
        agreed_s: agreed.and_then(|agreed| agreed.equal_s).map(time),
        roles: roles(report),
    }
}

/// What each role bore, over the whole run and in its steady period.
fn roles(report: &FleetReport) -> Vec<RoleRecord> {
    let Some(cost) = &report.cost else { return Vec::new() };
    let mut records = of_period(Period::Whole, &cost.whole);
    records.extend(cost.steady.iter().flat_map(|steady| of_period(Period::Steady, steady)));
    records
}

fn of_period(period: Period, cost: &PeriodCost) -> Vec<RoleRecord> {
    cost.roles.iter().flat_map(|(role, cost)| of_role(role_of(*role), period, cost)).collect()
}

fn of_role(role: Role, period: Period, cost: &RoleCost) -> Vec<RoleRecord> {
    let record = |traffic: Traffic, kind: &KindCost| RoleRecord {
        role,
        period,
        traffic,
        members: cost.members,
        bytes_s: spread(&kind.bytes_s.both),
        messages_s: spread(&kind.messages_s.both),
        worst_ten_seconds_bytes: spread(&kind.window_bytes.both),
    };
    let least = cost.total.bytes_s.both.max * LEAST_SHARE;
    let heavy = cost.kinds.iter().filter(|(_, kind)| kind.bytes_s.both.max >= least);
    let mut records = vec![record(Traffic::All, &cost.total)];
    records.extend(heavy.map(|(kind, cost)| record(traffic_of(*kind), cost)));
    records
}

fn spread(spread: &cost::Spread) -> Spread {
    let tenth = |value: f64| rounded(value, TENTHS);
    Spread { median: tenth(spread.median), p99: tenth(spread.p99), max: tenth(spread.max) }
}

fn time(seconds: f64) -> f64 {
    rounded(seconds, THOUSANDTHS)
}

fn rounded(value: f64, parts: f64) -> f64 {
    (value * parts).round() / parts
}

fn role_of(role: cost::Role) -> Role {
    match role {
        cost::Role::Plain => Role::Sidecar,
        cost::Role::Voter => Role::Voter,
        cost::Role::PlanLeader => Role::Leader,
        cost::Role::Allocator => Role::BudgetAllocator,
    }
}

fn traffic_of(kind: TrafficKind) -> Traffic {
    match kind {
        TrafficKind::MembershipDatagram => Traffic::MembershipDatagram,
        TrafficKind::MembershipStream => Traffic::MembershipStream,
        TrafficKind::Budget => Traffic::Budget,
        TrafficKind::PlanDatagram => Traffic::PlanDatagram,
        TrafficKind::PlanStream => Traffic::PlanStream,
        TrafficKind::Unknown => Traffic::Unknown,
    }
}
