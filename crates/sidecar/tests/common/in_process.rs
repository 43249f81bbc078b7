//! A whole sidecar on loopback: its clients, endpoint servers and discovery are a few lines each, played by the test
//! itself, step by step.

use super::program::unchanged_response;
use cometcroft_platform::{Listener, LocalTask, Platform, RetryingStream, Stream, Tokio};
use cometcroft_sidecar::Resources;
use cometcroft_sidecar::config::Config;
use cometcroft_sidecar::counters::Counters;
use cometcroft_sidecar::lifecycle::Lifecycle;
use cometcroft_sidecar::reload::ConfigReloader;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// The daemon's platform, but for connections that come up only when the test lets them.
#[derive(Clone, Default)]
pub struct GatedPlatform(pub Rc<ConnectGates>);

/// Where connections wait, and how many do.
#[derive(Default)]
pub struct ConnectGates {
    shut: RefCell<HashSet<SocketAddr>>,
    waits: Notify,
    opened: Notify,
    /// So many of the next connections are gone when they are accepted.
    pub failing_accepts: Cell<u32>,
}

impl ConnectGates {
    /// From now on connections to this place wait.
    pub fn block(&self, at: SocketAddr) {
        self.shut.borrow_mut().insert(at);
    }

    /// Until here; those that wait come up.
    pub fn unblock(&self, at: SocketAddr) {
        self.shut.borrow_mut().remove(&at);
        self.opened.notify_waiters();
    }

    /// A connection waits.
    pub async fn wait_until_blocked(&self) {
        self.waits.notified().await;
    }
}

/// A connection that must send small writes at once: what the system holds back goes with a reset.
#[derive(Debug)]
pub struct NodelayStream(RetryingStream<TcpStream>, Cell<bool>);

impl Stream for NodelayStream {
    fn set_nodelay(&self) -> io::Result<()> {
        self.1.set(true);
        Stream::set_nodelay(&self.0)
    }

    fn is_idle(&self) -> bool {
        self.0.is_idle()
    }

    fn is_read_closed(&self) -> bool {
        self.0.is_read_closed()
    }
}

impl AsyncRead for NodelayStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buffer)
    }
}

impl AsyncWrite for NodelayStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        assert!(self.1.get(), "a connection is written to that may hold small writes back");
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// A listener for those.
pub struct GatedListener(TcpListener, Rc<ConnectGates>);

impl Listener for GatedListener {
    type Stream = NodelayStream;
    async fn accept(&self) -> io::Result<NodelayStream> {
        if self.1.failing_accepts.get() > 0 {
            self.1.failing_accepts.set(self.1.failing_accepts.get() - 1);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(NodelayStream(self.0.accept().await?.0.into(), Cell::new(false)))
    }
}

impl Platform for GatedPlatform {
    type Stream = NodelayStream;
    type Listener = GatedListener;
    type Datagrams = UdpSocket;
    type Task = LocalTask;

    fn now(&self) -> Instant {
        Tokio.now()
    }

    fn unix(&self) -> Duration {
        Tokio.unix()
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> + 'static {
        Tokio.sleep_until(at)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> LocalTask {
        Tokio.spawn(task)
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<NodelayStream> {
        while self.0.shut.borrow().contains(&to) {
            let opened = self.0.opened.notified();
            self.0.waits.notify_one();
            opened.await;
        }
        Ok(NodelayStream(Tokio.connect(to).await?, Cell::new(false)))
    }

    async fn connect_from(&self, from: IpAddr, to: SocketAddr) -> io::Result<NodelayStream> {
        Ok(NodelayStream(Tokio.connect_from(from, to).await?, Cell::new(false)))
    }
}

/// A connection's other side, as text.
pub struct TestConnection(pub TcpStream);

impl TestConnection {
    pub async fn to(sidecar: &Sidecar) -> TestConnection {
        TestConnection(TcpStream::connect(&sidecar.address).await.expect("it listens"))
    }

    pub async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("it reads");
    }

    /// One message with its body, or what there was of it at the end.
    pub async fn receive(&mut self) -> String {
        let mut text = String::new();
        loop {
            if let Some(at) = text.find("\r\n\r\n") {
                let length = text.split("Content-Length: ").nth(1).and_then(|l| l.lines().next());
                if text.len() >= at + 4 + length.map_or(0, |l| l.parse().expect("a length")) {
                    return text;
                }
            }
            let mut bytes = [0; 4096];
            match self.0.read(&mut bytes).await {
                Ok(n @ 1..) => text.push_str(&String::from_utf8_lossy(&bytes[..n])),
                _ => return text,
            }
        }
    }

    /// Ends with a reset, whatever was sent or lies unread.
    pub fn reset(self) {
        socket2::SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).expect("a socket");
    }

    /// How it task: `Ok` after an orderly end, with what came before it.
    pub async fn read_to_end(&mut self) -> io::Result<String> {
        let mut text = Vec::new();
        self.0.read_to_end(&mut text).await?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

pub struct Sidecar {
    pub address: String,
    pub endpoint: TcpListener,
    pub discovery: TcpListener,
    pub reloader: Rc<ConfigReloader>,
    pub settings: cometcroft::Settings,
    pub counters: Rc<Counters>,
    pub lifecycle: Rc<Lifecycle<GatedPlatform>>,
    pub gates: Rc<ConnectGates>,
    pub ops: String,
    pub task: JoinHandle<io::Result<()>>,
}

impl Sidecar {
    /// Where its one endpoint server listens.
    pub fn endpoint_address(&self) -> SocketAddr {
        self.endpoint.local_addr().expect("bound")
    }
}

/// Starts a sidecar that knows one endpoint server and plays a story with it.
pub fn with_sidecar<F: Future<Output = ()>>(told: impl FnOnce(Sidecar) -> F) {
    with_sidecar_config(|text| text, told);
}

/// The same once discovery, which has no news, has confirmed the list.
pub fn with_confirmed_sidecar<F: Future<Output = ()>>(told: impl FnOnce(Sidecar) -> F) {
    with_confirmed_sidecar_config(|text| text, told);
}

/// The same with another configuration.
pub fn with_confirmed_sidecar_config<F: Future<Output = ()>>(
    change: impl FnOnce(String) -> String,
    told: impl FnOnce(Sidecar) -> F,
) {
    with_sidecar_config(change, |sidecar| async {
        let discovery = confirm_all_calls(&sidecar);
        while !sidecar.lifecycle.query(|state, now| state.is_ready(now)) {
            Tokio.sleep(Duration::from_millis(2)).await;
        }
        told(sidecar).await;
        discovery.abort();
    });
}

/// The same with another configuration.
pub fn with_sidecar_config<F: Future<Output = ()>>(
    change: impl FnOnce(String) -> String,
    told: impl FnOnce(Sidecar) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let any = || TcpListener::bind("127.0.0.1:0");
        let (endpoint, discovery) = (any().await.expect("a port"), any().await.expect("a port"));
        let (listener, door) = (any().await.expect("a port"), any().await.expect("a port"));
        let at = |listener: &TcpListener| listener.local_addr().expect("an address").to_string();
        let known = format!(
            r#"{{"index":1,"snapshot":true,"endpoints":[{{"name":"s","address":"{}","zone":"a","status":"up"}}]}}"#,
            at(&endpoint)
        );
        let text = change(super::config_json(&at(&listener), &at(&discovery), &known));
        let config = Config::parse(&text, |_| None).expect("a configuration");
        let counters = Rc::new(Counters::default());
        let platform = GatedPlatform::default();
        let lifecycle = Rc::new(Lifecycle::new(platform.clone(), config.max_deadline(), false));
        let (address, ops, reloader) = (at(&listener), at(&door), ConfigReloader::new(&config));
        let parts = Resources {
            listener: GatedListener(listener, platform.0.clone()),
            ops: Some(GatedListener(door, Rc::default())),
            reloader: reloader.clone(),
            lifecycle: lifecycle.clone(),
            counters: counters.clone(),
            fleet: None,
        };
        let (settings, gates) = (config.settings.clone(), platform.0.clone());
        let task = spawn_local(cometcroft_sidecar::run(platform, config, parts));
        let told =
            told(Sidecar { address, ops, endpoint, discovery, reloader, settings, counters, lifecycle, gates, task });
        Tokio.timeout(Duration::from_secs(30), told).await.expect("the story ends");
    });
}

pub async fn accept(listener: &TcpListener) -> TestConnection {
    TestConnection(listener.accept().await.expect("a connection").0)
}

/// The connection of a watch that goes on: discovery has answered the first call, that there is no news, and the next is read.
pub async fn open_watch(sidecar: &Sidecar) -> TestConnection {
    let mut discovery = accept(&sidecar.discovery).await;
    discovery.receive().await;
    discovery.send(&unchanged_response()).await;
    discovery.receive().await;
    discovery
}

/// Answers each call to discovery after a moment: nothing has changed.
pub fn confirm_all_calls(sidecar: &Sidecar) -> JoinHandle<()> {
    let address = sidecar.discovery.local_addr().expect("bound");
    let discovery = socket2::SockRef::from(&sidecar.discovery).try_clone().expect("a socket");
    let discovery = TcpListener::from_std(discovery.into()).expect("a listener");
    assert_eq!(discovery.local_addr().expect("bound"), address);
    spawn_local(async move {
        loop {
            let mut peer = accept(&discovery).await;
            while !peer.receive().await.is_empty() {
                Tokio.sleep(Duration::from_millis(100)).await;
                peer.send(&unchanged_response()).await;
            }
        }
    })
}

/// A row of it: the one endpoint server.
pub fn endpoint_entry(sidecar: &Sidecar, status: &str) -> String {
    format!(r#"{{"name":"s","address":"{}","zone":"a","status":"{status}"}}"#, sidecar.endpoint_address())
}

/// Settings of a customer to whose sidecars lists are pushed.
pub fn with_pushed_lists(text: String) -> String {
    text.replace("\"subscribe\"", "\"automatic\"")
}

/// Connections to endpoint servers may take 9 s.
pub fn with_slow_connects(text: String) -> String {
    text.replace("\"dial-timeout-ns\":200000000", "\"dial-timeout-ns\":9000000000")
}

/// Whether a request of a class that may be repeated still gets to the endpoint server.
pub async fn is_served(sidecar: &Sidecar) -> bool {
    let before = sidecar.counters.dispatches.get();
    let mut client = TestConnection::to(sidecar).await;
    client.send(PLAN_REQUEST).await;
    let answered = tokio::select! {
        answer = client.receive() => answer,
        mut server = accept(&sidecar.endpoint) => {
            server.receive().await;
            server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
            client.receive().await
        }
    };
    assert!(sidecar.counters.dispatches.get() > before || answered.starts_with("HTTP/1.1 503"), "{answered}");
    answered.starts_with("HTTP/1.1 200")
}

/// A connection that was just used rests before it is used again.
pub async fn wait_until_reusable() {
    Tokio.sleep(Duration::from_millis(50)).await;
}

pub const PLAN_REQUEST: &str = "GET /plan/1 HTTP/1.1\r\nHost: h\r\nX-Call-Id: 1\r\nX-Budget: 30000m\r\n\r\n";
pub const BOOK_REQUEST: &str =
    "POST /book HTTP/1.1\r\nX-Call-Id: 2\r\nX-Budget: 30000m\r\nContent-Length: 2\r\n\r\nhi";
