//! The nodes' part: connections, requests, answers with their faults, calls to the next tier, deaths and returns.

use super::{Emulator, Event, Last, NodeConn, Outcall};
use crate::dice::Dice;
use crate::kernel::{MS, Nanos, Pid, SEC};
use crate::net::{ConnId, HostId, Owner};
use crate::node::{Ask, Node, Out as NodeOut};
use crate::scenario::EffectWord;
use crate::wire::{Call, Message, Reader, answer};
use bytes::Bytes;
use serde_json::json;

impl Emulator {
    pub(super) fn node_turn_due(&mut self, i: usize) {
        let site = &mut self.sites[i];
        site.turn += 1;
        let (due, turn) = (site.node.due(self.kernel.now()), site.turn);
        self.kernel.world_at(due, Event::NodeTurn(i, turn));
    }

    /// Carries out what a node wants.
    pub(super) fn node_outs(&mut self, i: usize) {
        loop {
            let outs = std::mem::take(&mut self.sites[i].node.out);
            if outs.is_empty() {
                break;
            }
            for out in outs {
                match out {
                    NodeOut::Answer { conn, id, status, rejected } => {
                        self.node_answer(i, conn, &id, status, rejected);
                    }
                    NodeOut::Call { job, number, ask } => self.node_call(i, job, number, &ask),
                    NodeOut::Drop(job) => {
                        let out = |c: &Option<Outcall>| c.as_ref().is_some_and(|c| c.job == job);
                        let conn = self.sites[i].calls.iter().find(|(_, c)| out(c)).map(|(c, _)| *c);
                        if let Some(conn) = conn {
                            self.sites[i].calls.remove(&conn);
                            self.kernel.with_net(|net| net.close(conn, 0));
                        }
                    }
                    NodeOut::Fell(by) => {
                        let name = self.sites[i].node.draw.name.clone();
                        let since = self.line(i, "up").since_ms;
                        let pid = |n: u32| {
                            let process = self.sidecars.get(n as usize).and_then(|s| s.process.as_ref());
                            process.map(|p| p.pid)
                        };
                        let by: Vec<(Pid, f64)> =
                            by.into_iter().filter_map(|(n, work)| Some((pid(n)?, work))).collect();
                        self.fallen += 1;
                        self.judge.fell(&name, since, &by);
                        self.node_die(i);
                        return;
                    }
                }
            }
        }
        if self.sites[i].alive {
            self.node_turn_due(i);
        }
    }

    pub(super) fn node_accepted(&mut self, i: usize, conn: ConnId, from: HostId) {
        let now = self.kernel.now();
        if !self.sites[i].alive {
            return self.kernel.with_net(|net| net.reset(conn, 1));
        }
        let site = &mut self.sites[i];
        let over_cap = site.conns.len() >= site.node.draw.cap;
        site.node.handshake(now);
        let by = self.by_host.get(&from).copied().unwrap_or(u32::MAX);
        let ready = now + site.node.draw.handshake.1;
        site.conns.insert(conn, NodeConn { ready, used: now, by, over_cap, ..NodeConn::default() });
        let idle = site.node.draw.idle;
        self.kernel.world_at(now + idle, Event::NodeIdle(i, conn));
        self.node_outs(i);
    }

    pub(super) fn node_idle(&mut self, i: usize, conn: ConnId) {
        let now = self.kernel.now();
        let Some(c) = self.sites[i].conns.get(&conn) else { return };
        let due = c.used + self.sites[i].node.draw.idle;
        if c.busy || due > now {
            let at = if c.busy { now + self.sites[i].node.draw.idle } else { due };
            return self.kernel.world_at(at, Event::NodeIdle(i, conn));
        }
        self.sites[i].conns.remove(&conn);
        self.kernel.with_net(|net| net.close(conn, 1));
    }

    pub(super) fn node_data(&mut self, i: usize, conn: ConnId, bytes: &[u8]) {
        let now = self.kernel.now();
        let Some(c) = self.sites[i].conns.get_mut(&conn) else { return };
        c.reader.push(bytes);
        c.used = now;
        match c.reader.take() {
            Ok(None) => {}
            Ok(Some(message)) => {
                c.busy = true;
                if c.ready > now {
                    self.kernel.world_at(c.ready, Event::NodeRequest(i, conn, message));
                } else {
                    self.node_request(i, conn, message);
                }
            }
            Err(_) => {
                self.sites[i].conns.remove(&conn);
                self.kernel.with_net(|net| net.reset(conn, 1));
            }
        }
    }

    pub(super) fn node_request(&mut self, i: usize, conn: ConnId, message: Message) {
        let now = self.kernel.now();
        let Some(c) = self.sites[i].conns.get(&conn) else { return };
        let (by, over_cap) = (c.by, c.over_cap);
        if message.target().starts_with("/metrics/load") {
            let report = self.sites[i].node.probe(now);
            let body = report.map(|(held, waiting)| json!({"inflight": held, "queue": waiting}).to_string());
            let status = if self.sites[i].node.draining { 503 } else { 200 };
            self.reply(i, conn, answer(status, "", &body.unwrap_or_default()));
            return self.node_outs(i);
        }
        let class = self.day.classes.iter().position(|c| c.name == message.class());
        let (Some(id), Some(class)) = (message.header("x-call-id"), class) else {
            return self.reply(i, conn, answer(404, "", ""));
        };
        if over_cap {
            return self.node_answer(i, conn, id, 503, true);
        }
        let id = id.to_owned();
        let tier = self.sites[i].node.draw.tier;
        let whole_work = message.info("work").unwrap_or(0.05);
        let repeat = match message.header("idempotency-key") {
            // A tier below sees the key of the tier above as its own; each tier has its own memory of keys.
            Some(key) => self.key_seen(&format!("{tier} {key}"), class, now),
            None => false,
        };
        let calls = match self.day.tiers.get(tier + 1) {
            Some(next) => {
                let site = &mut self.sites[i];
                next.calls.trunc() as u32 + u32::from(site.dice.chance(next.calls.fract()))
            }
            None => 0,
        };
        let ask = Ask {
            conn,
            id,
            class,
            work: whole_work * self.day.tiers[tier].work,
            expected: self.day.classes[class].work.0 * self.day.tiers[tier].work,
            whole_work,
            calls,
            expires: now + message.budget().unwrap_or(self.day.classes[class].deadline),
            by,
        };
        self.sites[i].node.request(now, ask, repeat);
        self.node_outs(i);
    }

    /// Whether a key has been seen within its window. A key that was refused has not.
    pub(super) fn key_seen(&mut self, key: &str, class: usize, now: Nanos) -> bool {
        let window = self.day.classes[class].window;
        if now > self.keys_swept + SEC {
            self.keys_swept = now;
            self.keys.retain(|_, at| *at + window > now);
        }
        self.keys.get(key).is_some_and(|at| *at + window > now)
    }

    pub(super) fn node_answer(&mut self, i: usize, conn: ConnId, id: &str, status: u16, rejected: bool) {
        let extra = if rejected { "X-Rejected: 1\r\n" } else { "" };
        let site = &mut self.sites[i];
        site.made += 1;
        let body =
            if status == 200 { format!("{id} {} {}", site.node.draw.name, site.made) } else { String::new() };
        let mut whole = answer(status, extra, &body);
        if status == 200 && site.spoilt > 0.0 && site.dice.chance(site.spoilt) {
            whole = match site.dice.below(6) {
                0 => Bytes::from_static(b"\x01\x02noise that is no answer\r\n\r\n"),
                1 => Bytes::from(format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len() + 9
                )),
                2 => Bytes::from_static(b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"),
                3 => Bytes::from(format!("HTTP/1.1 200 OK\r\n{}", "X-Pad: pppp\r\n".repeat(3000))),
                // Good, but a second copy comes right behind.
                4 => Bytes::from([&whole[..], &whole[..]].concat()),
                _ => Bytes::from_static(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxxxxxx"),
            };
        }
        if let Some((byte, last)) = site.cuts.pop() {
            let part = whole.slice(..byte.min(whole.len()));
            let party = site.party;
            self.kernel.world_at(self.kernel.now(), Event::Piece(party, conn, part, last));
            return;
        }
        if site.drip {
            let (party, now) = (site.party, self.kernel.now());
            for (k, piece) in whole.chunks(16).enumerate() {
                let piece = whole.slice_ref(piece);
                self.kernel.world_at(now + k as Nanos * 5 * MS, Event::Piece(party, conn, piece, Last::No));
            }
            if let Some(c) = self.sites[i].conns.get_mut(&conn) {
                c.busy = false;
                c.used = now + SEC / 2;
            }
            return;
        }
        self.reply(i, conn, whole);
    }

    pub(super) fn reply(&mut self, i: usize, conn: ConnId, bytes: Bytes) {
        let now = self.kernel.now();
        if let Some(c) = self.sites[i].conns.get_mut(&conn) {
            c.busy = false;
            c.used = now;
            self.kernel.with_net(|net| net.send(conn, 1, bytes));
        }
    }

    pub(super) fn node_call(&mut self, i: usize, job: u64, number: u32, ask: &Ask) {
        let now = self.kernel.now();
        let site = &mut self.sites[i];
        let Some(sidecar) = site.sidecar else { return self.called(i, job, false) };
        if ask.expires <= now + MS {
            return self.called(i, job, false);
        }
        let class = &self.day.classes[ask.class];
        site.made += 1;
        let serial = site.made;
        let id = format!("{}-{serial}", site.node.draw.name);
        // A call is a request of its own: its key is new, and the same for a repeat of this call only.
        let key = format!("{}-{number}", ask.id);
        let call = Call {
            class: &class.name,
            post: class.effect != EffectWord::Safe,
            id: &id,
            budget: ask.expires - now,
            key: (class.effect == EffectWord::Keyed).then_some(key.as_str()),
            again: false,
            work: ask.whole_work,
        };
        let bytes = call.bytes();
        let (party, host) = (site.party, site.host);
        let outcall = |unsent| Outcall { job, number: serial, reader: Reader::default(), unsent };
        let conn = match site.idle.pop() {
            Some(conn) => {
                self.kernel.with_net(|net| net.send(conn, 0, bytes));
                site.calls.insert(conn, Some(outcall(Bytes::new())));
                conn
            }
            None => {
                let to = self.sidecars[sidecar].address;
                let Ok(conn) = self.kernel.with_net(|net| net.connect(Owner::Party(party), host, to)) else {
                    return;
                };
                self.sites[i].calls.insert(conn, Some(outcall(bytes)));
                conn
            }
        };
        self.kernel.world_at(ask.expires, Event::CallLate(i, conn, serial));
    }

    pub(super) fn call_data(&mut self, i: usize, conn: ConnId, bytes: &[u8]) {
        let site = &mut self.sites[i];
        let Some(Some(call)) = site.calls.get_mut(&conn) else { return };
        call.reader.push(bytes);
        let job = call.job;
        match call.reader.take() {
            Ok(None) => {}
            Ok(Some(message)) => {
                let served = message.status() == 200;
                if message.closes() || !call.reader.is_empty() {
                    site.calls.remove(&conn);
                    self.kernel.with_net(|net| net.close(conn, 0));
                } else {
                    site.calls.insert(conn, None);
                    site.idle.push(conn);
                }
                self.called(i, job, served);
            }
            Err(_) => {
                site.calls.remove(&conn);
                self.kernel.with_net(|net| net.reset(conn, 0));
                self.called(i, job, false);
            }
        }
    }

    pub(super) fn called(&mut self, i: usize, job: u64, served: bool) {
        if self.sites[i].alive {
            self.sites[i].node.called(self.kernel.now(), job, served);
            self.node_outs(i);
        }
    }

    /// A node's process ends at once: its connections are reset, its sidecar ends with it.
    pub(super) fn node_die(&mut self, i: usize) {
        let site = &mut self.sites[i];
        if !site.alive {
            return;
        }
        site.alive = false;
        site.conns.clear();
        site.calls.clear();
        site.idle.clear();
        let (party, address, sidecar) = (site.party, site.address, site.sidecar);
        self.kernel.with_net(|net| {
            net.unlisten(address);
            net.end_party(party);
        });
        if let Some(sidecar) = sidecar {
            self.kill(sidecar, false);
        }
    }

    pub(super) fn node_down(&mut self, i: usize) {
        self.node_die(i);
        let line = self.line(i, "removed");
        self.discovery.change(self.kernel.now(), line, false);
        self.list_turn_due();
    }

    pub(super) fn node_up(&mut self, i: usize) {
        let now = self.kernel.now();
        if self.sites[i].alive {
            return;
        }
        let fall = (self.day.fall_multiple, self.day.fall_after);
        let site = &mut self.sites[i];
        let dice = Dice::new(self.day.seed, &format!("node {} at {now}", site.node.draw.name));
        let (done, useful) = (site.node.done, site.node.useful);
        site.node = Node::new(site.node.draw.clone(), Some(now), now, fall, dice);
        (site.node.done, site.node.useful) = (done, useful);
        site.alive = true;
        self.listen(i);
        if let Some(sidecar) = self.sites[i].sidecar {
            self.start(sidecar);
        }
        let line = self.line(i, "up");
        self.discovery.change(now, line, false);
        self.list_turn_due();
        self.node_turn_due(i);
    }
}
