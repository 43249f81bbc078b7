//! Writes an answer of discovery, and tells the judge which news the kernel has accepted.

use crate::ids::{AnswerId, SidecarId, Time, Version};
use crate::judge::{Cause, Told};
use crate::wire::{Mark, Wire};
use crate::world::World;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The largest single write, so that news in it is stamped closely.
const MAX_WRITE: usize = 16 << 10;
/// A reader that takes nothing for so long is given up.
const WRITE_PATIENCE: Duration = Duration::from_secs(10);

/// Writes an answer and tells the judge what of it the kernel has accepted.
pub struct Writer<'a> {
    world: &'a World,
    sidecar: SidecarId,
    wire: &'a Wire,
    version: Version,
    answer: AnswerId,
    written: usize,
    told: usize,
}

impl<'a> Writer<'a> {
    /// For one answer that holds the list of this version.
    pub fn new(
        world: &'a World,
        sidecar: SidecarId,
        wire: &'a Wire,
        version: Version,
        answer: AnswerId,
    ) -> Writer<'a> {
        Writer { world, sidecar, wire, version, answer, written: 0, told: 0 }
    }

    /// Writes all bytes up to here; an error if the caller has gone.
    pub async fn write_to(&mut self, stream: &TcpStream, end: usize) -> io::Result<()> {
        while self.written < end {
            if has_closed(stream)? {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            let until = end.min(self.written + MAX_WRITE);
            let before = self.world.clock.now();
            match stream.try_write(&self.wire.bytes[self.written..until]) {
                Ok(count) => self.accepted(count, before),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    timeout(WRITE_PATIENCE, stream.writable()).await??;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn accepted(&mut self, count: usize, before: Time) {
        let after = self.world.clock.now();
        self.written += count;
        let complete = self.wire.marks[self.told..].iter().take_while(|mark| mark.end <= self.written);
        let complete: Vec<Mark> = complete.copied().collect();
        if complete.is_empty() {
            return;
        }
        self.told += complete.len();
        let mut judge = self.world.judge();
        for mark in complete {
            let cause = if mark.left_out { Cause::LeftOut(self.answer) } else { Cause::Row(self.answer) };
            judge.told(Told {
                sidecar: self.sidecar,
                endpoint: mark.endpoint,
                version: self.version,
                closed: mark.closed,
                at: if mark.closed { after } else { before },
                cause,
            });
        }
    }
}

/// Whether the caller has closed its connection; it sends nothing while it waits for its answer.
fn has_closed(stream: &TcpStream) -> io::Result<bool> {
    match stream.try_read(&mut [0]) {
        Ok(count) => Ok(count == 0),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(error) => Err(error),
    }
}

/// Waits until the caller has closed its connection.
pub async fn closed_by_peer(stream: &TcpStream) {
    while stream.readable().await.is_ok() {
        if has_closed(stream).unwrap_or(true) {
            return;
        }
    }
}
