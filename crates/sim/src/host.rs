//! Hosts the instances: each has its own balancer, its own interned ids and its own reply.

use crate::codec::{self, Field, ListItem, Message};
use cometcroft::*;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::io::{BufRead, Write};
use std::rc::Rc;

/// Why the process ends: the line and what was wrong with it.
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

/// A request's word, kept until it is finished and none of its attempts is out.
struct Word {
    word: Rc<str>,
    out: u32,
    finished: bool,
}

struct Instance {
    balancer: Balancer,
    fields: Vec<Field>,
    upstream_ids: HashMap<Rc<str>, EndpointId>,
    upstream_words: Vec<Rc<str>>,
    request_ids: HashMap<Rc<str>, RequestId>,
    requests: HashMap<RequestId, Word>,
    next_request: u64,
    actions: Vec<Action>,
    reply: Vec<u8>,
}

impl Instance {
    fn new(seed: u64, conf: &str) -> Result<Instance, String> {
        let (settings, fields) = codec::parse_settings(conf)?;
        let balancer = Balancer::new(settings, seed).map_err(|e| e.to_string())?;
        Ok(Instance {
            balancer,
            fields,
            upstream_ids: HashMap::new(),
            upstream_words: Vec::new(),
            request_ids: HashMap::new(),
            requests: HashMap::new(),
            next_request: 0,
            actions: Vec::new(),
            reply: Vec::new(),
        })
    }

    fn endpoint(&mut self, word: &str) -> EndpointId {
        if let Some(&id) = self.upstream_ids.get(word) {
            return id;
        }
        let (id, word): (_, Rc<str>) = (EndpointId(self.upstream_words.len() as u32), word.into());
        self.upstream_words.push(word.clone());
        self.upstream_ids.insert(word, id);
        id
    }

    /// The id of a request; one that is not known gets an id that nothing else has.
    fn request(&mut self, word: &str, keep: bool) -> RequestId {
        if let Some(&id) = self.request_ids.get(word) {
            return id;
        }
        let id = RequestId(self.next_request);
        self.next_request += 1;
        if keep {
            let word: Rc<str> = word.into();
            self.request_ids.insert(word.clone(), id);
            self.requests.insert(id, Word { word, out: 0, finished: false });
        }
        id
    }

    fn finish(&mut self, id: RequestId, returned: bool, finished: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.out = request.out.saturating_sub(u32::from(returned));
        request.finished |= finished;
        if request.finished && request.out == 0 {
            let word = request.word.clone();
            self.requests.remove(&id);
            self.request_ids.remove(&word);
        }
    }

    fn handle(&mut self, now: Time, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.write(action);
        }
        self.actions = actions;
    }

    fn write(&mut self, action: Action) {
        let written = match action {
            Action::Send { request, endpoint, timeout } => {
                let up = self.upstream_words.get(endpoint.0 as usize);
                let (Some(word), Some(up)) = (self.requests.get_mut(&request), up) else { return };
                word.out += 1;
                writeln!(self.reply, "FORWARD {} {} {up}", word.word, timeout.as_nanos())
            }
            Action::Reject { request, retry_after } => {
                let Some(word) = self.requests.get(&request) else { return };
                let wait = retry_after.unwrap_or_default().as_nanos();
                let written = writeln!(self.reply, "DECLINE {} {wait}", word.word);
                self.finish(request, false, true);
                written
            }
            Action::Fail(request) => {
                let Some(word) = self.requests.get(&request) else { return };
                let written = writeln!(self.reply, "END_FAILED {}", word.word);
                self.finish(request, false, true);
                written
            }
            Action::Cancel { request, attempt } => {
                let Some(word) = self.requests.get(&request) else { return };
                writeln!(self.reply, "UNDO_SEND {} {attempt}", word.word)
            }
            Action::SetTimer { after, timer } => {
                writeln!(self.reply, "SET_TIMER {} {}", after.as_nanos(), codec::write_timer(timer))
            }
            Action::Probe(endpoint) => match self.upstream_words.get(endpoint.0 as usize) {
                Some(word) => writeln!(self.reply, "INSPECT {word}"),
                None => return,
            },
            Action::CloseIdle(endpoint) => match self.upstream_words.get(endpoint.0 as usize) {
                Some(word) => writeln!(self.reply, "RELEASE {word}"),
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
    filling: Option<(usize, usize)>,
    current: Option<u32>,
    now: Time,
}

impl Host {
    fn instance(&mut self) -> Result<&mut Instance, String> {
        let who = self.current.ok_or("no instance is named")?;
        self.instances.get_mut(&who).ok_or_else(|| format!("instance {who} has not begun"))
    }

    fn line(&mut self, line: Message<'_>) -> Result<(), String> {
        let now = self.now;
        match line {
            Message::Mark { .. } | Message::End => unreachable!("taken by run"),
            Message::For(who) => self.current = Some(who),
            Message::Begin { seed, conf } => {
                let who = self.current.ok_or("no instance is named")?;
                let mut instance = Instance::new(seed, conf)?;
                instance.handle(now, Event::Start);
                self.instances.insert(who, instance);
            }
            Message::Exit => {
                self.instances.remove(&self.current.ok_or("no instance is named")?);
            }
            Message::Catalog { set, rows } => {
                self.lists.insert(set, Vec::with_capacity(rows.min(4096)));
                self.filling = Some((set, rows)).filter(|_| rows > 0);
            }
            Message::Fleet { scope, set } => self.fleet(scope, set)?,
            Message::Ask { rid, class, tenant, left, hint, repeat } => {
                let instance = self.instance()?;
                let request = instance.request(rid, true);
                let (class, tenant) = (ClassId(class), tenant.map(TenantId));
                instance.handle(
                    now,
                    Event::Request {
                        request,
                        class,
                        tenant,
                        time_left: left,
                        work_hint: hint,
                        client_retry: repeat,
                    },
                );
            }
            Message::FirstByte { rid, attempt } => {
                let instance = self.instance()?;
                let request = instance.request(rid, false);
                instance.handle(now, Event::FirstByte { request, attempt });
            }
            Message::Returned(r) => {
                let instance = self.instance()?;
                let request = instance.request(r.rid, false);
                let endpoint = instance.endpoint(r.endpoint);
                let report = codec::parse_report(r.load, &instance.fields)?;
                let (attempt, closed, outcome, latency) = (r.attempt, r.closed, r.outcome, r.latency);
                let event =
                    Event::Outcome { request, attempt, endpoint, finished: closed, outcome, latency, report };
                instance.handle(now, event);
                instance.finish(request, true, closed);
            }
            Message::Withdrawn(rid) => {
                let instance = self.instance()?;
                let request = instance.request(rid, false);
                instance.handle(now, Event::ClientDisconnected(request));
                instance.finish(request, false, true);
            }
            Message::Elapsed(ctx) => {
                let timer = codec::parse_timer(ctx)?;
                self.instance()?.handle(now, Event::Timer(timer));
            }
            Message::Pong { endpoint, outcome, latency, load } => {
                let instance = self.instance()?;
                let endpoint = instance.endpoint(endpoint);
                let report = codec::parse_report(load, &instance.fields)?;
                instance.handle(now, Event::Probed { endpoint, outcome, latency, report });
            }
            Message::Memo => {
                self.instance()?;
            }
        }
        Ok(())
    }

    fn fleet(&mut self, scope: Option<ListScope>, set: Option<usize>) -> Result<(), String> {
        let now = self.now;
        let Some(scope) = scope else {
            self.instance()?.handle(now, Event::DiscoveryFailed);
            return Ok(());
        };
        let set = set.ok_or("set-id is missing")?;
        let items = self.lists.remove(&set).ok_or_else(|| format!("list {set} is not known"))?;
        let instance = self.instance()?;
        let mut entries = Vec::with_capacity(items.len());
        for item in &items {
            let endpoint = instance.endpoint(&item.word);
            let ListItem { cell, zone, started, state, weight, .. } = *item;
            entries.push(EndpointEntry { endpoint, key: item.key, cell, zone, started, state, weight });
        }
        instance.handle(now, Event::EndpointList { scope, entries });
        self.lists.insert(set, items);
        Ok(())
    }

    fn reply(&mut self, batch: &str, output: &mut impl Write) -> std::io::Result<()> {
        for (who, instance) in &mut self.instances {
            if !instance.reply.is_empty() {
                writeln!(output, "INSTANCE {who}")?;
                output.write_all(&instance.reply)?;
                instance.reply.clear();
            }
        }
        writeln!(output, "YIELD {batch}")?;
        output.flush()
    }
}

/// Serves batches until the input ends; an end within a batch is a fault.
pub fn run(mut input: impl BufRead, output: impl Write) -> Result<(), ProtocolError> {
    let mut output = std::io::BufWriter::with_capacity(1 << 16, output);
    let mut host = Host::default();
    let mut batch: Option<String> = None;
    let mut text = String::new();
    let mut number = 0;
    loop {
        let fault = |message: String| ProtocolError { line: number + 1, message };
        text.clear();
        if input.read_line(&mut text).map_err(|e| fault(format!("cannot be read: {e}")))? == 0 {
            return match batch {
                None => Ok(()),
                Some(_) => Err(fault("the input ends within a batch".into())),
            };
        }
        number += 1;
        let fault = |message: String| ProtocolError { line: number, message };
        let Some(line) = text.strip_suffix('\n') else { return Err(fault("the line is cut off".into())) };
        if batch.is_some()
            && let Some((set, rows)) = host.filling
        {
            let item = codec::parse_item(line).map_err(fault)?;
            host.lists.entry(set).or_default().push(item);
            host.filling = Some((set, rows - 1)).filter(|_| rows > 1);
            continue;
        }
        if batch.is_none() && line.is_empty() {
            continue;
        }
        match (codec::parse(line).map_err(fault)?, &batch) {
            (Message::Mark { now, batch: id }, None) => {
                host.now = now;
                host.current = None;
                batch = Some(id.to_owned());
            }
            (Message::Mark { .. }, Some(_)) => return Err(fault("a batch begins within a batch".into())),
            (_, None) => return Err(fault("a batch must begin with MARK".into())),
            (Message::End, Some(id)) => {
                host.reply(id, &mut output)
                    .map_err(|e| fault(format!("the reply cannot be written: {e}")))?;
                batch = None;
            }
            (line, Some(_)) => host.line(line).map_err(fault)?,
        }
    }
}
