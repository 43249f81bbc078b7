//! The report of a measurement, which is printed as JSON.

use crate::load::Outcome;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Results of all measurements of one run of the program.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Description of how the figures were measured.
    pub method: Vec<&'static str>,
    /// The machine on which the measurement ran.
    pub machine: Machine,
    /// Latency that one sidecar adds, by request rate.
    pub added: Vec<AddedLatencyReport>,
    /// Latency through a chain of sidecars, by case.
    pub chain: Vec<ChainReport>,
}

/// The machine on which a measurement ran; other work may run on it too.
#[derive(Debug, Clone, Serialize)]
pub struct Machine {
    /// Number of available processors.
    pub processors: usize,
    /// One-minute load average before and after the measurement.
    pub load_average: [Option<f64>; 2],
}

/// The machine's one-minute load average; `None` if it cannot be read.
pub fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

/// Percentiles of a duration in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// Number of requests.
    pub n: u64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

impl Percentiles {
    /// Percentiles of a histogram in microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Percentiles {
        Percentiles {
            n: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p99: histogram.value_at_quantile(0.99),
            p999: histogram.value_at_quantile(0.999),
            max: histogram.max(),
        }
    }
}

/// Minimum, median and maximum over the rounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Range {
    /// Minimum.
    pub min: i64,
    /// Median; the lower of the two middle values if their number is even.
    pub median: i64,
    /// Maximum.
    pub max: i64,
}

impl Range {
    /// The range of the values; `None` if there are none.
    pub fn of(values: impl IntoIterator<Item = i64>) -> Option<Range> {
        let mut sorted: Vec<i64> = values.into_iter().collect();
        sorted.sort_unstable();
        let (min, max) = (*sorted.first()?, *sorted.last()?);
        Some(Range { min, median: sorted[(sorted.len() - 1) / 2], max })
    }
}

/// Latency that a sidecar adds at one request rate, in microseconds.
#[derive(Debug, Clone, Serialize)]
pub struct AddedLatencyReport {
    /// Requests per second.
    pub rate: f64,
    /// Number of rounds, each with a direct phase and a phase through the sidecar.
    pub rounds: usize,
    /// Latency of direct requests over all rounds.
    pub direct: Percentiles,
    /// Latency through the sidecar over all rounds.
    pub sidecar: Percentiles,
    /// Range over the rounds of the difference of the medians.
    pub added_p50: Option<Range>,
    /// Range over the rounds of the difference of the 99th percentiles.
    pub added_p99: Option<Range>,
    /// Range over the rounds of the difference of the 99.9th percentiles.
    pub added_p999: Option<Range>,
    /// Delay from when a request was due until it was sent: direct, and through the sidecar.
    #[serde(rename = "sender_lateness")]
    pub send_delay: [Percentiles; 2],
    /// Requests that were not answered with 200: direct, and through the sidecar.
    pub not_served: [u64; 2],
}

impl AddedLatencyReport {
    /// The report of a number of rounds, each with the results direct and through the sidecar.
    pub fn from_rounds(rate: f64, rounds: &[[Outcome; 2]]) -> std::io::Result<AddedLatencyReport> {
        let (mut direct, mut sidecar) = (Outcome::new()?, Outcome::new()?);
        for [direct_round, sidecar_round] in rounds {
            direct.add(direct_round)?;
            sidecar.add(sidecar_round)?;
        }
        let added = |percentile: fn(&Percentiles) -> u64| {
            Range::of(rounds.iter().map(|[direct, sidecar]| {
                let latency = |outcome: &Outcome| percentile(&Percentiles::of(&outcome.latency)) as i64;
                latency(sidecar) - latency(direct)
            }))
        };
        Ok(AddedLatencyReport {
            rate,
            rounds: rounds.len(),
            direct: Percentiles::of(&direct.latency),
            sidecar: Percentiles::of(&sidecar.latency),
            added_p50: added(|percentiles| percentiles.p50),
            added_p99: added(|percentiles| percentiles.p99),
            added_p999: added(|percentiles| percentiles.p999),
            send_delay: [&direct, &sidecar].map(|outcome| Percentiles::of(&outcome.send_delay)),
            not_served: [&direct, &sidecar].map(|outcome| outcome.rejected + outcome.failed),
        })
    }
}

/// Results of one case of a chain of sidecars.
#[derive(Debug, Clone, Serialize)]
pub struct ChainReport {
    /// Name of the case.
    pub case: &'static str,
    /// Number of sidecars, each in front of an endpoint that calls the next sidecar.
    pub depth: usize,
    /// Requests per second.
    pub rate: f64,
    /// Deadline that the client sent with each request, in microseconds.
    #[serde(rename = "budget")]
    pub deadline_us: u64,
    /// Time that the last endpoint takes for a request, in microseconds.
    #[serde(rename = "work")]
    pub service_time_us: u64,
    /// Latency of served requests from when they were due, in microseconds.
    pub served: Percentiles,
    /// Latency of all responses from when their request was sent, in microseconds.
    #[serde(rename = "answered")]
    pub response_time: Percentiles,
    /// Requests answered with 503 (rejected) or 504 (timed out).
    #[serde(rename = "denied")]
    pub rejected: u64,
    /// Requests with any other response than 200, 503 or 504, or none.
    pub failed: u64,
    /// Requests that ended later than their deadline, counted from when they were sent.
    #[serde(rename = "late")]
    pub past_deadline: u64,
    /// Attempts that reached the last endpoint for each request of the client.
    #[serde(rename = "attempts_at_the_end")]
    pub attempts_per_request: f64,
    /// Shortest and longest remaining deadline at the last endpoint, in microseconds.
    #[serde(rename = "budget_at_the_end")]
    pub remaining_deadline_us: Option<(u64, u64)>,
    /// Delay from when a request was due until it was sent, in microseconds.
    #[serde(rename = "sender_lateness")]
    pub send_delay: Percentiles,
}
