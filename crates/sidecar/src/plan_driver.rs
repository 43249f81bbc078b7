//! The fleet's plan at this sidecar: the driver of [`Log`] and [`Plan`] on a [`Platform`]. Its messages come and go by the
//! fleet's socket. What is agreed reaches the module as settings and edits of the list; who owns what is in force says
//! when it is.

use crate::http::server::Request;
use cometcroft::Settings;
use cometcroft_consensus::{Config, ConsensusError, Log, Peer, Position, Status, Time};
use cometcroft_membership::{Membership, Record};
use cometcroft_plan::{
    Command, CommandEntry, CommandId, CommandOutcome, Controller, MemberState, PermitState, PermitTarget,
    Plan, PlanError, RetryAttributes, RetryCause, RetryDecision, RetryThrottle, RevisionContent,
    SidecarStatus, WeightAdjustment,
};
use cometcroft_platform::Platform;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::Notify;

/// The keepers are told where this one stands so often at least.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// What only the leader says is thought of so often.
const CONTROLLER_INTERVAL: Duration = Duration::from_millis(100);
/// Peers are looked up anew so often, and whoever was not heard of for so long stands nowhere.
const PEER_REFRESH_INTERVAL: Duration = Duration::from_millis(500);
const STATUS_TIMEOUT: Duration = Duration::from_secs(4);
/// An operator waits for an answer for so long, and for a founding's.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(8);

/// What hears of events worth a line in the log.
pub type Listener = Box<dyn Fn(PlanEvent)>;

/// Something worth a line in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanEvent {
    /// This revision is in force here, up to this entry of the log.
    InForce {
        /// Which.
        revision: u32,
        /// The entry.
        index: u64,
    },
    /// It serves by its file, as no plan was heard of in time.
    NoPlan,
    /// Retries storm, or no longer do.
    RetryStorm(bool),
}

/// What a sidecar is given for its part in the plan.
pub struct PlanParts {
    /// What it is told of the log.
    pub config: Config,
    /// A process that starts waits for the plan for so long before it takes clients.
    pub wait: Duration,
    /// The budgets divide attempts beyond the first: without that no rule could hold over a cluster.
    pub divides: bool,
    /// Hears of events.
    pub listener: Listener,
}

/// Why a word was not taken, or is not known to be.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The log's reason.
    #[error(transparent)]
    Log(#[from] ConsensusError),
    /// The plan's.
    #[error(transparent)]
    Plan(#[from] PlanError),
}

impl CommandError {
    /// A code that stays.
    pub fn code(&self) -> &'static str {
        match self {
            CommandError::Log(error) => error.code(),
            CommandError::Plan(error) => error.code(),
        }
    }

    /// For an operator: what is wrong, and what can be done.
    pub fn json(&self) -> Value {
        let remedy = match self {
            CommandError::Log(error) => error.remedy(),
            CommandError::Plan(error) => error.remedy(),
        };
        json!({"code": self.code(), "text": self.to_string(), "do": remedy})
    }

    /// Whether the word may have been taken all the same.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(self, CommandError::Log(ConsensusError::Unknown(_)))
    }
}

/// What one sidecar tells the keepers of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct StatusReport {
    name: String,
    generation: u64,
    /// The founding that `index` is of.
    founding: u64,
    index: u64,
    revision: u32,
    ready: bool,
    tries: (u64, u64),
}

impl StatusReport {
    /// Which of two words of one sidecar is the later. Danger: after a founding the same entry has a lower number, or
    /// another content under the same one; what was confirmed before it confirms nothing now.
    fn place(&self) -> (u64, u64, u64) {
        (self.generation, self.founding, self.index)
    }

    /// The entry up to which it has put the plan of this founding in force.
    fn confirms(&self, founding: u64) -> u64 {
        if self.founding == founding { self.index } else { 0 }
    }
}

struct ReceivedStatus {
    at: Time,
    told: StatusReport,
}

impl ReceivedStatus {
    /// Of this start: what it confirms of this founding, and whether it takes clients.
    fn stands(&self, generation: u64, founding: u64, now: Time) -> Option<(u64, bool)> {
        let ready = self.told.ready && self.at + STATUS_TIMEOUT > now;
        (self.told.generation == generation).then(|| (self.told.confirms(founding), ready))
    }
}

/// Backend servers as a door's own list has them: name, zone, group, and whether it is ready.
pub type ListedEndpoints = Vec<(String, String, usize, bool)>;

/// The plan at this sidecar.
pub struct PlanDriver<P: Platform> {
    platform: P,
    origin: Instant,
    log: RefCell<Log<Plan>>,
    controller: RefCell<Controller>,
    throttle: RefCell<RetryThrottle>,
    listener: Listener,
    name: String,
    generation: u64,
    zone: String,
    tier: u8,
    wait: Duration,
    divides: bool,
    /// The entry up to which it is in force here, and the one that was told of last.
    in_force: Cell<Position>,
    noticed: Cell<Position>,
    revision: Cell<u32>,
    storm: Cell<bool>,
    /// Something is to be said or told.
    pub(crate) wake: Notify,
    applied: Notify,
    next_tell: Cell<Time>,
    next_meet: Cell<Time>,
    next_steward: Cell<Time>,
    /// What the leader said last, and when: it is not said again before it can have been agreed on.
    said: Cell<(u64, Time)>,
    heard: RefCell<BTreeMap<String, ReceivedStatus>>,
    standing: RefCell<Vec<SidecarStatus>>,
    ready: RefCell<Option<Box<dyn Fn() -> bool>>>,
    barred: Cell<u64>,
    sent: Cell<u64>,
    rng: RefCell<fastrand::Rng>,
}

impl<P: Platform> PlanDriver<P> {
    /// The plan at a sidecar that starts now, as this member.
    pub fn new(platform: P, parts: PlanParts, me: &Record, seed: u64) -> Rc<PlanDriver<P>> {
        let PlanParts { config, wait, divides, listener } = parts;
        let generation = me.generation;
        // Danger: sidecars of one configuration have one seed; two doors that drew one number for two words would have the
        // second answered with what came of the first.
        let own =
            cometcroft_settings::hash(me.name.as_str()) ^ generation.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let seed = seed ^ own;
        let log = Log::new(config, Time::ZERO, generation, seed);
        Rc::new(PlanDriver {
            origin: platform.now(),
            log: RefCell::new(log),
            controller: RefCell::default(),
            throttle: RefCell::new(RetryThrottle::new(Rc::new(RevisionContent::empty()), Time::ZERO)),
            listener,
            name: me.name.to_string(),
            generation,
            zone: me.zone.to_string(),
            tier: me.tier,
            wait,
            divides,
            in_force: Cell::new(Position::default()),
            noticed: Cell::new(Position::default()),
            revision: Cell::new(0),
            storm: Cell::new(false),
            wake: Notify::new(),
            applied: Notify::new(),
            next_tell: Cell::new(Time::ZERO),
            next_meet: Cell::new(Time::ZERO),
            next_steward: Cell::new(Time::ZERO),
            said: Cell::new((0, Time::ZERO)),
            heard: RefCell::default(),
            standing: RefCell::default(),
            ready: RefCell::new(None),
            barred: Cell::new(0),
            sent: Cell::new(0),
            rng: RefCell::new(fastrand::Rng::with_seed(seed ^ 0x5eed)),
            platform,
        })
    }

    fn now(&self) -> Time {
        self.platform.since(self.origin)
    }

    /// Tells whether this sidecar takes clients.
    pub fn set_readiness(&self, ready: impl Fn() -> bool + 'static) {
        self.ready.replace(Some(Box::new(ready)));
    }

    pub(crate) fn next_wakeup(&self) -> Instant {
        let own = self.next_tell.get().min(self.next_meet.get());
        let log = self.log.borrow();
        let own = if log.leads(self.now()) { own.min(self.next_steward.get()) } else { own };
        self.origin + log.next_at().min(own)
    }

    pub(crate) fn tick(&self, members: &Membership) {
        let now = self.now();
        if now >= self.next_meet.get() {
            self.next_meet.set(now + PEER_REFRESH_INTERVAL);
            self.meet(members, now);
        }
        self.log.borrow_mut().tick(now);
        if now >= self.next_tell.get() {
            self.tell(now);
        }
        if now >= self.next_steward.get() {
            self.next_steward.set(now + CONTROLLER_INTERVAL);
            self.lead(now);
        }
    }

    pub(crate) fn receive(&self, bytes: &[u8]) {
        self.log.borrow_mut().receive(self.now(), bytes);
        loop {
            let aside = self.log.borrow_mut().take_out_of_band();
            let Some((_, bytes)) = aside else { break };
            if let Ok(told) = postcard::from_bytes::<StatusReport>(&bytes) {
                self.heard(told);
            }
        }
    }

    fn heard(&self, told: StatusReport) {
        let at = self.now();
        self.controller.borrow_mut().record_attempts(&told.name, told.tries);
        let mut heard = self.heard.borrow_mut();
        let known = heard.get(&told.name);
        // Danger: a late word of an older start, or an older word of this one, must not stand for the present.
        let older = known.is_some_and(|known| told.place() < known.told.place());
        if !older && (known.is_some() || heard.len() < 100_000) {
            heard.insert(told.name.clone(), ReceivedStatus { at, told });
        }
    }

    pub(crate) fn next_message(&self) -> Option<(SocketAddrV4, Vec<u8>)> {
        let output = self.log.borrow_mut().output();
        self.sent.set(self.sent.get() + output.as_ref().map_or(0, |(_, bytes)| bytes.len() as u64));
        output
    }

    /// Whether something was agreed that is not in force here yet.
    pub(crate) fn position_changed(&self) -> bool {
        let place = self.log.borrow().position();
        let news = place != self.noticed.replace(place);
        if news {
            self.applied.notify_waiters();
        }
        news
    }

    /// Whom the log may ask and tell, and who stands where, as this one's view of the fleet has it.
    fn meet(&self, members: &Membership, now: Time) {
        let report = members.report();
        let mut peers = Vec::new();
        let mut standing = vec![self.standing_of_own()];
        let (heard, founding) = (self.heard.borrow(), self.log.borrow().position().bootstrap_id);
        for row in &report.members {
            let presence = match row.state {
                "alive" | "suspect" => MemberState::Alive,
                "left" => MemberState::Left,
                _ => MemberState::Unreachable,
            };
            if presence == MemberState::Alive
                && let Ok(address) = row.address.parse()
            {
                peers.push(Peer { address, near: row.zone == self.zone });
            }
            let known = heard.get(&row.name).and_then(|known| known.stands(row.generation, founding, now));
            let (index, ready) = known.unwrap_or_default();
            standing.push(SidecarStatus {
                name: row.name.clone(),
                generation: row.generation,
                zone: row.zone.clone(),
                tier: row.tier,
                state: presence,
                confirmed_index: index,
                ready,
            });
        }
        self.standing.replace(standing);
        self.log.borrow_mut().set_peers(peers);
    }

    fn standing_of_own(&self) -> SidecarStatus {
        SidecarStatus {
            name: self.name.clone(),
            generation: self.generation,
            zone: self.zone.clone(),
            tier: self.tier,
            state: MemberState::Alive,
            confirmed_index: self.confirmed(),
            ready: self.is_ready(),
        }
    }

    /// The entry up to which the present founding's plan is in force here.
    fn confirmed(&self) -> u64 {
        let (in_force, founding) = (self.in_force.get(), self.log.borrow().position().bootstrap_id);
        if in_force.bootstrap_id == founding { in_force.index } else { 0 }
    }

    fn is_ready(&self) -> bool {
        self.ready.borrow().as_ref().is_none_or(|ready| ready())
    }

    fn tell(&self, now: Time) {
        self.next_tell.set(now + STATUS_INTERVAL.mul_f64(0.8 + 0.4 * self.rng.borrow_mut().f64()));
        let told = StatusReport {
            name: self.name.clone(),
            generation: self.generation,
            founding: self.in_force.get().bootstrap_id,
            index: self.in_force.get().index,
            revision: self.revision.get(),
            ready: self.is_ready(),
            tries: self.throttle.borrow_mut().take_counts(),
        };
        let bytes = postcard::to_stdvec(&told).unwrap_or_default();
        self.log.borrow_mut().send_out_of_band(&bytes);
        if self.log.borrow().config().voter_index().is_some() {
            self.heard(told);
        }
    }

    /// What only the leader says.
    fn lead(&self, now: Time) {
        if !self.log.borrow().leads(now) {
            return;
        }
        {
            let (heard, founding) = (self.heard.borrow(), self.log.borrow().position().bootstrap_id);
            for it in self.standing.borrow_mut().iter_mut() {
                if it.name == self.name {
                    *it = self.standing_of_own();
                } else if let Some(stands) =
                    heard.get(&it.name).and_then(|known| known.stands(it.generation, founding, now))
                {
                    (it.confirmed_index, it.ready) = stands;
                }
            }
        }
        let mut log = self.log.borrow_mut();
        let word = self.controller.borrow_mut().next_command(log.machine(), now, &self.standing.borrow());
        let Some(word) = word else { return };
        let id = Controller::command_id(&word, log.position().index);
        let (last, at) = self.said.get();
        if last == id.0 && now < at + STATUS_INTERVAL {
            return;
        }
        self.said.set((id.0, now));
        let said = CommandEntry {
            id,
            proposed_by: self.name.clone(),
            reason: "the leader's own".to_owned(),
            unix_ms: self.platform.unix().as_millis() as u64,
            expected_revision: None,
            command: word,
        };
        // One that can't be said now is thought of again.
        let _ = log.propose(now, said.encode(), now + STATUS_INTERVAL);
    }

    /// Says a word and waits for what comes of it.
    pub async fn propose(
        &self,
        word: Command,
        reason: &str,
        expects: Option<u32>,
        id: Option<u64>,
    ) -> Result<CommandOutcome, CommandError> {
        let id = CommandId(id.unwrap_or_else(|| self.rng.borrow_mut().u64(1..)));
        let said = CommandEntry {
            id,
            proposed_by: self.name.clone(),
            reason: reason.chars().take(200).collect(),
            unix_ms: self.platform.unix().as_millis() as u64,
            expected_revision: expects,
            command: word,
        };
        let until = self.platform.now() + COMMAND_TIMEOUT;
        let now = self.now();
        if self.log.borrow().machine().outcome(id).is_none() {
            self.log.borrow_mut().propose(now, said.encode(), now + COMMAND_TIMEOUT)?;
            self.wake.notify_one();
        }
        loop {
            let applied = self.applied.notified();
            if let Some(answer) = self.log.borrow().machine().outcome(id) {
                return match answer {
                    CommandOutcome::Rejected(error) => Err(error.clone().into()),
                    taken => Ok(taken.clone()),
                };
            }
            if self.platform.timeout_at(until, applied).await.is_err() {
                return Err(ConsensusError::Unknown(COMMAND_TIMEOUT).into());
            }
        }
    }

    /// Begins the log anew, from the newest copy that is reached.
    pub async fn bootstrap(&self) -> Result<u64, CommandError> {
        self.log.borrow_mut().bootstrap(self.now())?;
        self.wake.notify_one();
        let until = self.platform.now() + BOOTSTRAP_TIMEOUT;
        while self.platform.now() < until {
            self.platform.sleep(Duration::from_millis(20)).await;
            if let Some(founded) = self.log.borrow_mut().bootstrap_result() {
                return Ok(founded?.index);
            }
        }
        Err(ConsensusError::Unknown(BOOTSTRAP_TIMEOUT).into())
    }

    /// Bytes that it has sent.
    pub fn sent_bytes(&self) -> u64 {
        self.sent.get()
    }

    /// Whether it knows, as a keeper, who leads.
    pub fn has_leader(&self) -> bool {
        self.log.borrow().leader(self.now()).is_some()
    }

    /// The tier of this sidecar, and so of the backend servers that it sends to.
    pub fn tier(&self) -> u8 {
        self.tier
    }

    /// This sidecar as what a permit is for: itself, its zone and its tier.
    pub fn own_permit_target(&self) -> (PermitTarget, String, u8) {
        let what = PermitTarget::Sidecar { name: self.name.clone(), generation: self.generation };
        (what, self.zone.clone(), self.tier)
    }

    /// Where clock and tasks come from.
    pub fn platform(&self) -> &P {
        &self.platform
    }

    /// Waits until a permit is given, or is no more.
    pub async fn wait_for_permit(&self, permit: u32) -> bool {
        loop {
            let applied = self.applied.notified();
            match self.log.borrow().machine().permits().get(&permit) {
                None => return false,
                Some(permit) if permit.state != PermitState::Waiting => return true,
                Some(_) => {}
            }
            applied.await;
        }
    }

    /// Waits until a plan is known, or not any longer.
    pub async fn wait_for_plan(&self) {
        let until = self.platform.now() + self.wait;
        while self.log.borrow().position().index == 0 {
            if self.platform.timeout_at(until, self.applied.notified()).await.is_err() {
                (self.listener)(PlanEvent::NoPlan);
                return;
            }
        }
    }

    /// The revision that this sidecar goes by, with its number.
    pub fn content(&self) -> (u32, Rc<RevisionContent>) {
        let log = self.log.borrow();
        let revision = log.machine().revision_for(&self.name);
        (revision, log.machine().content(revision))
    }

    /// Puts what the revision allows into settings: never more than they allow themselves.
    pub(crate) fn apply_to_settings(&self, settings: &mut Settings) {
        let (_, content) = self.content();
        if let Some(attempts) = content.max_attempts {
            settings.limits.max_attempts = settings.limits.max_attempts.min(attempts);
        }
    }

    /// What becomes of a backend server by the plan.
    pub fn weight_adjustment(&self, name: &str, zone: &str, group: usize) -> WeightAdjustment {
        let log = self.log.borrow();
        let plan = log.machine();
        if plan.excluded_endpoints().contains(name) {
            return WeightAdjustment::Excluded;
        }
        plan.content(plan.revision_for(&self.name)).weight_adjustment(name, zone, group)
    }

    /// All that is agreed up to now is in force here: settings, list and policies.
    pub fn mark_in_force(&self) {
        let now = self.now();
        let (revision, content) = self.content();
        let (place, storm) = {
            let log = self.log.borrow();
            (log.position(), log.machine().storm().0)
        };
        self.throttle.borrow_mut().update(content, storm, now);
        if self.storm.replace(storm) != storm {
            (self.listener)(PlanEvent::RetryStorm(storm));
        }
        let before = self.in_force.replace(place);
        if self.revision.replace(revision) != revision {
            (self.listener)(PlanEvent::InForce { revision, index: place.index });
        }
        if before != place {
            self.next_tell.set(now);
            self.wake.notify_one();
        }
    }

    /// Whether an attempt may go out by the policies on retries.
    pub(crate) fn allow_attempt(
        &self,
        request: &Request,
        first: bool,
        after: Option<RetryCause>,
        part: impl FnOnce() -> f64,
    ) -> bool {
        let class = std::str::from_utf8(request.class_name()).unwrap_or_default();
        let caller = request.headers.single("x-caller").ok().flatten();
        let tenant = caller.and_then(|caller| std::str::from_utf8(caller).ok());
        self.allow_attempt_of(class, tenant, first, after, part)
    }

    /// The same, of a request by its class and tenant.
    pub fn allow_attempt_of(
        &self,
        class: &str,
        tenant: Option<&str>,
        first: bool,
        after: Option<RetryCause>,
        part: impl FnOnce() -> f64,
    ) -> bool {
        let wanted = RetryAttributes { tenant, class, tier: self.tier, zone: &self.zone, after };
        let mut throttle = self.throttle.borrow_mut();
        if first {
            throttle.record_first_attempt(&wanted);
            return true;
        }
        let tried = throttle.try_retry(&wanted, part(), self.now());
        let barred = matches!(tried, RetryDecision::Denied(_));
        self.barred.set(self.barred.get() + u64::from(barred));
        !barred
    }

    /// Refuses a text that leaves too few of the backend servers that this door knows.
    pub fn check_endpoints_left(&self, text: &str, listed: &ListedEndpoints) -> Result<(), CommandError> {
        let content = RevisionContent::parse(text, "revision")
            .map_err(|error| PlanError::InvalidContent(error.to_string()))?;
        if !content.retry_rules.is_empty() && !self.divides {
            let reason = "retries: needs [[budget.whole]] with use = \"retries\" in the operator's file";
            return Err(PlanError::InvalidContent(reason.to_owned()).into());
        }
        let ready = listed.iter().filter(|(.., ready)| *ready);
        let of = ready.clone().count() as u32;
        let left = ready.filter(|(name, zone, group, _)| {
            content.weight_adjustment(name, zone, *group) != WeightAdjustment::Excluded
        });
        enough(left.count() as u32, of, content.min_endpoint_share, "server")
    }

    /// Refuses to bar one more backend server where too few would be left.
    pub fn check_drain(&self, name: &str, listed: &ListedEndpoints) -> Result<(), CommandError> {
        let (_, content) = self.content();
        let of = listed.len() as u32;
        let stays = |(other, zone, group, ready): &&(String, String, usize, bool)| {
            *ready
                && other != name
                && self.weight_adjustment(other, zone, *group) != WeightAdjustment::Excluded
        };
        enough(listed.iter().filter(stays).count() as u32, of, content.min_endpoint_share, "drain")
    }

    /// Looks at the log.
    pub fn with_log<T>(&self, what: impl FnOnce(&Log<Plan>) -> T) -> T {
        what(&self.log.borrow())
    }

    /// A revision's text.
    pub fn revision_text(&self, revision: u32) -> Result<String, CommandError> {
        let log = self.log.borrow();
        let plan = log.machine();
        let known = plan.revisions();
        let not_kept = || PlanError::RevisionNotKept {
            requested: revision,
            oldest: known.keys().next().copied().unwrap_or(0),
            newest: known.keys().last().copied().unwrap_or(0),
        };
        Ok(plan.text(revision).ok_or_else(not_kept)?.to_owned())
    }

    /// The entry up to which the plan is in force here, and the revision.
    pub fn in_force(&self) -> (u64, u32) {
        (self.in_force.get().index, self.revision.get())
    }

    /// Where the plan stands, for operators.
    pub fn status_json(&self) -> Value {
        let (log, now) = (self.log.borrow(), self.now());
        let (plan, unix) = (log.machine(), self.platform.unix().as_millis() as u64);
        let status: Status = log.status(now);
        let standing = self.standing.borrow();
        let heard = self.heard.borrow();
        // Only keepers hear where all stand.
        let (keeper, founding) = (log.config().voter_index().is_some(), log.position().bootstrap_id);
        let mut by_revision: BTreeMap<u32, usize> = BTreeMap::new();
        let mut behind = Vec::new();
        if keeper {
            for it in standing.iter().filter(|it| it.state != MemberState::Left) {
                let known = heard.get(&it.name).filter(|known| known.told.generation == it.generation);
                if let Some(known) = known {
                    *by_revision.entry(known.told.revision).or_default() += 1;
                }
                let told = known.map_or(0, |known| known.told.confirms(founding));
                if told < status.index {
                    let state =
                        if it.state == MemberState::Alive { "there" } else { "gone, may still serve" };
                    let heard_ms = known.map(|known| now.saturating_sub(known.at).as_millis() as u64);
                    behind.push(json!({"name": it.name, "at": told, "state": state, "heard_ms": heard_ms}));
                }
            }
        }
        let revisions: Vec<Value> = plan
            .revisions()
            .iter()
            .map(|(number, it)| {
                json!({"number": number, "digest": format!("{:016x}", it.digest), "by": it.proposed_by, "reason": it.reason,
                    "unix_ms": it.unix_ms, "of": it.restores, "pinned": it.pinned})
            })
            .collect();
        let permits: Vec<Value> = plan
            .permits()
            .iter()
            .map(|(&number, it)| {
                let up: Vec<&str> = match it.state {
                    PermitState::Granted { .. } if keeper && it.target.is_endpoint() => {
                        let held = self.controller.borrow().unconfirmed_sidecars(plan, number, &standing);
                        held.iter()
                            .filter(|held| {
                                heard
                                    .get(&held.name)
                                    .is_none_or(|known| known.told.confirms(founding) < status.index)
                            })
                            .map(|held| held.name.as_str())
                            .take(16)
                            .collect::<Vec<&str>>()
                    }
                    _ => Vec::new(),
                };
                let waits = it.blocked_by.as_ref().map(ToString::to_string);
                json!({"number": number, "name": it.target.name(), "server": it.target.is_endpoint(), "zone": it.zone,
                    "tier": it.tier, "by": it.proposed_by, "state": it.state_text(), "overdue": unix > it.overdue_at_ms,
                    "waits_for": waits, "held_up_by": up, "since": it.granted_index()})
            })
            .collect();
        let release = plan.release().map(|it| {
            json!({"revision": it.revision, "waves": it.waves, "wave": it.wave, "phase": it.phase.as_str(),
                "waved": plan.last_wave_index()})
        });
        json!({
            "log": status, "revision": self.revision.get(), "in_force_to": self.in_force.get().index,
            "current": plan.current(), "revisions": revisions, "permits": permits, "release": release,
            "halted_by": plan.halted_by(), "storm": plan.storm().0, "retries_barred": self.barred.get(),
            "unread_words": plan.fault_counts().1, "invariants_broken": plan.fault_counts().0,
            "keeper": keeper, "at_revision": by_revision, "behind": behind,
        })
    }
}

fn enough(left: u32, of: u32, keep: f64, field: &str) -> Result<(), CommandError> {
    if f64::from(left) < keep * f64::from(of) || left == 0 && of > 0 {
        let (field, keep) = (field.to_owned(), keep.to_string());
        return Err(PlanError::TooFewLeft { field, left, total: of, min_share: keep }.into());
    }
    Ok(())
}

#[cfg(test)]
mod tests;
