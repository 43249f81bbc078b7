//! Converts the report of a fleet run to a record of the capacity data.

use cometcroft_capacity::data::{FleetRecord, Moment, Period, Role, RoleRecord, Spread, Traffic};
use cometcroft_emulator::cost::{self, KindCost, PeriodCost, RoleCost, TrafficKind};
use cometcroft_emulator::fleet::FleetReport;

/// A kind of traffic below this share of a role's bytes is omitted.
const MIN_TRAFFIC_SHARE: f64 = 0.1;
/// Rates and byte counts are rounded to a tenth and times to a thousandth, because the JSON parser reads only numbers
/// with that few digits exactly.
const TENTHS: f64 = 10.0;
const THOUSANDTHS: f64 = 1000.0;

/// Returns the record of a report.
pub fn from_report(moment: Moment, report: &FleetReport) -> FleetRecord {
    let budget_bytes_s = report.share.as_ref().map_or(0.0, |share| share.bytes_s);
    let plan = report.agreed.as_ref();
    let plan_bytes_s = plan.map_or(0.0, |plan| plan.bytes_s);
    FleetRecord {
        moment,
        members: report.members,
        seed: report.seed,
        seconds: rounded(report.seconds, THOUSANDTHS),
        violations: report.broken.len(),
        mean_sent_bytes_s: rounded(report.bytes_s + budget_bytes_s + plan_bytes_s, TENTHS),
        equal_s: report.equal_s.map(round_seconds),
        in_force_s: plan.and_then(|plan| plan.in_force_s.iter().copied().reduce(f64::max)).map(round_seconds),
        agreed_s: plan.and_then(|plan| plan.equal_s).map(round_seconds),
        roles: all_role_records(report),
    }
}

/// Returns the traffic of each role over the whole run, then over its steady period.
fn all_role_records(report: &FleetReport) -> Vec<RoleRecord> {
    let Some(cost) = &report.cost else { return Vec::new() };
    let mut records = period_records(Period::Whole, &cost.whole);
    records.extend(cost.steady.iter().flat_map(|steady| period_records(Period::Steady, steady)));
    records
}

fn period_records(period: Period, cost: &PeriodCost) -> Vec<RoleRecord> {
    cost.roles.iter().flat_map(|(role, cost)| role_records(convert_role(*role), period, cost)).collect()
}

fn role_records(role: Role, period: Period, cost: &RoleCost) -> Vec<RoleRecord> {
    let record = |traffic: Traffic, kind: &KindCost| RoleRecord {
        role,
        period,
        traffic,
        members: cost.members,
        bytes_s: spread(&kind.bytes_s.both),
        messages_s: spread(&kind.messages_s.both),
        worst_ten_seconds_bytes: spread(&kind.window_bytes.both),
    };
    let min_bytes_s = cost.total.bytes_s.both.max * MIN_TRAFFIC_SHARE;
    let significant = cost.kinds.iter().filter(|(_, kind)| kind.bytes_s.both.max >= min_bytes_s);
    let mut records = vec![record(Traffic::All, &cost.total)];
    records.extend(significant.map(|(kind, cost)| record(convert_traffic(*kind), cost)));
    records
}

fn spread(spread: &cost::Spread) -> Spread {
    let round_tenth = |value: f64| rounded(value, TENTHS);
    Spread { median: round_tenth(spread.median), p99: round_tenth(spread.p99), max: round_tenth(spread.max) }
}

fn round_seconds(seconds: f64) -> f64 {
    rounded(seconds, THOUSANDTHS)
}

fn rounded(value: f64, steps_per_unit: f64) -> f64 {
    (value * steps_per_unit).round() / steps_per_unit
}

fn convert_role(role: cost::Role) -> Role {
    match role {
        cost::Role::Plain => Role::Sidecar,
        cost::Role::Voter => Role::Voter,
        cost::Role::PlanLeader => Role::Leader,
        cost::Role::Allocator => Role::BudgetAllocator,
    }
}

fn convert_traffic(kind: TrafficKind) -> Traffic {
    match kind {
        TrafficKind::MembershipDatagram => Traffic::MembershipDatagram,
        TrafficKind::MembershipStream => Traffic::MembershipStream,
        TrafficKind::Budget => Traffic::Budget,
        TrafficKind::PlanDatagram => Traffic::PlanDatagram,
        TrafficKind::PlanStream => Traffic::PlanStream,
        TrafficKind::Unknown => Traffic::Unknown,
    }
}
