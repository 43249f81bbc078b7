//! What a played fleet spends of the budget that it shares: the load on each member, what was admitted, and the ways of
//! dividing that ours is measured against.

use crate::dice::Dice;
use crate::kernel::{Kernel, Nanos, SEC};
use crate::platform::Emulated;
use cometcroft_budget::{Config, Limit, LimitKind, Safeguards};
use cometcroft_platform::Platform;
use cometcroft_script::{BudgetPlan, Plan};
use cometcroft_sidecar::budget_driver::{BudgetParts, BudgetUse};
use cometcroft_sidecar::fleet::Fleet;
use serde::Serialize;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// The places of the two wholes in the file.
pub const RATE: usize = 0;
/// The level.
pub const LEVEL: usize = 1;

/// Who divides.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Divide {
    /// Leases, as in service.
    #[default]
    Lease,
    /// The whole by the number of members at the beginning, for good.
    Static,
    /// The whole by how many each member sees at work.
    View,
}

/// A use that was admitted: by whom, of what, when, and for a level until when.
#[derive(Debug, Clone, Copy)]
pub struct Spent {
    /// The member.
    pub seat: usize,
    /// Of which whole.
    pub whole: usize,
    /// When.
    pub at: Nanos,
    /// A use of a level ends then, whatever becomes of who began it.
    pub ends: Nanos,
}

/// What all members of a fleet have spent since it was looked at.
#[derive(Debug, Default)]
pub struct Till {
    /// Uses.
    pub spent: Vec<Spent>,
    /// Uses that were wanted of the rate.
    pub wanted: u64,
}

/// What a budget came to.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ShareReport {
    /// Uses of the rate that were wanted, and had.
    pub wanted: u64,
    /// Had.
    pub admitted: u64,
    /// What was had of what the whole and the need of those who ran allowed, once the fleet had started.
    pub used: f64,
    /// Each time the hot place moved: seconds until the new one had nine tenths of its need.
    pub moved_s: Vec<f64>,
    /// The greatest sum of parts in force, as a share of the whole.
    pub most: f64,
    /// Bytes of the protocol a second and member.
    pub bytes_s: f64,
    /// Its messages.
    pub messages_s: f64,
    /// How often a divider was elected.
    pub elections: u64,
    /// Fairness of what members had of their needs (Jain), once the fleet had started.
    pub jain: f64,
}

/// What a member is told of the budget.
pub fn told(
    plan: &Plan,
    budget: &BudgetPlan,
    places: &[SocketAddrV4],
    own: SocketAddrV4,
    parts: Safeguards,
) -> Config {
    let thousandths = |figure: f64| (figure * 1000.0).round() as u64;
    let keepers = places[..budget.keepers.min(places.len())].to_vec();
    let mut config = Config::new("played", own, keepers, budget.lease);
    let rate = LimitKind::Rate { burst: thousandths(budget.burst) };
    let (size, floor) = (thousandths(budget.rate), thousandths(budget.floor));
    let level = LimitKind::Concurrency { max_hold: budget.longest };
    config.limits = vec![
        Limit { name: "rate".into(), kind: rate, size, guaranteed: floor },
        Limit {
            name: "level".into(),
            kind: level,
            size: u64::from(budget.level) * 1000,
            guaranteed: 1000 * u64::from(budget.floor > 0.0),
        },
    ];
    if budget.floor > 0.0 {
        config.roster = places[..plan.first.min(places.len())].to_vec();
    }
    config.safeguards = parts;
    config
}

/// What a member that starts is given for it.
pub fn parts(config: Config, id: u64) -> BudgetParts {
    let uses = vec![BudgetUse::Retries, BudgetUse::Open];
    BudgetParts { config, uses, id, listener: Box::new(|_| ()) }
}

/// A part of its own without any protocol: tokens and places by a number of members.
struct Own {
    tokens: f64,
    at: Duration,
}

/// Where a member's load spends.
struct Spender<E: 'static> {
    fleet: Rc<Fleet<Emulated<E>>>,
    divide: Divide,
    budget: BudgetPlan,
    first: usize,
    own: RefCell<Own>,
}

impl<E: 'static> Spender<E> {
    /// One use of the rate, under a baseline; `now` is the process' own time.
    fn bare(&self, now: Duration) -> bool {
        let among = match self.divide {
            Divide::View => self.fleet.sidecar_count().max(1) as usize,
            _ => self.first,
        };
        let (rate, burst) = (self.budget.rate / among as f64, (self.budget.burst / among as f64).max(1.0));
        let mut own = self.own.borrow_mut();
        let gained = now.saturating_sub(own.at).as_secs_f64() * rate;
        (own.tokens, own.at) = ((own.tokens + gained).min(burst), now);
        let had = own.tokens >= 1.0;
        own.tokens -= f64::from(u8::from(had));
        had
    }
}

/// The load on a member for as long as its process lives: uses of the rate as they are needed, and of the level for
/// some time each.
pub fn load<E: 'static>(
    kernel: &Rc<Kernel<E>>,
    platform: &Emulated<E>,
    (fleet, divide): (Rc<Fleet<Emulated<E>>>, Divide),
    (plan, budget, seat): (&Plan, &BudgetPlan, usize),
    till: &Rc<RefCell<Till>>,
) {
    let (first, seed) = (plan.first, plan.seed);
    let own = RefCell::new(Own { tokens: 0.0, at: Duration::ZERO });
    let spender = Rc::new(Spender { fleet, divide, budget: budget.clone(), first, own });
    let origin = platform.now();
    for whole in [RATE, LEVEL] {
        let (kernel, platform, spender, till) =
            (kernel.clone(), platform.clone(), spender.clone(), till.clone());
        let mut dice = Dice::new(seed, &format!("load {seat} {whole} {:?}", kernel.now()));
        platform.clone().detach(async move {
            loop {
                let at = Duration::from_nanos(kernel.now());
                let need = spender.budget.need(seat, spender.first, at).max(0.1);
                let gap = -(1.0 - dice.unit()).ln() / need;
                platform.sleep(Duration::from_secs_f64(gap.min(5.0))).await;
                let hold = spender.budget.longest.mul_f64(0.2 + 0.75 * dice.unit());
                // A pause may have come: all that follows goes by the time after it.
                let now = kernel.now();
                let mut till = till.borrow_mut();
                till.wanted += u64::from(whole == RATE);
                let mut spent = Spent { seat, whole, at: now, ends: now };
                match (spender.divide, spender.fleet.budget()) {
                    (Divide::Lease, Some(budget_driver)) => {
                        let Some(held) = budget_driver.try_use(whole) else { continue };
                        if let Some(held) = held {
                            // It is over before its sidecar notices, by whatever clock.
                            spent.ends = now + hold.mul_f64(0.98).as_nanos() as Nanos;
                            let ends = platform.sleep(hold);
                            platform.detach(async move {
                                ends.await;
                                drop(held);
                            });
                        }
                    }
                    _ if whole == RATE && spender.bare(platform.since(origin)) => {}
                    _ => continue,
                }
                till.spent.push(spent);
            }
        });
    }
}

/// Follows the hot place: when the new one has had nine tenths of its need over half a second.
#[derive(Debug, Default)]
pub struct Follow {
    seat: Option<usize>,
    since: Nanos,
    recent: Vec<Nanos>,
    found: bool,
    /// Seconds, each time.
    pub moved_s: Vec<f64>,
}

impl Follow {
    /// A tenth of a second has passed; `seat` is the hot place, and needs so much a second.
    pub fn look(&mut self, now: Nanos, seat: usize, need: f64) {
        if self.seat != Some(seat) {
            if self.seat.is_some() && !self.found {
                self.moved_s.push((now - self.since) as f64 / 1e9);
            }
            *self = Follow {
                seat: Some(seat),
                since: now,
                moved_s: std::mem::take(&mut self.moved_s),
                ..Follow::default()
            };
            return;
        }
        let window = SEC / 2;
        self.recent.retain(|at| *at + window > now);
        if !self.found && now >= self.since + window && self.recent.len() as f64 >= 0.9 * need / 2.0 {
            self.found = true;
            self.moved_s.push((now - self.since) as f64 / 1e9);
        }
    }

    /// A use was had.
    pub fn had(&mut self, seat: usize, at: Nanos) {
        if self.seat == Some(seat) {
            self.recent.push(at);
        }
    }
}
