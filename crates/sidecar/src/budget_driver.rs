//! Budget driver: runs the [`Budget`] protocol on a [`Platform`] and enforces its limits where requests, attempts,
//! connections, probes and calls to discovery start. Datagrams travel over the fleet's socket.

use cometcroft::Settings;
use cometcroft_budget::{Budget, Config, Event, LimitKind, Report, Time};
use cometcroft_platform::Platform;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// What a limit of the operator file applies to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BudgetUse {
    /// Requests of a tenant, by the name that its clients send.
    Tenant(String),
    /// Requests open at once.
    Open,
    /// Retries.
    Retries,
    /// New connections to endpoints.
    Connections,
    /// Probes.
    Probes,
    /// Calls to discovery.
    Discovery,
}

/// Callback for events that are logged.
pub type Listener = Box<dyn Fn(Event)>;

/// What a [`BudgetDriver`] is built from.
pub struct BudgetParts {
    /// Configuration of the budget protocol.
    pub config: Config,
    /// What each limit applies to, in the order of `config.limits`.
    pub uses: Vec<BudgetUse>,
    /// Identifies this process as a holder; must differ between all starts of all sidecars.
    pub id: u64,
    /// Receives events to log.
    pub listener: Listener,
}

/// Takes part in the fleet's budgets on behalf of one sidecar.
pub struct BudgetDriver<P: Platform> {
    platform: P,
    origin: Instant,
    budget: RefCell<Budget>,
    uses: Vec<BudgetUse>,
    listener: Listener,
    /// Tenants' shares that the decision module was last configured with, by limit.
    applied_shares: RefCell<Vec<u64>>,
    /// Signals that a limit was exhausted, so that the protocol may request a larger share.
    pub(crate) shortage: Notify,
    /// Earliest time of the next `shortage` signal.
    next_shortage_at: Cell<Time>,
}

/// One unit of a concurrency limit; released on drop.
pub struct ConcurrencyGuard<P: Platform>(Rc<BudgetDriver<P>>, usize);

impl<P: Platform> Drop for ConcurrencyGuard<P> {
    fn drop(&mut self) {
        self.0.budget.borrow_mut().release(self.1);
    }
}

impl<P: Platform> BudgetDriver<P> {
    /// Creates the driver of a sidecar that starts now.
    pub fn new(platform: P, parts: BudgetParts) -> Rc<BudgetDriver<P>> {
        let BudgetParts { config, uses, id, listener } = parts;
        let origin = platform.now();
        Rc::new(BudgetDriver {
            origin,
            applied_shares: RefCell::new(vec![0; uses.len()]),
            budget: RefCell::new(Budget::new(config, Time::ZERO, id)),
            uses,
            listener,
            shortage: Notify::new(),
            next_shortage_at: Cell::new(Time::ZERO),
            platform,
        })
    }

    fn now(&self) -> Time {
        self.platform.since(self.origin)
    }

    /// Index of the limit that applies to a use.
    fn limit_of(&self, kind: &BudgetUse) -> Option<usize> {
        self.uses.iter().position(|budget_use| budget_use == kind)
    }

    /// Acquires one unit of a limit, or returns how long to wait. The clock is read here, after whatever the caller awaited,
    /// as the lease on the share may have expired meanwhile.
    fn try_acquire(&self, limit: usize) -> Result<(), Duration> {
        let now = self.now();
        let acquired = self.budget.borrow_mut().try_acquire(limit, now);
        if acquired.is_err() && now >= self.next_shortage_at.get() {
            // An unmet demand is signalled early, but not at each rejection.
            self.next_shortage_at.set(now + self.budget.borrow().config().request_interval() / 16);
            self.shortage.notify_one();
        }
        acquired
    }

    /// Admits a request of this tenant, or returns after how long it may be sent again. The guard, if any, must live as long
    /// as the request.
    pub fn admit(self: &Rc<Self>, tenant: Option<&[u8]>) -> Result<Option<ConcurrencyGuard<P>>, Duration> {
        let open = match self.limit_of(&BudgetUse::Open) {
            Some(limit) => {
                self.try_acquire(limit)?;
                Some(ConcurrencyGuard(self.clone(), limit))
            }
            None => None,
        };
        let applies = |budget_use: &BudgetUse| matches!(budget_use, BudgetUse::Tenant(name) if Some(name.as_bytes()) == tenant);
        if let Some(limit) = self.uses.iter().position(applies) {
            self.try_acquire(limit)?;
        }
        Ok(open)
    }

    /// Acquires one retry; returns `false` if the limit is exhausted.
    pub fn allow_retry(&self) -> bool {
        self.limit_of(&BudgetUse::Retries).is_none_or(|limit| self.try_acquire(limit).is_ok())
    }

    /// This sidecar's share of the retry limit as a fraction of the limit; `None` if retries are not limited.
    pub(crate) fn retry_share(&self) -> Option<f64> {
        let limit = self.limit_of(&BudgetUse::Retries)?;
        let (now, budget) = (self.now(), self.budget.borrow());
        Some(budget.share(limit, now) as f64 / (budget.config().limits[limit].size as f64).max(1.0))
    }

    /// Acquires one probe; returns `false` if the limit is exhausted.
    pub fn allow_probe(&self) -> bool {
        self.limit_of(&BudgetUse::Probes).is_none_or(|limit| self.try_acquire(limit).is_ok())
    }

    /// Waits until a new connection may be opened; returns `false` if that is not before `until`.
    pub async fn wait_to_connect(&self, until: Instant) -> bool {
        let Some(limit) = self.limit_of(&BudgetUse::Connections) else { return true };
        loop {
            let Err(wait) = self.try_acquire(limit) else { return true };
            let next = self.platform.now() + wait.max(Duration::from_millis(1));
            if next > until {
                return false;
            }
            self.platform.sleep_until(next).await;
        }
    }

    /// Waits until discovery may be called. A sidecar without a share learns of no drain, so the operator file should
    /// guarantee a share of this limit (`floor`).
    pub async fn wait_to_call_discovery(&self) {
        let Some(limit) = self.limit_of(&BudgetUse::Discovery) else { return };
        while let Err(wait) = self.try_acquire(limit) {
            self.platform.sleep(wait.max(Duration::from_millis(1))).await;
        }
    }

    /// Acquires one unit of a limit given by its position in the file, as the emulator's load does. Returns `None` if the
    /// limit is exhausted, and a guard for a concurrency limit.
    pub fn try_use(self: &Rc<Self>, limit: usize) -> Option<Option<ConcurrencyGuard<P>>> {
        self.try_acquire(limit).ok()?;
        let is_concurrency =
            matches!(self.budget.borrow().config().limits[limit].kind, LimitKind::Concurrency { .. });
        Some(is_concurrency.then(|| ConcurrencyGuard(self.clone(), limit)))
    }

    /// Sets the tenants' quotas so that the decision module enforces this sidecar's own shares. The module divides a quota
    /// by the number of sidecars, so the share is multiplied by that number.
    pub fn apply_to_settings(&self, settings: &mut Settings, tenants: &[String]) {
        let (now, budget) = (self.now(), self.budget.borrow());
        for (limit, budget_use) in self.uses.iter().enumerate() {
            let BudgetUse::Tenant(name) = budget_use else { continue };
            let share = budget.share(limit, now);
            self.applied_shares.borrow_mut()[limit] = share;
            let index = tenants.iter().position(|tenant| tenant == name);
            if let Some(tenant) = index.and_then(|index| settings.tenants.get_mut(index)) {
                tenant.quota_per_s = share as f64 / 1000.0 * f64::from(settings.instances);
            }
        }
    }

    /// Returns whether a tenant's share differs by more than 5% from what the decision module was configured with.
    pub(crate) fn shares_changed(&self) -> bool {
        let (now, budget, applied_shares) = (self.now(), self.budget.borrow(), self.applied_shares.borrow());
        let differs = |(limit, budget_use): (usize, &BudgetUse)| {
            let share = budget.share(limit, now);
            matches!(budget_use, BudgetUse::Tenant(_))
                && share.abs_diff(applied_shares[limit]) * 20 > share.max(applied_shares[limit])
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
        // The clock is read after the datagram has arrived: a lease begins then, not earlier.
        self.budget.borrow_mut().receive(self.now(), from, bytes);
    }

    pub(crate) fn leave(&self) {
        self.budget.borrow_mut().leave(self.now());
    }

    /// The next datagram to send. Reports pending events to the listener first.
    pub(crate) fn next_datagram(&self) -> Option<(SocketAddrV4, Vec<u8>)> {
        loop {
            let event = self.budget.borrow_mut().next_event();
            let Some(event) = event else { break };
            (self.listener)(event);
        }
        self.budget.borrow_mut().next_datagram()
    }

    /// Calls a function with the protocol's state and its current time.
    pub fn with_budget<T>(&self, read: impl FnOnce(&Budget, Time) -> T) -> T {
        read(&self.budget.borrow(), self.now())
    }

    /// The state of the budgets for operators.
    pub fn report(&self) -> Report {
        self.budget.borrow_mut().report(self.now())
    }
}
