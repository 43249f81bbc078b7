//! One run: a whole sidecar on a [`Faulty`] platform, and the world round it on another thread.

use crate::defects::{Defect, Spoilt};
use crate::discovery::{Delivery, Discovery, rotate};
use crate::endpoints::{Arrival, Endpoints};
use crate::fleet;
use crate::journal::Entries;
use crate::load::{Clients, Sent};
use crate::plan::Plan;
use crate::platform::Faulty;
use cometcroft_platform::{Platform, Task, Tokio};
use cometcroft_sidecar::config::{Config, ConfigError};
use cometcroft_sidecar::counters::Counters;
use cometcroft_sidecar::lifecycle::Lifecycle;
use cometcroft_sidecar::reload::ConfigReloader;
use cometcroft_sidecar::{Resources, run_with};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Once;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

/// What is played.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The faults.
    pub plan: Plan,
    /// For how long they last.
    pub faults: Duration,
    /// Clients.
    pub clients: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Another endpoint begins to drain so often.
    pub step: Duration,
    /// It is told to leave in the middle of the faults.
    pub leaves: bool,
    /// What is wrong with the sidecar on purpose.
    pub defect: Option<Defect>,
}

/// The load runs for so long before the faults, ...
const BEFORE: Duration = Duration::from_millis(150);
/// ... and for so long after them.
const AFTER: Duration = Duration::from_millis(500);
/// Endpoints drop a repeat of a keyed request for so long.
pub const KEY_WINDOW: Duration = Duration::from_millis(700);
/// A request may still begin so long after the sidecar was told that its endpoint drains.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Whether the world's thread stands still is looked at so often, ...
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// ... and it does where that takes so long.
const STALL: Duration = Duration::from_millis(25);
/// Beyond the end of the load, a sidecar that was told to leave is waited for.
const LEAVING: Duration = Duration::from_secs(3);
/// A run that takes so much longer than its faults does not end any more.
const OVERRUN: Duration = Duration::from_secs(30);
const DEADLINE: Duration = Duration::from_millis(1500);

impl Scenario {
    /// A short run under these faults, for the tests that always run.
    pub fn short(plan: Plan) -> Scenario {
        Scenario { faults: Duration::from_millis(800), ..Scenario::long(plan) }
    }

    /// A run of some more hundred requests.
    pub fn long(plan: Plan) -> Scenario {
        let (faults, step) = (Duration::from_millis(1200), Duration::from_millis(170));
        Scenario { plan, faults, clients: 16, endpoints: 8, step, leaves: false, defect: None }
    }

    /// One in which the sidecar is told to leave, and faults last until its listener is let go.
    pub fn leaving(plan: Plan) -> Scenario {
        Scenario { faults: Duration::from_millis(2400), leaves: true, ..Scenario::long(plan) }
    }
}

/// A time in which the world's thread stood still: what it stamped right after may have happened as early as its start.
#[derive(Debug, Clone, Copy)]
pub struct Stall {
    /// Its start.
    pub from: Instant,
    /// Its end.
    pub until: Instant,
}

/// What was seen in a run.
#[derive(Debug)]
pub struct Observed {
    /// What clients sent.
    pub sent: Vec<Sent>,
    /// What arrived at endpoints.
    pub arrivals: Vec<Arrival>,
    /// What discovery wrote.
    pub deliveries: Vec<Delivery>,
    /// Calls to discovery.
    pub discovery_calls: usize,
    /// What the injector noted.
    pub journal: Entries,
    /// When the world's thread stood still.
    pub stalls: Vec<Stall>,
    /// From when to when calls failed.
    pub faults: [Instant; 2],
    /// The sidecar's counter of broken invariants.
    pub invariants_broken: u64,
    /// The sidecar's counters as JSON.
    pub counters: String,
    /// Panics on the sidecar's thread.
    pub panics: usize,
    /// When it was told to leave.
    pub left: Option<Instant>,
    /// The sidecar ended, with this.
    pub ended: Option<String>,
    /// How many members its two companions reach at the end, where it is in a fleet.
    pub reached: Option<[usize; 2]>,
}

/// What the world's thread tells the sidecar's.
enum Word {
    Faults(bool),
    Leave,
    Done(Box<World>),
}

/// What the world's thread has seen.
struct World {
    sent: Vec<Sent>,
    arrivals: Vec<Arrival>,
    deliveries: Vec<Delivery>,
    discovery_calls: usize,
    stalls: Vec<Stall>,
}

/// Where the sidecar finds the world.
struct Places {
    endpoints: Vec<SocketAddr>,
    discovery: SocketAddr,
    list: Value,
}

/// Plays a scenario, or fails where it has not ended long after its time: the sidecar's thread stands still then, and is
/// left behind.
pub fn play(scenario: &Scenario) -> io::Result<Observed> {
    let (sender, receiver) = std::sync::mpsc::channel();
    let played = scenario.clone();
    std::thread::spawn(move || {
        // Nobody listens any more if it took too long.
        let _ = sender.send(play_here(&played));
    });
    let stands_still = |_| io::Error::new(io::ErrorKind::TimedOut, "the sidecar stands still");
    receiver.recv_timeout(scenario.faults + OVERRUN).map_err(stands_still)?
}

/// Plays a scenario on this thread and another.
fn play_here(scenario: &Scenario) -> io::Result<Observed> {
    let (places_sender, places) = oneshot::channel();
    let (sidecar_sender, sidecar) = oneshot::channel();
    let (words_sender, mut words) = mpsc::unbounded_channel();
    std::thread::scope(|scope| {
        let world = scope.spawn(|| {
            local(async {
                let (endpoints, addresses) =
                    Endpoints::start(scenario.endpoints, !scenario.plan.seed).await?;
                let (discovery, at) = Discovery::start(&addresses).await?;
                let list = discovery.list();
                let _ = places_sender.send(Places { endpoints: addresses, discovery: at, list });
                let Ok(sidecar) = sidecar.await else { return Ok(()) };
                world(scenario, sidecar, endpoints, discovery, words_sender).await;
                Ok(())
            })
        });
        let observed = local(async {
            let places = places.await.map_err(io::Error::other)?;
            observe(scenario, places, sidecar_sender, &mut words).await
        });
        let _ = world.join();
        observed
    })
}

fn local<T>(work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, work)
}

async fn world(
    scenario: &Scenario,
    [sidecar, door]: [SocketAddr; 2],
    endpoints: Endpoints,
    discovery: Rc<Discovery>,
    words: mpsc::UnboundedSender<Word>,
) {
    let until = Tokio.now() + BEFORE + scenario.faults + AFTER;
    let rotation = Tokio.spawn(rotate(discovery.clone(), scenario.endpoints, scenario.step));
    let stalls = Rc::new(RefCell::new(Vec::new()));
    Tokio.detach(watch_stalls(stalls.clone()));
    let (told, time, leaves) = (words.clone(), scenario.faults, scenario.leaves);
    Tokio.detach(async move {
        Tokio.sleep(BEFORE).await;
        let _ = told.send(Word::Faults(true));
        Tokio.sleep(time / 2).await;
        if leaves {
            let _ = told.send(Word::Leave);
        }
        Tokio.sleep(time / 2).await;
        let _ = told.send(Word::Faults(false));
    });
    let seed = scenario.plan.seed;
    let clients = Clients::run(sidecar, scenario.clients, until, seed);
    let (mut sent, calls) = tokio::join!(clients, Clients::operators(door, until, seed));
    sent.extend(calls);
    rotation.abort();
    let seen = World {
        sent,
        arrivals: endpoints.arrivals(),
        deliveries: discovery.deliveries(),
        discovery_calls: discovery.calls(),
        stalls: stalls.take(),
    };
    let _ = words.send(Word::Done(Box::new(seen)));
}

/// Notes when this thread stands still, until it is dropped.
async fn watch_stalls(stalls: Rc<RefCell<Vec<Stall>>>) {
    loop {
        let from = Tokio.now();
        Tokio.sleep(LOOK_EVERY).await;
        let until = Tokio.now();
        if until.saturating_duration_since(from) >= STALL {
            stalls.borrow_mut().push(Stall { from, until });
        }
    }
}

async fn observe(
    scenario: &Scenario,
    places: Places,
    address: oneshot::Sender<[SocketAddr; 2]>,
    words: &mut mpsc::UnboundedReceiver<Word>,
) -> io::Result<Observed> {
    count_panics();
    let panics_before = PANICS.get();
    let (listener, ops) = (TcpListener::bind("127.0.0.1:0").await?, TcpListener::bind("127.0.0.1:0").await?);
    let (listen, door) = (listener.local_addr()?, ops.local_addr()?);
    let config = configuration(listen, places.discovery, &places.list, scenario.plan.seed);
    let config = config.map_err(io::Error::other)?;
    let platform = Faulty::new(Tokio, scenario.plan.clone());
    let (counters, control) = (Rc::new(Counters::default()), ConfigReloader::new(&config));
    let life = Rc::new(Lifecycle::new(platform.clone(), config.max_deadline(), false));
    let fleet = match scenario.plan.datagrams.rate > 0.0 {
        true => Some(fleet::form(&platform).await?),
        false => None,
    };
    let (fleet, companions) = fleet.unzip();
    let parts = Resources {
        listener: platform.listener(listener),
        ops: Some(platform.listener(ops)),
        reloader: control,
        lifecycle: life.clone(),
        counters: counters.clone(),
        fleet,
    };
    let (defect, endpoint) = (scenario.defect, places.endpoints[0]);
    let ended = Rc::new(Cell::new(None));
    let (tells, runs) = (ended.clone(), platform.clone());
    let mut sidecar = Tokio.spawn(async move {
        let result = run_with(runs, config, parts, |carrier| Spoilt::new(carrier, defect, endpoint)).await;
        tells.set(Some(format!("{result:?}")));
    });
    let _ = address.send([listen, door]);
    let (mut faults, mut left) = ([Tokio.now(); 2], None);
    while let Some(word) = words.recv().await {
        match word {
            Word::Faults(active) => {
                platform.activate(active);
                faults[usize::from(!active)] = Tokio.now();
            }
            Word::Leave => {
                left = Some(Tokio.now());
                life.begin_shutdown();
            }
            Word::Done(seen) => {
                let World { sent, arrivals, deliveries, discovery_calls, stalls } = *seen;
                if left.is_some() {
                    // In a run without findings it is gone by now, or soon.
                    let _ = Tokio.timeout(LEAVING, &mut sidecar).await;
                }
                let reached = match &companions {
                    Some(companions) => Some(companions.reached().await),
                    None => None,
                };
                let observed = Observed {
                    sent,
                    arrivals,
                    deliveries,
                    discovery_calls,
                    stalls,
                    journal: platform.journal().entries(),
                    faults,
                    invariants_broken: counters.invariants_broken.get(),
                    counters: counters.json(),
                    panics: PANICS.get() - panics_before,
                    left,
                    ended: ended.take(),
                    reached,
                };
                sidecar.abort();
                return Ok(observed);
            }
        }
    }
    Err(io::Error::other("the world ended early"))
}

/// The configuration of a sidecar that listens here, with discovery there and this list as last held. By the seed it probes
/// endpoints or not, and asks for lists or has them pushed.
pub fn configuration(
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &Value,
    seed: u64,
) -> Result<Config, ConfigError> {
    let (probes, manner) = (seed % 2 == 1, if seed % 4 < 2 { "subscribe" } else { "automatic" });
    let nanos = |time: Duration| u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
    let class = |name: &str, effect: &str| {
        json!({"deadline-ns": nanos(DEADLINE), "dedup-scope": "all", "effect": effect,
            "key-ttl-ns": nanos(KEY_WINDOW), "late-value": 0.5, "name": name, "slo-ns": 800_000_000, "worth": 3.0})
    };
    let classes =
        [class("plan", "read_like"), class("book", "non_idempotent"), class("pay", "idempotency_key")];
    let value = json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{seed:x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": known,
        "settings": {
            "contract": {"ask-within-ns": 10_000_000_000_u64, "cold-from": 0.31,
                "drain-grace-ns": nanos(DRAIN_GRACE), "fall-multiple": 3.0, "ramp-time-ns": 9_000_000_000_u64,
                "tip-after-ns": 1_500_000_000},
            "dcs": ["a", "b"], "discovery": manner, "instances": 1,
            "policy-limits": {"cancel": true, "conn-idle-ns": 5_000_000_000_u64,
                "dial-timeout-ns": 200_000_000, "max-attempts": 3, "max-retry-after-ns": 3_000_000_000_u64,
                "probes": probes},
            "prices": {}, "report": {"fields": ["inflight", "queue"], "source": "pull"},
            "request-classes": classes, "step-ns": 5_000_000, "tier": 0, "tiers": ["t"],
            "weight-kind": "rough", "zone": 0}
    });
    Config::parse(&value.to_string(), |_| None)
}

thread_local! {
    static PANICS: Cell<usize> = const { Cell::new(0) };
}

/// Panics are counted by thread from now on, and reported as before.
fn count_panics() {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let report = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            PANICS.set(PANICS.get() + 1);
            report(panic);
        }));
    });
}
