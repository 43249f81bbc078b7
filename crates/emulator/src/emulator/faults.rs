//! The faults: what each does when it begins and when it ends.

use super::{Emulator, Event, Last, at};
use crate::day::Fault;
use crate::kernel::{MS, SEC};
use crate::scenario::FaultKind;
use cometcroft_sidecar::lifecycle::LifecycleState;
use serde_json::{Value, json};

impl Emulator {
    pub(super) fn fault(&mut self, n: usize, begins: bool) {
        let now = self.kernel.now();
        let fault: Fault = self.day.faults[n].clone();
        if begins && fault.lasting > 0 {
            self.kernel.world_at(now + fault.lasting, Event::Fault(n, false));
        }
        let site = self.sites.iter().position(|s| s.node.draw.name == fault.target);
        let sidecar = self.sidecars.iter().position(|s| s.name == fault.target);
        use FaultKind::*;
        match (fault.kind, site, sidecar) {
            (Burst, ..) => self.clients.burst = if begins { fault.factor } else { 1.0 },
            (HotCaller, _, Some(i)) => self.clients.hot = begins.then_some((i, fault.factor)),
            (DiscoveryStale, ..) => self.discovery.stale = if begins { fault.delay } else { 0 },
            (ReportLate, ..) => {
                for site in &mut self.sites {
                    site.node.late = if begins { fault.delay } else { 0 };
                }
            }
            (DiscoveryDown, ..) => self.list_goes(begins),
            (DiscoveryMove, ..) => self.list_moves(),
            (DiscoveryMoveInAnswer, ..) => self.list_moves_in_answer = true,
            (BadFile, ..) => {
                for i in 0..self.sidecars.len() {
                    self.hup("{\"discovery\":", i);
                }
            }
            (Retune, ..) => {
                for i in 0..self.sidecars.len() {
                    let text = self.config(i);
                    let text = if begins { retuned(&text).unwrap_or(text) } else { text };
                    self.hup(&text, i);
                }
            }
            (Slow, Some(i), _) => {
                self.sites[i].node.turn(now);
                self.sites[i].node.slow = if begins { fault.factor } else { 1.0 };
                self.node_outs(i);
            }
            (FastErrors, Some(i), _) => self.sites[i].node.fail = if begins { fault.factor } else { 0.0 },
            (SpoiltAnswers, Some(i), _) => self.sites[i].spoilt = if begins { fault.factor } else { 0.0 },
            (SlowDrip, Some(i), _) => self.sites[i].drip = begins,
            (CutAnswer, Some(i), _) => self.sites[i].cuts.push((fault.byte, Last::Fin)),
            (ResetAnswer, Some(i), _) => self.sites[i].cuts.push((fault.byte, Last::Reset)),
            (Refuse, Some(i), _) => {
                self.sites[i].refuses = begins;
                let address = self.sites[i].address;
                if begins {
                    self.kernel.with_net(|net| net.unlisten(address));
                } else {
                    self.listen(i);
                }
            }
            (NodeKill, Some(i), _) if begins => {
                self.node_die(i);
                let line = self.line(i, "removed");
                self.discovery.change(now, line, true);
                self.list_turn_due();
            }
            (NodeKill, Some(i), _) => self.node_up(i),
            (NodeVanish | NodeCut, Some(i), _) => {
                let (host, vanished) = (self.sites[i].host, fault.kind == NodeVanish);
                if begins {
                    self.kernel.with_net(|net| net.silence(host));
                } else {
                    if vanished {
                        self.node_die(i);
                    }
                    self.kernel.with_net(|net| net.restore(host, vanished));
                    if vanished {
                        self.node_up(i);
                    }
                }
            }
            (NodeDrain, Some(i), _) if begins => {
                self.sites[i].node.draining = true;
                let line = self.line(i, "draining");
                self.discovery.change(now, line, false);
                self.list_turn_due();
                self.kernel.world_at(now + fault.leaves, Event::NodeDown(i));
            }
            (NodeDrain, Some(i), _) => self.kernel.world_at(now + SEC, Event::NodeUp(i)),
            (NodeReplace, Some(i), _) => self.replace(i, fault.takes_address),
            (SidecarRestart, _, Some(i)) => {
                if let Some(process) = &mut self.sidecars[i].process {
                    process.term = Some(now);
                    process.life.begin_shutdown();
                    let longest = self.day.classes.iter().map(|c| c.deadline).max().unwrap_or(0).min(3 * SEC);
                    let life = self.sidecars[i].life;
                    self.kernel.world_at(now + longest + 700 * MS, Event::Kill(i, life));
                    self.kernel.world_at(now + 300 * MS, Event::Believe(i, false));
                }
            }
            (SidecarDrain, _, Some(i)) => {
                if let Some(process) = &self.sidecars[i].process {
                    if begins {
                        process.life.update(LifecycleState::start_drain);
                        // The front asks every 0.1 s, and goes on with what it has begun for 0.2 s.
                        self.kernel.world_at(now + 300 * MS, Event::Believe(i, false));
                    } else {
                        process.life.update(|state, _| state.stop_drain());
                        self.kernel.world_at(now + 100 * MS, Event::Front(i));
                    }
                }
            }
            (SidecarKill, _, Some(i)) => self.kill(i, false),
            (SidecarGone, _, Some(i)) => {
                self.sidecars[i].gone = true;
                self.kill(i, false);
            }
            (SidecarLate, _, Some(i)) => self.start(i),
            (SidecarPause, _, Some(i)) if begins => {
                if let Some(process) = &self.sidecars[i].process {
                    self.kernel.stop_at_write(process.pid, fault.lasting);
                }
            }
            (Descriptors, _, Some(i)) => {
                if let Some(process) = &self.sidecars[i].process {
                    let most = if begins { self.day.sockets / 8 } else { self.day.sockets };
                    self.kernel.with_net(|net| net.limit(process.pid, most));
                }
            }
            _ => {}
        }
    }

    /// A node dies for good and a new one under a new name comes, at its address or another.
    pub(super) fn replace(&mut self, i: usize, takes_address: bool) {
        let now = self.kernel.now();
        if !self.sites[i].alive {
            return;
        }
        self.node_die(i);
        let line = self.line(i, "removed");
        self.discovery.change(now, line, false);
        let mut draw = self.sites[i].node.draw.clone();
        draw.name = format!("{}r{}", draw.name.split('r').next().unwrap_or_default(), self.sites.len());
        draw.name = format!("{}-{}", self.day.tiers[draw.tier].name, draw.name);
        let address = if takes_address { self.sites[i].address } else { at(2, self.sites.len(), 9000) };
        let (fall, calls) =
            ((self.day.fall_multiple, self.day.fall_after), draw.tier + 1 < self.day.tiers.len());
        let new = self.add_node(draw, address, Some(now), fall, calls);
        self.listen(new);
        if let Some(sidecar) = self.sites[new].sidecar {
            self.start(sidecar);
        }
        let line = self.line(new, "up");
        self.discovery.change(now, line, false);
        self.list_turn_due();
        self.node_turn_due(new);
    }
}

/// A configuration with one attempt fewer, aims of twice the length, and a class that nobody calls yet.
fn retuned(text: &str) -> Option<String> {
    let mut config: Value = serde_json::from_str(text).ok()?;
    let settings = config.get_mut("settings")?;
    let attempts = settings.pointer("/policy-limits/max-attempts")?.as_u64()?;
    *settings.pointer_mut("/policy-limits/max-attempts")? = json!(attempts.saturating_sub(1).max(1));
    let classes = settings.get_mut("request-classes")?.as_array_mut()?;
    for class in classes.iter_mut() {
        let aim = class.get("slo-ns")?.as_u64()?;
        *class.get_mut("slo-ns")? = json!(aim * 2);
    }
    let mut new = classes.first()?.clone();
    *new.get_mut("name")? = json!("new");
    classes.push(new);
    Some(config.to_string())
}
