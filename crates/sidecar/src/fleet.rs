//! Fleet driver: runs the [`Membership`] protocol on a [`Platform`], and carries the datagrams of the budget and plan
//! drivers. Requests never wait for it; what it learns reaches the decision module as settings.

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

/// Maximum number of concurrent view exchanges that this sidecar starts.
const MAX_OUTGOING_EXCHANGES: usize = 2;
/// Maximum number of concurrent incoming connections.
const MAX_INCOMING_CONNECTIONS: usize = 8;
/// Maximum number of concurrent outgoing messages that are too long for a datagram.
const MAX_OUTGOING_LONG_MESSAGES: usize = 16;
/// First bytes of a connection that carries one long message. A connection for a view exchange starts with the view's
/// length, and no view is as long as these bytes would mean.
const LONG_MESSAGE_PREFIX: &[u8; 4] = b"cl\xff\xff";
/// Time limit of an exchange or of one long message.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Callback for every change of a member's state.
pub type Watcher = Box<dyn Fn(&Change)>;

/// What a [`Fleet`] is built from.
pub struct FleetParts<P: Platform> {
    /// Configuration of the membership protocol.
    pub config: Config,
    /// Socket for datagrams.
    pub socket: P::Datagrams,
    /// Listener for view exchanges and long messages.
    pub listener: P::Listener,
    /// Local address of outgoing connections.
    pub from: IpAddr,
    /// Receives the members' changes of state.
    pub watcher: Watcher,
    /// Parts of the budget driver, if the fleet has budgets.
    pub budget: Option<BudgetParts>,
    /// Parts of the plan driver, if the fleet has a plan.
    pub plan: Option<PlanParts>,
}

/// This sidecar's membership in its fleet.
pub struct Fleet<P: Platform> {
    platform: P,
    membership: RefCell<Membership>,
    socket: P::Datagrams,
    from: IpAddr,
    origin: Instant,
    tier: u8,
    headcount: RefCell<Headcount>,
    /// Number of sidecars that was announced last through `changes`.
    sidecar_count: Cell<u32>,
    /// Signals a change of the number of sidecars, of a share or of the plan.
    changes: Notify,
    /// Wakes [`Fleet::run`] after a change of the membership outside of its loop.
    wake: Notify,
    outgoing_exchanges: Cell<usize>,
    incoming_connections: Cell<usize>,
    watcher: Watcher,
    budget: Option<Rc<BudgetDriver<P>>>,
    plan: Option<Rc<PlanDriver<P>>>,
    outgoing_long_messages: Cell<usize>,
}

impl<P: Platform> Fleet<P> {
    /// Creates a member that starts now; `instances` is the number of sidecars according to the settings.
    pub fn new(platform: P, parts: FleetParts<P>, instances: u32, seed: u64) -> (Rc<Fleet<P>>, P::Listener) {
        let FleetParts { config, socket, listener, from, watcher, budget, plan } = parts;
        let origin = platform.now();
        let (tier, delayed_decrease, settle) =
            (config.tier, config.features.delayed_decrease, config.timing.headcount_settle);
        let unix = platform.unix().as_millis() as u64;
        let membership = Membership::new(config, Time::ZERO, unix, seed);
        let plan =
            plan.map(|parts| PlanDriver::new(platform.clone(), parts, membership.local_record(), !seed));
        let fleet = Fleet {
            membership: RefCell::new(membership),
            socket,
            from,
            origin,
            tier,
            headcount: RefCell::new(Headcount::new(Time::ZERO, instances, settle, delayed_decrease)),
            sidecar_count: Cell::new(instances.max(1)),
            changes: Notify::new(),
            wake: Notify::new(),
            outgoing_exchanges: Cell::new(0),
            incoming_connections: Cell::new(0),
            watcher,
            budget: budget.map(|parts| BudgetDriver::new(platform.clone(), parts)),
            plan,
            outgoing_long_messages: Cell::new(0),
            platform,
        };
        (Rc::new(fleet), listener)
    }

    fn now(&self) -> Time {
        self.platform.since(self.origin)
    }

    /// Takes part in the fleet until the future is dropped.
    pub async fn run(self: Rc<Self>, listener: P::Listener) {
        let server = self.clone();
        let _server = AbortOnDrop(self.platform.spawn(async move { server.serve(listener).await }));
        let mut buffer = [0; MAX_DATAGRAM + 1];
        loop {
            let due = self.origin + self.membership.borrow().next_at();
            let budget_due = self.budget.as_ref().map(|budget| budget.next_wakeup());
            let plan_due = self.plan.as_ref().map(|plan| plan.next_wakeup());
            tokio::select! {
                biased;
                // Timers come first: a flood of datagrams must not delay them.
                () = self.platform.sleep_until(due) => self.membership.borrow_mut().tick(self.now()),
                () = self.platform.sleep_until(budget_due.unwrap_or(due)), if budget_due.is_some() => self.tick_budget(),
                () = self.platform.sleep_until(plan_due.unwrap_or(due)), if plan_due.is_some() => self.tick_plan(),
                () = self.wake.notified() => {}
                () = plan_wakeup(&self.plan) => {}
                () = budget_shortage(&self.budget) => self.tick_budget(),
                received = self.socket.receive(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(from, &buffer[..length]),
                    // A lasting error, such as exhausted memory, must not cause a busy loop.
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
            plan.tick(&self.membership.borrow());
        }
    }

    /// Passes a datagram to the protocol that it belongs to.
    fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        if let Some(plan) = self.plan.as_ref().filter(|_| cometcroft_consensus::is_consensus_message(bytes)) {
            plan.receive(bytes);
            return;
        }
        match (&self.budget, from) {
            (Some(budget), SocketAddr::V4(from)) if is_budget_datagram(bytes) => budget.receive(from, bytes),
            _ => self.membership.borrow_mut().receive(self.now(), bytes),
        }
    }

    /// Carries out what the membership, budget and plan protocols request.
    fn flush(self: &Rc<Self>) {
        loop {
            let output = self.membership.borrow_mut().output();
            match output {
                None => break,
                // A datagram that can't be sent now counts as lost in the network.
                Some(Output::Send(to, bytes)) => drop(self.socket.send(&bytes, to.into())),
                Some(Output::Exchange(to)) if self.outgoing_exchanges.get() < MAX_OUTGOING_EXCHANGES => {
                    self.outgoing_exchanges.set(self.outgoing_exchanges.get() + 1);
                    let fleet = self.clone();
                    self.platform.detach(async move {
                        let exchanged = fleet.platform.timeout(EXCHANGE_TIMEOUT, fleet.exchange(to.into()));
                        // A failed exchange is repeated with another member while views differ.
                        let _ = exchanged.await;
                        fleet.outgoing_exchanges.set(fleet.outgoing_exchanges.get() - 1);
                        fleet.wake.notify_one();
                    });
                }
                Some(Output::Exchange(_)) => {}
                Some(Output::Changed(change)) => (self.watcher)(&change),
            }
        }
        let now = self.now();
        let membership = self.membership.borrow();
        let (reached, known) = membership.reach();
        let count =
            self.headcount.borrow_mut().observe(now, membership.present_in_tier(self.tier), reached, known);
        let budget = self.budget.as_ref();
        while let Some((to, bytes)) = budget.and_then(|budget| budget.next_datagram()) {
            drop(self.socket.send(&bytes, to.into()));
        }
        let plan = self.plan.as_ref();
        while let Some((to, bytes)) = plan.and_then(|plan| plan.next_message()) {
            self.send_plan_message(to, bytes);
        }
        let changed = budget.is_some_and(|budget| budget.shares_changed())
            || plan.is_some_and(|plan| plan.position_changed());
        if self.sidecar_count.replace(count) != count || changed {
            self.changes.notify_one();
        }
    }

    /// Sends a message of the plan: as a datagram, or on a connection of its own if it is too long for one. A message that
    /// can't be sent now is lost; the protocol repeats it.
    fn send_plan_message(self: &Rc<Self>, to: std::net::SocketAddrV4, bytes: Vec<u8>) {
        if bytes.len() <= MAX_DATAGRAM {
            drop(self.socket.send(&bytes, to.into()));
        } else if self.outgoing_long_messages.get() < MAX_OUTGOING_LONG_MESSAGES {
            self.outgoing_long_messages.set(self.outgoing_long_messages.get() + 1);
            let fleet = self.clone();
            self.platform.detach(async move {
                let send = async {
                    let mut stream = fleet.platform.connect_from(fleet.from, to.into()).await?;
                    stream.write_all(LONG_MESSAGE_PREFIX).await?;
                    write_frame(&mut stream, &bytes).await?;
                    // Wait until the receiver closes the connection: closing first, with unread bytes, would reset it and
                    // lose what was sent.
                    stream.read(&mut [0]).await
                };
                let _ = fleet.platform.timeout(EXCHANGE_TIMEOUT, send).await;
                fleet.outgoing_long_messages.set(fleet.outgoing_long_messages.get() - 1);
            });
        }
    }

    /// Exchanges complete views with another member.
    async fn exchange(&self, to: SocketAddr) -> io::Result<()> {
        let mut stream = self.platform.connect_from(self.from, to).await?;
        let view = self.membership.borrow_mut().view();
        write_frame(&mut stream, &view).await?;
        let max_length = self.membership.borrow().max_view_size();
        let mut length = [0; 4];
        stream.read_exact(&mut length).await?;
        let remote_view = read_frame(&mut stream, length, max_length).await?;
        self.membership.borrow_mut().receive_view(self.now(), &remote_view);
        Ok(())
    }

    /// Accepts connections that carry a view exchange or one long message.
    async fn serve(self: Rc<Self>, listener: P::Listener) {
        loop {
            let accepted = listener.accept().await;
            let Ok(mut stream) = accepted else {
                self.platform.sleep(Duration::from_millis(50)).await;
                continue;
            };
            // Hundreds of members that start at once may all connect here; those beyond the limit try again later.
            if self.incoming_connections.get() >= MAX_INCOMING_CONNECTIONS {
                continue;
            }
            self.incoming_connections.set(self.incoming_connections.get() + 1);
            let fleet = self.clone();
            self.platform.detach(async move {
                let receive = async {
                    let max_length = fleet.membership.borrow().max_view_size();
                    let mut header = [0; 4];
                    stream.read_exact(&mut header).await?;
                    if let Some(plan) = fleet.plan.as_ref().filter(|_| header == *LONG_MESSAGE_PREFIX) {
                        stream.read_exact(&mut header).await?;
                        let message =
                            read_frame(&mut stream, header, cometcroft_consensus::MAX_MESSAGE).await?;
                        plan.receive(&message);
                        return Ok(());
                    }
                    let remote_view = read_frame(&mut stream, header, max_length).await?;
                    let own_view = fleet.membership.borrow_mut().receive_view(fleet.now(), &remote_view);
                    match own_view {
                        Some(own_view) => write_frame(&mut stream, &own_view).await,
                        None => Ok(()),
                    }
                };
                let _ = fleet.platform.timeout(EXCHANGE_TIMEOUT, receive).await;
                fleet.incoming_connections.set(fleet.incoming_connections.get() - 1);
                fleet.wake.notify_one();
            });
        }
    }

    /// Announces that this sidecar leaves the fleet, and returns its leases.
    pub fn leave(&self) {
        self.membership.borrow_mut().leave(self.now());
        if let Some(budget) = &self.budget {
            budget.leave();
        }
        self.wake.notify_one();
    }

    /// Number of sidecars of its tier, as used to divide quotas.
    pub fn sidecar_count(&self) -> u32 {
        self.sidecar_count.get()
    }

    /// The plan driver, if the fleet has a plan.
    pub fn plan(&self) -> Option<&Rc<PlanDriver<P>>> {
        self.plan.as_ref()
    }

    /// Admits a request of this tenant, or returns after how long it may be sent again.
    pub fn admit(&self, tenant: Option<&[u8]>) -> Result<Option<ConcurrencyGuard<P>>, Duration> {
        self.budget.as_ref().map_or(Ok(None), |budget| budget.admit(tenant))
    }

    /// Returns whether an attempt may be sent. The first always may; a retry needs the consent of the plan's rules and of
    /// the budget.
    pub fn allow_attempt(&self, request: &Request, first: bool, after: Option<RetryCause>) -> bool {
        // A sidecar without a retry limit must not count the whole fleet's retries as its own share.
        let equal_share = 1.0 / f64::from(self.sidecar_count().max(1));
        let share =
            || self.budget.as_ref().map_or(equal_share, |budget| budget.retry_share().unwrap_or(equal_share));
        let allowed = self.plan.as_ref().is_none_or(|plan| plan.allow_attempt(request, first, after, share));
        allowed && (first || self.budget.as_ref().is_none_or(|budget| budget.allow_retry()))
    }

    /// Returns whether a probe may be sent.
    pub fn allow_probe(&self) -> bool {
        self.budget.as_ref().is_none_or(|budget| budget.allow_probe())
    }

    /// Waits until a new connection may be opened; returns `false` if that is not before `until`.
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

    /// Applies the fleet's state to the settings: the number of sidecars, this sidecar's shares of the tenants' quotas, and
    /// the limits of the plan's revision.
    pub fn apply_to_settings(&self, settings: &mut Settings, tenants: &[String]) {
        settings.instances = self.sidecar_count();
        if let Some(budget) = &self.budget {
            budget.apply_to_settings(settings, tenants);
        }
        if let Some(plan) = &self.plan {
            plan.apply_to_settings(settings);
        }
    }

    /// The budget driver, if the fleet has budgets.
    pub fn budget(&self) -> Option<&Rc<BudgetDriver<P>>> {
        self.budget.as_ref()
    }

    /// Waits until the number of sidecars, a share of a tenant's quota or the plan has changed.
    pub async fn changed(&self) {
        self.changes.notified().await;
    }

    /// Calls a function with the membership's state.
    pub fn with_membership<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&self.membership.borrow())
    }

    /// This sidecar's view of the fleet as JSON, for the operations endpoint.
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

/// Waits until a limit was exhausted; forever if there are no budgets.
async fn budget_shortage<P: Platform>(budget: &Option<Rc<BudgetDriver<P>>>) {
    match budget {
        Some(budget) => budget.shortage.notified().await,
        None => std::future::pending().await,
    }
}

/// Waits until the plan driver has messages to send; forever if there is no plan.
async fn plan_wakeup<P: Platform>(plan: &Option<Rc<PlanDriver<P>>>) {
    match plan {
        Some(plan) => plan.wake.notified().await,
        None => std::future::pending().await,
    }
}

/// Aborts the task when dropped.
struct AbortOnDrop<T: Task>(T);

impl<T: Task> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Writes a frame: the length as four bytes, little-endian, then the payload.
async fn write_frame(stream: &mut (impl AsyncWriteExt + Unpin), payload: &[u8]) -> io::Result<()> {
    stream.write_all(&(payload.len() as u32).to_le_bytes()).await?;
    stream.write_all(payload).await?;
    stream.flush().await
}

/// Reads the payload of a frame whose length bytes were read already.
async fn read_frame(
    stream: &mut (impl AsyncReadExt + Unpin),
    length: [u8; 4],
    max_length: usize,
) -> io::Result<Vec<u8>> {
    let length = u32::from_le_bytes(length) as usize;
    // Anyone may connect and announce any length: memory is reserved for what was received, not for what was announced.
    if length > max_length {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut payload = Vec::with_capacity(length.min(64 << 10));
    while payload.len() < length {
        let mut chunk = [0; 4096];
        let wanted = chunk.len().min(length - payload.len());
        match stream.read(&mut chunk[..wanted]).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => payload.extend_from_slice(&chunk[..count]),
        }
    }
    Ok(payload)
}
