//! What this sidecar may spend of the fleet's budgets: the driver of [`Budget`] on a [`Platform`], and the guards at the
//! places where it is spent. The protocol's datagrams come and go by the fleet's socket.

use cometcroft::Settings;
use cometcroft_budget::{Budget, Config, Event, LimitKind, Report, Time};
use cometcroft_platform::Platform;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// What a whole of the file is spent on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BudgetUse {
    /// Requests of a tenant, by the name that its callers give.
    Tenant(String),
    /// Requests open at once.
    Open,
    /// Attempts beyond a request's first.
    Retries,
    /// New connections to backend servers.
    Connections,
    /// Probes.
    Probes,
    /// Calls to discovery.
    Discovery,
}

/// What hears of events worth a line in the log.
pub type Listener = Box<dyn Fn(Event)>;

/// What a sidecar is given for its budgets.
pub struct BudgetParts {
    /// What it is told.
    pub config: Config,
    /// What each whole is spent on, in their order.
    pub uses: Vec<BudgetUse>,
    /// A number that no other start of any sidecar has.
    pub id: u64,
    /// Hears of events.
    pub listener: Listener,
}

/// The budgets of a sidecar, and where they are spent.
pub struct BudgetDriver<P: Platform> {
    platform: P,
    origin: Instant,
    budget: RefCell<Budget>,
    uses: Vec<BudgetUse>,
    listener: Listener,
    /// The shares of the tenants as the module has been told.
    told: RefCell<Vec<u64>>,
    /// Somebody lacks something: the protocol may have to ask.
    pub(crate) shortage: Notify,
    urgent: Cell<Time>,
}

/// A use of a level, given back when it is dropped.
pub struct ConcurrencyGuard<P: Platform>(Rc<BudgetDriver<P>>, usize);

impl<P: Platform> Drop for ConcurrencyGuard<P> {
    fn drop(&mut self) {
        self.0.budget.borrow_mut().release(self.1);
    }
}

impl<P: Platform> BudgetDriver<P> {
    /// The budgets of a sidecar that starts now.
    pub fn new(platform: P, parts: BudgetParts) -> Rc<BudgetDriver<P>> {
        let BudgetParts { config, uses, id, listener } = parts;
        let origin = platform.now();
        Rc::new(BudgetDriver {
            origin,
            told: RefCell::new(vec![0; uses.len()]),
            budget: RefCell::new(Budget::new(config, Time::ZERO, id)),
            uses,
            listener,
            shortage: Notify::new(),
            urgent: Cell::new(Time::ZERO),
            platform,
        })
    }

    fn now(&self) -> Time {
        self.platform.since(self.origin)
    }

    fn which(&self, wanted: &BudgetUse) -> Option<usize> {
        self.uses.iter().position(|each| each == wanted)
    }

    /// One use. Danger: the time is read here, after whatever the use waited for; a part may have lapsed meanwhile.
    fn take(&self, whole: usize) -> Result<(), Duration> {
        let now = self.now();
        let taken = self.budget.borrow_mut().try_acquire(whole, now);
        if taken.is_err() && now >= self.urgent.get() {
            // A need that can't be met is told soon, but not at each refusal.
            self.urgent.set(now + self.budget.borrow().config().request_interval() / 16);
            self.shortage.notify_one();
        }
        taken
    }

    /// Whether a request of this caller is taken; else after how long it may come again.
    pub fn admit(self: &Rc<Self>, caller: Option<&[u8]>) -> Result<Option<ConcurrencyGuard<P>>, Duration> {
        let open = match self.which(&BudgetUse::Open) {
            Some(whole) => {
                self.take(whole)?;
                Some(ConcurrencyGuard(self.clone(), whole))
            }
            None => None,
        };
        let tenant =
            |each: &BudgetUse| matches!(each, BudgetUse::Tenant(name) if Some(name.as_bytes()) == caller);
        if let Some(whole) = self.uses.iter().position(tenant) {
            self.take(whole)?;
        }
        Ok(open)
    }

    /// Whether an attempt beyond a request's first may go out.
    pub fn allow_retry(&self) -> bool {
        self.which(&BudgetUse::Retries).is_none_or(|whole| self.take(whole).is_ok())
    }

    /// Its part of the whole of retries now, as a share of it, if that is divided.
    pub(crate) fn retry_share(&self) -> Option<f64> {
        let whole = self.which(&BudgetUse::Retries)?;
        let (now, budget) = (self.now(), self.budget.borrow());
        Some(budget.share(whole, now) as f64 / (budget.config().limits[whole].size as f64).max(1.0))
    }

    /// Whether a probe may go out.
    pub fn allow_probe(&self) -> bool {
        self.which(&BudgetUse::Probes).is_none_or(|whole| self.take(whole).is_ok())
    }

    /// Waits until a new connection may be made, until then at the latest; whether it may.
    pub async fn wait_to_connect(&self, until: Instant) -> bool {
        let Some(whole) = self.which(&BudgetUse::Connections) else { return true };
        loop {
            let Err(wait) = self.take(whole) else { return true };
            let next = self.platform.now() + wait.max(Duration::from_millis(1));
            if next > until {
                return false;
            }
            self.platform.sleep_until(next).await;
        }
    }

    /// Waits until discovery may be called. Danger: who has no part hears of no drain, so the file should give a floor.
    pub async fn wait_to_call_discovery(&self) {
        let Some(whole) = self.which(&BudgetUse::Discovery) else { return };
        while let Err(wait) = self.take(whole) {
            self.platform.sleep(wait.max(Duration::from_millis(1))).await;
        }
    }

    /// One use of a whole by its place in the file, as the emulator's load does.
    pub fn try_use(self: &Rc<Self>, whole: usize) -> Option<Option<ConcurrencyGuard<P>>> {
        self.take(whole).ok()?;
        let level = matches!(self.budget.borrow().config().limits[whole].kind, LimitKind::Concurrency { .. });
        Some(level.then(|| ConcurrencyGuard(self.clone(), whole)))
    }

    /// The module goes by this sidecar's own parts of the tenants' quotas: it divides by the number of sidecars, so it is
    /// given that many times the part.
    pub fn apply_to_settings(&self, settings: &mut Settings, tenants: &[String]) {
        let (now, budget) = (self.now(), self.budget.borrow());
        for (whole, each) in self.uses.iter().enumerate() {
            let BudgetUse::Tenant(name) = each else { continue };
            let part = budget.share(whole, now);
            self.told.borrow_mut()[whole] = part;
            let tenant = tenants.iter().position(|tenant| tenant == name);
            if let Some(tenant) = tenant.and_then(|tenant| settings.tenants.get_mut(tenant)) {
                tenant.quota_per_s = part as f64 / 1000.0 * f64::from(settings.instances);
            }
        }
    }

    /// Whether a part differs so much from what the module was told that it has to be told again.
    pub(crate) fn shares_changed(&self) -> bool {
        let (now, budget, told) = (self.now(), self.budget.borrow(), self.told.borrow());
        let differs = |(whole, each): (usize, &BudgetUse)| {
            let part = budget.share(whole, now);
            matches!(each, BudgetUse::Tenant(_)) && part.abs_diff(told[whole]) * 20 > part.max(told[whole])
        };
        self.uses.iter().enumerate().any(differs)
    }

    pub(crate) fn next_wakeup(&self) -> Instant {
        self.origin + self.budget.borrow().next_wakeup()
    }

    pub(crate) fn tick(&self) {
        self.budget.borrow_mut().tick(self.now());
    }

    pub(crate) fn receive(&self, from: SocketAddrV4, bytes: &[u8]) {
        // Danger: the time is read after the message has come: a part is lent from then on, not from before.
        self.budget.borrow_mut().receive(self.now(), from, bytes);
    }

    pub(crate) fn leave(&self) {
        self.budget.borrow_mut().leave(self.now());
    }

    /// What is to be sent next; events are told on the way.
    pub(crate) fn next_datagram(&self) -> Option<(SocketAddrV4, Vec<u8>)> {
        loop {
            let event = self.budget.borrow_mut().next_event();
            let Some(event) = event else { break };
            (self.listener)(event);
        }
        self.budget.borrow_mut().next_datagram()
    }

    /// Looks at the budgets.
    pub fn with_budget<T>(&self, what: impl FnOnce(&Budget, Time) -> T) -> T {
        what(&self.budget.borrow(), self.now())
    }

    /// Itself, for operators.
    pub fn report(&self) -> Report {
        self.budget.borrow_mut().report(self.now())
    }
}
