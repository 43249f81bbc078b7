//! The clients' part: tries begin and end, connections are kept, the front asks who is ready, bad clients come.

use super::{BAD, CLIENTS, Emulator, Event};
use crate::clients::{Ending, Line as ClientLine};
use crate::kernel::{MS, Nanos};
use crate::net::{ConnId, Owner};
use crate::scenario::EffectWord;
use crate::wire::Call;
use bytes::Bytes;

impl Emulator {
    pub(super) fn attempt(&mut self, request: u64) {
        let now = self.kernel.now();
        let Some((number, sidecar)) = self.clients.begin(&self.day, request) else {
            // The front knows nobody.
            if let Some((request, at)) = self.clients.conclude(&self.day, now, request, Ending::Unreachable) {
                self.kernel.world_at(at, Event::Retry(request));
            }
            return;
        };
        let fresh = self.clients.requests.get(&request).is_some_and(|r| r.fresh);
        let kept = if fresh { None } else { self.clients.idle[sidecar].pop() };
        match kept {
            Some(conn) => self.send(conn, number),
            None => self.client_line(sidecar, Some(number), fresh, false),
        }
    }

    /// Opens a connection of the clients.
    pub(super) fn line_open(&mut self, sidecar: usize) -> Option<ConnId> {
        let address = self.sidecars[sidecar].address;
        self.kernel.with_net(|net| net.connect(Owner::Party(CLIENTS), net.clients(), address)).ok()
    }

    pub(super) fn client_line(&mut self, sidecar: usize, carries: Option<u64>, fresh: bool, checks: bool) {
        if let Some(conn) = self.line_open(sidecar) {
            let line = ClientLine { carries, sidecar, fresh, checks, ..ClientLine::default() };
            self.clients.lines.insert(conn, line);
        }
    }

    pub(super) fn line_up(&mut self, conn: ConnId) {
        let Some(line) = self.clients.lines.get_mut(&conn) else { return };
        line.up = true;
        if line.checks {
            let text = Bytes::from_static(b"GET /up HTTP/1.1\r\nHost: front\r\n\r\n");
            self.kernel.with_net(|net| net.send(conn, 0, text));
        } else if let Some(number) = line.carries {
            self.send(conn, number);
        }
    }

    /// Sends a try on a connection that is up.
    pub(super) fn send(&mut self, conn: ConnId, number: u64) {
        let now = self.kernel.now();
        let Some(t) = self.clients.tries.get(&number) else { return };
        let Some(r) = self.clients.requests.get(&t.request) else { return };
        let class = &self.day.classes[r.class];
        let budget = (class.deadline as f64 * r.share) as Nanos / 1000 * 1000;
        let call = Call {
            class: &class.name,
            post: class.effect != EffectWord::Safe,
            id: &t.id,
            budget,
            key: r.key.as_deref(),
            again: r.tries > 1,
            work: r.work,
        };
        let bytes = call.bytes();
        let leaves = r.leaves.filter(|at| *at < budget && r.tries == 1);
        if let Some(line) = self.clients.lines.get_mut(&conn) {
            line.carries = Some(number);
        }
        self.kernel.with_net(|net| net.send(conn, 0, bytes));
        match leaves {
            Some(after) => self.kernel.world_at(now + after, Event::GiveUp(number, true)),
            None => self.kernel.world_at(now + budget, Event::GiveUp(number, false)),
        }
    }

    pub(super) fn client_data(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(line) = self.clients.lines.get_mut(&conn) else { return };
        line.reader.push(bytes);
        let message = match line.reader.take() {
            Ok(None) => return,
            Ok(Some(message)) => message,
            Err(_) => return self.line_lost(conn),
        };
        let (sidecar, checks, fresh) = (line.sidecar, line.checks, line.fresh);
        line.used = true;
        let carried = line.carries.take();
        let closes = message.closes() || fresh || checks || !line.reader.is_empty();
        if checks {
            if message.status() == 200 {
                self.clients.believed[sidecar] = true;
            } else {
                self.kernel.world_at(self.kernel.now() + 100 * MS, Event::Front(sidecar));
            }
        }
        if closes {
            self.drop_line(conn);
        } else {
            self.clients.idle[sidecar].push(conn);
        }
        let Some(number) = carried else { return };
        let after = message.header("retry-after").and_then(|v| v.parse().ok());
        self.ended(
            number,
            match message.status() {
                200 => Ending::Served,
                429 | 503 => Ending::Refused(after),
                _ => Ending::Failed,
            },
        );
    }

    pub(super) fn drop_line(&mut self, conn: ConnId) {
        if let Some(line) = self.clients.lines.remove(&conn) {
            self.clients.idle[line.sidecar].retain(|&c| c != conn);
            self.kernel.with_net(|net| net.close(conn, 0));
        }
    }

    pub(super) fn line_lost(&mut self, conn: ConnId) {
        let Some(line) = self.clients.lines.get(&conn) else { return };
        let (sidecar, carried, used, checks) = (line.sidecar, line.carries, line.used, line.checks);
        let begun = !line.reader.is_empty();
        self.drop_line(conn);
        if checks {
            self.kernel.world_at(self.kernel.now() + 100 * MS, Event::Front(sidecar));
        }
        let Some(number) = carried else { return };
        let Some(t) = self.clients.tries.get_mut(&number) else { return };
        if used && !begun && !t.resent && self.sidecars[sidecar].process.is_some() {
            // A close between requests crossed this one: it is sent once more on a new connection.
            t.resent = true;
            self.client_line(sidecar, Some(number), false, false);
        } else {
            self.ended(number, Ending::Unreachable);
        }
    }

    pub(super) fn ended(&mut self, number: u64, ending: Ending) {
        let now = self.kernel.now();
        if let Some((request, at)) = self.clients.end(&self.day, now, number, ending) {
            self.kernel.world_at(at, Event::Retry(request));
        }
    }

    pub(super) fn front_check(&mut self, i: usize) {
        if self.sidecars[i].process.as_ref().is_some_and(|p| p.term.is_none()) {
            self.client_line(i, None, true, true);
        }
    }

    pub(super) fn bad_client(&mut self) {
        let sidecar = self.bad_dice.below(self.day.sidecars.len());
        if self.sidecars[sidecar].process.is_none() {
            return;
        }
        let (class, kind) = (&self.day.classes[0].name, self.bad_dice.below(14));
        let n = self.bad_dice.bits();
        let good = format!("X-Call-Id: bad{n:x}\r\nX-Budget: 900m\r\n");
        let text = match kind {
            0 => String::new(),
            1 => "\u{1}\u{2}\u{3} nothing that can be read\r\n\r\n".into(),
            2 => {
                format!("GET /{class}/x HTTP/1.1\r\n{good}{}", "X-Pad: pppppppppppppppppppp\r\n".repeat(900))
            }
            3 => format!("POST /{class}/x HTTP/1.1\r\n{good}Content-Length: -5\r\n\r\n"),
            4 => format!("POST /{class}/x HTTP/1.1\r\n{good}Content-Length: 60000000\r\n\r\nxxxx"),
            5 => format!("GET /no-such-class/x HTTP/1.1\r\n{good}\r\n"),
            6 => format!("GET /{class}/x HTTP/1.1\r\nX-Call-Id: bad{n:x}\r\nX-Budget: soon\r\n\r\n"),
            7 => format!("GET /{class}/x HTTP/1.1\r\nX-Budget: 900m\r\n\r\n"),
            8 => format!("GET /{class}/x HTTP/1.1\r\nX-Call"),
            9 => format!(
                "GET /{class}/x HTTP/1.1\r\n{good}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            ),
            10 => format!("GET /{class}/x HTTP/1.1\r\nX-Call-Id: bad {n:x}\r\nX-Budget: 900m\r\n\r\n"),
            11 => format!(
                "POST /{class}/x HTTP/1.1\r\n{good}Content-Length: 3\r\nContent-Length: 4\r\n\r\nfour"
            ),
            12 => format!("GET /{class}/x HTTP/1.1\r\n{good}no colon\r\n\r\n"),
            _ => format!("PUT  /{class}/x HTTP/1.1\r\n{good}\r\n"),
        };
        let address = self.sidecars[sidecar].address;
        let conn = self.kernel.with_net(|net| net.connect(Owner::Party(BAD), net.clients(), address));
        let Ok(conn) = conn else { return };
        self.judge.bad_client(conn);
        self.bad_texts.insert(conn, Bytes::from(text));
    }
}
