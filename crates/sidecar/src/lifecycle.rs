//! The life of a sidecar: starting, serving, draining and back, leaving, gone. [`LifecycleState`] is told what happens and
//! when, and knows no socket; [`Lifecycle`] asks it with the clock in hand and wakes who waits.

use cometcroft_platform::Platform;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Whoever sends SIGTERM waits for the longest deadline, counted as this if it is longer, ...
const LONGEST: Duration = Duration::from_secs(3);
/// ... and for this before SIGKILL. Until then the front may go on sending new connections.
const NOTICE: Duration = Duration::from_millis(700);
/// A request that came after the notice is answered so long before SIGKILL may come.
const SPARE: Duration = Duration::from_millis(300);
/// Time for the last requests that are taken, before that.
const LAST: Duration = Duration::from_millis(900);
/// What was sent so long ago may be read only now.
const LATE: Duration = Duration::from_millis(100);
/// New requests are taken for so long at the least, ...
const LINGER: Duration = Duration::from_millis(1000);
/// ... but not in the last part of the time before SIGKILL: the last ones are answered and their connections end in it.
const ENDING: Duration = Duration::from_millis(400);
/// After a drain's start, new connections come for so long; then answers end their connections.
const ARRIVING: Duration = Duration::from_millis(300);
/// Idle connections close between these times after a drain's start, ...
const DRAINED: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(1600)];
/// ... and after SIGTERM where a successor accepts already.
const HANDED_OVER: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(1200)];
/// Without a list that discovery has confirmed clients are wanted after this time: a process that has been restarted is to be
/// ready within 6 s, ...
const UNCONFIRMED: Duration = Duration::from_millis(5000);
/// ... and one that has a predecessor after this, ...
const UNTOLD: Duration = Duration::from_millis(2500);
/// ... and accepts after this, as nobody else may be there to say that nothing can be served.
const ALONE: Duration = Duration::from_millis(3000);

/// What has happened to a sidecar, and what follows from it.
#[derive(Debug, Clone, Copy)]
pub struct LifecycleState {
    started: Instant,
    /// The listening socket is inherited: a predecessor may still read it, and a successor may already.
    shares_listener: bool,
    /// The earliest time of SIGKILL after SIGTERM.
    kill_after: Duration,
    has_endpoints: bool,
    list_confirmed: bool,
    drain_started: Option<Instant>,
    shutdown_started: Option<Instant>,
}

impl LifecycleState {
    /// One that starts now, where clients wait for `longest` at most.
    pub fn new(now: Instant, longest: Duration, shared: bool) -> LifecycleState {
        let kill = longest.min(LONGEST) + NOTICE;
        LifecycleState {
            started: now,
            shares_listener: shared,
            kill_after: kill,
            has_endpoints: false,
            list_confirmed: false,
            drain_started: None,
            shutdown_started: None,
        }
    }

    /// Clients wait for `longest` at most. Danger: whoever has sent SIGTERM counts from there by what was in force then, so
    /// after it the time only gets shorter.
    pub fn set_max_deadline(&mut self, longest: Duration) {
        let kill = longest.min(LONGEST) + NOTICE;
        self.kill_after = if self.is_shutting_down() { kill.min(self.kill_after) } else { kill };
    }

    /// Another process may read the listening socket.
    pub fn shares_listener(&self) -> bool {
        self.shares_listener
    }

    /// The list of backend servers is known, or known to be empty; `fresh` if it holds by what discovery said to this process.
    pub fn record_list(&mut self, any: bool, fresh: bool) {
        self.has_endpoints = any;
        self.list_confirmed |= fresh;
    }

    /// Clients are to be sent away. Once it has begun, a second call changes nothing.
    pub fn start_drain(&mut self, now: Instant) {
        self.drain_started.get_or_insert(now);
    }

    /// The end of that.
    pub fn stop_drain(&mut self) {
        self.drain_started = None;
    }

    /// SIGTERM has come.
    pub fn begin_shutdown(&mut self, now: Instant) {
        self.shutdown_started.get_or_insert(now);
    }

    /// SIGTERM has come.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_started.is_some()
    }

    /// Clients are wanted: what `/up` and readiness say.
    pub fn is_ready(&self, now: Instant) -> bool {
        let without = if self.shares_listener { UNTOLD } else { UNCONFIRMED };
        let confirmed = self.list_confirmed || now >= self.started + without;
        self.has_endpoints && confirmed && self.drain_started.is_none() && self.shutdown_started.is_none()
    }

    /// When the listening socket is read from. Danger: who accepts before it can serve takes clients from the
    /// predecessor that could.
    pub fn accepts_from(&self) -> Instant {
        match (self.shares_listener, self.has_endpoints, self.list_confirmed) {
            (false, ..) | (true, true, true) => self.started,
            (true, true, false) => self.started + UNTOLD,
            (true, false, _) => self.started + ALONE,
        }
    }

    /// When the listening socket is let go. Danger: with nobody else on it clients would be left with none; but where
    /// a successor reads it too, what is taken from it now is taken for nothing.
    pub fn accepts_until(&self) -> Option<Instant> {
        self.shutdown_started.map(|at| if self.shares_listener { at } else { at + self.linger() })
    }

    /// Whether an answer ends its connection.
    pub fn closes_connections(&self, now: Instant) -> bool {
        self.accepts_until().is_some_and(|at| now >= at)
            || self.drain_started.is_some_and(|at| now >= at + ARRIVING)
    }

    /// When a connection with no open request closes; `place` between 0 and 1 spreads them. Danger: all at once, every
    /// client would connect anew in the same instant.
    pub fn idle_close_at(&self, place: f64) -> Option<Instant> {
        let within = |at: Instant, [from, to]: [Duration; 2]| at + from + (to - from).mul_f64(place);
        let drained = self.drain_started.map(|at| within(at, DRAINED));
        let left = self.shutdown_started.map(|at| match self.shares_listener {
            true => within(at, HANDED_OVER).min(at + self.before_ending()),
            false => at + self.linger(),
        });
        drained.into_iter().chain(left).min()
    }

    /// When a request that comes now is to be answered at the latest. Danger: SIGKILL loses what came after the
    /// notice and is unanswered, whatever time its client has left.
    pub fn response_deadline(&self, now: Instant) -> Option<Instant> {
        let begun = self.shutdown_started?;
        // A little early, as its clock and ours may be read at different moments.
        (now.saturating_duration_since(begun) + LATE >= NOTICE).then(|| begun + self.before_spare())
    }

    /// When all is answered at the latest, whenever it came: what a hanging backend server owes until after SIGKILL would get
    /// no answer at all.
    pub fn final_response_deadline(&self) -> Option<Instant> {
        self.shutdown_started.map(|begun| begun + self.before_spare())
    }

    /// So long after SIGTERM requests are taken where there is no successor: clients keep the connections that they
    /// have, and in their zone there may be nobody else for now.
    fn linger(&self) -> Duration {
        // Danger: with short deadlines SIGKILL comes soon, and would find requests on connections that are still open.
        self.kill_after.saturating_sub(SPARE + LAST).max(LINGER).min(self.before_ending())
    }

    /// The time from SIGTERM within which all is answered.
    fn before_spare(&self) -> Duration {
        self.kill_after.saturating_sub(SPARE)
    }

    /// The time from SIGTERM within which connections may stay open.
    fn before_ending(&self) -> Duration {
        self.kill_after.saturating_sub(ENDING)
    }
}

/// The driver of a [`LifecycleState`].
pub struct Lifecycle<P: Platform> {
    platform: P,
    machine: Cell<LifecycleState>,
    changed: Notify,
}

impl<P: Platform> Lifecycle<P> {
    /// A sidecar that starts now. `shared`: its listening socket is inherited.
    pub fn new(platform: P, longest: Duration, shared: bool) -> Lifecycle<P> {
        let machine = Cell::new(LifecycleState::new(platform.now(), longest, shared));
        Lifecycle { platform, machine, changed: Notify::new() }
    }

    /// Tells the machine something, with the time.
    pub fn update(&self, what: impl FnOnce(&mut LifecycleState, Instant)) {
        let mut machine = self.machine.get();
        what(&mut machine, self.platform.now());
        self.machine.set(machine);
        self.changed.notify_waiters();
    }

    /// SIGTERM has come.
    pub fn begin_shutdown(&self) {
        self.update(LifecycleState::begin_shutdown);
    }

    /// What the machine says now.
    pub fn query<T>(&self, what: impl FnOnce(&LifecycleState, Instant) -> T) -> T {
        what(&self.machine.get(), self.platform.now())
    }

    /// Waits for the time that the machine gives, however often it changes.
    pub async fn wait_until(&self, reached: impl Fn(&LifecycleState) -> Option<Instant>) {
        loop {
            let changed = self.changed.notified();
            match reached(&self.machine.get()) {
                Some(at) if at <= self.platform.now() => return,
                Some(at) => tokio::select! {
                    biased;
                    () = changed => {}
                    () = self.platform.sleep_until(at) => {}
                },
                None => changed.await,
            }
        }
    }

    /// Waits for SIGTERM.
    pub async fn shutdown_begun(&self) {
        self.wait_until(|state| state.shutdown_started).await;
    }
}
