//! Plan driver: runs the replicated [`Log`] and its state machine, the [`Plan`], on a [`Platform`]. Messages travel over the
//! fleet's socket. Agreed revisions reach the decision module as settings and as changes to the endpoint list; the owner
//! of the active settings reports when they are in force ([`PlanDriver::mark_in_force`]).

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

/// Mean interval between status reports to the voters. A newly applied position is reported at once. Also the time after
/// which the leader may repeat a proposal.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the leader runs the controller.
const CONTROLLER_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which peers and sidecar statuses are refreshed from the membership.
const PEER_REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// A sidecar whose last status report is older than this counts as not ready.
const STATUS_TIMEOUT: Duration = Duration::from_secs(4);
/// How long an operator's call waits for the outcome of a command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an operator's call waits for the log to be bootstrapped.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of sidecars whose status reports are kept.
const MAX_STATUSES: usize = 100_000;
/// Maximum length of an operator's reason, in characters.
const MAX_REASON_CHARS: usize = 200;

/// Callback for events that are logged.
pub type Listener = Box<dyn Fn(PlanEvent)>;

/// An event of the plan at this sidecar that is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanEvent {
    /// A revision came into force at this sidecar.
    InForce {
        /// The revision's number.
        revision: u32,
        /// Index of the last log entry that is in force.
        index: u64,
    },
    /// No plan was received within the initial wait; the sidecar serves with its configuration file alone.
    NoPlan,
    /// A retry storm began (`true`) or ended (`false`).
    RetryStorm(bool),
}

/// What a [`PlanDriver`] is built from.
pub struct PlanParts {
    /// Configuration of the replicated log.
    pub config: Config,
    /// Maximum time that a starting process waits for the plan before it accepts clients.
    pub wait: Duration,
    /// The budgets limit retries. A retry rule of the plan can hold for the whole fleet only then.
    pub retries_limited: bool,
    /// Receives events to log.
    pub listener: Listener,
}

/// Why a command was not applied, or why its outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The log did not accept the command, or its outcome is unknown.
    #[error(transparent)]
    Log(#[from] ConsensusError),
    /// The plan rejected the command.
    #[error(transparent)]
    Plan(#[from] PlanError),
}

impl CommandError {
    /// A stable identifier for tools.
    pub fn code(&self) -> &'static str {
        match self {
            CommandError::Log(error) => error.code(),
            CommandError::Plan(error) => error.code(),
        }
    }

    /// The error for operators: code, description and remedy.
    pub fn json(&self) -> Value {
        let remedy = match self {
            CommandError::Log(error) => error.remedy(),
            CommandError::Plan(error) => error.remedy(),
        };
        json!({"code": self.code(), "text": self.to_string(), "do": remedy})
    }

    /// Returns whether the command may have been applied nevertheless.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(self, CommandError::Log(ConsensusError::Unknown(_)))
    }
}

/// Status that a sidecar reports to the voters. Encoded with postcard: the order of the fields is the wire format.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct StatusReport {
    name: String,
    generation: u64,
    /// Bootstrap of the log that `index` belongs to.
    bootstrap_id: u64,
    /// Last log entry that is in force at the sidecar.
    index: u64,
    revision: u32,
    ready: bool,
    /// First attempts and retries since the previous report.
    attempt_counts: (u64, u64),
}

impl StatusReport {
    /// Orders the reports of one sidecar by age. The bootstrap precedes the index, as a bootstrapped log may give an entry a
    /// lower index, or another entry the same index: what was confirmed before a bootstrap confirms nothing after it.
    fn recency(&self) -> (u64, u64, u64) {
        (self.generation, self.bootstrap_id, self.index)
    }

    /// Index of the last entry in force at the sidecar; 0 if the report is about another bootstrap.
    fn confirmed_index(&self, bootstrap_id: u64) -> u64 {
        if self.bootstrap_id == bootstrap_id { self.index } else { 0 }
    }
}

/// The latest status report of a sidecar.
struct ReceivedStatus {
    received_at: Time,
    report: StatusReport,
}

impl ReceivedStatus {
    /// Confirmed index and readiness, if the report is of this generation of the sidecar.
    fn confirmed_state(&self, generation: u64, bootstrap_id: u64, now: Time) -> Option<(u64, bool)> {
        let ready = self.report.ready && self.received_at + STATUS_TIMEOUT > now;
        (self.report.generation == generation).then(|| (self.report.confirmed_index(bootstrap_id), ready))
    }
}

/// Endpoints on this sidecar's own list: name, zone, group, readiness.
pub type ListedEndpoints = Vec<(String, String, usize, bool)>;

/// Takes part in the plan on behalf of one sidecar.
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
    retries_limited: bool,
    /// Position in the log up to which the plan is in force at this sidecar.
    in_force: Cell<Position>,
    /// Position that [`PlanDriver::position_changed`] reported last.
    notified_position: Cell<Position>,
    revision: Cell<u32>,
    storm: Cell<bool>,
    /// Signals that messages are waiting to be sent.
    pub(crate) wake: Notify,
    /// Signals that the log's position has changed.
    applied: Notify,
    next_status_at: Cell<Time>,
    next_peer_refresh_at: Cell<Time>,
    next_controller_at: Cell<Time>,
    /// Id and time of the controller's last proposal; it is not repeated before it can have been agreed on.
    last_proposal: Cell<(u64, Time)>,
    /// Latest status report of each sidecar, by its name.
    statuses: RefCell<BTreeMap<String, ReceivedStatus>>,
    /// All sidecars that the membership knows, with what they have confirmed.
    sidecars: RefCell<Vec<SidecarStatus>>,
    readiness: RefCell<Option<Box<dyn Fn() -> bool>>>,
    /// Retries that the plan's rules denied.
    denied: Cell<u64>,
    sent_bytes: Cell<u64>,
    rng: RefCell<fastrand::Rng>,
}

impl<P: Platform> PlanDriver<P> {
    /// Creates the driver of a sidecar that starts now; `local` is its own membership record.
    pub fn new(platform: P, parts: PlanParts, local: &Record, seed: u64) -> Rc<PlanDriver<P>> {
        let PlanParts { config, wait, retries_limited, listener } = parts;
        let generation = local.generation;
        // Sidecars with the same configuration have the same seed. If two of them drew the same id for two commands, the
        // second command would be answered with the outcome of the first.
        let process_hash =
            cometcroft_settings::hash(local.name.as_str()) ^ generation.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let seed = seed ^ process_hash;
        let log = Log::new(config, Time::ZERO, generation, seed);
        Rc::new(PlanDriver {
            origin: platform.now(),
            log: RefCell::new(log),
            controller: RefCell::default(),
            throttle: RefCell::new(RetryThrottle::new(Rc::new(RevisionContent::empty()), Time::ZERO)),
            listener,
            name: local.name.to_string(),
            generation,
            zone: local.zone.to_string(),
            tier: local.tier,
            wait,
            retries_limited,
            in_force: Cell::new(Position::default()),
            notified_position: Cell::new(Position::default()),
            revision: Cell::new(0),
            storm: Cell::new(false),
            wake: Notify::new(),
            applied: Notify::new(),
            next_status_at: Cell::new(Time::ZERO),
            next_peer_refresh_at: Cell::new(Time::ZERO),
            next_controller_at: Cell::new(Time::ZERO),
            last_proposal: Cell::new((0, Time::ZERO)),
            statuses: RefCell::default(),
            sidecars: RefCell::default(),
            readiness: RefCell::new(None),
            denied: Cell::new(0),
            sent_bytes: Cell::new(0),
            rng: RefCell::new(fastrand::Rng::with_seed(seed ^ 0x5eed)),
            platform,
        })
    }

    fn now(&self) -> Time {
        self.platform.since(self.origin)
    }

    /// Sets the function that returns whether this sidecar accepts clients.
    pub fn set_readiness(&self, readiness: impl Fn() -> bool + 'static) {
        self.readiness.replace(Some(Box::new(readiness)));
    }

    pub(crate) fn next_wakeup(&self) -> Instant {
        let next = self.next_status_at.get().min(self.next_peer_refresh_at.get());
        let log = self.log.borrow();
        let next = if log.leads(self.now()) { next.min(self.next_controller_at.get()) } else { next };
        self.origin + log.next_at().min(next)
    }

    pub(crate) fn tick(&self, members: &Membership) {
        let now = self.now();
        if now >= self.next_peer_refresh_at.get() {
            self.next_peer_refresh_at.set(now + PEER_REFRESH_INTERVAL);
            self.refresh_peers(members, now);
        }
        self.log.borrow_mut().tick(now);
        if now >= self.next_status_at.get() {
            self.send_status(now);
        }
        if now >= self.next_controller_at.get() {
            self.next_controller_at.set(now + CONTROLLER_INTERVAL);
            self.run_controller(now);
        }
    }

    pub(crate) fn receive(&self, bytes: &[u8]) {
        self.log.borrow_mut().receive(self.now(), bytes);
        loop {
            let message = self.log.borrow_mut().take_out_of_band();
            let Some((_, bytes)) = message else { break };
            if let Ok(report) = postcard::from_bytes::<StatusReport>(&bytes) {
                self.record_status(report);
            }
        }
    }

    /// Records a status report that was received from a sidecar.
    fn record_status(&self, report: StatusReport) {
        let received_at = self.now();
        self.controller.borrow_mut().record_attempts(&report.name, report.attempt_counts);
        let mut statuses = self.statuses.borrow_mut();
        let known = statuses.get(&report.name);
        // A delayed report, of this process or of a predecessor, must not replace a newer one.
        let older = known.is_some_and(|known| report.recency() < known.report.recency());
        if !older && (known.is_some() || statuses.len() < MAX_STATUSES) {
            statuses.insert(report.name.clone(), ReceivedStatus { received_at, report });
        }
    }

    pub(crate) fn next_message(&self) -> Option<(SocketAddrV4, Vec<u8>)> {
        let output = self.log.borrow_mut().output();
        self.sent_bytes
            .set(self.sent_bytes.get() + output.as_ref().map_or(0, |(_, bytes)| bytes.len() as u64));
        output
    }

    /// Returns whether the log's position has changed since the last call, and wakes those who wait for that.
    pub(crate) fn position_changed(&self) -> bool {
        let position = self.log.borrow().position();
        let changed = position != self.notified_position.replace(position);
        if changed {
            self.applied.notify_waiters();
        }
        changed
    }

    /// Updates the log's peers and the sidecar statuses from this sidecar's view of the fleet.
    fn refresh_peers(&self, members: &Membership, now: Time) {
        let report = members.report();
        let mut peers = Vec::new();
        let mut sidecars = vec![self.own_status()];
        let (statuses, bootstrap_id) = (self.statuses.borrow(), self.log.borrow().position().bootstrap_id);
        for member in &report.members {
            let state = match member.state {
                "alive" | "suspect" => MemberState::Alive,
                "left" => MemberState::Left,
                _ => MemberState::Unreachable,
            };
            if state == MemberState::Alive
                && let Ok(address) = member.address.parse()
            {
                peers.push(Peer { address, near: member.zone == self.zone });
            }
            let known = statuses
                .get(&member.name)
                .and_then(|known| known.confirmed_state(member.generation, bootstrap_id, now));
            let (index, ready) = known.unwrap_or_default();
            sidecars.push(SidecarStatus {
                name: member.name.clone(),
                generation: member.generation,
                zone: member.zone.clone(),
                tier: member.tier,
                state,
                confirmed_index: index,
                ready,
            });
        }
        self.sidecars.replace(sidecars);
        self.log.borrow_mut().set_peers(peers);
    }

    fn own_status(&self) -> SidecarStatus {
        SidecarStatus {
            name: self.name.clone(),
            generation: self.generation,
            zone: self.zone.clone(),
            tier: self.tier,
            state: MemberState::Alive,
            confirmed_index: self.own_confirmed_index(),
            ready: self.is_ready(),
        }
    }

    /// Index of the last entry of the current bootstrap's log that is in force at this sidecar.
    fn own_confirmed_index(&self) -> u64 {
        let (in_force, bootstrap_id) = (self.in_force.get(), self.log.borrow().position().bootstrap_id);
        if in_force.bootstrap_id == bootstrap_id { in_force.index } else { 0 }
    }

    fn is_ready(&self) -> bool {
        self.readiness.borrow().as_ref().is_none_or(|readiness| readiness())
    }

    /// Reports this sidecar's status to the voters, and records it if this sidecar is one of them.
    fn send_status(&self, now: Time) {
        self.next_status_at.set(now + STATUS_INTERVAL.mul_f64(0.8 + 0.4 * self.rng.borrow_mut().f64()));
        let report = StatusReport {
            name: self.name.clone(),
            generation: self.generation,
            bootstrap_id: self.in_force.get().bootstrap_id,
            index: self.in_force.get().index,
            revision: self.revision.get(),
            ready: self.is_ready(),
            attempt_counts: self.throttle.borrow_mut().take_counts(),
        };
        let bytes = postcard::to_stdvec(&report).unwrap_or_default();
        self.log.borrow_mut().send_out_of_band(&bytes);
        if self.log.borrow().config().voter_index().is_some() {
            self.record_status(report);
        }
    }

    /// Runs the controller, if this sidecar leads, and proposes its next command.
    fn run_controller(&self, now: Time) {
        if !self.log.borrow().leads(now) {
            return;
        }
        {
            let (statuses, bootstrap_id) =
                (self.statuses.borrow(), self.log.borrow().position().bootstrap_id);
            for sidecar in self.sidecars.borrow_mut().iter_mut() {
                if sidecar.name == self.name {
                    *sidecar = self.own_status();
                } else if let Some(state) = statuses
                    .get(&sidecar.name)
                    .and_then(|known| known.confirmed_state(sidecar.generation, bootstrap_id, now))
                {
                    (sidecar.confirmed_index, sidecar.ready) = state;
                }
            }
        }
        let mut log = self.log.borrow_mut();
        let command = self.controller.borrow_mut().next_command(log.machine(), now, &self.sidecars.borrow());
        let Some(command) = command else { return };
        let id = Controller::command_id(&command, log.position().index);
        let (last, at) = self.last_proposal.get();
        if last == id.0 && now < at + STATUS_INTERVAL {
            return;
        }
        self.last_proposal.set((id.0, now));
        let entry = CommandEntry {
            id,
            proposed_by: self.name.clone(),
            reason: "the leader's own".to_owned(),
            unix_ms: self.platform.unix().as_millis() as u64,
            expected_revision: None,
            command,
        };
        // If the log can't take it now, the controller proposes it again in a later run.
        let _ = log.propose(now, entry.encode(), now + STATUS_INTERVAL);
    }

    /// Proposes a command and waits for its outcome. A command with the `id` of an earlier one is not applied again: its
    /// outcome is that of the first.
    pub async fn propose(
        &self,
        command: Command,
        reason: &str,
        expected_revision: Option<u32>,
        id: Option<u64>,
    ) -> Result<CommandOutcome, CommandError> {
        let id = CommandId(id.unwrap_or_else(|| self.rng.borrow_mut().u64(1..)));
        let entry = CommandEntry {
            id,
            proposed_by: self.name.clone(),
            reason: reason.chars().take(MAX_REASON_CHARS).collect(),
            unix_ms: self.platform.unix().as_millis() as u64,
            expected_revision,
            command,
        };
        let until = self.platform.now() + COMMAND_TIMEOUT;
        let now = self.now();
        if self.log.borrow().machine().outcome(id).is_none() {
            self.log.borrow_mut().propose(now, entry.encode(), now + COMMAND_TIMEOUT)?;
            self.wake.notify_one();
        }
        loop {
            let applied = self.applied.notified();
            if let Some(outcome) = self.log.borrow().machine().outcome(id) {
                return match outcome {
                    CommandOutcome::Rejected(error) => Err(error.clone().into()),
                    applied => Ok(applied.clone()),
                };
            }
            if self.platform.timeout_at(until, applied).await.is_err() {
                return Err(ConsensusError::Unknown(COMMAND_TIMEOUT).into());
            }
        }
    }

    /// Bootstraps the log from the newest copy that can be reached, and returns its index.
    pub async fn bootstrap(&self) -> Result<u64, CommandError> {
        self.log.borrow_mut().bootstrap(self.now())?;
        self.wake.notify_one();
        let until = self.platform.now() + BOOTSTRAP_TIMEOUT;
        while self.platform.now() < until {
            self.platform.sleep(Duration::from_millis(20)).await;
            if let Some(position) = self.log.borrow_mut().bootstrap_result() {
                return Ok(position?.index);
            }
        }
        Err(ConsensusError::Unknown(BOOTSTRAP_TIMEOUT).into())
    }

    /// Bytes of the log's messages that this sidecar has sent.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }

    /// Returns whether this sidecar is a voter that knows the leader.
    pub fn has_leader(&self) -> bool {
        self.log.borrow().leader(self.now()).is_some()
    }

    /// The tier of this sidecar, and so of the endpoints that it sends to.
    pub fn tier(&self) -> u8 {
        self.tier
    }

    /// This sidecar as the target of a permit, with its zone and tier.
    pub fn own_permit_target(&self) -> (PermitTarget, String, u8) {
        let target = PermitTarget::Sidecar { name: self.name.clone(), generation: self.generation };
        (target, self.zone.clone(), self.tier)
    }

    /// The platform that provides clock and tasks.
    pub fn platform(&self) -> &P {
        &self.platform
    }

    /// Waits until a permit is granted; returns `false` if it was returned instead.
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

    /// Waits until a plan is known, for the initial wait at most.
    pub async fn wait_for_plan(&self) {
        let until = self.platform.now() + self.wait;
        while self.log.borrow().position().index == 0 {
            if self.platform.timeout_at(until, self.applied.notified()).await.is_err() {
                (self.listener)(PlanEvent::NoPlan);
                return;
            }
        }
    }

    /// Number and content of the revision that applies to this sidecar.
    pub fn content(&self) -> (u32, Rc<RevisionContent>) {
        let log = self.log.borrow();
        let revision = log.machine().revision_for(&self.name);
        (revision, log.machine().content(revision))
    }

    /// Lowers the settings' limits to those of the revision; a revision never raises them.
    pub(crate) fn apply_to_settings(&self, settings: &mut Settings) {
        let (_, content) = self.content();
        if let Some(attempts) = content.max_attempts {
            settings.limits.max_attempts = settings.limits.max_attempts.min(attempts);
        }
    }

    /// How the plan changes the weight of an endpoint.
    pub fn weight_adjustment(&self, name: &str, zone: &str, group: usize) -> WeightAdjustment {
        let log = self.log.borrow();
        let plan = log.machine();
        if plan.excluded_endpoints().contains(name) {
            return WeightAdjustment::Excluded;
        }
        plan.content(plan.revision_for(&self.name)).weight_adjustment(name, zone, group)
    }

    /// Records that everything agreed so far is in force at this sidecar (settings, endpoint list, retry rules), and reports
    /// it to the voters.
    pub fn mark_in_force(&self) {
        let now = self.now();
        let (revision, content) = self.content();
        let (position, storm) = {
            let log = self.log.borrow();
            (log.position(), log.machine().storm().0)
        };
        self.throttle.borrow_mut().update(content, storm, now);
        if self.storm.replace(storm) != storm {
            (self.listener)(PlanEvent::RetryStorm(storm));
        }
        let before = self.in_force.replace(position);
        if self.revision.replace(revision) != revision {
            (self.listener)(PlanEvent::InForce { revision, index: position.index });
        }
        if before != position {
            self.next_status_at.set(now);
            self.wake.notify_one();
        }
    }

    /// Returns whether the plan's retry rules allow an attempt. `share` returns this sidecar's share of the retry limit.
    pub(crate) fn allow_attempt(
        &self,
        request: &Request,
        first: bool,
        after: Option<RetryCause>,
        share: impl FnOnce() -> f64,
    ) -> bool {
        let class = std::str::from_utf8(request.class_name()).unwrap_or_default();
        let tenant = request.headers.single("x-caller").ok().flatten();
        let tenant = tenant.and_then(|tenant| std::str::from_utf8(tenant).ok());
        self.allow_attempt_of(class, tenant, first, after, share)
    }

    /// As `PlanDriver::allow_attempt`, for a request given by its class and tenant.
    pub fn allow_attempt_of(
        &self,
        class: &str,
        tenant: Option<&str>,
        first: bool,
        after: Option<RetryCause>,
        share: impl FnOnce() -> f64,
    ) -> bool {
        let attributes = RetryAttributes { tenant, class, tier: self.tier, zone: &self.zone, after };
        let mut throttle = self.throttle.borrow_mut();
        if first {
            throttle.record_first_attempt(&attributes);
            return true;
        }
        let decision = throttle.try_retry(&attributes, share(), self.now());
        let denied = matches!(decision, RetryDecision::Denied(_));
        self.denied.set(self.denied.get() + u64::from(denied));
        !denied
    }

    /// Rejects a revision that would leave too few of the endpoints that this sidecar lists.
    pub fn check_endpoints_left(&self, text: &str, listed: &ListedEndpoints) -> Result<(), CommandError> {
        let content = RevisionContent::parse(text, "revision")
            .map_err(|error| PlanError::InvalidContent(error.to_string()))?;
        if !content.retry_rules.is_empty() && !self.retries_limited {
            let reason = "retries: needs [[budget.whole]] with use = \"retries\" in the operator's file";
            return Err(PlanError::InvalidContent(reason.to_owned()).into());
        }
        let ready = listed.iter().filter(|(.., ready)| *ready);
        let total = ready.clone().count() as u32;
        let left = ready.filter(|(name, zone, group, _)| {
            content.weight_adjustment(name, zone, *group) != WeightAdjustment::Excluded
        });
        check_min_share(left.count() as u32, total, content.min_endpoint_share, "server")
    }

    /// Rejects the drain of one more endpoint if too few would be left.
    pub fn check_drain(&self, name: &str, listed: &ListedEndpoints) -> Result<(), CommandError> {
        let (_, content) = self.content();
        let total = listed.len() as u32;
        let remains = |(other, zone, group, ready): &&(String, String, usize, bool)| {
            *ready
                && other != name
                && self.weight_adjustment(other, zone, *group) != WeightAdjustment::Excluded
        };
        check_min_share(
            listed.iter().filter(remains).count() as u32,
            total,
            content.min_endpoint_share,
            "drain",
        )
    }

    /// Calls a function with the log.
    pub fn with_log<T>(&self, read: impl FnOnce(&Log<Plan>) -> T) -> T {
        read(&self.log.borrow())
    }

    /// The text of a revision.
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

    /// The index of the last log entry in force at this sidecar, and the revision in force.
    pub fn in_force(&self) -> (u64, u32) {
        (self.in_force.get().index, self.revision.get())
    }

    /// The state of the plan as this sidecar knows it, as JSON for operators.
    pub fn status_json(&self) -> Value {
        let (log, now) = (self.log.borrow(), self.now());
        let (plan, unix) = (log.machine(), self.platform.unix().as_millis() as u64);
        let status: Status = log.status(now);
        let sidecars = self.sidecars.borrow();
        let statuses = self.statuses.borrow();
        // Only voters receive the status reports of the others.
        let (is_voter, bootstrap_id) = (log.config().voter_index().is_some(), log.position().bootstrap_id);
        let mut by_revision: BTreeMap<u32, usize> = BTreeMap::new();
        let mut behind = Vec::new();
        if is_voter {
            for sidecar in sidecars.iter().filter(|sidecar| sidecar.state != MemberState::Left) {
                let known =
                    statuses.get(&sidecar.name).filter(|known| known.report.generation == sidecar.generation);
                if let Some(known) = known {
                    *by_revision.entry(known.report.revision).or_default() += 1;
                }
                let confirmed = known.map_or(0, |known| known.report.confirmed_index(bootstrap_id));
                if confirmed < status.index {
                    let state =
                        if sidecar.state == MemberState::Alive { "there" } else { "gone, may still serve" };
                    let heard_ms =
                        known.map(|known| now.saturating_sub(known.received_at).as_millis() as u64);
                    behind.push(
                        json!({"name": sidecar.name, "at": confirmed, "state": state, "heard_ms": heard_ms}),
                    );
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
                let held_up_by: Vec<&str> = match it.state {
                    PermitState::Granted { .. } if is_voter && it.target.is_endpoint() => {
                        let unconfirmed =
                            self.controller.borrow().unconfirmed_sidecars(plan, number, &sidecars);
                        unconfirmed.iter()
                            .filter(|sidecar| {
                                statuses
                                    .get(&sidecar.name)
                                    .is_none_or(|known| known.report.confirmed_index(bootstrap_id) < status.index)
                            })
                            .map(|sidecar| sidecar.name.as_str())
                            .take(16)
                            .collect::<Vec<&str>>()
                    }
                    _ => Vec::new(),
                };
                let waits_for = it.blocked_by.as_ref().map(ToString::to_string);
                json!({"number": number, "name": it.target.name(), "server": it.target.is_endpoint(), "zone": it.zone,
                    "tier": it.tier, "by": it.proposed_by, "state": it.state_text(), "overdue": unix > it.overdue_at_ms,
                    "waits_for": waits_for, "held_up_by": held_up_by, "since": it.granted_index()})
            })
            .collect();
        let release = plan.release().map(|it| {
            json!({"revision": it.revision, "waves": it.waves, "wave": it.wave, "phase": it.phase.as_str(),
                "waved": plan.last_wave_index()})
        });
        json!({
            "log": status, "revision": self.revision.get(), "in_force_to": self.in_force.get().index,
            "current": plan.current(), "revisions": revisions, "permits": permits, "release": release,
            "halted_by": plan.halted_by(), "storm": plan.storm().0, "retries_barred": self.denied.get(),
            "unread_words": plan.fault_counts().1, "invariants_broken": plan.fault_counts().0,
            "keeper": is_voter, "at_revision": by_revision, "behind": behind,
        })
    }
}

fn check_min_share(left: u32, total: u32, min_share: f64, field: &str) -> Result<(), CommandError> {
    if f64::from(left) < min_share * f64::from(total) || left == 0 && total > 0 {
        let (field, min_share) = (field.to_owned(), min_share.to_string());
        return Err(PlanError::TooFewLeft { field, left, total, min_share }.into());
    }
    Ok(())
}

#[cfg(test)]
mod tests;
