//! Judges what was seen in a run. It knows the rules and nothing of the sidecar's code.

use crate::discovery::{Delivery, Status};
use crate::endpoints::Arrival;
use crate::fleet::MEMBERS;
use crate::journal::{ConnectionRecord, Entries, Side};
use crate::load::{Effect, End, Sent};
use crate::scenario::{DRAIN_GRACE, KEY_WINDOW, Observed, Stall};
use rustix::io::Errno;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An answer may come so long after the client's budget.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// An endpoint may be told of so much more time than the client has left.
const BUDGET_SLACK: Duration = Duration::from_millis(150);
/// Every limit on drains is longer by this.
const DRAIN_SLACK: Duration = Duration::from_millis(50);
/// A spinning accept loop fails more often than this ...
const MOST_FAILURES: usize = 60;
/// ... within this time.
const SPIN_WINDOW: Duration = Duration::from_millis(100);
/// After a lack is over, the connection that waits is taken within this time.
const RECOVERY: Duration = Duration::from_millis(100);
/// After it stood still, the world's thread looks at all that has come meanwhile within this time.
const CATCHING_UP: Duration = Duration::from_millis(30);
/// A connection that is closed to make room is closed so long after the lack was noticed at the most.
const MAKES_ROOM: Duration = Duration::from_millis(300);
/// Connection attempts of a request, and of a call to discovery, at the most: attempts by the settings, each with others
/// started beside it.
const MOST_CONNECTS: usize = 12;

/// A rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request that is read gets an answer in time, and no connection is closed without one.
    Lost,
    /// No connection that has been used is closed as a request comes, but to make room for others.
    Closed,
    /// An answer belongs to its request, and no sound request is turned away as unsound.
    Wrong,
    /// What must not run twice does not.
    Duplicate,
    /// Nothing begins at an endpoint that drains or is gone.
    Drain,
    /// An endpoint is told of no more time than the client has left.
    Budget,
    /// The sidecar's own invariants hold.
    Invariant,
    /// Failing calls do not make it spin.
    Spin,
    /// After a lack of descriptors or memory, clients are let in again at once.
    Deaf,
    /// It neither panics nor ends, but when it is told to leave.
    Alive,
    /// Once faults are over, the other members of its fleet reach it.
    Fleet,
}

/// A broken rule.
#[derive(Debug, Clone)]
pub struct Finding {
    /// Which.
    pub rule: Rule,
    /// How it showed.
    pub what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.what)
    }
}

/// What a run came to.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Broken rules.
    pub findings: Vec<Finding>,
    /// Counts.
    pub figures: Figures,
}

/// Counts of a run.
#[derive(Debug, Default, Clone)]
pub struct Figures {
    /// Requests that clients sent.
    pub requests: usize,
    /// Answers by status.
    pub answers: BTreeMap<u16, usize>,
    /// Requests whose client left.
    pub left: usize,
    /// Requests whose connection the injector broke before they were answered.
    pub broken: usize,
    /// Requests that crossed the close of a connection that had been used, and that nobody read.
    pub crossed: usize,
    /// Requests whose client gave up for the time that the injector held their connection in the queue.
    pub held: usize,
    /// Requests that came after the listener of a leaving sidecar was let go.
    pub refused: usize,
    /// Requests whose connection waited in the queue of that listener when it was let go.
    pub unaccepted: usize,
    /// Answers with 200 among the requests sent from a quarter of a second after the faults on, and all of these.
    pub after: [usize; 2],
    /// Calls of `accept` that failed.
    pub accept_failures: usize,
    /// Calls of `connect`.
    pub connects: usize,
    /// Calls to discovery.
    pub discovery_calls: usize,
    /// The longest time from the end of a lack until the next client was let in.
    pub slowest_recovery: Duration,
    /// Errors injected.
    pub injected: usize,
    /// The longest time in which the world's thread stood still.
    pub longest_stall: Duration,
}

/// Judges a run.
pub fn judge(observed: &Observed) -> Verdict {
    let mut verdict = Verdict::default();
    let origin = observed.faults[0];
    let connections = accepted(&observed.journal);
    for sent in &observed.sent {
        judge_request(sent, observed, &connections, origin, &mut verdict);
    }
    judge_arrivals(observed, &connections, origin, &mut verdict);
    judge_drains(observed, origin, &mut verdict);
    judge_accepts(observed, origin, &mut verdict);
    judge_process(observed, &mut verdict);
    count(observed, &mut verdict.figures);
    verdict
}

/// The accepted connections by their client's address and the listener's, in order.
type Accepted<'a> = HashMap<(SocketAddr, SocketAddr), Vec<&'a ConnectionRecord>>;

fn accepted(journal: &Entries) -> Accepted<'_> {
    let mut by_client: Accepted<'_> = HashMap::new();
    for record in journal.connections.iter().filter(|record| record.side == Side::Accepted) {
        by_client.entry((record.peer, record.local)).or_default().push(record);
    }
    by_client
}

/// The sidecar's side of the connection that a request was sent on, if it was accepted.
fn connection<'a>(sent: &Sent, connections: &Accepted<'a>) -> Option<&'a ConnectionRecord> {
    let of_client = connections.get(&(sent.client?, sent.server))?;
    let before_end = of_client.iter().rev().find(|record| record.opened <= sent.ended);
    // Who left early may have been let in later.
    before_end.or(of_client.first()).copied()
}

/// The earliest instant at which that may have happened which the world's thread saw at this one: it may have stood still.
fn earliest(at: Instant, stalls: &[Stall]) -> Instant {
    let stall = stalls.iter().find(|stall| stall.from < at && at <= stall.until + CATCHING_UP);
    stall.map_or(at, |stall| stall.from)
}

/// For how long within this time the world's thread stood still: then the machine had no time for the sidecar's either.
fn stood_still([from, until]: [Instant; 2], stalls: &[Stall]) -> Duration {
    let within = |stall: &Stall| stall.until.min(until).saturating_duration_since(stall.from.max(from));
    stalls.iter().map(within).sum()
}

/// From when on the time of a request counts: what the injector held in the listener's queue is no fault of the sidecar.
fn counts_from(sent: &Sent, record: Option<&ConnectionRecord>) -> Instant {
    record.map_or(sent.sent, |record| sent.sent.max(record.opened))
}

fn since(origin: Instant, at: Instant) -> String {
    let before = origin.saturating_duration_since(at);
    if before.is_zero() {
        format!("{:.1} ms", at.saturating_duration_since(origin).as_secs_f64() * 1e3)
    } else {
        format!("-{:.1} ms", before.as_secs_f64() * 1e3)
    }
}

fn judge_request(
    sent: &Sent,
    observed: &Observed,
    connections: &Accepted<'_>,
    origin: Instant,
    verdict: &mut Verdict,
) {
    let journal = &observed.journal;
    let record = connection(sent, connections);
    let mut found = |rule, why: &str| {
        let what = format!("{why}: {}", told(sent, record, origin));
        verdict.findings.push(Finding { rule, what });
    };
    let due = counts_from(sent, record) + sent.budget + ANSWER_SLACK;
    match sent.end {
        End::Left => verdict.figures.left += 1,
        End::Answered { status, own } => {
            *verdict.figures.answers.entry(status).or_default() += 1;
            if !own {
                found(Rule::Wrong, "the answer is another request's");
            }
            if !matches!(status, 200 | 502 | 503 | 504) {
                found(Rule::Wrong, "a sound request was turned away as unsound");
            }
            if earliest(sent.ended, &observed.stalls) > due {
                found(Rule::Lost, "answered too late");
            }
        }
        End::NotConnected if has_left(observed, sent.begun) => verdict.figures.refused += 1,
        End::NotConnected => found(Rule::Lost, "no connection could be made"),
        // Its client gave up before it was due, as the injector had held it in the queue for so long.
        End::Late if sent.ended < due => verdict.figures.held += 1,
        End::Closed | End::Late => match record {
            Some(record) if record.broken.is_some_and(|(at, _)| at <= sent.ended) => {
                verdict.figures.broken += 1;
            }
            Some(record) if !sent.first && !was_read(sent, record) => {
                verdict.figures.crossed += 1;
                if !makes_room(sent, journal) && !has_left(observed, sent.ended) {
                    found(
                        Rule::Closed,
                        "its connection was closed as it came, and no descriptors were short",
                    );
                }
            }
            // What waits when the listener is let go may be lost to a lack that lasts.
            None if has_left(observed, sent.ended) => verdict.figures.unaccepted += 1,
            _ if sent.end == End::Late => found(Rule::Lost, "not answered"),
            _ => found(Rule::Lost, "its connection was closed without an answer"),
        },
    }
}

/// Whether the sidecar has been told to leave by then.
fn has_left(observed: &Observed, at: Instant) -> bool {
    observed.left.is_some_and(|left| left <= at)
}

/// Whether descriptors were short shortly before a request's connection was closed: then idle ones make room.
fn makes_room(sent: &Sent, journal: &Entries) -> bool {
    journal.accept_failures.iter().any(|failure| {
        matches!(failure.error, Errno::MFILE | Errno::NFILE)
            && failure.at <= sent.ended
            && failure.at + MAKES_ROOM >= sent.ended
    })
}

/// Whether the sidecar read any of a request before it shut or dropped its connection.
fn was_read(sent: &Sent, record: &ConnectionRecord) -> bool {
    let ends = record.shut.into_iter().chain(record.dropped).min().unwrap_or(sent.ended);
    record.read_by(ends) > record.read_by(sent.begun)
}

fn told(sent: &Sent, record: Option<&ConnectionRecord>, origin: Instant) -> String {
    let at = |when: Option<Instant>| when.map_or("never".to_owned(), |when| since(origin, when));
    let mut text = format!(
        "{} ({:?}, {} on its connection, budget {} ms, sent {}, ended {} with {:?}",
        sent.id,
        sent.effect,
        if sent.first { "first" } else { "later" },
        sent.budget.as_millis(),
        since(origin, sent.sent),
        since(origin, sent.ended),
        sent.end,
    );
    if let Some(record) = record {
        text += &format!(
            "; accepted {}, {} bytes read, last {}, shut {}, dropped {}",
            since(origin, record.opened),
            record.read_by(sent.ended),
            at(record.read.last().map(|(when, _)| *when)),
            at(record.shut),
            at(record.dropped),
        );
    } else {
        text += "; never accepted";
    }
    text + ")"
}

fn judge_arrivals(observed: &Observed, connections: &Accepted<'_>, origin: Instant, verdict: &mut Verdict) {
    let by_id: HashMap<&str, &Sent> = observed.sent.iter().map(|sent| (sent.id.as_str(), sent)).collect();
    let mut ran: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in &observed.arrivals {
        let Some(whole) = &arrival.whole else { continue };
        let Some(sent) = by_id.get(whole.id.as_str()) else {
            let what = format!("nobody sent {:?}, and endpoint {} got it", whole.id, arrival.endpoint);
            verdict.findings.push(Finding { rule: Rule::Wrong, what });
            continue;
        };
        let ends = counts_from(sent, connection(sent, connections)) + sent.budget;
        let at = earliest(arrival.first_byte, &observed.stalls);
        let left = ends.saturating_duration_since(at) + BUDGET_SLACK;
        if whole.budget.is_none_or(|budget| budget > left) {
            let what = format!(
                "endpoint {} was told {:?} at {}, the client had {left:?} with the slack: {}",
                arrival.endpoint,
                whole.budget,
                since(origin, arrival.first_byte),
                told(sent, connection(sent, connections), origin)
            );
            verdict.findings.push(Finding { rule: Rule::Budget, what });
        }
        if !whole.rejected {
            ran.entry(&whole.id).or_default().push(arrival);
        }
    }
    for (id, arrivals) in ran {
        let (sent, first) = (by_id[id], arrivals[0].first_byte);
        let twice = match sent.effect {
            Effect::Safe => false,
            Effect::Unsafe => arrivals.len() > 1,
            Effect::Keyed => arrivals.iter().any(|arrival| arrival.first_byte > first + KEY_WINDOW),
        };
        if twice {
            let times: Vec<String> = arrivals.iter().map(|a| since(origin, a.first_byte)).collect();
            let what = format!("{id} ({:?}) ran at {times:?}", sent.effect);
            verdict.findings.push(Finding { rule: Rule::Duplicate, what });
        }
    }
}

/// A time in which the sidecar knew that an endpoint takes nothing new.
struct Closure {
    from: Instant,
    until: Option<Instant>,
}

fn judge_drains(observed: &Observed, origin: Instant, verdict: &mut Verdict) {
    let reached: Vec<&Delivery> =
        observed.deliveries.iter().filter(|delivery| has_reached(delivery, &observed.journal)).collect();
    let mut closures: HashMap<usize, Vec<Closure>> = HashMap::new();
    for delivery in &reached {
        for (endpoint, _) in delivery.told.iter().filter(|(_, status)| *status != Status::Up) {
            // What was written and may not have been read opens it too: in doubt for the sidecar.
            let opens = observed.deliveries.iter().filter(|later| {
                later.index > delivery.index && later.told.contains(&(*endpoint, Status::Up))
            });
            let until = opens.map(|later| later.from).min();
            closures.entry(*endpoint).or_default().push(Closure { from: delivery.at, until });
        }
    }
    for arrival in &observed.arrivals {
        // Late it is if it came after the limit at the earliest, and not after the end of the closure at the latest.
        let (at, latest) = (earliest(arrival.first_byte, &observed.stalls), arrival.first_byte);
        let closed = closures.get(&arrival.endpoint).into_iter().flatten().find(|closure| {
            at > closure.from + DRAIN_GRACE + DRAIN_SLACK && closure.until.is_none_or(|until| latest < until)
        });
        if let Some(closure) = closed {
            let what = format!(
                "endpoint {} got a first byte at {}, the sidecar was told at {}",
                arrival.endpoint,
                since(origin, at),
                since(origin, closure.from)
            );
            verdict.findings.push(Finding { rule: Rule::Drain, what });
        }
    }
}

/// Whether the sidecar's process got all of a list: the injector may have broken the connection before.
fn has_reached(delivery: &Delivery, journal: &Entries) -> bool {
    let records = journal.connections.iter().rev();
    let record = records
        .filter(|record| record.side == Side::Connected && record.local == delivery.to)
        .find(|record| record.opened <= delivery.at);
    record.and_then(|record| record.read.last()).is_some_and(|(_, bytes)| *bytes >= delivery.offset)
}

fn judge_accepts(observed: &Observed, origin: Instant, verdict: &mut Verdict) {
    let journal = &observed.journal;
    let failures = &journal.accept_failures;
    let spinning = failures
        .windows(MOST_FAILURES)
        .find(|window| window[MOST_FAILURES - 1].at.saturating_duration_since(window[0].at) < SPIN_WINDOW);
    if let Some(window) = spinning {
        let what = format!(
            "accept failed {MOST_FAILURES} times from {} to {}",
            since(origin, window[0].at),
            since(origin, window[MOST_FAILURES - 1].at)
        );
        verdict.findings.push(Finding { rule: Rule::Spin, what });
    }
    for episode in &journal.episodes {
        let recovered = episode.recovered.map(|at| {
            let still = stood_still([episode.until, at], &observed.stalls);
            at.saturating_duration_since(episode.until).saturating_sub(still)
        });
        verdict.figures.slowest_recovery =
            verdict.figures.slowest_recovery.max(recovered.unwrap_or_default());
        if recovered.is_none_or(|time| time > RECOVERY) {
            let what = format!(
                "{} was over at {}, the next client was let in {recovered:?} after that",
                episode.error,
                since(origin, episode.until)
            );
            verdict.findings.push(Finding { rule: Rule::Deaf, what });
        }
    }
}

fn judge_process(observed: &Observed, verdict: &mut Verdict) {
    let mut found = |rule, what: String| verdict.findings.push(Finding { rule, what });
    if observed.invariants_broken > 0 {
        found(Rule::Invariant, format!("{} invariants are broken", observed.invariants_broken));
    }
    if observed.panics > 0 {
        found(Rule::Alive, format!("{} panics", observed.panics));
    }
    match (&observed.ended, observed.left) {
        (Some(ended), Some(_)) if ended == "Ok(())" => {}
        (Some(ended), _) => found(Rule::Alive, format!("the sidecar ended: {ended}")),
        (None, Some(_)) => found(Rule::Alive, "the sidecar was told to leave and is still there".to_owned()),
        (None, None) => {}
    }
    if let Some(reached) = observed.reached.filter(|_| observed.left.is_none())
        && reached != [MEMBERS; 2]
    {
        found(Rule::Fleet, format!("its companions reach {reached:?} members of {MEMBERS}"));
    }
    let most = MOST_CONNECTS * (observed.sent.len() + observed.discovery_calls + 1);
    if observed.journal.connects > most {
        found(Rule::Spin, format!("{} connection attempts, at most {most}", observed.journal.connects));
    }
}

fn count(observed: &Observed, figures: &mut Figures) {
    figures.requests = observed.sent.len();
    figures.accept_failures = observed.journal.accept_failures.len();
    figures.connects = observed.journal.connects;
    figures.discovery_calls = observed.discovery_calls;
    figures.injected = observed.journal.injected.values().sum();
    let stalls = observed.stalls.iter().map(|stall| stall.until.saturating_duration_since(stall.from));
    figures.longest_stall = stalls.max().unwrap_or_default();
    let from = observed.faults[1] + Duration::from_millis(250);
    for sent in observed.sent.iter().filter(|sent| sent.begun >= from && sent.end != End::Left) {
        figures.after[0] += usize::from(matches!(sent.end, End::Answered { status: 200, .. }));
        figures.after[1] += 1;
    }
}
