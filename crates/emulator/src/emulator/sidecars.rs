//! The sidecars' part: configuration, start, reload, end.

use super::{Emulator, Event, Process, Sim};
use crate::dice::Dice;
use crate::kernel::{MS, Nanos, SEC};
use crate::sabotage::{Defect, Saboteur};
use cometcroft_membership::{Config as Member, Name};
use cometcroft_sidecar::Resources;
use cometcroft_sidecar::config::Config;
use cometcroft_sidecar::counters::Counters;
use cometcroft_sidecar::fleet::FleetParts;
use cometcroft_sidecar::lifecycle::Lifecycle;
use cometcroft_sidecar::reload::ConfigReloader;
use serde_json::json;
use std::net::{IpAddr, Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

/// How much later than it came a sidecar with that defect reads what discovery sends.
const HEARS_LATE: Duration = Duration::from_millis(700);

/// Where the first tier's sidecar of this rank meets the others.
fn meets(rank: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 4, (rank >> 8) as u8, rank as u8), 7946)
}

impl Emulator {
    pub(super) fn config(&self, i: usize) -> String {
        let s = &self.sidecars[i];
        let tier = s.tier;
        let instances = self.sidecars.iter().filter(|o| o.tier == tier && !o.late).count();
        let mut settings = self.day.settings(tier, s.rank, s.zone, instances);
        if s.tier == 0 && self.defect == Some(Defect::FloodsCold) {
            settings["contract"]["cold-from"] = json!(1.0);
            settings["contract"]["ramp-time-ns"] = json!(MS);
            settings["contract"]["fall-multiple"] = json!(1000.0);
        }
        let list: serde_json::Value = if self.starts_with_list(i) {
            serde_json::from_str(&self.last_list(tier)).unwrap_or_default()
        } else {
            serde_json::Value::Null
        };
        let seed = Dice::new(self.day.seed, &format!("{} life {}", s.name, s.life)).bits();
        json!({
            "name": s.name, "listen": s.address.to_string(), "discovery": self.list_at.to_string(),
            "seed": format!("{seed:016x}"), "known": list, "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.day.sockets},
        })
        .to_string()
    }

    /// The list as it could last be had.
    fn last_list(&self, tier: usize) -> String {
        let when_down = self.list_when_down.get(tier).cloned();
        when_down.unwrap_or_else(|| self.discovery.list(tier, None))
    }

    /// Whether a sidecar's file holds the list as last held.
    fn starts_with_list(&self, i: usize) -> bool {
        let known = self.day.known;
        known >= 1.0 || Dice::new(self.day.seed, &format!("{} known", self.sidecars[i].name)).chance(known)
    }

    pub(super) fn start(&mut self, i: usize) {
        if self.sidecars[i].process.is_some()
            || self.sidecars[i].gone
            || self.sidecars[i].of_node.is_some_and(|n| !self.sites[n].alive)
        {
            return;
        }
        self.sidecars[i].life += 1;
        let text = self.config(i);
        // What the emulator itself writes reads back; one that doesn't starts nothing, and the day shows it.
        let Ok(config) = Config::parse(&text, |_| None) else { return };
        let seeds: Vec<SocketAddrV4> = (0..2).map(meets).collect();
        let s = &mut self.sidecars[i];
        let (host, sockets) = (s.host, self.day.sockets);
        let pid = self.kernel.with_net(|net| net.process(sockets));
        let mut platform = Sim::new(self.kernel.clone(), pid, host);
        platform.charge_lists(self.day.read);
        let defect = self.defect.filter(|_| s.tier == 0);
        match defect {
            Some(Defect::AnswersLate) => platform.run_slow(0.95),
            Some(Defect::AnswersTwice) => platform.write_twice(),
            Some(Defect::ForgetsDrains) => platform.ignore_drains(),
            Some(Defect::HearsLate) => platform.hear_late(HEARS_LATE),
            _ => {}
        }
        let listener = platform.listen(s.address);
        let control = ConfigReloader::new(&config);
        let life = Rc::new(Lifecycle::new(platform.clone(), config.max_deadline(), false));
        let counters = Rc::new(Counters::default());
        let known = config.known_endpoints.to_string();
        let (kernel, turn, own) = (self.kernel.clone(), s.life, platform.clone());
        let fleet = (self.members && s.tier == 0).then(|| {
            let at = meets(s.rank);
            let mut told = Member::new("day", Name::new(&s.name).unwrap_or_default(), at);
            told.zone = Name::new(&self.day.zones[s.zone]).unwrap_or_default();
            (told.rank, told.seeds) = (s.rank as u16, seeds);
            FleetParts {
                plan: None,
                config: told,
                socket: platform.datagrams(at.into()),
                listener: platform.listen(at.into()),
                from: IpAddr::V4(*at.ip()),
                watcher: Box::new(|_| ()),
                budget: None,
            }
        });
        let parts = Resources {
            listener,
            ops: None,
            reloader: control.clone(),
            lifecycle: life.clone(),
            counters: counters.clone(),
            fleet,
        };
        self.kernel.spawn(pid, async move {
            match defect {
                None => {
                    let _ = cometcroft_sidecar::run(own, config, parts).await;
                }
                Some(Defect::LosesOnRestart) => {
                    let told = parts.lifecycle.clone();
                    tokio::select! {
                        biased;
                        () = told.shutdown_begun() => {}
                        _ = cometcroft_sidecar::run(own, config, parts) => {}
                    }
                }
                Some(defect) => {
                    let wrap = |carrier| Saboteur::new(carrier, defect);
                    let _ = cometcroft_sidecar::run_with(own, config, parts, wrap).await;
                }
            }
            kernel.world_at(kernel.now(), Event::Exited(i, turn));
        });
        s.process = Some(Process { pid, platform, control, life, counters, term: None });
        self.judge.started(pid, &known, self.kernel.now());
        if s.of_node.is_none() {
            self.kernel.world_at(self.kernel.now() + MS, Event::Front(i));
        }
    }

    /// A sidecar's process is over: killed, or by itself.
    pub(super) fn kill(&mut self, i: usize, itself: bool) {
        let Some(process) = self.sidecars[i].process.take() else { return };
        let now = self.kernel.now();
        // What has passed until now is seen first.
        let taps = self.kernel.taps();
        for tap in &taps {
            self.record(tap);
        }
        self.judge.look(self.step, now, taps);
        self.judge.ended(process.pid, itself, process.term);
        self.kernel.kill(process.pid);
        drop(process.platform);
        if self.sidecars[i].of_node.is_none() {
            let notice = 2 * SEC + (self.bad_dice.unit() * 1.9e9) as Nanos;
            self.kernel.world_at(now + notice, Event::Believe(i, false));
            self.kernel.world_at(now + SEC, Event::Start(i));
        }
    }

    pub(super) fn hup(&mut self, text: &str, i: usize) {
        if let Some(process) = &self.sidecars[i].process {
            let read = Config::parse(text, |_| None);
            let _ = process.control.reload(read, &process.counters);
        }
    }
}
