//! Discovery's part: calls come in, lists go out, and it goes down or moves.

use super::{DISCOVERY, Emulator, Event, Last, at};
use crate::delivery::Plan;
use crate::discovery::Out as ListOut;
use crate::kernel::MS;
use crate::net::{ConnId, Owner};
use crate::platform::DISCOVERY_PORT;
use crate::wire::answer;

impl Emulator {
    pub(super) fn list_turn_due(&mut self) {
        self.list_turn += 1;
        if let Some(due) = self.discovery.due() {
            self.kernel.world_at(due, Event::List(self.list_turn));
        }
    }

    pub(super) fn list_outs(&mut self) {
        for out in std::mem::take(&mut self.discovery.out) {
            match out {
                ListOut::Answer { conn, tier, from } => self.list_answer(conn, tier, from),
                ListOut::Refuse(conn) => self.kernel.with_net(|net| net.send(conn, 1, answer(503, "", ""))),
            }
        }
        self.list_turn_due();
    }

    /// Sends a list as it is drawn.
    fn list_answer(&mut self, conn: ConnId, tier: usize, from: Option<u64>) {
        let form = self.courier.form();
        let body = self.discovery.rendered(tier, from, form.indented);
        let plan = self.courier.plan(form, &body);
        self.judge.list_sent_as(conn, &plan.words);
        if self.list_moves_in_answer && plan.takes() > 0 {
            self.list_moves_in_answer = false;
            self.kernel.world_at(self.kernel.now() + plan.takes() / 2, Event::ListMove);
        }
        self.discovery.sent(conn, self.kernel.now() + plan.takes());
        self.list_send(conn, plan);
    }

    /// The judge hears what discovery has come to know.
    pub(super) fn list_learned(&mut self) {
        let now = self.kernel.now();
        for line in std::mem::take(&mut self.discovery.learned) {
            self.judge.discovery_learned(&line.name, line.address, line.status == "up", now);
        }
    }

    fn list_send(&mut self, conn: ConnId, plan: Plan) {
        let now = self.kernel.now();
        for part in plan.parts {
            if part.after == 0 && part.last == Last::No {
                self.kernel.with_net(|net| net.send(conn, 1, part.bytes));
            } else {
                let piece = Event::Piece(DISCOVERY, conn, part.bytes, part.last);
                self.kernel.world_at(now + part.after, piece);
            }
        }
    }

    /// Discovery has broken a connection off.
    pub(super) fn list_broken_off(&mut self, conn: ConnId) {
        self.list_conns.remove(&conn);
        self.discovery.gone(conn);
    }

    pub(super) fn list_data(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.kernel.now();
        let Some(reader) = self.list_conns.get_mut(&conn) else { return };
        reader.push(bytes);
        let Ok(Some(message)) = reader.take() else { return };
        let from = self.kernel.net.borrow().peer(conn, 1);
        let caller = from.and_then(|host| self.by_host.get(&host)).copied().unwrap_or(0);
        let tier = self.sidecars[caller as usize].tier;
        self.discovery.call(now, conn, tier, message.target());
        self.list_outs();
    }

    pub(super) fn list_goes(&mut self, down: bool) {
        let (address, host) = (self.list_at, self.list_host);
        self.judge.discovery_reachable(!down, self.kernel.now());
        if down {
            self.list_when_down =
                (0..self.day.tiers.len()).map(|tier| self.discovery.list(tier, None)).collect();
            self.discovery.down();
            self.list_conns.clear();
            self.kernel.with_net(|net| {
                net.unlisten(address);
                net.end_party(DISCOVERY);
            });
        } else {
            self.list_when_down.clear();
            self.kernel.with_net(|net| net.listen(address, Owner::Party(DISCOVERY), host, 256));
        }
        self.list_turn_due();
    }

    pub(super) fn list_moves(&mut self) {
        let (old, host) = (self.list_at, self.list_host);
        self.list_moves += 1;
        self.list_at = at(3, usize::from(self.list_moves), DISCOVERY_PORT);
        let new = self.list_at;
        self.kernel.with_net(|net| {
            net.unlisten(old);
            net.listen(new, Owner::Party(DISCOVERY), host, 256);
        });
        let mut conns: Vec<ConnId> = self.list_conns.keys().copied().collect();
        conns.sort_unstable();
        self.kernel.world_at(self.kernel.now() + 1500 * MS, Event::OldList(conns));
        for i in 0..self.sidecars.len() {
            let text = self.config(i);
            self.hup(&text, i);
        }
    }
}
