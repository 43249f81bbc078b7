//! Answers and ends: how they are written, and how a connection is closed without losing what was written.

use super::{Frontend, HttpTransport, StreamOf};
use crate::counters::count;
use crate::exchange::BodyStream;
use crate::http::MAX_STREAMED_BODY;
use crate::http::server::{BodyCoding, Connection, Status};
use bytes::{Bytes, BytesMut};
use cometcroft_platform::Platform;
use std::io;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A client that takes no bytes of its answer for so long is let go.
const STALLED: Duration = Duration::from_secs(10);

impl<T: HttpTransport> Frontend<T> {
    /// Denies a request, with the time after which it may come again.
    pub(super) async fn reject(
        &self,
        stream: &mut StreamOf<T>,
        machine: &mut Connection,
        after: Option<Duration>,
        close: bool,
    ) -> io::Result<()> {
        let after = after.unwrap_or(Duration::from_secs(1)).as_secs_f64();
        let extra = format!("Retry-After: {after:.3}\r\n");
        self.reply(stream, machine, Status::Unavailable, &extra, b"", close).await
    }

    /// Answers what can't be taken; its connection ends with it.
    pub(super) async fn reject_invalid(
        &self,
        stream: &mut StreamOf<T>,
        machine: &mut Connection,
        status: Status,
    ) -> io::Result<Option<Instant>> {
        count(&self.counters.bad_requests);
        self.reply(stream, machine, status, "", b"", true).await?;
        Ok(Some(self.platform.now()))
    }

    /// Passes a large answer on as it comes.
    pub(super) async fn relay(
        &self,
        stream: &mut StreamOf<T>,
        head: Bytes,
        coding: BodyCoding,
        first: Bytes,
        mut rest: Box<dyn BodyStream>,
    ) -> io::Result<()> {
        // Head and beginning go out together.
        let mut message = BytesMut::from(head);
        message.extend_from_slice(&coding.frame(&first));
        let mut message = message.freeze();
        loop {
            self.platform.timeout(STALLED, stream.write_all(&message)).await??;
            match rest.next().await? {
                Some(piece) => message = coding.frame(&piece),
                None => break,
            }
        }
        self.platform.timeout(STALLED, stream.write_all(coding.end())).await?
    }

    pub(super) async fn reply(
        &self,
        stream: &mut StreamOf<T>,
        machine: &mut Connection,
        status: Status,
        extra: &str,
        body: &[u8],
        close: bool,
    ) -> io::Result<()> {
        let mut message = machine.response_head(status, extra, body.len(), close);
        message.extend_from_slice(body);
        self.platform.timeout(STALLED, stream.write_all(&message)).await?
    }
}

/// Ends a connection after its last answer. Danger: closing with unread bytes resets the connection and may take the
/// answer along.
pub(crate) async fn close_gracefully<P: Platform>(
    platform: &P,
    stream: &mut P::Stream,
    bulk: bool,
) -> io::Result<()> {
    stream.shutdown().await?;
    let mut rest = [0; 16 * 1024];
    // Danger: who is in the middle of a large body may read nothing before its end, and would lose the answer.
    let (time, mut most) = (if bulk { 6000 } else { 200 }, MAX_STREAMED_BODY);
    let patience = platform.now() + Duration::from_millis(time);
    while most > 0 {
        match platform.timeout_at(patience, stream.read(&mut rest)).await {
            Ok(Ok(n @ 1..)) => most = most.saturating_sub(n),
            _ => break,
        }
    }
    Ok(())
}

/// The answer to what can't be taken; its connection ends with it.
pub(crate) fn error_response(machine: &mut Connection, status: Status) -> BytesMut {
    machine.response_head(status, "", 0, true)
}
