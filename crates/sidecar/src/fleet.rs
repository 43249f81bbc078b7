//! This sidecar as a member of its fleet: the driver of [`Membership`] on a [`Platform`]. The data path never waits for
//! it; what it learns reaches the module as settings.

use crate::budget_driver::{BudgetDriver, BudgetParts, ConcurrencyGuard};
use crate::http::server::Request;
use crate::plan_driver::{PlanDriver, PlanParts};
use cometcroft::Settings;
use cometcroft_budget::is_budget_datagram;
use cometcroft_membership::{Change, Config, Headcount, MAX_DATAGRAM, Membership, Output, Time};
use cometcroft_plan::RetryCause;
use cometcroft_platform::{Datagrams, Listener, Platform, Task};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// Exchanges that it begins, and that others begin with it, at once.
const EXCHANGES: usize = 2;
const VISITORS: usize = 8;
/// Messages too long for a datagram on their way at once, and how such a connection begins: no view is so long.
const LETTERS: usize = 16;
const LETTER: &[u8; 4] = b"cl\xff\xff";
/// An exchange takes no longer.
const EXCHANGE: Duration = Duration::from_secs(1);
/// What hears of every change of state.
pub type Watcher = Box<dyn Fn(&Change)>;

/// What a member of a fleet is given by whoever starts it.
pub struct FleetParts<P: Platform> {
    /// What it is told.
    pub config: Config,
    /// Its socket for datagrams.
    pub socket: P::Datagrams,
    /// Where whole views are exchanged.
    pub listener: P::Listener,
    /// The address that its connections come from.
    pub from: IpAddr,
    /// Hears of changes.
    pub watcher: Watcher,
    /// Its part in the fleet's budgets, if there are any.
    pub budget: Option<BudgetParts>,
    /// Its part in the fleet's plan, if there is one.
    pub plan: Option<PlanParts>,
}

/// A member of a fleet.
pub struct Fleet<P: Platform> {
    platform: P,
    machine: RefCell<Membership>,
    socket: P::Datagrams,
    from: IpAddr,
    origin: Instant,
    tier: u8,
    count: RefCell<Headcount>,
    in_force: Cell<u32>,
    counted: Notify,
    wake: Notify,
    calls: Cell<usize>,
    visitors: Cell<usize>,
    watcher: Watcher,
    budget: Option<Rc<BudgetDriver<P>>>,
    plan: Option<Rc<PlanDriver<P>>>,
    /// Messages too long for a datagram that are on their way.
    letters: Cell<usize>,
}

impl<P: Platform> Fleet<P> {
    /// A member that starts now; `instances` is how many are at work by the settings.
    pub fn new(platform: P, parts: FleetParts<P>, instances: u32, seed: u64) -> (Rc<Fleet<P>>, P::Listener) {
        let FleetParts { config, socket, listener, from, watcher, budget, plan } = parts;
        let origin = platform.now();
        let (tier, cautious, settle) =
            (config.tier, config.features.delayed_decrease, config.timing.headcount_settle);
        let unix = platform.unix().as_millis() as u64;
        let machine = Membership::new(config, Time::ZERO, unix, seed);
        let plan = plan.map(|parts| PlanDriver::new(platform.clone(), parts, machine.local_record(), !seed));
        let fleet = Fleet {
            machine: RefCell::new(machine),
            socket,
            from,
            origin,
            tier,
            count: RefCell::new(Headcount::new(Time::ZERO, instances, settle, cautious)),
            in_force: Cell::new(instances.max(1)),
            counted: Notify::new(),
            wake: Notify::new(),
            calls: Cell::new(0),
            visitors: Cell::new(0),
            watcher,
            budget: budget.map(|parts| BudgetDriver::new(platform.clone(), parts)),
            plan,
            letters: Cell::new(0),
            platform,
        };
        (Rc::new(fleet), listener)
    }

    fn now(&self) -> Time {
        self.platform.since(self.origin)
    }

    /// Takes part until it is dropped.
    pub async fn run(self: Rc<Self>, listener: P::Listener) {
        let served = self.clone();
        let _server = Guard(self.platform.spawn(async move { served.serve(listener).await }));
        let mut buffer = [0; MAX_DATAGRAM + 1];
        loop {
            let due = self.origin + self.machine.borrow().next_at();
            let lent = self.budget.as_ref().map(|budget| budget.next_wakeup());
            let agreed = self.plan.as_ref().map(|plan| plan.next_wakeup());
            tokio::select! {
                biased;
                // Danger: who floods it with datagrams must not keep it from its times.
                () = self.platform.sleep_until(due) => self.machine.borrow_mut().tick(self.now()),
                () = self.platform.sleep_until(lent.unwrap_or(due)), if lent.is_some() => self.tick_budget(),
                () = self.platform.sleep_until(agreed.unwrap_or(due)), if agreed.is_some() => self.tick_plan(),
                () = self.wake.notified() => {}
                () = said(&self.plan) => {}
                () = lacking(&self.budget) => self.tick_budget(),
                got = self.socket.receive(&mut buffer) => match got {
                    Ok((length, from)) => self.hear(from, &buffer[..length]),
                    // Out of memory or the like: not in a tight loop.
                    Err(_) => self.platform.sleep(Duration::from_millis(5)).await,
                },
            }
            self.flush();
        }
    }

    fn tick_budget(&self) {
        if let Some(budget) = &self.budget {
            budget.tick();
        }
    }

    fn tick_plan(&self) {
        if let Some(plan) = &self.plan {
            plan.tick(&self.machine.borrow());
        }
    }

    fn hear(&self, from: SocketAddr, bytes: &[u8]) {
        if let Some(plan) = self.plan.as_ref().filter(|_| cometcroft_consensus::is_consensus_message(bytes)) {
            plan.receive(bytes);
            return;
        }
        match (&self.budget, from) {
            (Some(budget), SocketAddr::V4(from)) if is_budget_datagram(bytes) => budget.receive(from, bytes),
            _ => self.machine.borrow_mut().receive(self.now(), bytes),
        }
    }

    /// Does what the machine wants done.
    fn flush(self: &Rc<Self>) {
        loop {
            let output = self.machine.borrow_mut().output();
            match output {
                None => break,
                // What can't be sent now is lost, as on any way.
                Some(Output::Send(to, bytes)) => drop(self.socket.send(&bytes, to.into())),
                Some(Output::Exchange(to)) if self.calls.get() < EXCHANGES => {
                    self.calls.set(self.calls.get() + 1);
                    let fleet = self.clone();
                    self.platform.detach(async move {
                        let called = fleet.platform.timeout(EXCHANGE, fleet.exchange(to.into()));
                        // One that failed is made again, with another, while views differ.
                        let _ = called.await;
                        fleet.calls.set(fleet.calls.get() - 1);
                        fleet.wake.notify_one();
                    });
                }
                Some(Output::Exchange(_)) => {}
                Some(Output::Changed(change)) => (self.watcher)(&change),
            }
        }
        let now = self.now();
        let machine = self.machine.borrow();
        let (reached, known) = machine.reach();
        let count = self.count.borrow_mut().observe(now, machine.present_in_tier(self.tier), reached, known);
        let budget = self.budget.as_ref();
        while let Some((to, bytes)) = budget.and_then(|budget| budget.next_datagram()) {
            drop(self.socket.send(&bytes, to.into()));
        }
        let plan = self.plan.as_ref();
        while let Some((to, bytes)) = plan.and_then(|plan| plan.next_message()) {
            self.deliver(to, bytes);
        }
        let news = budget.is_some_and(|budget| budget.shares_changed())
            || plan.is_some_and(|plan| plan.position_changed());
        if self.in_force.replace(count) != count || news {
            self.counted.notify_one();
        }
    }

    /// Sends a message of the plan: as a datagram, or on a connection of its own where it is too long for one. What can't
    /// be sent now is lost, and said again.
    fn deliver(self: &Rc<Self>, to: std::net::SocketAddrV4, bytes: Vec<u8>) {
        if bytes.len() <= MAX_DATAGRAM {
            drop(self.socket.send(&bytes, to.into()));
        } else if self.letters.get() < LETTERS {
            self.letters.set(self.letters.get() + 1);
            let fleet = self.clone();
            self.platform.detach(async move {
                let post = async {
                    let mut stream = fleet.platform.connect_from(fleet.from, to.into()).await?;
                    stream.write_all(LETTER).await?;
                    write(&mut stream, &bytes).await?;
                    // Danger: a close with unread bytes on the way would reset what was sent.
                    stream.read(&mut [0]).await
                };
                let _ = fleet.platform.timeout(EXCHANGE, post).await;
                fleet.letters.set(fleet.letters.get() - 1);
            });
        }
    }

    /// Asks another for its whole view, and gives its own.
    async fn exchange(&self, to: SocketAddr) -> io::Result<()> {
        let mut stream = self.platform.connect_from(self.from, to).await?;
        let view = self.machine.borrow_mut().view();
        write(&mut stream, &view).await?;
        let longest = self.machine.borrow().max_view_size();
        let mut head = [0; 4];
        stream.read_exact(&mut head).await?;
        let theirs = read(&mut stream, head, longest).await?;
        self.machine.borrow_mut().receive_view(self.now(), &theirs);
        Ok(())
    }

    async fn serve(self: Rc<Self>, listener: P::Listener) {
        loop {
            let accepted = listener.accept().await;
            let Ok(mut stream) = accepted else {
                self.platform.sleep(Duration::from_millis(50)).await;
                continue;
            };
            // Danger: hundreds that start at once all come here; those beyond a few come again.
            if self.visitors.get() >= VISITORS {
                continue;
            }
            self.visitors.set(self.visitors.get() + 1);
            let fleet = self.clone();
            self.platform.detach(async move {
                let visit = async {
                    let longest = fleet.machine.borrow().max_view_size();
                    let mut head = [0; 4];
                    stream.read_exact(&mut head).await?;
                    if let Some(plan) = fleet.plan.as_ref().filter(|_| head == *LETTER) {
                        stream.read_exact(&mut head).await?;
                        let letter = read(&mut stream, head, cometcroft_consensus::MAX_MESSAGE).await?;
                        plan.receive(&letter);
                        return Ok(());
                    }
                    let theirs = read(&mut stream, head, longest).await?;
                    let answer = fleet.machine.borrow_mut().receive_view(fleet.now(), &theirs);
                    match answer {
                        Some(answer) => write(&mut stream, &answer).await,
                        None => Ok(()),
                    }
                };
                let _ = fleet.platform.timeout(EXCHANGE, visit).await;
                fleet.visitors.set(fleet.visitors.get() - 1);
                fleet.wake.notify_one();
            });
        }
    }

    /// It leaves in order.
    pub fn leave(&self) {
        self.machine.borrow_mut().leave(self.now());
        if let Some(budget) = &self.budget {
            budget.leave();
        }
        self.wake.notify_one();
    }

    /// How many sidecars of its tier are at work, for whoever divides by it.
    pub fn sidecar_count(&self) -> u32 {
        self.in_force.get()
    }

    /// The plan, if it takes part in one.
    pub fn plan(&self) -> Option<&Rc<PlanDriver<P>>> {
        self.plan.as_ref()
    }

    /// Whether a request of this caller is taken; else after how long it may come again.
    pub fn admit(&self, caller: Option<&[u8]>) -> Result<Option<ConcurrencyGuard<P>>, Duration> {
        self.budget.as_ref().map_or(Ok(None), |budget| budget.admit(caller))
    }

    /// Whether an attempt may go out: the first may; further ones by the plan's policies and by the budget.
    pub fn allow_attempt(&self, request: &Request, first: bool, after: Option<RetryCause>) -> bool {
        // Danger: a sidecar whose file divides nothing must not take the whole for its part.
        let alone = 1.0 / f64::from(self.sidecar_count().max(1));
        let part = || self.budget.as_ref().map_or(alone, |budget| budget.retry_share().unwrap_or(alone));
        let allowed = self.plan.as_ref().is_none_or(|plan| plan.allow_attempt(request, first, after, part));
        allowed && (first || self.budget.as_ref().is_none_or(|budget| budget.allow_retry()))
    }

    /// Whether a probe may go out.
    pub fn allow_probe(&self) -> bool {
        self.budget.as_ref().is_none_or(|budget| budget.allow_probe())
    }

    /// Waits until a new connection may be made, until then at the latest; whether it may.
    pub async fn wait_to_connect(&self, until: Instant) -> bool {
        match &self.budget {
            Some(budget) => budget.wait_to_connect(until).await,
            None => true,
        }
    }

    /// Waits until discovery may be called.
    pub async fn wait_to_call_discovery(&self) {
        if let Some(budget) = &self.budget {
            budget.wait_to_call_discovery().await;
        }
    }

    /// Puts what the fleet knows into settings: how many are at work, this one's parts of the tenants' quotas, and what
    /// the revision in force allows.
    pub fn apply_to_settings(&self, settings: &mut Settings, tenants: &[String]) {
        settings.instances = self.sidecar_count();
        if let Some(budget) = &self.budget {
            budget.apply_to_settings(settings, tenants);
        }
        if let Some(plan) = &self.plan {
            plan.apply_to_settings(settings);
        }
    }

    /// Its budgets, if it has any.
    pub fn budget(&self) -> Option<&Rc<BudgetDriver<P>>> {
        self.budget.as_ref()
    }

    /// Waits until that is another number, or its parts of the tenants' quotas are.
    pub async fn changed(&self) {
        self.counted.notified().await;
    }

    /// Looks at the machine.
    pub fn with_membership<T>(&self, what: impl FnOnce(&Membership) -> T) -> T {
        what(&self.machine.borrow())
    }

    /// Its view as JSON, for the operators' door.
    pub fn status_json(&self) -> String {
        let report = self.with_membership(Membership::report);
        let mut value = serde_json::to_value(report).unwrap_or_default();
        value["at_work"] = self.sidecar_count().into();
        if let Some(budget) = &self.budget {
            value["budgets"] = serde_json::to_value(budget.report()).unwrap_or_default();
        }
        value.to_string()
    }
}

/// Waits until a use was refused for lack; for ever where nothing is divided.
async fn lacking<P: Platform>(budget: &Option<Rc<BudgetDriver<P>>>) {
    match budget {
        Some(budget) => budget.shortage.notified().await,
        None => std::future::pending().await,
    }
}

/// Waits until something is to be said; for ever where there is no plan.
async fn said<P: Platform>(plan: &Option<Rc<PlanDriver<P>>>) {
    match plan {
        Some(plan) => plan.wake.notified().await,
        None => std::future::pending().await,
    }
}

/// Ends its task with itself.
struct Guard<T: Task>(T);

impl<T: Task> Drop for Guard<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn write(stream: &mut (impl AsyncWriteExt + Unpin), view: &[u8]) -> io::Result<()> {
    stream.write_all(&(view.len() as u32).to_le_bytes()).await?;
    stream.write_all(view).await?;
    stream.flush().await
}

async fn read(
    stream: &mut (impl AsyncReadExt + Unpin),
    length: [u8; 4],
    longest: usize,
) -> io::Result<Vec<u8>> {
    let length = u32::from_le_bytes(length) as usize;
    // Danger: a stranger may announce any length; room is made for what came, not for what was announced.
    if length > longest {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut view = Vec::with_capacity(length.min(64 << 10));
    while view.len() < length {
        let mut piece = [0; 4096];
        let want = piece.len().min(length - view.len());
        match stream.read(&mut piece[..want]).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => view.extend_from_slice(&piece[..read]),
        }
    }
    Ok(view)
}
