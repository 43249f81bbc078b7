//! Writes responses, and closes connections without losing what was written.

use super::{Frontend, HttpTransport, StreamOf};
use crate::client_watch::ClientWatch;
use crate::counters::count;
use crate::exchange::BodyStream;
use crate::http::MAX_STREAMED_BODY;
use crate::http::server::{Connection, Status};
use crate::memory::Charge;
use crate::shared_read::discard;
use crate::sockets::MAX_UNSENT_BYTES;
use bytes::{Bytes, BytesMut};
use cometcroft_platform::Platform;
use std::io;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;

/// A client that accepts no bytes of its response for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of bytes of a body that are written together with the head.
const MAX_COPIED_BODY: usize = 4 * 1024;

/// The slowest rate at which clients read, in bytes a second.
const SLOWEST_CLIENT_RATE: f64 = 64_000.0;

/// A response whose body has not arrived completely.
pub(super) struct LongResponse {
    /// Header lines for the client.
    pub extra: String,
    /// Length of the body, if it is known.
    pub length: Option<usize>,
    /// The beginning of the body.
    pub first: Bytes,
    /// The rest of the body.
    pub remaining_body: Box<dyn BodyStream>,
    /// Whether the connection is closed with the response.
    pub close: bool,
}

impl<T: HttpTransport> Frontend<T> {
    /// Rejects a request, with the time after which the client may retry.
    pub(super) async fn reject(
        &self,
        stream: &mut StreamOf<T>,
        connection: &mut Connection,
        retry_after: Option<Duration>,
        close: bool,
    ) -> io::Result<()> {
        let retry_after = retry_after.unwrap_or(Duration::from_secs(1)).as_secs_f64();
        let extra = format!("Retry-After: {retry_after:.3}\r\n");
        self.respond(stream, connection, Status::Unavailable, &extra, b"", close).await
    }

    /// Responds to an invalid request and closes its connection.
    pub(super) async fn reject_invalid(
        &self,
        stream: &mut StreamOf<T>,
        connection: &mut Connection,
        status: Status,
    ) -> io::Result<Option<Instant>> {
        count(&self.counters.bad_requests);
        tracing::debug!(?status, "request is invalid, its connection is closed");
        self.respond(stream, connection, status, "", b"", true).await?;
        Ok(Some(self.platform.now()))
    }

    /// Sends a large response when it is complete, or an error if that is too late at `until`: one that is forwarded as it
    /// arrives would be cut off when the process is killed. Returns whether the response was sent.
    pub(super) async fn send_whole(
        &self,
        stream: &mut StreamOf<T>,
        connection: &mut Connection,
        client: &ClientWatch,
        response: LongResponse,
        until: Instant,
        pipelined_since: &mut Option<Instant>,
    ) -> io::Result<bool> {
        let LongResponse { extra, length, first, remaining_body, close } = response;
        let charge = self.memory.open_charge();
        let fits = length.is_none_or(|length| length <= self.final_body_limit());
        let collected =
            async { if fits { self.collect(first, remaining_body, &charge).await } else { None } };
        let body = tokio::select! {
            biased;
            body = self.platform.timeout_at(until, collected) => body.unwrap_or(None),
            () = self.wait_until_left(stream, connection, client, pipelined_since) => {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        };
        let (status, extra, body) = match &body {
            Some(body) => (Status::Ok, extra.as_str(), &body[..]),
            None => (Status::BadGateway, "", &[][..]),
        };
        self.respond(stream, connection, status, extra, body, close).await?;
        Ok(status == Status::Ok)
    }

    /// Collects the body of a response; `None` if it breaks off or is too long.
    async fn collect(
        &self,
        first: Bytes,
        mut rest: Box<dyn BodyStream>,
        charge: &Charge,
    ) -> Option<BytesMut> {
        let mut body = BytesMut::from(first);
        while let Some(piece) = rest.next().await.ok()? {
            body.extend_from_slice(&piece);
            if body.len() > self.final_body_limit() || !charge.try_set(body.capacity()) {
                return None;
            }
        }
        Some(body)
    }

    /// The most bytes that the slowest client can take before the process may be killed.
    fn final_body_limit(&self) -> usize {
        let kill = self.lifecycle.query(|state, now| state.earliest_kill().unwrap_or(now));
        let time_left = kill.saturating_duration_since(self.platform.now());
        MAX_UNSENT_BYTES as usize + (time_left.as_secs_f64() * SLOWEST_CLIENT_RATE) as usize
    }

    /// Forwards a large response as it arrives.
    pub(super) async fn relay(
        &self,
        stream: &mut StreamOf<T>,
        connection: &mut Connection,
        client: &ClientWatch,
        response: LongResponse,
        pipelined_since: &mut Option<Instant>,
    ) -> io::Result<()> {
        let LongResponse { extra, length, first, mut remaining_body, close } = response;
        let (head, coding) = connection.streamed_response_head(&extra, length, close);
        // The head and the beginning of the body are written together.
        let mut message = BytesMut::from(head);
        message.extend_from_slice(&coding.frame(&first));
        drop(first);
        let mut message = message.freeze();
        loop {
            self.platform.timeout(WRITE_TIMEOUT, stream.write_all(&message)).await??;
            let next = tokio::select! {
                biased;
                next = remaining_body.next() => next?,
                () = self.wait_until_left(stream, connection, client, pipelined_since) => {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            };
            match next {
                Some(piece) => message = coding.frame(&piece),
                None => break,
            }
        }
        self.platform.timeout(WRITE_TIMEOUT, stream.write_all(coding.end())).await?
    }

    /// Reads what a client sends while its response is under way, and returns when it has left.
    async fn wait_until_left(
        &self,
        stream: &mut StreamOf<T>,
        connection: &mut Connection,
        client: &ClientWatch,
        pipelined_since: &mut Option<Instant>,
    ) {
        while let Ok(1..) = self.read_watched(stream, connection, client).await {
            pipelined_since.get_or_insert_with(|| self.platform.now());
            // A client that never stops sending must not keep others waiting.
            tokio::task::yield_now().await;
        }
    }

    pub(super) async fn respond(
        &self,
        stream: &mut StreamOf<T>,
        connection: &mut Connection,
        status: Status,
        extra: &str,
        body: &[u8],
        close: bool,
    ) -> io::Result<()> {
        let mut message = connection.response_head(status, extra, body.len(), close);
        let (first, rest) = body.split_at(body.len().min(MAX_COPIED_BODY));
        message.extend_from_slice(first);
        let write = async {
            stream.write_all(&message).await?;
            stream.write_all(rest).await
        };
        self.platform.timeout(WRITE_TIMEOUT, write).await?
    }
}

/// Closes a connection after its last response. Closing with unread bytes would reset the connection, and the
/// client could lose the response; so bytes that still arrive are read and discarded for a while.
pub(crate) async fn close_gracefully<P: Platform>(
    platform: &P,
    stream: &mut P::Stream,
    was_uploading: bool,
) -> io::Result<()> {
    stream.shutdown().await?;
    // A client in the middle of a large body may read nothing before the body's end, and would lose the
    // response.
    let (linger_ms, mut bytes_left) = (if was_uploading { 6000 } else { 200 }, MAX_STREAMED_BODY);
    let deadline = platform.now() + Duration::from_millis(linger_ms);
    while bytes_left > 0 {
        match platform.timeout_at(deadline, discard(stream)).await {
            Ok(Ok(n @ 1..)) => bytes_left = bytes_left.saturating_sub(n),
            _ => break,
        }
    }
    Ok(())
}

/// The response to an invalid request; it closes the connection.
pub(crate) fn error_response(connection: &mut Connection, status: Status) -> BytesMut {
    connection.response_head(status, "", 0, true)
}
