//! Discovery's part: calls come in, lists go out, and it goes down or moves.

use super::{DISCOVERY, Emulator, Event, at};
use crate::discovery::Out as ListOut;
use crate::kernel::MS;
use crate::net::{ConnId, Owner};
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
            let (conn, bytes) = match out {
                ListOut::Answer(conn, body) => (conn, answer(200, "", &body)),
                ListOut::Refuse(conn) => (conn, answer(503, "", "")),
            };
            self.kernel.with_net(|net| net.send(conn, 1, bytes));
        }
        self.list_turn_due();
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
        if down {
            self.discovery.down();
            self.list_conns.clear();
            self.kernel.with_net(|net| {
                net.unlisten(address);
                net.end_party(DISCOVERY);
            });
        } else {
            self.kernel.with_net(|net| net.listen(address, Owner::Party(DISCOVERY), host, 256));
        }
        self.list_turn_due();
    }

    pub(super) fn list_moves(&mut self) {
        let (old, host) = (self.list_at, self.list_host);
        self.list_moves += 1;
        self.list_at = at(3, usize::from(self.list_moves), 8500);
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
