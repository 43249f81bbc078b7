//! Stand-in services on a thread of their own: each answers by itself, or calls the next sidecar of a chain.

use crate::load::{header, request};
use cometcroft_platform::{Platform, RetryingStream, Tokio};
use cometcroft_rig::{discovery, hear};
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

/// A call to the next sidecar that is not answered by then has failed.
const PATIENCE: Duration = Duration::from_secs(10);

/// What the stand-ins are to be.
#[derive(Debug, Clone)]
pub struct Services {
    /// Where they listen.
    pub ip: Ipv4Addr,
    /// The zone that discovery says they are in.
    pub zone: String,
    /// How many; each has a discovery of its own that names it alone.
    pub count: usize,
    /// How long the last one takes for a request.
    pub work: Duration,
    /// Where the sidecar after each service listens; the last has none.
    pub next: Vec<SocketAddr>,
}

/// What the last service saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Requests.
    pub requests: AtomicU64,
    /// The least that was left of a budget, in microseconds, and the most.
    least: AtomicU64,
    most: AtomicU64,
}

impl Seen {
    fn request(&self, budget: u64) {
        if self.requests.fetch_add(1, Ordering::SeqCst) == 0 {
            self.least.store(u64::MAX, Ordering::SeqCst);
        }
        self.least.fetch_min(budget, Ordering::SeqCst);
        self.most.fetch_max(budget, Ordering::SeqCst);
    }

    /// The least and the most that was left of a budget.
    pub fn budgets(&self) -> Option<(u64, u64)> {
        let any = self.requests.load(Ordering::SeqCst) > 0;
        any.then(|| (self.least.load(Ordering::SeqCst), self.most.load(Ordering::SeqCst)))
    }
}

/// Stand-ins that run until this is dropped.
pub struct World {
    /// Where each service answers.
    pub services: Vec<SocketAddr>,
    /// Where each one's discovery does.
    pub discoveries: Vec<SocketAddr>,
    /// What the last service saw.
    pub seen: Arc<Seen>,
    _stop: oneshot::Sender<()>,
}

/// Where services and their discoveries answer.
type Places = (Vec<SocketAddr>, Vec<SocketAddr>);

impl World {
    /// Starts the stand-ins.
    pub fn start(services: Services) -> io::Result<World> {
        let (stop, stopped) = oneshot::channel();
        let (told, places) = mpsc::channel();
        let seen = Arc::new(Seen::default());
        let counted = seen.clone();
        // Ends when the world is dropped.
        std::thread::spawn(move || {
            let failed = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => {
                    LocalSet::new().block_on(&runtime, run(services, counted, &told, stopped)).err()
                }
                Err(error) => Some(error),
            };
            if let Some(error) = failed {
                let _ = told.send(Err(error));
            }
        });
        let (services, discoveries) =
            places.recv().map_err(|_| io::Error::other("the stand-ins ended at once"))??;
        Ok(World { services, discoveries, seen, _stop: stop })
    }
}

async fn run(
    services: Services,
    seen: Arc<Seen>,
    told: &mpsc::Sender<io::Result<Places>>,
    stopped: oneshot::Receiver<()>,
) -> io::Result<()> {
    let mut places = Places::default();
    for place in 0..services.count {
        let next = services.next.get(place).map(|next| Rc::new(Next::new(*next)));
        let role = match next {
            Some(next) => Role::Forwards(next),
            None => Role::Answers(services.work, seen.clone()),
        };
        let listener = TcpListener::bind((services.ip, 0)).await?;
        let at = listener.local_addr()?;
        Tokio.detach(accept(listener, Rc::new(role)));
        places.0.push(at);
        places.1.push(discovery(services.ip, &[(at, services.zone.clone())]).await?);
    }
    // Nobody listens only if the world was given up.
    let _ = told.send(Ok(places));
    let _ = stopped.await;
    Ok(())
}

/// What a service does with a request.
enum Role {
    /// Answers after so long.
    Answers(Duration, Arc<Seen>),
    /// Calls the next sidecar and passes its answer on.
    Forwards(Rc<Next>),
}

async fn accept(listener: TcpListener, role: Rc<Role>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let role = role.clone();
                Tokio.detach(async move {
                    // A connection that breaks off ends its task alone.
                    let _ = serve(stream, &role).await;
                });
            }
            Err(_) => Tokio.sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn serve(mut stream: TcpStream, role: &Role) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut kept = Vec::new();
    while let Some(asked) = hear(&mut stream, &mut kept).await? {
        let status = answer(&asked, role).await;
        let body = r#"{"inflight":1,"queue":0}"#;
        let head = format!("HTTP/1.1 {status} Answered\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + body).as_bytes()).await?;
    }
    Ok(())
}

async fn answer(asked: &str, role: &Role) -> u16 {
    if !asked.starts_with("GET /plan/") {
        return 200;
    }
    let came = Instant::now();
    let head = asked.to_ascii_lowercase();
    let budget =
        header(&head, "x-budget").and_then(|value| value.strip_suffix('u')?.parse().ok()).unwrap_or(0);
    match role {
        Role::Answers(work, seen) => {
            seen.request(budget);
            // The runtime's timer would take a millisecond for no time at all.
            if !work.is_zero() {
                Tokio.sleep(*work).await;
            }
            200
        }
        Role::Forwards(next) => {
            let number = head.split(['/', ' ']).nth(3).and_then(|number| number.parse().ok()).unwrap_or(0);
            let left = Duration::from_micros(budget).saturating_sub(came.elapsed());
            let called = Tokio.timeout(PATIENCE, next.call(number, left)).await;
            // As a service would: what it needs has failed, so it has.
            called.ok().and_then(Result::ok).unwrap_or(502)
        }
    }
}

/// The sidecar that a service calls, with connections that are kept.
struct Next {
    target: SocketAddr,
    idle: RefCell<Vec<RetryingStream<TcpStream>>>,
    /// Numbers of calls that are retried differ from the call's own.
    repeats: Cell<u64>,
}

impl Next {
    fn new(target: SocketAddr) -> Next {
        Next { target, idle: RefCell::default(), repeats: Cell::new(0) }
    }

    async fn call(&self, number: u64, budget: Duration) -> io::Result<u16> {
        let kept = self.idle.borrow_mut().pop();
        let mut stream = match kept {
            Some(stream) => stream,
            None => {
                let stream = Tokio.connect(self.target).await?;
                stream.get_ref().set_nodelay(true)?;
                stream
            }
        };
        // The attempt before may be open there still, and ids of open requests must differ.
        self.repeats.set(self.repeats.get() + 1);
        let number = number ^ (self.repeats.get() << 32);
        stream.write_all(request(number, budget).as_bytes()).await?;
        let answer = hear(&mut stream, &mut Vec::new()).await?;
        let head = answer.ok_or(io::ErrorKind::UnexpectedEof)?.to_ascii_lowercase();
        if header(&head, "connection") != Some("close") {
            self.idle.borrow_mut().push(stream);
        }
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        status.ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}
