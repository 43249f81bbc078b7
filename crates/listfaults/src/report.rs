//! The report of a run.

use crate::calls::{CallEnd, CallRecord, Calls};
use crate::clients::Outcomes;
use crate::ids::{SidecarId, Time};
use crate::inject::Injected;
use crate::judge::{Cause, Kind, Verdict, Violation};
use crate::stalls::{Stall, Stalls};
use crate::world::AnswerRecord;
use std::collections::BTreeMap;
use std::fmt;
use std::process::ExitStatus;
use std::time::Duration;

/// Before a limit ran out, calls of this time are shown.
const SHOWN_BEFORE_LIMIT: Duration = Duration::from_secs(9);
/// Counters of sidecars that are shown begin with one of these.
const SHOWN_COUNTERS: [&str; 5] = ["discovery", "dispatch", "invariants", "reload", "late"];

/// What a run came to.
#[derive(Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Sidecars that ran.
    pub sidecars: usize,
    /// Endpoints that were listed at the start.
    pub endpoints: usize,
    /// Length of the load.
    pub length: Duration,
    /// The grace in the settings.
    pub grace: Duration,
    /// The judge's findings.
    pub verdict: Verdict,
    /// All first bytes of requests and probes at endpoints.
    pub attempts: usize,
    /// What clients saw.
    pub outcomes: Outcomes,
    /// What discovery saw.
    pub calls: Calls,
    /// SIGHUPs that were sent.
    pub moves: u64,
    /// Every call to discovery.
    pub call_records: Vec<CallRecord>,
    /// Every answer of discovery.
    pub answers: Vec<AnswerRecord>,
    /// Counters of all sidecars, added up.
    pub counters: BTreeMap<String, u64>,
    /// Sidecars that ended by themselves.
    pub ended: Vec<(SidecarId, ExitStatus)>,
    /// The longest stalls of the stand-ins.
    pub stalls: Stalls,
    /// The request that was sent late on purpose.
    pub injected: Option<Injected>,
}

impl Report {
    /// No rule was broken, and no sidecar ended.
    pub fn is_clean(&self) -> bool {
        self.verdict.violations.is_empty() && self.ended.is_empty()
    }

    /// Violations that the limit told, not an answer.
    pub fn by_limit(&self) -> usize {
        self.verdict.violations.iter().filter(|violation| violation.cause == Cause::Limit).count()
    }

    fn write_violation(&self, f: &mut fmt::Formatter<'_>, violation: &Violation) -> fmt::Result {
        let Violation { arrival, told_at, cause, limit } = violation;
        let sidecar = arrival.sidecar.map_or("every sidecar".to_owned(), |sidecar| sidecar.to_string());
        let kind = if arrival.kind == Kind::Probe { "probe" } else { "request" };
        let late = arrival.at.saturating_sub(*limit).as_millis();
        let (told, first_byte) = (seconds(*told_at), seconds(arrival.at));
        write!(
            f,
            "{sidecar} -> {}: {kind}, told at {told} s, first byte at {first_byte} s, ",
            arrival.endpoint
        )?;
        write!(f, "{late} ms over the limit, ")?;
        match cause {
            Cause::Row(answer) => write!(f, "by a row of {answer}")?,
            Cause::LeftOut(answer) => write!(f, "by its absence from {answer}")?,
            Cause::Limit => write!(f, "by the protocol's limit")?,
        }
        if let Cause::Row(answer) | Cause::LeftOut(answer) = cause
            && let Some(record) = self.answers.get(answer.0)
        {
            write!(f, " ({record})")?;
        }
        writeln!(f)?;
        if *cause == Cause::Limit {
            self.write_calls_before(f, violation)?;
        }
        Ok(())
    }

    /// The calls whose answers should have told a sidecar before its limit ran out; of those that an outage ended, the
    /// number.
    fn write_calls_before(&self, f: &mut fmt::Formatter<'_>, violation: &Violation) -> fmt::Result {
        let shown = violation.told_at.saturating_sub(SHOWN_BEFORE_LIMIT)..violation.arrival.at;
        let of_sidecar =
            self.call_records.iter().filter(|call| Some(call.sidecar) == violation.arrival.sidecar);
        let (refused, others): (Vec<&CallRecord>, Vec<&CallRecord>) = of_sidecar
            .filter(|call| shown.contains(&call.at))
            .partition(|call| call.end == CallEnd::EndedByOutage);
        for call in others {
            write!(f, "    {call}")?;
            if let CallEnd::Answered(answer) = call.end
                && let Some(record) = self.answers.get(answer.0)
            {
                write!(f, " ({record})")?;
            }
            writeln!(f)?;
        }
        writeln!(f, "    and {} calls that an outage ended", refused.len())
    }
}

impl fmt::Display for AnswerRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = if self.snapshot { "whole list" } else { "changes" };
        let AnswerRecord { at, rows, bytes, delivery, .. } = self;
        write!(f, "{list}, {rows} rows, {bytes} bytes, begun at {} s: {delivery}", seconds(*at))
    }
}

impl fmt::Display for Stall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms before {} s", self.length.as_millis(), seconds(self.at))
    }
}

fn seconds(time: Time) -> String {
    format!("{:.3}", time.as_secs_f64())
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { seed, sidecars, endpoints, length, grace, .. } = self;
        let (violations, uncertain) = (&self.verdict.violations, &self.verdict.uncertain);
        writeln!(
            f,
            "seed {seed}: {sidecars} sidecars, {endpoints} endpoints, {} s, grace {} ms",
            length.as_secs(),
            grace.as_millis()
        )?;
        for violation in violations {
            write!(f, "violation: ")?;
            self.write_violation(f, violation)?;
        }
        for violation in uncertain {
            write!(f, "uncertain: ")?;
            self.write_violation(f, violation)?;
        }
        for (sidecar, status) in &self.ended {
            writeln!(f, "sidecar {sidecar} ended: {status}")?;
        }
        let unattributed = self.verdict.unattributed;
        writeln!(f, "attempts: {}, {unattributed} of an unknown sender", self.attempts)?;
        let Outcomes { sent, by_status, unanswered, spoilt } = &self.outcomes;
        writeln!(
            f,
            "requests: {sent}, by status {by_status:?}, unanswered {unanswered}, spoilt {spoilt}, served {:.4}",
            self.outcomes.served()
        )?;
        let Calls { calls, busiest_second, queue_refusals, outage_refusals, abandoned } = self.calls;
        let answers = self.answers.len();
        writeln!(
            f,
            "discovery: {calls} calls, {answers} answers, {abandoned} abandoned by the caller, \
             {queue_refusals} refused by the queue, {outage_refusals} ended by an outage, \
             {busiest_second} at most by one sidecar in one second; {} moves",
            self.moves
        )?;
        let shown = |name: &&String| SHOWN_COUNTERS.iter().any(|prefix| name.starts_with(prefix));
        let counters = self.counters.iter().filter(|(name, count)| shown(name) && **count > 0);
        let counters: Vec<String> = counters.map(|(name, count)| format!("{name} {count}")).collect();
        writeln!(f, "counters: {}", counters.join(", "))?;
        let Stalls { endpoints, discovery, clients } = self.stalls;
        writeln!(f, "longest stalls: endpoints {endpoints}, discovery {discovery}, clients {clients}")?;
        writeln!(
            f,
            "violations: {} ({} by the protocol's limit), uncertain: {}",
            violations.len(),
            self.by_limit(),
            uncertain.len()
        )
    }
}
