//! Waiting for an outcome: a request becomes a session, and its client is heard meanwhile.

use super::{Frontend, HttpTransport, StreamOf};
use crate::attempt::ForwardedRequest;
use crate::budget_driver::ConcurrencyGuard as Spent;
use crate::classes::RequestForm;
use crate::counters::count;
use crate::exchange::EndpointResponse;
use crate::http::server::{CALL_ID, Connection, Request, Status};
use crate::http::{BodyPiece, ParseError};
use crate::lifecycle::LifecycleState;
use crate::request_stats::ClassStats;
use crate::requests::{FinalResponse, NewRequest};
use crate::upload::{ReadTimeout, Upload};
use bytes::Bytes;
use cometcroft::{ClassId, TenantId};
use cometcroft_platform::{Platform, Stream};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;

/// While a client's bytes are not read, it is looked for its end at these intervals. A tenth of a second after a client has
/// left no attempt may begin for it.
const BETWEEN_LOOKS: Duration = Duration::from_millis(25);
/// The longest id of a request.
const MAX_ID: usize = 128;

impl<T: HttpTransport> Frontend<T> {
    /// Serves one request and tells since when the next one has been coming; `None` when its client has left.
    pub(super) async fn request(
        &self,
        stream: &mut StreamOf<T>,
        machine: &mut Connection,
        mut request: Request,
        upload: Option<Upload>,
        since: Instant,
    ) -> io::Result<Option<Instant>> {
        let mut early = (upload.is_none() && machine.has_pipelined()).then_some(since);
        let closes = || self.lifecycle.query(LifecycleState::closes_connections);
        if request.method == "GET" && request.path() == b"/up" {
            // Without a list there is nowhere to send a request to.
            let status =
                if self.lifecycle.query(LifecycleState::is_ready) { Status::Ok } else { Status::Unavailable };
            self.reply(stream, machine, status, "", b"", closes()).await?;
            return Ok(Some(early.unwrap_or_else(|| self.platform.now())));
        }
        if request.method == "GET" && request.path() == b"/counters" {
            let json = self.counters.json();
            let extra = "Content-Type: application/json\r\n";
            self.reply(stream, machine, Status::Ok, extra, json.as_bytes(), closes()).await?;
            return Ok(Some(early.unwrap_or_else(|| self.platform.now())));
        }
        let mut patience = ReadTimeout::new(since);
        if let Some(upload) = &upload {
            // Danger: what can't be taken is turned away before its body is waited for.
            if let Err(fault) = self.class_of(&request, true) {
                return self.reject_invalid(stream, machine, fault.into()).await;
            }
            upload.push(std::mem::take(&mut request.body));
            while upload.reserve_buffer() {
                match self.feed(stream, machine, upload, &mut patience).await? {
                    ClientInput::Received => {}
                    ClientInput::Disconnected => return Ok(None),
                    ClientInput::Invalid(status) => {
                        return self.reject_invalid(stream, machine, status).await;
                    }
                }
            }
            upload.start_sending();
        }
        let whole = upload.as_ref().is_none_or(Upload::is_complete);
        let since = if upload.is_some() { self.platform.now() } else { since };
        let more =
            upload.as_ref().map(|upload| upload.expected_time_left(patience.waited())).unwrap_or_default();
        let taken = self.opening(request, upload, since, more).and_then(|(opening, due)| {
            let id = opening.payload.request.headers.single(CALL_ID)?.cloned().unwrap_or_default();
            Ok((OpenRequestId::take(self, id)?, opening, due))
        });
        let (id, opening, due) = match taken {
            Ok(taken) => taken,
            Err(fault) => return self.reject_invalid(stream, machine, fault.into()).await,
        };
        let (class, payload) = (opening.class, opening.payload.clone());
        // Given back with the answer.
        let _spent = match self.spend(&payload) {
            Ok(spent) => spent,
            Err(after) => {
                drop(id);
                count(&self.counters.budget_refused);
                self.counters.request_stats.increment(class, |stats| &mut stats.throttled);
                // Danger: what of its body is still to come would pass for the next request.
                self.reject(stream, machine, Some(after), !whole || closes()).await?;
                return Ok(whole.then(|| early.unwrap_or_else(|| self.platform.now())));
            }
        };
        // Taken it is when its last byte has come.
        let mut _open = whole.then(|| self.counters.request_stats.begin_request());
        let budget = payload.request.time_budget().unwrap_or_default();
        let mut late = None;
        let _held = ClassHold::take(self, class);
        let verdict = {
            let served = self.host.serve(opening, due);
            tokio::pin!(served);
            loop {
                // Danger: a client's close is only seen by reading; so that is done while it waits, and what comes
                // early is kept for the next request, within bounds. Behind a flood lies an end too.
                let coming = payload.upload.as_ref().filter(|upload| !upload.is_complete());
                let listens = coming.is_some() || !machine.has_overflowed();
                let feed = async {
                    match coming {
                        Some(upload) => self.feed(stream, machine, upload, &mut patience).await,
                        None => {
                            let buffer =
                                if machine.is_full() { machine.overflow_buffer() } else { machine.buffer() };
                            match stream.read_buf(buffer).await {
                                Ok(1..) => Ok(ClientInput::Received),
                                _ => Ok(ClientInput::Disconnected),
                            }
                        }
                    }
                };
                let fed = tokio::select! {
                    biased;
                    verdict = &mut served => break verdict,
                    fed = feed, if listens => fed?,
                    () = self.platform.sleep_until(late.unwrap_or(due)), if late.is_some() => {
                        break FinalResponse::TimedOut;
                    }
                    () = self.lifecycle.wait_until(LifecycleState::final_response_deadline) => break FinalResponse::TimedOut,
                };
                match (fed, coming) {
                    (ClientInput::Disconnected, _) => return Ok(None),
                    (ClientInput::Invalid(status), _) => {
                        return self.reject_invalid(stream, machine, status).await;
                    }
                    (ClientInput::Received, None) => {
                        early.get_or_insert_with(|| self.platform.now());
                    }
                    // Now its time begins.
                    (ClientInput::Received, Some(upload)) if upload.is_complete() => {
                        _open = Some(self.counters.request_stats.begin_request());
                        late = Some(self.platform.now() + time_left(budget, Duration::ZERO).1);
                    }
                    (ClientInput::Received, Some(_)) => {}
                }
            }
        };
        // What it was counted for and its id are free before its answer can be seen.
        drop(id);
        let close = closes();
        let record =
            |what: fn(&mut ClassStats) -> &mut u64| self.counters.request_stats.increment(class, what);
        match verdict {
            FinalResponse::Served(EndpointResponse { response: answer, remaining_body: rest }) => {
                let kind = answer.headers.single("content-type").ok().flatten();
                let kind = kind.and_then(|kind| std::str::from_utf8(kind).ok());
                let extra = kind.map(|kind| format!("Content-Type: {kind}\r\n")).unwrap_or_default();
                let Some(bulk) = answer.streamed else {
                    record(|stats| &mut stats.fulfilled);
                    self.reply(stream, machine, Status::Ok, &extra, &answer.body, close).await?;
                    return Ok(Some(early.unwrap_or_else(|| self.platform.now())));
                };
                let (head, coding) = machine.streamed_response_head(&extra, bulk.length, close);
                let Some(rest) = rest.take() else { return Ok(None) };
                // Danger: a client must be able to tell that an answer is not whole, so what breaks off ends its
                // connection without the end mark or short of the length.
                let whole = self.relay(stream, head, coding, answer.body, rest).await;
                record(if whole.is_ok() { |stats| &mut stats.fulfilled } else { |stats| &mut stats.faulted });
                whole?;
            }
            FinalResponse::Rejected { retry_after } => {
                record(|stats| &mut stats.throttled);
                self.reject(stream, machine, retry_after, close).await?;
            }
            FinalResponse::Failed | FinalResponse::TimedOut => {
                record(|stats| &mut stats.faulted);
                let late = matches!(verdict, FinalResponse::TimedOut);
                let status = if late { Status::GatewayTimeout } else { Status::BadGateway };
                self.reply(stream, machine, status, "", b"", close).await?;
            }
        }
        Ok(Some(early.unwrap_or_else(|| self.platform.now())))
    }

    /// What a request takes of the fleet's budgets, or after how long it may come again.
    fn spend(&self, payload: &ForwardedRequest) -> Result<Option<Spent<T::Platform>>, Duration> {
        let Some(fleet) = &self.fleet else { return Ok(None) };
        let caller = payload.request.headers.single("x-caller").ok().flatten();
        fleet.admit(caller.map(|caller| &caller[..]))
    }

    /// Takes the next piece of a large body, or waits for it or for room. Dropped, it loses nothing.
    async fn feed(
        &self,
        stream: &mut StreamOf<T>,
        machine: &mut Connection,
        upload: &Upload,
        patience: &mut ReadTimeout,
    ) -> io::Result<ClientInput> {
        match machine.next_piece() {
            Ok(BodyPiece::Bytes(piece)) => upload.push(piece),
            Ok(BodyPiece::End) => upload.finish(),
            Err(status) => return Ok(ClientInput::Invalid(status)),
            Ok(BodyPiece::More) => {
                if !upload.is_buffering() {
                    tokio::select! {
                        biased;
                        () = upload.wait_for_room() => {}
                        () = self.leaves_unread(stream) => return Ok(ClientInput::Disconnected),
                    }
                }
                let until = patience.start_wait(self.platform.now());
                match self.platform.timeout_at(until, stream.read_buf(machine.buffer())).await {
                    Ok(Ok(0)) => return Ok(ClientInput::Disconnected),
                    Ok(read) => patience.end_wait(self.platform.now(), read?),
                    Err(_) => {
                        count(&self.counters.frontend_mute);
                        return Ok(ClientInput::Invalid(Status::RequestTimeout));
                    }
                }
            }
        }
        Ok(ClientInput::Received)
    }

    /// Waits until a client has left whose bytes are not read now: nothing may begin for it any more.
    async fn leaves_unread(&self, stream: &StreamOf<T>) {
        while !stream.is_read_closed() {
            self.platform.sleep(BETWEEN_LOOKS).await;
        }
    }

    /// The class of a request, by its name and form.
    fn class_of(&self, request: &Request, body: bool) -> Result<ClassId, ParseError> {
        let key = request.headers.single("idempotency-key")?;
        // Danger: the class alone says whether a request may be repeated; one that comes in another class's form
        // is not what it says.
        let form =
            RequestForm::of(&request.method, body, key.map(|key| &key[..])).ok_or(ParseError::Malformed)?;
        let class = self.classes.borrow().find(request.class_name(), form, self.platform.now());
        class.ok_or(ParseError::Malformed)
    }

    /// What a request asks for, and when its answer is due at the latest.
    fn opening(
        &self,
        request: Request,
        upload: Option<Upload>,
        since: Instant,
        more: Duration,
    ) -> Result<(NewRequest<Rc<ForwardedRequest>>, Instant), ParseError> {
        let id = request.headers.single(CALL_ID)?;
        if id.is_none_or(|id| id.is_empty() || id.len() > MAX_ID || !id.iter().all(u8::is_ascii_graphic)) {
            return Err(ParseError::Malformed);
        }
        let class = self.class_of(&request, upload.is_some() || !request.body.is_empty())?;
        let caller = request.headers.single("x-caller")?;
        let tenant = caller.and_then(|c| self.tenants.borrow().iter().position(|t| t.as_bytes() == c));
        let repeat = request.headers.lists("x-again", "1");
        let (left, due) = time_left(request.time_budget()?, self.platform.since(since));
        let now = self.platform.now();
        let last = self
            .lifecycle
            .query(LifecycleState::response_deadline)
            .map(|last| last.saturating_duration_since(now));
        // The body of a large request has its time before that; SIGKILL waits for neither.
        let (left, due) = (left + more, due + more);
        let (left, due) = (left.min(last.unwrap_or(left)), now + due.min(last.unwrap_or(due)));
        let payload = Rc::new(ForwardedRequest {
            request,
            class,
            upload,
            attempts_started: Cell::new(0),
            last_failure: Cell::default(),
        });
        Ok((
            NewRequest {
                class,
                tenant: tenant.map(TenantId),
                time_left: left,
                client_retry: repeat,
                payload,
            },
            due,
        ))
    }
}

/// What is left of a budget for the module, and until the hard answer. The client counts from its send and
/// what we write takes time to arrive, so a margin is kept: half for the way, half for the module's answer.
pub fn time_left(budget: Duration, gone: Duration) -> (Duration, Duration) {
    let margin = (budget / 20).clamp(Duration::from_millis(4), Duration::from_millis(60)).min(budget / 2);
    let left = budget.saturating_sub(gone);
    (left.saturating_sub(margin), left.saturating_sub(margin / 2))
}

/// What came of waiting for a client while its request is open.
enum ClientInput {
    Received,
    /// It has left.
    Disconnected,
    /// What came can't be the rest of its request, or stood still.
    Invalid(Status),
}

/// The id of an open request, free again when dropped.
struct OpenRequestId<'a, T: HttpTransport>(&'a Frontend<T>, Bytes);

impl<'a, T: HttpTransport> OpenRequestId<'a, T> {
    /// Danger: two open requests of one id can't be told apart by anyone behind us, who would take one for a
    /// copy of the other.
    fn take(frontend: &'a Frontend<T>, id: Bytes) -> Result<OpenRequestId<'a, T>, ParseError> {
        if !frontend.ids.borrow_mut().insert(id.clone()) {
            count(&frontend.counters.repeated_ids);
            return Err(ParseError::Malformed);
        }
        Ok(OpenRequestId(frontend, id))
    }
}

impl<T: HttpTransport> Drop for OpenRequestId<'_, T> {
    fn drop(&mut self) {
        self.0.ids.borrow_mut().remove(&self.1);
    }
}

/// A request that has the number of a class; the number is not another's as long as this is there.
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
