//! The lifecycle of a sidecar: start, service, draining (which can be revoked), shutdown. [`LifecycleState`] is a state
//! machine without I/O or clock; [`Lifecycle`] supplies the time and wakes the tasks that wait for a change.

use cometcroft_platform::Platform;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// SIGKILL follows SIGTERM after the longest client deadline, of which at most this much counts, plus [`NOTICE_PERIOD`].
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Added to the longest deadline before SIGKILL. During this period new connections may still be routed to this process.
const NOTICE_PERIOD: Duration = Duration::from_millis(700);
/// Requests that arrive after the notice period are answered at least this long before the earliest SIGKILL.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);
/// Time reserved for the last accepted requests, before [`RESPONSE_MARGIN`].
const LAST_REQUESTS: Duration = Duration::from_millis(900);
/// Bytes that were sent this long ago may be read only now.
const READ_DELAY: Duration = Duration::from_millis(100);
/// Minimum time for which new requests are accepted after SIGTERM, unless [`CLOSING_TIME`] cuts it short.
const MIN_LINGER: Duration = Duration::from_millis(1000);
/// Last part of the time before SIGKILL, in which no new requests are accepted: pending ones are answered and their
/// connections closed.
const CLOSING_TIME: Duration = Duration::from_millis(400);
/// After the start of a drain new connections may arrive for this long; responses then close their connections.
const DRAIN_ARRIVALS: Duration = Duration::from_millis(300);
/// Idle connections are closed between these times after the start of a drain.
const DRAIN_IDLE_CLOSE: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(1600)];
/// Idle connections are closed between these times after SIGTERM where a successor already accepts connections.
const HANDOVER_IDLE_CLOSE: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(1200)];
/// Without an endpoint list that discovery has confirmed, the sidecar becomes ready this long after its start: a restarted
/// process must be ready within 6 s.
const READY_UNCONFIRMED: Duration = Duration::from_millis(5000);
/// The same where a predecessor may still serve; the sidecar then also starts to accept connections.
const READY_UNCONFIRMED_SHARED: Duration = Duration::from_millis(2500);
/// Beside a predecessor, a sidecar without any endpoint accepts connections after this time: there may be no other process
/// left to tell clients that nothing can be served.
const ACCEPT_WITHOUT_ENDPOINTS: Duration = Duration::from_millis(3000);

/// The state of a sidecar's lifecycle and the times that follow from it.
#[derive(Debug, Clone, Copy)]
pub struct LifecycleState {
    started: Instant,
    /// The listening socket is inherited: a predecessor may still accept from it, and a successor may already.
    shares_listener: bool,
    /// Time from SIGTERM to the earliest SIGKILL.
    kill_after: Duration,
    has_endpoints: bool,
    list_confirmed: bool,
    drain_started: Option<Instant>,
    shutdown_started: Option<Instant>,
}

impl LifecycleState {
    /// The state of a sidecar that starts now. `max_deadline` is the longest deadline of a client.
    pub fn new(now: Instant, max_deadline: Duration, shares_listener: bool) -> LifecycleState {
        let kill_after = max_deadline.min(MAX_COUNTED_DEADLINE) + NOTICE_PERIOD;
        LifecycleState {
            started: now,
            shares_listener,
            kill_after,
            has_endpoints: false,
            list_confirmed: false,
            drain_started: None,
            shutdown_started: None,
        }
    }

    /// Sets the longest deadline of a client. After SIGTERM the time until SIGKILL can only get shorter: the sender of the
    /// signal derives it from the settings that were in force when it sent SIGTERM.
    pub fn set_max_deadline(&mut self, max_deadline: Duration) {
        let kill_after = max_deadline.min(MAX_COUNTED_DEADLINE) + NOTICE_PERIOD;
        self.kill_after = if self.is_shutting_down() { kill_after.min(self.kill_after) } else { kill_after };
    }

    /// Whether another process may accept from the listening socket.
    pub fn shares_listener(&self) -> bool {
        self.shares_listener
    }

    /// Records a change of the endpoint list: whether it has entries, and whether discovery has confirmed it to this process.
    pub fn record_list(&mut self, has_endpoints: bool, confirmed: bool) {
        self.has_endpoints = has_endpoints;
        self.list_confirmed |= confirmed;
    }

    /// Starts a drain: clients are to use another sidecar. Has no effect while a drain is in progress.
    pub fn start_drain(&mut self, now: Instant) {
        self.drain_started.get_or_insert(now);
    }

    /// Ends the drain.
    pub fn stop_drain(&mut self) {
        self.drain_started = None;
    }

    /// Starts the shutdown, as on SIGTERM. Later calls have no effect.
    pub fn begin_shutdown(&mut self, now: Instant) {
        self.shutdown_started.get_or_insert(now);
    }

    /// Whether the shutdown has started.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_started.is_some()
    }

    /// Whether clients may be routed to this sidecar: the response of `/up` and of the readiness call.
    pub fn is_ready(&self, now: Instant) -> bool {
        let unconfirmed_after =
            if self.shares_listener { READY_UNCONFIRMED_SHARED } else { READY_UNCONFIRMED };
        let confirmed = self.list_confirmed || now >= self.started + unconfirmed_after;
        self.has_endpoints && confirmed && self.drain_started.is_none() && self.shutdown_started.is_none()
    }

    /// When the sidecar starts to accept connections. Beside a predecessor it waits until it can serve: accepting earlier
    /// would take clients from a process that can serve them.
    pub fn accepts_from(&self) -> Instant {
        match (self.shares_listener, self.has_endpoints, self.list_confirmed) {
            (false, ..) | (true, true, true) => self.started,
            (true, true, false) => self.started + READY_UNCONFIRMED_SHARED,
            (true, false, _) => self.started + ACCEPT_WITHOUT_ENDPOINTS,
        }
    }

    /// When the sidecar stops accepting connections. Without a successor it keeps accepting for a while, as clients would
    /// otherwise find no listener. Where a successor accepts from the same socket, there is nothing to gain, and it stops at
    /// once.
    pub fn accepts_until(&self) -> Option<Instant> {
        self.shutdown_started.map(|at| if self.shares_listener { at } else { at + self.linger() })
    }

    /// Whether a response closes its connection.
    pub fn closes_connections(&self, now: Instant) -> bool {
        self.accepts_until().is_some_and(|at| now >= at)
            || self.drain_started.is_some_and(|at| now >= at + DRAIN_ARRIVALS)
    }

    /// When an idle connection is closed. `spread`, between 0 and 1, distributes the connections over a period, so that
    /// the clients do not all reconnect at the same moment.
    pub fn idle_close_at(&self, spread: f64) -> Option<Instant> {
        let within = |at: Instant, [from, to]: [Duration; 2]| at + from + (to - from).mul_f64(spread);
        let drained = self.drain_started.map(|at| within(at, DRAIN_IDLE_CLOSE));
        let shut_down = self.shutdown_started.map(|at| match self.shares_listener {
            true => within(at, HANDOVER_IDLE_CLOSE).min(at + self.time_to_close()),
            false => at + self.linger(),
        });
        drained.into_iter().chain(shut_down).min()
    }

    /// Latest time for the response to a request that has arrived at `arrived`, if the shutdown limits it. A request that arrives after
    /// the notice period and is unanswered at SIGKILL would be lost, however much time its client has left.
    pub fn response_deadline(&self, arrived: Instant) -> Option<Instant> {
        let shutdown_started = self.shutdown_started?;
        // `READ_DELAY` is a margin: the request was sent before it is read, and the sender of SIGTERM may have read its clock
        // at another moment.
        (arrived.saturating_duration_since(shutdown_started) + READ_DELAY >= NOTICE_PERIOD)
            .then(|| shutdown_started + self.time_to_respond())
    }

    /// The earliest time at which the process may be killed; `None` before SIGTERM.
    pub fn earliest_kill(&self) -> Option<Instant> {
        self.shutdown_started.map(|at| at + self.kill_after)
    }

    /// Latest time for the responses to all requests, whenever they arrived: a request at an endpoint that hangs until after
    /// SIGKILL would get no response at all.
    pub fn final_response_deadline(&self) -> Option<Instant> {
        self.shutdown_started.map(|at| at + self.time_to_respond())
    }

    /// Time after SIGTERM for which requests are accepted where there is no successor: clients keep their connections, and
    /// there may be no other sidecar in their zone for now.
    fn linger(&self) -> Duration {
        // With short deadlines SIGKILL comes so early that without the upper bound it would hit requests on open connections.
        self.kill_after
            .saturating_sub(RESPONSE_MARGIN + LAST_REQUESTS)
            .max(MIN_LINGER)
            .min(self.time_to_close())
    }

    /// Time from SIGTERM within which all requests are answered.
    fn time_to_respond(&self) -> Duration {
        self.kill_after.saturating_sub(RESPONSE_MARGIN)
    }

    /// Time from SIGTERM for which connections may stay open.
    fn time_to_close(&self) -> Duration {
        self.kill_after.saturating_sub(CLOSING_TIME)
    }
}

/// The lifecycle of a running sidecar: a [`LifecycleState`] with a clock, and notifications of its changes.
pub struct Lifecycle<P: Platform> {
    platform: P,
    state: Cell<LifecycleState>,
    changed: Notify,
}

impl<P: Platform> Lifecycle<P> {
    /// The lifecycle of a sidecar that starts now. `shares_listener`: the listening socket is inherited.
    pub fn new(platform: P, max_deadline: Duration, shares_listener: bool) -> Lifecycle<P> {
        let state = Cell::new(LifecycleState::new(platform.now(), max_deadline, shares_listener));
        Lifecycle { platform, state, changed: Notify::new() }
    }

    /// Changes the state with the current time, and wakes the waiting tasks.
    pub fn update(&self, change: impl FnOnce(&mut LifecycleState, Instant)) {
        let mut state = self.state.get();
        change(&mut state, self.platform.now());
        self.state.set(state);
        self.changed.notify_waiters();
    }

    /// Starts the shutdown, as on SIGTERM.
    pub fn begin_shutdown(&self) {
        self.update(LifecycleState::begin_shutdown);
    }

    /// Evaluates `query` on the state at the current time.
    pub fn query<T>(&self, query: impl FnOnce(&LifecycleState, Instant) -> T) -> T {
        query(&self.state.get(), self.platform.now())
    }

    /// Waits for the time that `deadline` derives from the state; it is derived again after each change.
    pub async fn wait_until(&self, deadline: impl Fn(&LifecycleState) -> Option<Instant>) {
        loop {
            let changed = self.changed.notified();
            match deadline(&self.state.get()) {
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

    /// Waits until the shutdown starts.
    pub async fn shutdown_begun(&self) {
        self.wait_until(|state| state.shutdown_started).await;
    }
}
