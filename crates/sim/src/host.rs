//! Runs the instances of the decision module. Each has its own balancer, its own table of ids and its own part of the
//! reply.

use crate::codec::{self, Field, ListItem, Message};
use cometcroft::*;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::io::{BufRead, Write};
use std::rc::Rc;

/// The error that ends the process, with the number of the input line.
#[derive(Debug)]
pub struct ProtocolError {
    pub line: u64,
    pub message: String,
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

/// A request that is kept until it has got its final response and all of its attempts have ended.
struct TrackedRequest {
    name: Rc<str>,
    attempts_out: u32,
    finished: bool,
}

/// An instance of the decision module, which stands for one sidecar of the simulation.
struct Instance {
    balancer: Balancer,
    /// The values of a load report, in order.
    report_fields: Vec<Field>,
    endpoint_ids: HashMap<Rc<str>, EndpointId>,
    /// Indexed by [`EndpointId`].
    endpoint_names: Vec<Rc<str>>,
    request_ids: HashMap<Rc<str>, RequestId>,
    requests: HashMap<RequestId, TrackedRequest>,
    next_request_id: u64,
    /// Empty between two events; kept to reuse the allocation.
    actions: Vec<Action>,
    /// The instance's lines of the reply to the current batch.
    reply: Vec<u8>,
}

impl Instance {
    fn new(seed: u64, conf: &str) -> Result<Instance, String> {
        let (settings, report_fields) = codec::parse_settings(conf)?;
        let balancer = Balancer::new(settings, seed).map_err(|e| e.to_string())?;
        Ok(Instance {
            balancer,
            report_fields,
            endpoint_ids: HashMap::new(),
            endpoint_names: Vec::new(),
            request_ids: HashMap::new(),
            requests: HashMap::new(),
            next_request_id: 0,
            actions: Vec::new(),
            reply: Vec::new(),
        })
    }

    /// The id of an endpoint; an unknown endpoint gets the next id.
    fn endpoint_id(&mut self, name: &str) -> EndpointId {
        if let Some(&id) = self.endpoint_ids.get(name) {
            return id;
        }
        let (id, name): (_, Rc<str>) = (EndpointId(self.endpoint_names.len() as u32), name.into());
        self.endpoint_names.push(name.clone());
        self.endpoint_ids.insert(name, id);
        id
    }

    /// The id of a request; an unknown request gets a unique id, which is remembered if `track` is set.
    fn request_id(&mut self, name: &str, track: bool) -> RequestId {
        if let Some(&id) = self.request_ids.get(name) {
            return id;
        }
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        if track {
            let name: Rc<str> = name.into();
            self.request_ids.insert(name.clone(), id);
            self.requests.insert(id, TrackedRequest { name, attempts_out: 0, finished: false });
        }
        id
    }

    /// Records the end of an attempt or of the request. A finished request without open attempts is no longer tracked.
    fn update_request(&mut self, id: RequestId, attempt_ended: bool, finished: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts_out = request.attempts_out.saturating_sub(u32::from(attempt_ended));
        request.finished |= finished;
        if request.finished && request.attempts_out == 0 {
            let name = request.name.clone();
            self.requests.remove(&id);
            self.request_ids.remove(&name);
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.write_action(action);
        }
        self.actions = actions;
    }

    /// Adds an action to the reply. Actions for requests that are not tracked or for unknown endpoints are dropped.
    fn write_action(&mut self, action: Action) {
        let written = match action {
            Action::Send { request, endpoint, timeout } => {
                let endpoint = self.endpoint_names.get(endpoint.0 as usize);
                let (Some(request), Some(endpoint)) = (self.requests.get_mut(&request), endpoint) else {
                    return;
                };
                request.attempts_out += 1;
                writeln!(self.reply, "FORWARD {} {} {endpoint}", request.name, timeout.as_nanos())
            }
            Action::Reject { request, retry_after } => {
                let Some(tracked) = self.requests.get(&request) else { return };
                let retry_after = retry_after.unwrap_or_default().as_nanos();
                let written = writeln!(self.reply, "DECLINE {} {retry_after}", tracked.name);
                self.update_request(request, false, true);
                written
            }
            Action::Fail(request) => {
                let Some(tracked) = self.requests.get(&request) else { return };
                let written = writeln!(self.reply, "END_FAILED {}", tracked.name);
                self.update_request(request, false, true);
                written
            }
            Action::Cancel { request, attempt } => {
                let Some(tracked) = self.requests.get(&request) else { return };
                writeln!(self.reply, "UNDO_SEND {} {attempt}", tracked.name)
            }
            Action::SetTimer { after, timer } => {
                writeln!(self.reply, "SET_TIMER {} {}", after.as_nanos(), codec::format_timer(timer))
            }
            Action::Probe(endpoint) => match self.endpoint_names.get(endpoint.0 as usize) {
                Some(name) => writeln!(self.reply, "INSPECT {name}"),
                None => return,
            },
            Action::CloseIdle(endpoint) => match self.endpoint_names.get(endpoint.0 as usize) {
                Some(name) => writeln!(self.reply, "RELEASE {name}"),
                None => return,
            },
            Action::Subscribe => writeln!(self.reply, "TAIL 1"),
        };
        written.expect("writing to memory");
    }
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<usize, Vec<ListItem>>,
    /// The list that is being received, and the number of items still to come.
    incoming_list: Option<(usize, usize)>,
    /// The instance that messages are for.
    current: Option<u32>,
    /// The time of the current batch.
    now: Time,
}

impl Host {
    fn instance(&mut self) -> Result<&mut Instance, String> {
        let id = self.current.ok_or("no instance is named")?;
        self.instances.get_mut(&id).ok_or_else(|| format!("instance {id} has not begun"))
    }

    fn handle_message(&mut self, message: Message<'_>) -> Result<(), String> {
        let now = self.now;
        match message {
            Message::Mark { .. } | Message::End => unreachable!("handled by run"),
            Message::For(id) => self.current = Some(id),
            Message::Begin { seed, conf } => {
                let id = self.current.ok_or("no instance is named")?;
                let mut instance = Instance::new(seed, conf)?;
                instance.handle(now, Event::Start);
                self.instances.insert(id, instance);
            }
            Message::Exit => {
                self.instances.remove(&self.current.ok_or("no instance is named")?);
            }
            Message::Catalog { list_id, item_count } => {
                // The count comes from the input, so it may be arbitrarily large.
                self.lists.insert(list_id, Vec::with_capacity(item_count.min(4096)));
                self.incoming_list = Some((list_id, item_count)).filter(|_| item_count > 0);
            }
            Message::Fleet { scope, list_id } => self.deliver_list(scope, list_id)?,
            Message::Ask { request, class, tenant, time_left, work_hint, client_retry } => {
                let instance = self.instance()?;
                let request = instance.request_id(request, true);
                let (class, tenant) = (ClassId(class), tenant.map(TenantId));
                instance.handle(
                    now,
                    Event::Request { request, class, tenant, time_left, work_hint, client_retry },
                );
            }
            Message::FirstByte { request, attempt } => {
                let instance = self.instance()?;
                let request = instance.request_id(request, false);
                instance.handle(now, Event::FirstByte { request, attempt });
            }
            Message::Returned(r) => {
                let instance = self.instance()?;
                let request = instance.request_id(r.request, false);
                let endpoint = instance.endpoint_id(r.endpoint);
                let report = codec::parse_report(r.report, &instance.report_fields)?;
                let (attempt, finished, outcome, latency) = (r.attempt, r.finished, r.outcome, r.latency);
                let event = Event::Outcome { request, attempt, endpoint, finished, outcome, latency, report };
                instance.handle(now, event);
                instance.update_request(request, true, finished);
            }
            Message::Withdrawn(request) => {
                let instance = self.instance()?;
                let request = instance.request_id(request, false);
                instance.handle(now, Event::ClientDisconnected(request));
                instance.update_request(request, false, true);
            }
            Message::Elapsed(context) => {
                let timer = codec::parse_timer(context)?;
                self.instance()?.handle(now, Event::Timer(timer));
            }
            Message::Pong { endpoint, outcome, latency, report } => {
                let instance = self.instance()?;
                let endpoint = instance.endpoint_id(endpoint);
                let report = codec::parse_report(report, &instance.report_fields)?;
                instance.handle(now, Event::Probed { endpoint, outcome, latency, report });
            }
            Message::Memo => {
                // Ignored, but it must be for an instance that runs.
                self.instance()?;
            }
        }
        Ok(())
    }

    /// Passes an endpoint list to the current instance; without a scope, tells it that its call to discovery failed.
    fn deliver_list(&mut self, scope: Option<ListScope>, list_id: Option<usize>) -> Result<(), String> {
        let now = self.now;
        let Some(scope) = scope else {
            self.instance()?.handle(now, Event::DiscoveryFailed);
            return Ok(());
        };
        let list_id = list_id.ok_or("set-id is missing")?;
        // Taken out while the instance is borrowed, and put back below: other instances get the same list.
        let items = self.lists.remove(&list_id).ok_or_else(|| format!("list {list_id} is not known"))?;
        let instance = self.instance()?;
        let mut entries = Vec::with_capacity(items.len());
        for item in &items {
            let endpoint = instance.endpoint_id(&item.name);
            let ListItem { cell, zone, started, state, weight, .. } = *item;
            entries.push(EndpointEntry { endpoint, key: item.key, cell, zone, started, state, weight });
        }
        instance.handle(now, Event::EndpointList { scope, entries });
        self.lists.insert(list_id, items);
        Ok(())
    }

    /// Writes the reply to a batch: the lines of each instance that has any.
    fn write_reply(&mut self, batch: &str, output: &mut impl Write) -> std::io::Result<()> {
        for (id, instance) in &mut self.instances {
            if !instance.reply.is_empty() {
                writeln!(output, "INSTANCE {id}")?;
                output.write_all(&instance.reply)?;
                instance.reply.clear();
            }
        }
        writeln!(output, "YIELD {batch}")?;
        output.flush()
    }
}

/// Replies to batches until the input ends. An end of input within a batch is an error.
pub fn run(mut input: impl BufRead, output: impl Write) -> Result<(), ProtocolError> {
    let mut output = std::io::BufWriter::with_capacity(1 << 16, output);
    let mut host = Host::default();
    let mut batch: Option<String> = None;
    let mut text = String::new();
    let mut line_number = 0;
    loop {
        let error = |message: String| ProtocolError { line: line_number + 1, message };
        text.clear();
        if input.read_line(&mut text).map_err(|e| error(format!("cannot be read: {e}")))? == 0 {
            return match batch {
                None => Ok(()),
                Some(_) => Err(error("the input ends within a batch".into())),
            };
        }
        line_number += 1;
        let error = |message: String| ProtocolError { line: line_number, message };
        let Some(line) = text.strip_suffix('\n') else { return Err(error("the line is cut off".into())) };
        if batch.is_some()
            && let Some((list_id, remaining)) = host.incoming_list
        {
            let item = codec::parse_item(line).map_err(error)?;
            host.lists.entry(list_id).or_default().push(item);
            host.incoming_list = Some((list_id, remaining - 1)).filter(|_| remaining > 1);
            continue;
        }
        if batch.is_none() && line.is_empty() {
            continue;
        }
        match (codec::parse(line).map_err(error)?, &batch) {
            (Message::Mark { now, batch: id }, None) => {
                host.now = now;
                host.current = None;
                batch = Some(id.to_owned());
            }
            (Message::Mark { .. }, Some(_)) => return Err(error("a batch begins within a batch".into())),
            (_, None) => return Err(error("a batch must begin with MARK".into())),
            (Message::End, Some(id)) => {
                host.write_reply(id, &mut output)
                    .map_err(|e| error(format!("the reply cannot be written: {e}")))?;
                batch = None;
            }
            (message, Some(_)) => host.handle_message(message).map_err(error)?,
        }
    }
}
