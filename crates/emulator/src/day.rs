//! A day: one draw from a scenario under a seed. Figures in place of ranges, faults at their instants with their
//! targets, and the configuration of each sidecar.

use crate::delivery::DeliveryDraw;
use crate::dice::Dice;
use crate::kernel::{Nanos, SEC};
use crate::net::Links;
use crate::scenario::*;
use serde_json::{Value, json};

/// Nanoseconds of seconds.
pub fn nanos(seconds: f64) -> Nanos {
    (seconds * 1e9).round() as Nanos
}

fn span(dice: &mut Dice, s: Span) -> f64 {
    dice.within((s.0, s.1))
}

fn time(dice: &mut Dice, t: Time) -> Nanos {
    nanos(dice.within((t.0, t.1)))
}

fn whole(dice: &mut Dice, s: Span) -> usize {
    let (lo, hi) = (s.0.round() as usize, s.1.round() as usize);
    lo + dice.below(hi.saturating_sub(lo) + 1)
}

/// A class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share.
    pub share: f64,
    /// Its work in seconds: mean, and standard deviation over the mean.
    pub work: (f64, f64),
    /// Full worth until then.
    pub aim: Nanos,
    /// Clients wait for so long.
    pub deadline: Nanos,
    /// Worth.
    pub worth: f64,
    /// Share of it after the aim.
    pub late: f64,
    /// What a repeat does.
    pub effect: EffectWord,
    /// For how long nodes drop a repeat.
    pub window: Nanos,
}

/// A node as drawn.
#[derive(Debug, Clone)]
pub struct NodeDraw {
    /// `KIND-N`, counted within the kind.
    pub name: String,
    /// Its tier.
    pub tier: usize,
    /// Its zone.
    pub zone: usize,
    /// Cores.
    pub cores: usize,
    /// Speed of each.
    pub speed: f64,
    /// Requests in work.
    pub slots: usize,
    /// Requests waiting beyond that.
    pub queue: usize,
    /// Capacity just after a start.
    pub cold_from: f64,
    /// Time until it is warm.
    pub cold: Nanos,
    /// Share of requests that fail.
    pub errors: f64,
    /// Running work stops on a cancel.
    pub stops: bool,
    /// Connections that it holds.
    pub cap: usize,
    /// Work of a handshake in seconds, and its time for the first request.
    pub handshake: (f64, Nanos),
    /// Work of a probe in seconds.
    pub probe: f64,
    /// Load reports: refresh period, delay, noise.
    pub report: (Nanos, Nanos, f64),
    /// Crowding, if it suffers from it.
    pub crowding: Option<Crowding>,
    /// Idle connections are closed after this time.
    pub idle: Nanos,
}

/// When a node turns slow and recovers.
#[derive(Debug, Clone, Copy)]
pub struct Crowding {
    /// Requests waiting a core.
    pub at: f64,
    /// For so long.
    pub over: Nanos,
    /// So many times slower.
    pub slower: f64,
    /// Until under this share of cores was busy.
    pub below: f64,
    /// For so long.
    pub rest: Nanos,
    /// Or so much time has passed.
    pub most: Nanos,
}

/// A tier as drawn.
#[derive(Debug, Clone)]
pub struct TierDraw {
    /// Its name.
    pub name: String,
    /// Share of a class's work that a call does here.
    pub work: f64,
    /// Calls by a request of the tier above, on average.
    pub calls: f64,
    /// A sidecar gives up connecting after this.
    pub connect_timeout: Nanos,
    /// Connections idle for so long are closed.
    pub idle: Nanos,
}

/// A node that drains leaves within this time, if nothing else is said.
const LEAVES_WITHIN: Nanos = 8 * SEC;

/// A fault at its instant, with its target.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When.
    pub at: Nanos,
    /// For how long.
    pub lasting: Nanos,
    /// How long a node that drains stays before it leaves.
    pub leaves: Nanos,
    /// The node or sidecar, by name; empty where it concerns all.
    pub target: String,
    /// How much.
    pub factor: f64,
    /// How late.
    pub delay: Nanos,
    /// After how many bytes.
    pub byte: usize,
    /// A replacement takes the address.
    pub takes_address: bool,
}

impl Fault {
    /// The fault as a section of a scenario, with nothing left to draw.
    pub fn section(&self) -> FaultSection {
        use FaultKind::*;
        let kind = self.kind;
        let seconds = |n: Nanos| Time(n as f64 / 1e9, n as f64 / 1e9);
        let exact = |f: f64| Span(f, f);
        FaultSection {
            kind,
            at: seconds(self.at),
            lasting: kind.lasts().then(|| seconds(self.lasting)),
            until: None,
            leaves: (kind == NodeDrain).then(|| seconds(self.leaves)),
            target: (!self.target.is_empty()).then(|| self.target.clone()),
            tier: None,
            share: None,
            factor: kind.has_factor().then(|| exact(self.factor)),
            delay: kind.has_delay().then(|| seconds(self.delay)),
            byte: kind.has_byte().then(|| exact(self.byte as f64)),
            takes_address: (kind == NodeReplace).then_some(self.takes_address),
            times: None,
        }
    }
}

/// Clients as drawn.
#[derive(Debug, Clone)]
pub struct ClientDraw {
    /// First tries a second at the start and at the end.
    pub rate: (f64, f64),
    /// Shares of the zones.
    pub zones: Vec<f64>,
    /// Probability of a further try (may be over 1: then one is certain).
    pub retries: f64,
    /// Share of the deadline that a try is given, least and most.
    pub try_share: (f64, f64),
    /// Wait before a further try, least and most.
    pub backoff: (Nanos, Nanos),
    /// Share that waits as told.
    pub honour: f64,
    /// Share that leaves early.
    pub impatient: f64,
    /// When those leave, least and most; if not given, at any moment.
    pub leaves: Option<(f64, f64)>,
    /// Share on fresh connections.
    pub fresh: f64,
    /// Bad clients a second.
    pub bad: f64,
}

/// Discovery as drawn.
#[derive(Debug, Clone)]
pub struct DiscoveryDraw {
    /// Delay of a change, least and most.
    pub notice: (Nanos, Nanos),
    /// The same where a machine vanished.
    pub silent_notice: (Nanos, Nanos),
    /// Calls at once.
    pub capacity: usize,
    /// What a call takes, least and most.
    pub call: (Nanos, Nanos),
    /// Calls that waited longer are refused.
    pub patience: Nanos,
    /// Changes go out at multiples of this.
    pub period: Nanos,
    /// What rows cost, if they cost anything.
    pub rows: Option<RowCost>,
    /// Versions whose changes are told.
    pub history: u64,
    /// A call so soon after the answer before it does not queue.
    pub continues: Nanos,
    /// How answers are sent.
    pub delivery: DeliveryDraw,
}

/// What rows of the list cost discovery, which serves one call after another then.
#[derive(Debug, Clone, Copy)]
pub struct RowCost {
    /// Time of a row.
    pub row: f64,
    /// What a call costs beside its rows, in rows.
    pub call_rows: f64,
}

impl RowCost {
    /// The time that a call takes which is answered with so many rows.
    pub fn call(&self, rows: usize) -> Nanos {
        ((self.call_rows + rows as f64) * self.row) as Nanos
    }

    /// The time that so many rows take without a call.
    pub fn rows(&self, rows: usize) -> Nanos {
        (rows as f64 * self.row) as Nanos
    }
}

/// One draw from a scenario.
#[derive(Debug, Clone)]
pub struct Day {
    /// The scenario's name.
    pub name: String,
    /// The seed.
    pub seed: u64,
    /// How long clients send first tries.
    pub length: Nanos,
    /// The zones' names.
    pub zones: Vec<String>,
    /// Times of the links.
    pub links: Links,
    /// First-tier sidecars: their zones.
    pub sidecars: Vec<usize>,
    /// Descriptors of each sidecar.
    pub sockets: usize,
    /// Classes.
    pub classes: Vec<Class>,
    /// Tiers.
    pub tiers: Vec<TierDraw>,
    /// Nodes, tier by tier.
    pub nodes: Vec<NodeDraw>,
    /// Clients.
    pub clients: ClientDraw,
    /// Discovery.
    pub discovery: DiscoveryDraw,
    /// Faults, in the order of their instants.
    pub faults: Vec<Fault>,
    /// Share of the sidecars that starts with the list as last held.
    pub known: f64,
    /// Processor time in nanoseconds that a byte of discovery's answers takes a sidecar.
    pub read: f64,
    /// A drain's grace.
    pub drain_grace: Nanos,
    /// So much later a first byte still counts as sent within it.
    pub drain_slack: Nanos,
    /// A change counts as told so long after discovery had it and could be reached; 0: only what was delivered counts.
    pub told_within: Nanos,
    /// A cold node falls over past this multiple ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_after: Nanos,
    /// A sidecar asks within this time.
    pub ask_within: Nanos,
    /// Attempts of a request.
    pub max_attempts: usize,
    /// Longest advice.
    pub max_retry_after: Nanos,
}

impl Day {
    /// Draws a day. Each part has a stream of its own.
    pub fn draw(scenario: &Scenario, seed: u64) -> Day {
        let sc = scenario;
        let dice = |name: &str| Dice::new(seed, name);
        let (mut top, mut links) = (dice("day"), dice("links"));
        let zones = sc.day.zones.len();
        let sidecars = whole(&mut dice("sidecars"), sc.sidecars.count).max(1);
        let tiers: Vec<TierDraw> = sc
            .tiers
            .iter()
            .map(|tier| {
                let mut d = dice(&format!("tier {}", tier.name));
                TierDraw {
                    name: tier.name.clone(),
                    work: span(&mut d, tier.work),
                    calls: span(&mut d, tier.calls),
                    connect_timeout: time(&mut d, tier.connections.connect_timeout),
                    idle: time(&mut d, tier.connections.idle),
                }
            })
            .collect();
        let nodes = draw_nodes(sc, &tiers, seed, zones);
        let classes = sc.classes.iter().map(|class| {
            let mut d = dice(&format!("class {}", class.name));
            Class {
                name: class.name.clone(),
                share: span(&mut d, class.share),
                work: (d.within((class.work.0, class.work.1)), span(&mut d, class.cv)),
                aim: time(&mut d, class.aim),
                deadline: time(&mut d, class.deadline),
                worth: span(&mut d, class.worth),
                late: span(&mut d, class.late),
                effect: class.effect,
                window: class.window.map_or(0, |w| time(&mut d, w)),
            }
        });
        let classes: Vec<Class> = classes.collect();
        let clients = {
            let (mut d, c) = (dice("clients"), &sc.clients);
            let rate = span(&mut d, c.rate);
            let ramp = span(&mut d, c.ramp);
            let skew = span(&mut d, c.skew).min(1.0);
            let busy = d.below(zones);
            let even = (1.0 - skew) / zones as f64;
            ClientDraw {
                rate: (rate, rate * ramp),
                zones: c.zone_shares.clone().unwrap_or_else(|| {
                    (0..zones).map(|z| even + if z == busy { skew } else { 0.0 }).collect()
                }),
                retries: span(&mut d, c.retries),
                try_share: (c.try_share.0, c.try_share.1),
                backoff: (nanos(c.backoff.0), nanos(c.backoff.1)),
                honour: span(&mut d, c.honour),
                impatient: span(&mut d, c.impatient),
                leaves: c.leaves.map(|t| (t.0 * 1e9, t.1 * 1e9)),
                fresh: span(&mut d, c.fresh),
                bad: span(&mut d, c.bad),
            }
        };
        let discovery = {
            let (mut d, c) = (dice("discovery"), &sc.discovery);
            DiscoveryDraw {
                notice: (nanos(c.notice.0), nanos(c.notice.1)),
                silent_notice: (nanos(c.silent_notice.0), nanos(c.silent_notice.1)),
                capacity: whole(&mut d, c.capacity).max(1),
                call: (nanos(c.call.0), nanos(c.call.1)),
                patience: time(&mut d, c.patience),
                period: time(&mut d, c.period).max(1),
                rows: draw_rows(c, &mut dice("rows")),
                history: whole(&mut dice("history"), c.history) as u64,
                continues: time(&mut dice("continues"), c.continues),
                delivery: DeliveryDraw::draw(&sc.delivery, &mut dice("delivery")),
            }
        };
        let mut reading = dice("reading");
        let mut day = Day {
            name: sc.day.name.clone(),
            seed,
            length: time(&mut top, sc.day.length),
            zones: sc.day.zones.clone(),
            links: Links {
                local: time(&mut links, sc.links.local) as f64,
                same: time(&mut links, sc.links.same) as f64,
                cross: time(&mut links, sc.links.cross) as f64,
                client: time(&mut links, sc.links.client) as f64,
                jitter: span(&mut links, sc.links.jitter),
            },
            sidecars: (0..sidecars)
                .map(|i| match &sc.sidecars.zones {
                    Some(named) => zone_of(sc, &named[i % named.len()]),
                    None => i % zones,
                })
                .collect(),
            sockets: whole(&mut top, sc.sidecars.sockets),
            classes,
            tiers,
            nodes,
            clients,
            discovery,
            faults: Vec::new(),
            known: span(&mut reading, sc.sidecars.known),
            read: time(&mut reading, sc.sidecars.read) as f64 / 1e6,
            drain_grace: time(&mut top, sc.rules.drain_grace),
            drain_slack: time(&mut dice("slack"), sc.rules.drain_slack),
            told_within: time(&mut dice("told within"), sc.rules.told_within),
            fall_multiple: span(&mut top, sc.rules.fall_multiple),
            fall_after: time(&mut top, sc.rules.fall_after),
            ask_within: time(&mut top, sc.rules.ask_within),
            max_attempts: whole(&mut top, sc.rules.max_attempts).max(1),
            max_retry_after: time(&mut top, sc.rules.max_retry_after),
        };
        for (i, section) in sc.faults.iter().enumerate() {
            day.draw_fault(section, &mut dice(&format!("fault {i}")));
        }
        day.faults.sort_by_key(|fault| fault.at);
        day
    }

    fn draw_fault(&mut self, section: &FaultSection, dice: &mut Dice) {
        use FaultKind::*;
        let times = section.times.map_or(1, |t| whole(dice, t));
        for _ in 0..times {
            let at = time(dice, section.at);
            let lasting = match section.until {
                Some(until) => time(dice, until).saturating_sub(at),
                None => section.lasting.map_or(0, |t| time(dice, t)),
            };
            let leaves = section.leaves.map_or(lasting.min(LEAVES_WITHIN), |t| time(dice, t));
            let factor = section.factor.map_or(1.0, |f| span(dice, f));
            let delay = section.delay.map_or(0, |t| time(dice, t));
            let byte = section.byte.map_or(0, |b| whole(dice, b));
            let of_sidecar = matches!(
                section.kind,
                HotCaller | SidecarRestart | SidecarDrain | SidecarKill | Descriptors | SidecarPause
            );
            let mut targets = Vec::new();
            if section.kind.is_nowhere() {
                targets.push(String::new());
            } else if let Some(target) = &section.target {
                targets.push(target.clone());
            } else if matches!(section.kind, SidecarGone | SidecarLate) {
                let mut numbers: Vec<usize> = (1..=self.sidecars.len()).collect();
                let share = section.share.map_or(0.0, |s| span(dice, s));
                let most = ((numbers.len() as f64 * share).round() as usize).clamp(1, numbers.len());
                for _ in 0..most {
                    targets.push(format!("sidecar-{}", numbers.swap_remove(dice.below(numbers.len()))));
                }
            } else if of_sidecar {
                targets.push(format!("sidecar-{}", 1 + dice.below(self.sidecars.len())));
            } else {
                let tier = section.tier.unwrap_or_else(|| dice.below(self.tiers.len()));
                let mut names: Vec<String> =
                    self.nodes.iter().filter(|n| n.tier == tier).map(|n| n.name.clone()).collect();
                let share = section.share.map_or(0.0, |s| span(dice, s));
                let most = ((names.len() as f64 * share).round() as usize).clamp(1, names.len());
                for _ in 0..most {
                    targets.push(names.swap_remove(dice.below(names.len())));
                }
            }
            for target in targets {
                let takes_address = section.takes_address.unwrap_or(false);
                let kind = section.kind;
                self.faults.push(Fault {
                    kind,
                    at,
                    lasting,
                    leaves,
                    target,
                    factor,
                    delay,
                    byte,
                    takes_address,
                });
            }
        }
    }

    /// The settings that a sidecar is given, in the platform's words.
    pub fn settings(&self, tier: usize, rank: usize, zone: usize, instances: usize) -> Value {
        let classes: Vec<Value> = self
            .classes
            .iter()
            .map(|class| {
                let effect = match class.effect {
                    EffectWord::Safe => "read_like",
                    EffectWord::Keyed => "idempotency_key",
                    EffectWord::Unsafe => "non_idempotent",
                };
                json!({"name": class.name, "slo-ns": class.aim, "deadline-ns": class.deadline, "worth": class.worth,
                       "late-value": class.late, "effect": effect, "dedup-scope": "all", "key-ttl-ns": class.window})
            })
            .collect();
        let names: Vec<&str> = self.tiers.iter().map(|t| t.name.as_str()).collect();
        let cold = self.nodes.iter().filter(|n| n.tier == tier);
        let cold_from = cold.clone().map(|n| n.cold_from).fold(1.0, f64::min);
        let ramp = cold.map(|n| n.cold).max().unwrap_or(0);
        json!({
            "instances": instances, "rank": rank, "tier": tier, "tiers": names, "zone": zone, "dcs": self.zones,
            "domain": {"passes-deadline": true}, "step-ns": 5_000_000u64, "request-classes": classes,
            "policy-limits": {"cancel": true, "probes": true, "second-copies": false, "retry-after": true,
                "max-attempts": self.max_attempts, "max-retry-after-ns": self.max_retry_after,
                "conn-idle-ns": self.tiers[tier].idle, "dial-timeout-ns": self.tiers[tier].connect_timeout},
            "contract": {"cold-from": cold_from, "ramp-time-ns": ramp, "fall-multiple": self.fall_multiple,
                "tip-after-ns": self.fall_after, "drain-grace-ns": self.drain_grace,
                "ask-within-ns": self.ask_within},
            "prices": {"probe": 0.01, "waste": 0.14, "cross-zone": 0.05},
            "report": {"source": "pull", "fields": ["inflight", "queue"]},
            "discovery": "subscribe", "weight-kind": "rough",
        })
    }
}

fn draw_rows(section: &DiscoverySection, dice: &mut Dice) -> Option<RowCost> {
    let (rows, call_rows) = (span(dice, section.rows), span(dice, section.call_rows));
    (rows > 0.0).then(|| RowCost { row: 1e9 / rows, call_rows })
}

fn zone_of(sc: &Scenario, name: &str) -> usize {
    sc.day.zones.iter().position(|zone| zone == name).unwrap_or(0)
}

fn draw_nodes(sc: &Scenario, tiers: &[TierDraw], seed: u64, zones: usize) -> Vec<NodeDraw> {
    let mut nodes = Vec::new();
    for (t, tier) in sc.tiers.iter().enumerate() {
        let mut d = Dice::new(seed, &format!("nodes {}", tier.name));
        let count = whole(&mut d, tier.nodes).max(1);
        let shares: Vec<f64> = tier.kind.iter().map(|k| span(&mut d, k.share)).collect();
        let total: f64 = shares.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        // The shares are kept as well as whole nodes allow: the kind that lacks most gets the next one.
        let mut have = vec![0usize; shares.len()];
        for i in 0..count {
            let lack = |k: usize| shares[k] / total * (i + 1) as f64 - have[k] as f64;
            let kind = (0..shares.len()).max_by(|&a, &b| lack(a).total_cmp(&lack(b))).unwrap_or(0);
            have[kind] += 1;
            let section = &tier.kind[kind];
            let mut d = Dice::new(seed, &format!("node {} {}", section.name, have[kind]));
            let cores = whole(&mut d, section.cores).max(1);
            let c = &tier.crowding;
            let crowding = d.chance(span(&mut Dice::new(seed, &format!("crowding {}", tier.name)), c.share));
            nodes.push(NodeDraw {
                name: format!("{}-{}", section.name, have[kind]),
                tier: t,
                zone: section.zone.as_ref().map_or(i % zones, |zone| zone_of(sc, zone)),
                cores,
                speed: span(&mut d, section.speed),
                slots: ((span(&mut d, section.slots_per_core) * cores as f64) as usize).max(1),
                queue: (span(&mut d, section.queue_per_core) * cores as f64) as usize,
                cold_from: span(&mut d, section.cold_from),
                cold: time(&mut d, section.cold),
                errors: span(&mut d, section.errors),
                stops: section.cancel == CancelWord::All,
                cap: (span(&mut d, tier.connections.cap_per_core) * cores as f64) as usize,
                handshake: (
                    d.within((tier.connections.handshake.0, tier.connections.handshake.1)),
                    nanos(span(&mut d, tier.connections.handshake_rtts) * 2.0 * sc.links.cross.1),
                ),
                probe: d.within((tier.report.probe.0, tier.report.probe.1)),
                report: (
                    time(&mut d, tier.report.period).max(1),
                    time(&mut d, tier.report.delay),
                    span(&mut d, tier.report.noise),
                ),
                crowding: crowding.then(|| Crowding {
                    at: span(&mut d, c.at),
                    over: time(&mut d, c.over),
                    slower: span(&mut d, c.slower).max(1.0),
                    below: span(&mut d, c.below),
                    rest: time(&mut d, c.rest),
                    most: time(&mut d, c.most),
                }),
                idle: tiers[t].idle,
            });
        }
    }
    nodes
}
