//! Stub endpoints and stub discovery services on a thread of their own. An endpoint either responds itself or calls the
//! next sidecar of a chain.

use crate::load::{header, request_head};
use cometcroft_platform::{Platform, RetryingStream, Tokio};
use cometcroft_rig::{read_message, stub_discovery};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// A request to the next sidecar that has no response within this time has failed.
const NEXT_HOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Configuration of the stubs.
#[derive(Debug, Clone)]
pub struct StubOptions {
    /// IP address that all stubs listen on.
    pub ip: Ipv4Addr,
    /// Zone of the endpoints in the discovery services' lists.
    pub zone: String,
    /// Number of endpoints; each has its own discovery service that lists only this endpoint.
    pub count: usize,
    /// Time that the last endpoint takes for a request.
    pub service_time: Duration,
    /// Address of the sidecar that each endpoint calls; the last endpoint calls none.
    pub next_hops: Vec<SocketAddr>,
}

/// Counters of the last endpoint.
#[derive(Debug, Default)]
pub struct EndpointStats {
    /// Number of requests received.
    pub requests: AtomicU64,
    /// Shortest remaining deadline of a request, in microseconds.
    min_deadline_us: AtomicU64,
    /// Longest remaining deadline of a request, in microseconds.
    max_deadline_us: AtomicU64,
}

impl EndpointStats {
    fn record(&self, deadline_us: u64) {
        if self.requests.fetch_add(1, Ordering::SeqCst) == 0 {
            self.min_deadline_us.store(u64::MAX, Ordering::SeqCst);
        }
        self.min_deadline_us.fetch_min(deadline_us, Ordering::SeqCst);
        self.max_deadline_us.fetch_max(deadline_us, Ordering::SeqCst);
    }

    /// Shortest and longest remaining deadline of a request, in microseconds; `None` before the first request.
    pub fn remaining_deadline_us(&self) -> Option<(u64, u64)> {
        let any = self.requests.load(Ordering::SeqCst) > 0;
        any.then(|| {
            (self.min_deadline_us.load(Ordering::SeqCst), self.max_deadline_us.load(Ordering::SeqCst))
        })
    }
}

/// Running stubs; dropping this stops them.
pub struct Stubs {
    /// Address of each endpoint.
    pub endpoints: Vec<SocketAddr>,
    /// Address of each endpoint's discovery service.
    pub discoveries: Vec<SocketAddr>,
    /// Counters of the last endpoint, which responds itself.
    pub last_endpoint: Arc<EndpointStats>,
    _stop: oneshot::Sender<()>,
}

/// Addresses of the endpoints and of their discovery services.
type Addresses = (Vec<SocketAddr>, Vec<SocketAddr>);

impl Stubs {
    /// Starts the stubs and waits until they listen.
    pub fn start(options: StubOptions) -> io::Result<Stubs> {
        let (stop, stopped) = oneshot::channel();
        let (started, addresses) = mpsc::channel();
        let last_endpoint = Arc::new(EndpointStats::default());
        let stats = last_endpoint.clone();
        // The thread ends when the `Stubs` are dropped.
        std::thread::spawn(move || {
            let failure = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => {
                    LocalSet::new().block_on(&runtime, run(options, stats, &started, stopped)).err()
                }
                Err(error) => Some(error),
            };
            if let Some(error) = failure {
                let _ = started.send(Err(error));
            }
        });
        let (endpoints, discoveries) = addresses
            .recv()
            .map_err(|_| io::Error::other("the stub thread ended before the stubs listened"))??;
        Ok(Stubs { endpoints, discoveries, last_endpoint, _stop: stop })
    }
}

async fn run(
    options: StubOptions,
    stats: Arc<EndpointStats>,
    started: &mpsc::Sender<io::Result<Addresses>>,
    stopped: oneshot::Receiver<()>,
) -> io::Result<()> {
    let mut addresses = Addresses::default();
    for index in 0..options.count {
        let next_hop = options.next_hops.get(index).map(|target| Rc::new(NextHop::new(*target)));
        let role = match next_hop {
            Some(next_hop) => Role::Forwards(next_hop),
            None => Role::Responds(options.service_time, stats.clone()),
        };
        let listener = TcpListener::bind((options.ip, 0)).await?;
        let address = listener.local_addr()?;
        Tokio.detach(accept(listener, Rc::new(role)));
        addresses.0.push(address);
        addresses.1.push(stub_discovery(options.ip, &[(address, options.zone.clone())]).await?);
    }
    // The send fails only if `Stubs::start` no longer waits for the addresses.
    let _ = started.send(Ok(addresses));
    let _ = stopped.await;
    Ok(())
}

/// What an endpoint does with a request.
enum Role {
    /// Counts it and responds after this service time.
    Responds(Duration, Arc<EndpointStats>),
    /// Calls the next sidecar and returns the status of its response.
    Forwards(Rc<NextHop>),
}

async fn accept(listener: TcpListener, role: Rc<Role>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let role = role.clone();
                Tokio.detach(async move {
                    // An error on a connection ends only that connection's task.
                    let _ = serve(stream, &role).await;
                });
            }
            Err(_) => Tokio.sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn serve(mut stream: TcpStream, role: &Role) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut unread = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut unread).await? {
        let status = respond(&request, role).await;
        let body = r#"{"inflight":1,"queue":0}"#;
        let head = format!("HTTP/1.1 {status} Answered\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + body).as_bytes()).await?;
    }
    Ok(())
}

async fn respond(request: &str, role: &Role) -> u16 {
    if !request.starts_with("GET /plan/") {
        return 200;
    }
    let received_at = Instant::now();
    let head = request.to_ascii_lowercase();
    let deadline_us =
        header(&head, "x-budget").and_then(|value| value.strip_suffix('u')?.parse().ok()).unwrap_or(0);
    match role {
        Role::Responds(service_time, stats) => {
            stats.record(deadline_us);
            // The runtime's timer takes a millisecond even for a duration of zero.
            if !service_time.is_zero() {
                Tokio.sleep(*service_time).await;
            }
            200
        }
        Role::Forwards(next_hop) => {
            let id = head.split(['/', ' ']).nth(3).and_then(|id| id.parse().ok()).unwrap_or(0);
            let remaining = Duration::from_micros(deadline_us).saturating_sub(received_at.elapsed());
            let status = Tokio.timeout(NEXT_HOP_TIMEOUT, next_hop.send(id, remaining)).await;
            // Like a real service, the endpoint fails when its own request to the next hop fails.
            status.ok().and_then(Result::ok).unwrap_or(502)
        }
    }
}

/// The sidecar that an endpoint calls, with its idle connections.
struct NextHop {
    target: SocketAddr,
    idle: RefCell<Vec<RetryingStream<TcpStream>>>,
    /// Number of requests sent so far, which makes the id of each one unique.
    sent: Cell<u64>,
}

impl NextHop {
    fn new(target: SocketAddr) -> NextHop {
        NextHop { target, idle: RefCell::default(), sent: Cell::new(0) }
    }

    async fn send(&self, id: u64, deadline: Duration) -> io::Result<u16> {
        let idle = self.idle.borrow_mut().pop();
        let mut stream = match idle {
            Some(stream) => stream,
            None => {
                let stream = Tokio.connect(self.target).await?;
                stream.get_ref().set_nodelay(true)?;
                stream
            }
        };
        // A retry may arrive while the earlier attempt is still in progress at the next sidecar, and ids of requests in
        // progress must differ.
        self.sent.set(self.sent.get() + 1);
        let id = id ^ (self.sent.get() << 32);
        stream.write_all(request_head(id, deadline).as_bytes()).await?;
        let response = read_message(&mut stream, &mut Vec::new()).await?;
        let head = response.ok_or(io::ErrorKind::UnexpectedEof)?.to_ascii_lowercase();
        if header(&head, "connection") != Some("close") {
            self.idle.borrow_mut().push(stream);
        }
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        status.ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}
