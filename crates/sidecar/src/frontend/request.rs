//! Handles one request: adds it to the request table, and watches the client connection until the final
//! response.

use super::response::LongResponse;
use super::{Frontend, HttpTransport, StreamOf};
use crate::attempt::ForwardedRequest;
use crate::budget_driver::ConcurrencyGuard;
use crate::classes::RequestForm;
use crate::client_watch::ClientWatch;
use crate::counters::count;
use crate::exchange::EndpointResponse;
use crate::http::server::{CALL_ID, Connection, Request, Status};
use crate::http::{BodyPiece, ParseError};
use crate::lifecycle::LifecycleState;
use crate::request_ids::IdError;
use crate::request_stats::ClassStats;
use crate::requests::{FinalResponse, NewRequest};
use crate::shared_read::poll_read_with;
use crate::upload::{ReadTimeout, Upload};
use bytes::Bytes;
use cometcroft::{ClassId, TenantId};
use cometcroft_platform::{Platform, Stream};
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Interval at which the client's end of the connection is checked while its bytes are not read. No attempt may
/// start later than 100 ms after the client has disconnected.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which it is checked whether a client may have written all of a body.
const OVERDUE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum length of a request's id.
const MAX_ID_LENGTH: usize = 128;

impl<T: HttpTransport> Frontend<T> {
    /// Serves one request. Returns since when the next request has been arriving, or `None` if the client has
    /// disconnected.
    pub(super) async fn handle_request(
        &self,
        stream: &mut StreamOf<T>,
        connection: &mut Connection,
        client: &Rc<ClientWatch>,
        mut request: Request,
        upload: Option<Upload>,
        since: Instant,
    ) -> io::Result<Option<Instant>> {
        let mut pipelined_since = (upload.is_none() && connection.has_pipelined()).then_some(since);
        let closing = || self.lifecycle.query(LifecycleState::closes_connections);
        if request.method == "GET" && request.path() == b"/up" {
            // Without an endpoint list, requests can't be sent anywhere.
            let status =
                if self.lifecycle.query(LifecycleState::is_ready) { Status::Ok } else { Status::Unavailable };
            self.respond(stream, connection, status, "", b"", closing()).await?;
            return Ok(Some(pipelined_since.unwrap_or_else(|| self.platform.now())));
        }
        if request.method == "GET" && request.path() == b"/counters" {
            let json = self.counters.json();
            let extra = "Content-Type: application/json\r\n";
            self.respond(stream, connection, Status::Ok, extra, json.as_bytes(), closing()).await?;
            return Ok(Some(pipelined_since.unwrap_or_else(|| self.platform.now())));
        }
        let mut body_timeout = ReadTimeout::new(since);
        // The class is that of the time at which the head arrived, however long the body takes. An invalid request is
        // rejected before its body is awaited.
        let class = match self.class_for(&request, upload.is_some() || !request.body.is_empty()) {
            Ok(class) => class,
            Err(error) => return self.reject_invalid(stream, connection, error.into()).await,
        };
        let _class_hold = ClassHold::take(self, class);
        if let Some(upload) = &upload {
            upload.push(&std::mem::take(&mut request.body));
            while upload.reserve_buffer() {
                match self.read_body(stream, connection, client, upload, &mut body_timeout).await? {
                    ClientInput::Received => {}
                    ClientInput::Disconnected => return Ok(None),
                    ClientInput::Invalid(status) => {
                        return self.reject_invalid(stream, connection, status).await;
                    }
                }
            }
            upload.start_sending();
        }
        let complete = upload.as_ref().is_none_or(Upload::is_complete);
        let mut arrived = if upload.is_some() { self.platform.now() } else { since };
        let since = if upload.is_some() { client.last_seen(self.platform.now()) } else { since };
        let body_time = upload
            .as_ref()
            .map(|upload| upload.expected_time_left(body_timeout.waited()))
            .unwrap_or_default();
        let registered = self.new_request(request, class, client, upload, (since, body_time)).and_then(
            |(new_request, deadline)| {
                let id = new_request.payload.request.headers.single(CALL_ID)?.unwrap_or_default();
                let id = Bytes::copy_from_slice(id);
                Ok((id, new_request, deadline))
            },
        );
        let (id, new_request, deadline) = match registered {
            Ok(registered) => registered,
            Err(error) => return self.reject_invalid(stream, connection, error.into()).await,
        };
        let payload = new_request.payload.clone();
        let id = match self.take_id(id, &payload) {
            Ok(id) => id,
            Err(error) => {
                tracing::debug!(request = payload.request.id(), %error, "request is not accepted");
                if error == IdError::Repeated {
                    return self.reject_invalid(stream, connection, Status::BadRequest).await;
                }
                self.counters.request_stats.increment(class, |stats| &mut stats.throttled);
                self.reject(stream, connection, None, !complete || closing()).await?;
                return Ok(complete.then(|| pipelined_since.unwrap_or_else(|| self.platform.now())));
            }
        };
        // Released with the response.
        let _concurrency_guard = match self.reserve_budget(&payload) {
            Ok(guard) => guard,
            Err(retry_after) => {
                drop(id);
                count(&self.counters.budget_refused);
                self.counters.request_stats.increment(class, |stats| &mut stats.throttled);
                // The rest of the body would be taken for the next request, so the connection is closed.
                self.reject(stream, connection, Some(retry_after), !complete || closing()).await?;
                return Ok(complete.then(|| pipelined_since.unwrap_or_else(|| self.platform.now())));
            }
        };
        // A request counts as open once its last byte has arrived.
        let mut _open_count = complete.then(|| self.counters.request_stats.begin_request());
        let time_budget = payload.request.time_budget().unwrap_or_default();
        let mut response_due = None;
        let response = {
            let serving = self.driver.serve(new_request, deadline);
            tokio::pin!(serving);
            loop {
                // The client's close is only seen by reading, so the connection is read while the client waits.
                // Bytes of a later request are kept, within bounds; beyond them, bytes are discarded, however many they
                // are, since a close may follow them.
                let upload_in_progress = payload.upload.as_ref().filter(|upload| !upload.is_complete());
                let read_body = async {
                    match upload_in_progress {
                        Some(upload) => {
                            self.read_body(stream, connection, client, upload, &mut body_timeout).await
                        }
                        None => match self.read_watched(stream, connection, client).await {
                            Ok(1..) => Ok(ClientInput::Received),
                            _ => Ok(ClientInput::Disconnected),
                        },
                    }
                };
                let overdue = self.upload_overdue(client, upload_in_progress, time_budget);
                let input = tokio::select! {
                    biased;
                    response = &mut serving => break response,
                    input = read_body => input?,
                    () = self.platform.sleep_until(response_due.unwrap_or(deadline)), if response_due.is_some() => {
                        break FinalResponse::TimedOut;
                    }
                    () = overdue, if upload_in_progress.is_some() => break FinalResponse::TimedOut,
                    () = self.lifecycle.wait_until(LifecycleState::final_response_deadline) => break FinalResponse::TimedOut,
                };
                match (input, upload_in_progress) {
                    (ClientInput::Disconnected, _) => {
                        let attempts = payload.attempts_started.get();
                        tracing::debug!(request = payload.request.id(), attempts, "client left");
                        return Ok(None);
                    }
                    (ClientInput::Invalid(status), _) => {
                        return self.reject_invalid(stream, connection, status).await;
                    }
                    (ClientInput::Received, None) => {
                        pipelined_since.get_or_insert_with(|| self.platform.now());
                        // A client that never stops sending must not keep others waiting.
                        tokio::task::yield_now().await;
                    }
                    // The time for the response started when the last byte arrived, which may have been unread since.
                    (ClientInput::Received, Some(upload)) if upload.is_complete() => {
                        _open_count = Some(self.counters.request_stats.begin_request());
                        arrived = self.platform.now();
                        let since = client.last_seen(self.platform.now());
                        let (client_time, response_time) = time_left(time_budget, Duration::ZERO);
                        payload.client_deadline.set(Some(since + client_time));
                        response_due = Some(since + response_time);
                    }
                    (ClientInput::Received, Some(_)) => {}
                }
            }
        };
        tracing::debug!(
            request = payload.request.id(),
            response = response.name(),
            attempts = payload.attempts_started.get(),
            last_failure = ?payload.last_failure.get(),
            "final response"
        );
        // The id is released before the client can see the response: one that may run again may come again at once.
        drop(id);
        let close = closing();
        let record =
            |what: fn(&mut ClassStats) -> &mut u64| self.counters.request_stats.increment(class, what);
        match response {
            FinalResponse::Served(EndpointResponse { response, remaining_body, .. }) => {
                let content_type = response.headers.single("content-type").ok().flatten();
                let content_type = content_type.and_then(|value| std::str::from_utf8(value).ok());
                let extra =
                    content_type.map(|value| format!("Content-Type: {value}\r\n")).unwrap_or_default();
                let Some(streamed) = response.streamed else {
                    record(|stats| &mut stats.fulfilled);
                    self.respond(stream, connection, Status::Ok, &extra, &response.body, close).await?;
                    return Ok(Some(pipelined_since.unwrap_or_else(|| self.platform.now())));
                };
                let Some(remaining_body) = remaining_body.take() else { return Ok(None) };
                let response = LongResponse {
                    extra,
                    length: streamed.length,
                    first: response.body,
                    remaining_body,
                    close,
                };
                let pipelined = &mut pipelined_since;
                let is_served = match self.lifecycle.query(|state, _| state.response_deadline(arrived)) {
                    // The client must be able to detect an incomplete response, so when a transfer breaks off, the
                    // connection is closed without the final chunk or before the stated length.
                    None => self.relay(stream, connection, client, response, pipelined).await.map(|()| true),
                    Some(until) => {
                        let until = until.min(response_due.unwrap_or(deadline));
                        self.send_whole(stream, connection, client, response, until, pipelined).await
                    }
                };
                let is_fulfilled = is_served.as_ref().is_ok_and(|is_served| *is_served);
                record(if is_fulfilled { |stats| &mut stats.fulfilled } else { |stats| &mut stats.faulted });
                is_served?;
            }
            FinalResponse::Rejected { retry_after } => {
                record(|stats| &mut stats.throttled);
                self.reject(stream, connection, retry_after, close).await?;
            }
            FinalResponse::Failed | FinalResponse::TimedOut => {
                record(|stats| &mut stats.faulted);
                let timed_out = matches!(response, FinalResponse::TimedOut);
                let status = if timed_out { Status::GatewayTimeout } else { Status::BadGateway };
                self.respond(stream, connection, status, "", b"", close).await?;
            }
        }
        Ok(Some(pipelined_since.unwrap_or_else(|| self.platform.now())))
    }

    /// Takes a request's share of the fleet's budgets; fails with the time after which the client may retry.
    fn reserve_budget(
        &self,
        payload: &ForwardedRequest,
    ) -> Result<Option<ConcurrencyGuard<T::Platform>>, Duration> {
        let Some(fleet) = &self.fleet else { return Ok(None) };
        let caller = payload.request.headers.single("x-caller").ok().flatten();
        fleet.admit(caller)
    }

    /// Takes the next piece of a large body, or waits for bytes or for room. No bytes are lost if the future is
    /// dropped.
    async fn read_body(
        &self,
        stream: &mut StreamOf<T>,
        connection: &mut Connection,
        client: &ClientWatch,
        upload: &Upload,
        body_timeout: &mut ReadTimeout,
    ) -> io::Result<ClientInput> {
        match connection.next_piece() {
            Ok(BodyPiece::Bytes(piece)) => upload.push(&piece),
            Ok(BodyPiece::End) => upload.finish(),
            Err(status) => return Ok(ClientInput::Invalid(status)),
            Ok(BodyPiece::More) => {
                if !upload.is_buffering() && !upload.has_room() {
                    client.record_unread(self.platform.now());
                    tokio::select! {
                        biased;
                        () = upload.wait_for_room() => {}
                        () = self.wait_for_disconnect(stream) => return Ok(ClientInput::Disconnected),
                    }
                }
                let until = body_timeout.start_wait(self.platform.now());
                match self.platform.timeout_at(until, self.read_watched(stream, connection, client)).await {
                    Ok(Ok(0)) => return Ok(ClientInput::Disconnected),
                    Ok(read) => body_timeout.end_wait(self.platform.now(), read?),
                    Err(_) => {
                        count(&self.counters.frontend_mute);
                        return Ok(ClientInput::Invalid(Status::RequestTimeout));
                    }
                }
            }
        }
        Ok(ClientInput::Received)
    }

    /// Reads from a client whose request is open, and records whether its connection was read empty. Bytes that do not fit
    /// into the buffer are discarded.
    pub(super) async fn read_watched(
        &self,
        stream: &mut StreamOf<T>,
        connection: &mut Connection,
        client: &ClientWatch,
    ) -> io::Result<usize> {
        self.read_from_client(stream, connection, client, Connection::append).await
    }

    /// Reads from a client, hands the bytes to `store`, and records whether its connection was read empty. A read that has to
    /// wait is not enough for that: it may wait for its turn, although there is more.
    pub(super) async fn read_from_client(
        &self,
        stream: &mut StreamOf<T>,
        connection: &mut Connection,
        client: &ClientWatch,
        store: fn(&mut Connection, &[u8]),
    ) -> io::Result<usize> {
        poll_fn(|context| {
            let limit = connection.read_limit();
            let read = poll_read_with(stream, context, limit, |bytes| store(connection, bytes));
            match read {
                Poll::Pending if client.is_watched() => {}
                Poll::Pending if stream.is_idle() => client.record_empty(),
                Poll::Pending => {}
                Poll::Ready(_) => client.record_unread(self.platform.now()),
            }
            read
        })
        .await
    }

    /// Waits until the response to a request is due whose body has not been received completely. The client's time begins
    /// with its last byte, which may have been written when its connection was last read empty.
    async fn upload_overdue(&self, client: &ClientWatch, upload: Option<&Upload>, budget: Duration) {
        let (_, time) = time_left(budget, Duration::ZERO);
        loop {
            let now = self.platform.now();
            let due = client.last_seen(now) + time;
            let may_be_written = upload.is_none_or(Upload::may_be_written);
            if due <= now && may_be_written {
                return;
            }
            self.platform.sleep_until(due.max(now + OVERDUE_POLL_INTERVAL)).await;
        }
    }

    /// Waits until a client whose bytes are not being read has disconnected; afterwards no attempt may start
    /// for it.
    async fn wait_for_disconnect(&self, stream: &StreamOf<T>) {
        while !stream.is_read_closed() {
            self.platform.sleep(DISCONNECT_POLL_INTERVAL).await;
        }
    }

    /// The class of a request, by name and form.
    fn class_for(&self, request: &Request, body: bool) -> Result<ClassId, ParseError> {
        let key = request.headers.single("idempotency-key")?;
        // The class alone decides whether a request may be retried, so a request in the form of another class
        // is invalid.
        let form = RequestForm::of(&request.method, body, key).ok_or(ParseError::Malformed)?;
        let class = self.classes.borrow().find(request.class_name(), form, self.platform.now());
        class.ok_or(ParseError::Malformed)
    }

    /// Builds the entry for the request table, and the latest time for the final response.
    fn new_request(
        &self,
        request: Request,
        class: ClassId,
        client: &Rc<ClientWatch>,
        upload: Option<Upload>,
        (since, body_time): (Instant, Duration),
    ) -> Result<(NewRequest<Rc<ForwardedRequest>>, Instant), ParseError> {
        let id = request.headers.single(CALL_ID)?;
        if id.is_none_or(|id| {
            id.is_empty() || id.len() > MAX_ID_LENGTH || !id.iter().all(u8::is_ascii_graphic)
        }) {
            return Err(ParseError::Malformed);
        }
        let caller = request.headers.single("x-caller")?;
        let tenant =
            caller.and_then(|caller| self.tenants.borrow().iter().position(|t| t.as_bytes() == caller));
        let client_retry = request.headers.lists("x-again", "1");
        let budget = request.time_budget()?;
        let (client_time, _) = time_left(budget, Duration::ZERO);
        let (time_left, deadline) = time_left(budget, self.platform.since(since));
        let now = self.platform.now();
        let is_complete = upload.as_ref().is_none_or(Upload::is_complete);
        let client_deadline = is_complete.then(|| now + time_left);
        let until_shutdown = self
            .lifecycle
            .query(LifecycleState::response_deadline)
            .map(|at| at.saturating_duration_since(now));
        // The time for the body of a large request comes on top of the client's limit; the shutdown deadline
        // extends for neither, since SIGKILL follows.
        let (time_left, deadline) = (time_left + body_time, deadline + body_time);
        let (time_left, deadline) = (
            time_left.min(until_shutdown.unwrap_or(time_left)),
            now + deadline.min(until_shutdown.unwrap_or(deadline)),
        );
        let payload = Rc::new(ForwardedRequest {
            request,
            class,
            upload,
            attempts_started: Cell::new(0),
            time_left: client_time,
            client_deadline: Cell::new(client_deadline),
            possible_runs: Cell::new(0),
            client: client.clone(),
            last_failure: Cell::default(),
        });
        Ok((NewRequest { class, tenant: tenant.map(TenantId), time_left, client_retry, payload }, deadline))
    }
}

/// Splits the client's time into the time left for the module and the time until a response is sent in any
/// case. The client counts from when it sent the request, and responses take time to arrive, so a margin is
/// kept: half of it for the way, half for the module to respond.
pub fn time_left(budget: Duration, elapsed: Duration) -> (Duration, Duration) {
    let margin = (budget / 20).clamp(Duration::from_millis(4), Duration::from_millis(60)).min(budget / 2);
    let remaining = budget.saturating_sub(elapsed);
    (remaining.saturating_sub(margin), remaining.saturating_sub(margin / 2))
}

/// Input from a client while its request is open.
enum ClientInput {
    Received,
    /// The client has disconnected.
    Disconnected,
    /// The bytes can't be the rest of the request, or stopped arriving.
    Invalid(Status),
}

/// Marks a class number as used by a request; until this is dropped the number is not given to another class.
struct ClassHold<'a, T: HttpTransport>(&'a Frontend<T>, ClassId);

impl<'a, T: HttpTransport> ClassHold<'a, T> {
    fn take(frontend: &'a Frontend<T>, class: ClassId) -> ClassHold<'a, T> {
        frontend.classes.borrow_mut().hold(class);
        ClassHold(frontend, class)
    }
}

impl<T: HttpTransport> Drop for ClassHold<'_, T> {
    fn drop(&mut self) {
        self.0.classes.borrow_mut().release(self.1);
    }
}
