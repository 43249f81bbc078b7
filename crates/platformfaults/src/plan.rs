//! Which system calls fail, with which errors and how often.

use rustix::io::Errno;
use std::time::Duration;

/// A part of all calls, between 0 and 1.
pub type Rate = f64;

/// Errors of `accept`. Each call that would have taken a connection may fail; the connection stays in the queue, as it does
/// where no descriptor is free for it.
#[derive(Debug, Clone)]
pub struct AcceptFaults {
    /// So many calls fail once.
    pub rate: Rate,
    /// With one of these.
    pub errors: Vec<Errno>,
    /// Lacks that last: from some calls on, every call fails for a time.
    pub lasting: Option<Lasting>,
}

/// A lack of descriptors or memory that lasts.
#[derive(Debug, Clone)]
pub struct Lasting {
    /// So many calls begin one.
    pub rate: Rate,
    /// Of this kind.
    pub errors: Vec<Errno>,
    /// For between these times.
    pub time: [Duration; 2],
}

/// Errors of `connect`, and of the socket made for it.
#[derive(Debug, Clone)]
pub struct ConnectFaults {
    /// So many calls fail.
    pub rate: Rate,
    /// With one of these.
    pub errors: Vec<Errno>,
    /// Lacks that last: from some calls on, every call fails for a time.
    pub lasting: Option<Lasting>,
    /// What only the other side or the network can cause is told up to so long after the call.
    pub longest_wait: Duration,
}

/// Errors of `setsockopt(TCP_NODELAY)`.
#[derive(Debug, Clone)]
pub struct NodelayFaults {
    /// So many calls fail.
    pub rate: Rate,
    /// With one of these.
    pub errors: Vec<Errno>,
}

/// What reads or writes on connections do.
#[derive(Debug, Clone)]
pub struct TransferFaults {
    /// So many calls are interrupted by a signal: `EINTR`.
    pub interrupted: Rate,
    /// So many calls transfer one byte.
    pub one_byte: Rate,
    /// So many calls find the socket not ready, though it may be, ...
    pub not_ready: Rate,
    /// ... and the runtime hears that it is ready up to so long afterwards.
    pub longest_wait: Duration,
    /// So many calls find the connection broken, and it stays broken, ...
    pub broken: Rate,
    /// ... with one of these, which the socket has held as its pending error.
    pub breaking: Vec<Errno>,
    /// So many calls fail for lack of memory, which says nothing of the connection.
    pub lacking: Rate,
    /// With one of these.
    pub lacks: Vec<Errno>,
}

/// What datagrams do.
#[derive(Debug, Clone)]
pub struct DatagramFaults {
    /// So many calls fail.
    pub rate: Rate,
    /// Receiving, with one of these.
    pub receive: Vec<Errno>,
    /// Sending, with one of these.
    pub send: Vec<Errno>,
    /// So many calls to receive find nothing, though something may be there, ...
    pub not_ready: Rate,
    /// ... and the runtime hears of it up to so long afterwards.
    pub longest_wait: Duration,
}

/// All faults of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// For the draws.
    pub seed: u64,
    /// Of `accept`.
    pub accept: AcceptFaults,
    /// Of `connect`.
    pub connect: ConnectFaults,
    /// Of `setsockopt(TCP_NODELAY)`.
    pub nodelay: NodelayFaults,
    /// Of reads.
    pub read: TransferFaults,
    /// Of writes.
    pub write: TransferFaults,
    /// Of datagrams.
    pub datagrams: DatagramFaults,
}

/// Faults of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultClass {
    /// Single failures of `accept` that say nothing of descriptors.
    Accept,
    /// Single failures of `accept` for lack of a descriptor.
    AcceptDescriptors,
    /// `accept` fails for some time for lack of descriptors or memory.
    AcceptLasting,
    /// `connect` fails.
    Connect,
    /// `connect` fails for some time for lack of descriptors, ports or a route.
    ConnectLasting,
    /// `TCP_NODELAY` cannot be set.
    Nodelay,
    /// Calls are interrupted, transfer one byte, or find a socket not ready.
    Partial,
    /// Calls fail for lack of memory, and their connection is sound.
    Lacking,
    /// Connections break as they are read.
    ReadBroken,
    /// Connections break as they are written to.
    WriteBroken,
    /// Datagrams fail.
    Datagrams,
}

impl FaultClass {
    /// All of them.
    pub const ALL: [FaultClass; 11] = [
        FaultClass::Accept,
        FaultClass::AcceptDescriptors,
        FaultClass::AcceptLasting,
        FaultClass::Connect,
        FaultClass::ConnectLasting,
        FaultClass::Nodelay,
        FaultClass::Partial,
        FaultClass::Lacking,
        FaultClass::ReadBroken,
        FaultClass::WriteBroken,
        FaultClass::Datagrams,
    ];
}

/// No rate is scaled beyond this.
const HIGHEST: Rate = 0.5;
const LONGEST_WAIT: Duration = Duration::from_millis(5);

impl Plan {
    /// No faults at all.
    pub fn none(seed: u64) -> Plan {
        let transfer = TransferFaults {
            interrupted: 0.0,
            one_byte: 0.0,
            not_ready: 0.0,
            longest_wait: LONGEST_WAIT,
            broken: 0.0,
            breaking: Vec::new(),
            lacking: 0.0,
            lacks: vec![Errno::NOBUFS, Errno::NOMEM],
        };
        let read = TransferFaults {
            breaking: vec![Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH],
            ..transfer.clone()
        };
        let write = TransferFaults {
            breaking: vec![Errno::PIPE, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH],
            ..transfer
        };
        Plan {
            seed,
            accept: AcceptFaults { rate: 0.0, errors: Vec::new(), lasting: None },
            connect: ConnectFaults {
                rate: 0.0,
                errors: vec![
                    Errno::ADDRNOTAVAIL,
                    Errno::CONNREFUSED,
                    Errno::NETUNREACH,
                    Errno::HOSTUNREACH,
                    Errno::TIMEDOUT,
                    Errno::AGAIN,
                    Errno::NOBUFS,
                    Errno::MFILE,
                    Errno::NFILE,
                    Errno::INTR,
                ],
                lasting: None,
                longest_wait: Duration::from_millis(50),
            },
            nodelay: NodelayFaults { rate: 0.0, errors: vec![Errno::INVAL, Errno::NOBUFS] },
            read,
            write,
            datagrams: DatagramFaults {
                rate: 0.0,
                receive: vec![Errno::CONNREFUSED, Errno::NOMEM, Errno::INTR, Errno::HOSTUNREACH],
                send: vec![
                    Errno::NOBUFS,
                    Errno::AGAIN,
                    Errno::PERM,
                    Errno::CONNREFUSED,
                    Errno::HOSTUNREACH,
                    Errno::NETUNREACH,
                    Errno::INTR,
                ],
                not_ready: 0.0,
                longest_wait: LONGEST_WAIT,
            },
        }
    }

    /// Faults of these classes, as often as in the tests.
    pub fn of(classes: &[FaultClass], seed: u64) -> Plan {
        classes.iter().fold(Plan::none(seed), |plan, &class| plan.with(class))
    }

    /// The same with all rates this many times as high, but never above a half.
    pub fn scaled(mut self, factor: f64) -> Plan {
        let rates = [
            &mut self.accept.rate,
            &mut self.connect.rate,
            &mut self.nodelay.rate,
            &mut self.datagrams.rate,
            &mut self.datagrams.not_ready,
        ];
        let lasting = [&mut self.accept.lasting, &mut self.connect.lasting];
        let lasting = lasting.into_iter().flatten().map(|lasting| &mut lasting.rate);
        let transfers = [&mut self.read, &mut self.write].into_iter().flat_map(|transfer| {
            [
                &mut transfer.interrupted,
                &mut transfer.one_byte,
                &mut transfer.not_ready,
                &mut transfer.broken,
                &mut transfer.lacking,
            ]
        });
        for rate in rates.into_iter().chain(lasting).chain(transfers) {
            *rate = (*rate * factor).min(HIGHEST);
        }
        self
    }

    /// The same with faults of one more class.
    pub fn with(mut self, class: FaultClass) -> Plan {
        match class {
            FaultClass::Accept => {
                self.accept.rate = 0.3;
                self.accept.errors.extend([
                    Errno::CONNABORTED,
                    Errno::PROTO,
                    Errno::PERM,
                    Errno::NOBUFS,
                    Errno::NOMEM,
                    Errno::INTR,
                ]);
            }
            FaultClass::AcceptDescriptors => {
                self.accept.rate = 0.3;
                self.accept.errors.extend([Errno::MFILE, Errno::NFILE]);
            }
            FaultClass::AcceptLasting => {
                self.accept.lasting = Some(Lasting {
                    rate: 0.03,
                    errors: vec![Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM],
                    time: [Duration::from_millis(60), Duration::from_millis(250)],
                });
            }
            FaultClass::Connect => self.connect.rate = 0.3,
            FaultClass::ConnectLasting => {
                self.connect.lasting = Some(Lasting {
                    rate: 0.05,
                    errors: vec![Errno::MFILE, Errno::NFILE, Errno::ADDRNOTAVAIL, Errno::NETUNREACH],
                    time: [Duration::from_millis(60), Duration::from_millis(400)],
                });
            }
            FaultClass::Nodelay => self.nodelay.rate = 0.2,
            FaultClass::Partial => {
                for transfer in [&mut self.read, &mut self.write] {
                    (transfer.interrupted, transfer.one_byte, transfer.not_ready) = (0.1, 0.1, 0.1);
                }
            }
            FaultClass::Lacking => {
                (self.read.lacking, self.write.lacking) = (0.02, 0.05);
            }
            FaultClass::ReadBroken => self.read.broken = 0.01,
            FaultClass::WriteBroken => self.write.broken = 0.02,
            FaultClass::Datagrams => {
                (self.datagrams.rate, self.datagrams.not_ready) = (0.2, 0.1);
            }
        }
        self
    }
}
