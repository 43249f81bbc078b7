//! One hollow sidecar: the driver of membership, budgets and plan as the daemon runs it, without a data plane.

use crate::clock::monotonic;
use crate::counted::Counted;
use crate::protocol::{FleetSettings, MemberSettings, Proposed, View};
use crate::traffic::{Meter, Role};
use cometcroft_budget::{Limit, LimitKind};
use cometcroft_membership::Name;
use cometcroft_plan::{Command, CommandOutcome};
use cometcroft_platform::{Platform, Tokio};
use cometcroft_sidecar::budget_driver::{BudgetParts, BudgetUse};
use cometcroft_sidecar::fleet::{Fleet, FleetParts};
use cometcroft_sidecar::plan_driver::{CommandError, PlanDriver, PlanEvent, PlanParts};
use std::cell::Cell;
use std::net::{IpAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};

type Measured = Counted<Tokio>;
/// A member's part in the plan.
pub type MemberPlan = Rc<PlanDriver<Measured>>;

/// The daemon puts news of the fleet in force at most so often.
const RECOUNT: Duration = Duration::from_millis(250);
/// The daemon waits for a plan so long before it takes clients.
const PLAN_WAIT: Duration = Duration::from_millis(300);
/// Budgets are leased for so long, as in a file that doesn't say.
pub const LEASE: Duration = Duration::from_secs(4);
/// The budget that is divided, of retries, and its size for each member: 100 a second, in thousandths. Not one of a
/// tenant: parts of those are news until they are in the module's settings, and there is no module here.
pub const BUDGET: &str = "retries";
const BUDGET_PER_MEMBER: u64 = 100_000;

/// The id of the one proposal of a run, and how often it is handed in at most.
const PROPOSAL: u64 = 1;
const PROPOSAL_ATTEMPTS: u32 = 3;

/// The sockets of a member that has not started yet.
pub struct Sockets {
    datagrams: UdpSocket,
    listener: TcpListener,
    /// Where it is reached.
    pub address: SocketAddrV4,
}

impl Sockets {
    pub fn new(datagrams: UdpSocket, listener: TcpListener, address: SocketAddrV4) -> Sockets {
        Sockets { datagrams, listener, address }
    }
}

/// A hollow sidecar that runs.
pub struct Member {
    fleet: Rc<Fleet<Measured>>,
    meter: Rc<Meter>,
    in_force: Rc<Cell<Option<(u32, Duration)>>>,
    index: usize,
    voter: bool,
    address: SocketAddrV4,
    /// The tasks that run it; they end with the runtime.
    _tasks: [<Measured as Platform>::Task; 2],
}

impl Member {
    /// Starts a member on its sockets.
    pub fn start(
        sockets: Sockets,
        settings: &MemberSettings,
        fleet: &FleetSettings,
    ) -> Result<Member, String> {
        let meter = Rc::new(Meter::default());
        let platform = Counted::new(Tokio, meter.clone());
        let in_force = Rc::new(Cell::new(None));
        let address = sockets.address;
        let parts = FleetParts {
            config: membership_config(address, settings, fleet)?,
            socket: platform.datagrams(sockets.datagrams),
            listener: platform.listener(sockets.listener),
            from: IpAddr::V4(*address.ip()),
            watcher: Box::new(|_| ()),
            budget: Some(budget_parts(address, settings, fleet)),
            plan: Some(plan_parts(address, fleet, in_force.clone())),
        };
        let instances = u32::try_from(fleet.members).unwrap_or(u32::MAX);
        let (handle, listener) = Fleet::new(platform.clone(), parts, instances, settings.seed);
        let driver = platform.spawn(handle.clone().run(listener));
        let force = platform.spawn(put_in_force(platform.clone(), handle.clone()));
        Ok(Member {
            fleet: handle,
            meter,
            in_force,
            index: settings.index,
            voter: fleet.voters.contains(&address),
            address,
            _tasks: [driver, force],
        })
    }

    /// Its place among all members.
    pub fn index(&self) -> usize {
        self.index
    }

    /// What it has sent, received and computed.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Its view of the fleet.
    pub fn view(&self) -> View {
        self.fleet.with_membership(|machine| View { digest: machine.digest(), size: machine.present_count() })
    }

    /// The revision that is in force here; 0 while there is none.
    pub fn revision(&self) -> u32 {
        self.in_force.get().map_or(0, |(revision, _)| revision)
    }

    /// The last revision that came in force, and when.
    pub fn in_force(&self) -> Option<(u32, Duration)> {
        self.in_force.get()
    }

    /// What it does for the others now.
    pub fn roles(&self) -> Vec<Role> {
        let mut roles = Vec::new();
        if !self.voter {
            return roles;
        }
        roles.push(Role::Voter);
        // Only voters know who leads.
        let own = self.address.to_string();
        if self.plan().is_some_and(|plan| plan.status_json()["log"]["leader"] == own.as_str()) {
            roles.push(Role::Leader);
        }
        if self.fleet.budget().is_some_and(|budgets| budgets.report().is_allocator) {
            roles.push(Role::Allocator);
        }
        roles
    }

    /// Its part in the plan.
    pub fn plan(&self) -> Option<MemberPlan> {
        self.fleet.plan().cloned()
    }
}

/// Begins the plan's log.
pub async fn found(plan: MemberPlan) -> Result<(), String> {
    plan.bootstrap().await.map(drop).map_err(|failure| failure.to_string())
}

/// Proposes a revision of the plan, again under the same id where the answer is not known, as an operator would.
pub async fn propose(plan: MemberPlan, text: String) -> Proposed {
    let at = monotonic();
    let mut attempts = 1;
    loop {
        let word = Command::Propose { text: text.clone() };
        let revision = match plan.propose(word, "scale test", None, Some(PROPOSAL)).await {
            Ok(CommandOutcome::Applied { number, .. }) => Ok(number),
            Ok(CommandOutcome::Rejected(error)) => Err(CommandError::from(error)),
            Err(failure) => Err(failure),
        };
        if attempts < PROPOSAL_ATTEMPTS && revision.as_ref().is_err_and(CommandError::is_outcome_unknown) {
            attempts += 1;
            continue;
        }
        return Proposed { at, attempts, revision: revision.map_err(|failure| failure.to_string()) };
    }
}

/// Puts in force what is agreed, at the pace of the daemon.
async fn put_in_force(platform: Measured, fleet: Rc<Fleet<Measured>>) {
    loop {
        fleet.changed().await;
        if let Some(plan) = fleet.plan() {
            plan.mark_in_force();
        }
        platform.sleep(RECOUNT).await;
    }
}

fn membership_config(
    address: SocketAddrV4,
    settings: &MemberSettings,
    fleet: &FleetSettings,
) -> Result<cometcroft_membership::Config, String> {
    let name = Name::new(&member_name(settings.index)).ok_or("name: too long")?;
    let mut config = cometcroft_membership::Config::new(&fleet.name, name, address);
    config.zone = Name::new(&settings.zone).ok_or("zone: too long")?;
    config.rank = u16::try_from(settings.index).unwrap_or(u16::MAX);
    config.seeds.clone_from(&fleet.seeds);
    Ok(config)
}

/// A member's name by its place.
pub fn member_name(index: usize) -> String {
    format!("m{index}")
}

/// The size of the budget that a fleet divides, in thousandths a second; its burst is that of a second.
pub fn budget_size(fleet: &FleetSettings) -> u64 {
    BUDGET_PER_MEMBER * fleet.members as u64
}

/// What a member is told of the budgets.
pub fn budget_config(address: SocketAddrV4, fleet: &FleetSettings) -> cometcroft_budget::Config {
    let size = budget_size(fleet);
    let mut config = cometcroft_budget::Config::new(&fleet.name, address, fleet.voters.clone(), LEASE);
    let kind = LimitKind::Rate { burst: size };
    config.limits.push(Limit { name: BUDGET.to_owned(), kind, size, guaranteed: 0 });
    config
}

/// What a member is told of the plan's log.
pub fn plan_config(address: SocketAddrV4, fleet: &FleetSettings) -> cometcroft_consensus::Config {
    cometcroft_consensus::Config::new(&fleet.name, address, fleet.voters.clone())
}

fn budget_parts(address: SocketAddrV4, settings: &MemberSettings, fleet: &FleetSettings) -> BudgetParts {
    BudgetParts {
        config: budget_config(address, fleet),
        uses: vec![BudgetUse::Retries],
        // The seed is one member's alone, and each starts once.
        id: fastrand::Rng::with_seed(!settings.seed).u64(1..),
        listener: Box::new(|_| ()),
    }
}

fn plan_parts(
    address: SocketAddrV4,
    fleet: &FleetSettings,
    in_force: Rc<Cell<Option<(u32, Duration)>>>,
) -> PlanParts {
    let listener = Box::new(move |event| {
        if let PlanEvent::InForce { revision, .. } = event {
            in_force.set(Some((revision, monotonic())));
        }
    });
    PlanParts { config: plan_config(address, fleet), wait: PLAN_WAIT, divides: true, listener }
}
