//! Rows of the page: a figure of a role in a moment, extrapolated to the target size and compared with its limit.

use crate::data::{Dataset, FleetRecord, Moment, Period, Role, RoleRecord, Spread, Traffic};
use crate::fit::{Fit, Point};
use crate::target::Target;

/// Length of the window of `RoleRecord::worst_ten_seconds_bytes`.
const WINDOW_SECONDS: f64 = 10.0;
/// Every run begins with the start of all members. The worst window of a moment counts as caused by the moment, not by the
/// start, only if it is greater than that of the start by this factor.
const OWN_WINDOW_RATIO: f64 = 1.1;

/// Unit of a figure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Bytes per second, received and sent together.
    BytesPerSecond,
    /// Messages per second, received and sent together.
    MessagesPerSecond,
    /// Seconds.
    Seconds,
}

impl Unit {
    /// The unit's symbol on the page.
    pub fn name(self) -> &'static str {
        match self {
            Unit::BytesPerSecond => "B/s",
            Unit::MessagesPerSecond => "messages/s",
            Unit::Seconds => "s",
        }
    }
}

/// One figure with its measurements, its fit and its limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Role of the members that the figure is of; `None` for the fleet as a whole.
    pub role: Option<Role>,
    /// Title of the moment on the page.
    pub moment: &'static str,
    /// Name of the figure on the page.
    pub figure: &'static str,
    /// Unit of the figure and the limit.
    pub unit: Unit,
    /// Maximum permitted value, if there is a limit.
    pub limit: Option<f64>,
    /// The measurements.
    pub points: Vec<Point>,
    /// Fit of the measurements.
    pub fit: Fit,
    /// Name on the page of the mechanism that contributes most to the figure.
    pub mechanism: &'static str,
}

impl Row {
    /// The role's name on the page.
    pub fn role_name(&self) -> &'static str {
        self.role.map_or("all", Role::name)
    }

    /// Whether dedicated control machines could take the load over from the sidecars.
    pub fn can_move_to_control_machine(&self) -> bool {
        self.role.is_some_and(Role::can_move_to_control_machine)
    }

    /// Size at which the fitted curve reaches the limit; `None` if it never does.
    pub fn breaks_at(&self) -> Option<f64> {
        self.limit.and_then(|limit| self.fit.curve.size_reaching(limit))
    }

    /// Whether the figure exceeded its limit in a measured run.
    pub fn exceeded_as_measured(&self) -> bool {
        self.limit.is_some_and(|limit| self.points.iter().any(|point| point.value > limit))
    }

    /// Ratio of the extrapolated figure at a size to the limit.
    pub fn limit_ratio_at(&self, size: f64) -> Option<f64> {
        self.limit.map(|limit| self.fit.curve.at(size) / limit)
    }
}

/// All rows, sorted by the size at which they reach their limit.
pub fn all_rows(target: &Target, data: &Dataset) -> Vec<Row> {
    let mut rows: Vec<Row> = Role::ALL.into_iter().flat_map(|role| role_rows(role, target, data)).collect();
    rows.extend(time_rows(target, data));
    let sort_key = |row: &Row| row.breaks_at().unwrap_or(f64::MAX);
    rows.sort_by(|left, right| sort_key(left).total_cmp(&sort_key(right)));
    rows
}

fn role_rows(role: Role, target: &Target, data: &Dataset) -> Vec<Row> {
    let limit = Some(target.sidecar.bytes_per_second);
    let bytes = |moment: Moment, title, period, figure: fn(&FleetRecord, Role) -> Option<f64>| {
        let points = points(data, moment, |record| figure(record, role));
        let fit = Fit::of(&points)?;
        let mechanism = heaviest(data, moment, role, period).mechanism();
        let (role, figure, unit) = (Some(role), "bytes, p99 of members", Unit::BytesPerSecond);
        Some(Row { role, moment: title, figure, unit, limit, points, fit, mechanism })
    };
    let mut rows = Vec::new();
    rows.extend(bytes(Moment::Rest, "at rest", Period::Steady, steady_bytes));
    let long_lease = "at rest, budget's lease 4 s";
    rows.extend(bytes(Moment::RestLongLease, long_lease, Period::Steady, steady_bytes));
    rows.extend(bytes(Moment::Rest, "all start at once, worst 10 s", Period::Whole, worst_bytes));
    for (moment, title) in EVENTS {
        if has_own_window(data, moment, role) {
            rows.extend(bytes(moment, title, Period::Whole, worst_bytes));
        }
    }
    let points = points(data, Moment::Rest, |record| steady(record, role).map(|(_, messages)| messages.p99));
    rows.extend(Fit::of(&points).map(|fit| Row {
        role: Some(role),
        moment: "at rest",
        figure: "messages, p99 of members",
        unit: Unit::MessagesPerSecond,
        limit: None,
        points,
        fit,
        mechanism: heaviest(data, Moment::Rest, role, Period::Steady).mechanism(),
    }));
    rows
}

/// Moments other than the start whose worst window gets a row, with their titles on the page.
const EVENTS: [(Moment, &str); 6] = [
    (Moment::Change, "ten changes in 20 s, worst 10 s"),
    (Moment::Restart, "one restart, worst 10 s"),
    (Moment::MachineLost, "one member lost, worst 10 s"),
    (Moment::ZoneBack, "a zone of 17 back after 12 s, worst 10 s"),
    (Moment::RegionBack, "a fifth back after 20 s, worst 10 s"),
    (Moment::Release, "a release in three waves, worst 10 s"),
];

fn steady(record: &FleetRecord, role: Role) -> Option<(Spread, Spread)> {
    record.role(role, Period::Steady, Traffic::All).map(|record| (record.bytes_s, record.messages_s))
}

fn steady_bytes(record: &FleetRecord, role: Role) -> Option<f64> {
    steady(record, role).map(|(bytes, _)| bytes.p99)
}

fn worst_bytes(record: &FleetRecord, role: Role) -> Option<f64> {
    let record = record.role(role, Period::Whole, Traffic::All)?;
    Some(record.worst_ten_seconds_bytes.p99 / WINDOW_SECONDS)
}

/// Measurements of a figure in a moment; runs without the figure are left out.
pub fn points(data: &Dataset, moment: Moment, figure: impl Fn(&FleetRecord) -> Option<f64>) -> Vec<Point> {
    let of_moment = data.fleets.iter().filter(|record| record.moment == moment);
    let point = |record: &FleetRecord| {
        let value = figure(record)?;
        Some(Point { size: record.members as f64, seed: record.seed, value })
    };
    of_moment.filter_map(point).collect()
}

/// Whether a moment's worst window, at its largest measured size, is greater than that of the start alone.
fn has_own_window(data: &Dataset, moment: Moment, role: Role) -> bool {
    let largest = data.largest_fleet(moment) as f64;
    let mean = |moment: Moment| {
        let points = points(data, moment, |record| worst_bytes(record, role));
        let values: Vec<f64> =
            points.iter().filter(|point| point.size == largest).map(|point| point.value).collect();
        (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
    };
    match (mean(moment), mean(Moment::Rest)) {
        (Some(event), Some(start)) => event > start * OWN_WINDOW_RATIO,
        _ => false,
    }
}

/// The kind of traffic with the most bytes of a role at the largest size: those of the worst window for the whole run, or
/// those per second for the steady period.
fn heaviest(data: &Dataset, moment: Moment, role: Role, period: Period) -> Traffic {
    let largest = data.largest_fleet(moment);
    let of_moment = |record: &&FleetRecord| record.moment == moment && record.members == largest;
    let roles = data.fleets.iter().filter(of_moment).flat_map(|record| &record.roles);
    let kinds = roles
        .filter(|record| record.role == role && record.period == period && record.traffic != Traffic::All);
    let bytes = |record: &RoleRecord| match period {
        Period::Steady => record.bytes_s.p99,
        Period::Whole => record.worst_ten_seconds_bytes.p99,
    };
    kinds
        .max_by(|left, right| bytes(left).total_cmp(&bytes(right)))
        .map_or(Traffic::All, |record| record.traffic)
}

/// Time until the fleet reaches a state in a moment.
struct TimeFigure {
    moment: Moment,
    title: &'static str,
    figure: &'static str,
    limit: Option<f64>,
    mechanism: &'static str,
    seconds: fn(&FleetRecord) -> Option<f64>,
}

fn time_rows(target: &Target, data: &Dataset) -> Vec<Row> {
    let equal_within = Some(target.sidecar.equal_within.exact().as_secs_f64());
    let in_force_within = Some(target.changes.in_force_within.exact().as_secs_f64());
    let views = |moment, title| TimeFigure {
        moment,
        title,
        figure: "until all views are equal, from the last act of the script",
        limit: equal_within,
        mechanism: "membership: views",
        seconds: |record| record.equal_s,
    };
    let entries = |moment, title, figure, limit, seconds| {
        let mechanism = "plan: gossip of entries";
        TimeFigure { moment, title, figure, limit, mechanism, seconds }
    };
    let times = [
        views(Moment::Rest, "all start at once"),
        views(Moment::RegionBack, "a fifth back after 20 s"),
        entries(
            Moment::Change,
            "ten changes in 20 s",
            "until in force everywhere",
            in_force_within,
            |record| record.in_force_s,
        ),
        entries(
            Moment::Release,
            "a release in three waves",
            "from its start until the last wave is in force everywhere",
            None,
            |record| record.agreed_s,
        ),
    ];
    times.iter().filter_map(|time| time_row(data, time)).collect()
}

fn time_row(data: &Dataset, time: &TimeFigure) -> Option<Row> {
    let points = points(data, time.moment, time.seconds);
    let fit = Fit::of(&points)?;
    Some(Row {
        role: None,
        moment: time.title,
        figure: time.figure,
        unit: Unit::Seconds,
        limit: time.limit,
        points,
        fit,
        mechanism: time.mechanism,
    })
}

/// Bytes that a member sends in a moment beyond the run at rest with the same size and seed.
pub fn excess(data: &Dataset, moment: Moment) -> Vec<Point> {
    let rest_run = |run: &FleetRecord| {
        let same = |record: &&FleetRecord| {
            record.moment == Moment::Rest && (record.members, record.seed) == (run.members, run.seed)
        };
        data.fleets.iter().find(same)
    };
    points(data, moment, |record| Some(record.mean_sent_bytes() - rest_run(record)?.mean_sent_bytes()))
}
