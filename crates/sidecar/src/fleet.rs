//! This sidecar as a member of its fleet: the driver of [`Membership`] on a [`Platform`]. The data path never waits for
//! it; what it learns reaches the module as settings.

use crate::accord::{Accord, AccordParts};
use crate::http::server::Request;
use crate::purse::{BudgetParts, Held, Purses};
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
    pub accord: Option<AccordParts>,
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
    purses: Option<Rc<Purses<P>>>,
    accord: Option<Rc<Accord<P>>>,
    /// Messages too long for a datagram that are on their way.
    letters: Cell<usize>,
}

impl<P: Platform> Fleet<P> {
    /// A member that starts now; `instances` is how many are at work by the settings.
    pub fn new(platform: P, parts: FleetParts<P>, instances: u32, seed: u64) -> (Rc<Fleet<P>>, P::Listener) {
        let FleetParts { config, socket, listener, from, watcher, budget, accord } = parts;
        let origin = platform.now();
        let (tier, cautious, settle) =
            (config.tier, config.features.delayed_decrease, config.timing.headcount_settle);
        let unix = platform.unix().as_millis() as u64;
        let machine = Membership::new(config, Time::ZERO, unix, seed);
        let accord = accord.map(|parts| Accord::new(platform.clone(), parts, machine.local_record(), !seed));
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
            purses: budget.map(|parts| Purses::new(platform.clone(), parts)),
            accord,
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
            let lent = self.purses.as_ref().map(|purses| purses.next_at());
            let agreed = self.accord.as_ref().map(|accord| accord.next_at());
            tokio::select! {
                biased;
                // Danger: who floods it with datagrams must not keep it from its times.
                () = self.platform.sleep_until(due) => self.machine.borrow_mut().tick(self.now()),
                () = self.platform.sleep_until(lent.unwrap_or(due)), if lent.is_some() => self.tick_purses(),
                () = self.platform.sleep_until(agreed.unwrap_or(due)), if agreed.is_some() => self.tick_accord(),
                () = self.wake.notified() => {}
                () = said(&self.accord) => {}
                () = lacking(&self.purses) => self.tick_purses(),
                got = self.socket.receive(&mut buffer) => match got {
                    Ok((length, from)) => self.hear(from, &buffer[..length]),
                    // Out of memory or the like: not in a tight loop.
                    Err(_) => self.platform.sleep(Duration::from_millis(5)).await,
                },
            }
            self.flush();
        }
    }

    fn tick_purses(&self) {
        if let Some(purses) = &self.purses {
            purses.tick();
        }
    }

    fn tick_accord(&self) {
        if let Some(accord) = &self.accord {
            accord.tick(&self.machine.borrow());
        }
    }

    fn hear(&self, from: SocketAddr, bytes: &[u8]) {
        if let Some(accord) =
            self.accord.as_ref().filter(|_| cometcroft_consensus::is_consensus_message(bytes))
        {
            accord.receive(bytes);
            return;
        }
        match (&self.purses, from) {
            (Some(purses), SocketAddr::V4(from)) if is_budget_datagram(bytes) => purses.receive(from, bytes),
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
        let purses = self.purses.as_ref();
        while let Some((to, bytes)) = purses.and_then(|purses| purses.output()) {
            drop(self.socket.send(&bytes, to.into()));
        }
        let accord = self.accord.as_ref();
        while let Some((to, bytes)) = accord.and_then(|accord| accord.output()) {
            self.deliver(to, bytes);
        }
        let news =
            purses.is_some_and(|purses| purses.unsettled()) || accord.is_some_and(|accord| accord.news());
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
                    if let Some(accord) = fleet.accord.as_ref().filter(|_| head == *LETTER) {
                        stream.read_exact(&mut head).await?;
                        let letter = read(&mut stream, head, cometcroft_consensus::MAX_MESSAGE).await?;
                        accord.receive(&letter);
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
        if let Some(purses) = &self.purses {
            purses.leave();
        }
        self.wake.notify_one();
    }

    /// How many sidecars of its tier are at work, for whoever divides by it.
    pub fn at_work(&self) -> u32 {
        self.in_force.get()
    }

    /// The plan, if it takes part in one.
    pub fn accord(&self) -> Option<&Rc<Accord<P>>> {
        self.accord.as_ref()
    }

    /// Whether a request of this caller is taken; else after how long it may come again.
    pub fn admit(&self, caller: Option<&[u8]>) -> Result<Option<Held<P>>, Duration> {
        self.purses.as_ref().map_or(Ok(None), |purses| purses.admit(caller))
    }

    /// Whether an attempt may go out: the first may; further ones by the plan's policies and by the budget.
    pub fn attempts(&self, request: &Request, first: bool, after: Option<RetryCause>) -> bool {
        // Danger: a sidecar whose file divides nothing must not take the whole for its part.
        let alone = 1.0 / f64::from(self.at_work().max(1));
        let part = || self.purses.as_ref().map_or(alone, |purses| purses.share_of_retries().unwrap_or(alone));
        let allowed = self.accord.as_ref().is_none_or(|accord| accord.attempts(request, first, after, part));
        allowed && (first || self.purses.as_ref().is_none_or(|purses| purses.retries()))
    }

    /// Whether a probe may go out.
    pub fn probes(&self) -> bool {
        self.purses.as_ref().is_none_or(|purses| purses.probes())
    }

    /// Waits until a new connection may be made, until then at the latest; whether it may.
    pub async fn connects(&self, until: Instant) -> bool {
        match &self.purses {
            Some(purses) => purses.connects(until).await,
            None => true,
        }
    }

    /// Waits until discovery may be called.
    pub async fn calls(&self) {
        if let Some(purses) = &self.purses {
            purses.calls().await;
        }
    }

    /// Puts what the fleet knows into settings: how many are at work, this one's parts of the tenants' quotas, and what
    /// the revision in force allows.
    pub fn settle(&self, settings: &mut Settings, tenants: &[String]) {
        settings.instances = self.at_work();
        if let Some(purses) = &self.purses {
            purses.settle(settings, tenants);
        }
        if let Some(accord) = &self.accord {
            accord.settle(settings);
        }
    }

    /// Its budgets, if it has any.
    pub fn purses(&self) -> Option<&Rc<Purses<P>>> {
        self.purses.as_ref()
    }

    /// Waits until that is another number, or its parts of the tenants' quotas are.
    pub async fn recounted(&self) {
        self.counted.notified().await;
    }

    /// Looks at the machine.
    pub fn ask<T>(&self, what: impl FnOnce(&Membership) -> T) -> T {
        what(&self.machine.borrow())
    }

    /// Its view as JSON, for the operators' door.
    pub fn json(&self) -> String {
        let report = self.ask(Membership::report);
        let mut value = serde_json::to_value(report).unwrap_or_default();
        value["at_work"] = self.at_work().into();
        if let Some(purses) = &self.purses {
            value["budgets"] = serde_json::to_value(purses.report()).unwrap_or_default();
        }
        value.to_string()
    }
}

/// Waits until a use was refused for lack; for ever where nothing is divided.
async fn lacking<P: Platform>(purses: &Option<Rc<Purses<P>>>) {
    match purses {
        Some(purses) => purses.lacks.notified().await,
        None => std::future::pending().await,
    }
}

/// Waits until something is to be said; for ever where there is no plan.
async fn said<P: Platform>(accord: &Option<Rc<Accord<P>>>) {
    match accord {
        Some(accord) => accord.wake.notified().await,
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
