//! Stub discovery and stub endpoints. They implement the platform's protocol as far as a fleet needs it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Maximum length of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// Reads an HTTP message with its body as text, and returns `None` at the end of the connection. Bytes after the
/// message stay in `buffer`.
pub async fn read_message<S: AsyncRead + Unpin>(
    stream: &mut S,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<String>> {
    loop {
        if let Some(head) = buffer.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4) {
            let text = String::from_utf8_lossy(&buffer[..head]).to_ascii_lowercase();
            let length = text.split("content-length:").nth(1).and_then(|rest| rest.lines().next());
            let length = length.and_then(|length| length.trim().parse::<usize>().ok()).unwrap_or(0);
            if head + length > MAX_MESSAGE_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if buffer.len() >= head + length {
                let message: Vec<u8> = buffer.drain(..head + length).collect();
                return Ok(Some(String::from_utf8_lossy(&message).into_owned()));
            }
        }
        if buffer.len() > MAX_MESSAGE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// Listens at `ip` on a port that the system picks, and sends each request a 200 response with the body from `respond`.
async fn serve<F, A>(ip: Ipv4Addr, respond: F) -> io::Result<SocketAddr>
where
    F: Fn(String) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = String> + Send,
{
    let listener = TcpListener::bind((ip, 0)).await?;
    let at = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let respond = respond.clone();
            tokio::spawn(async move {
                let mut buffer = Vec::new();
                let _ = stream.set_nodelay(true);
                while let Ok(Some(request)) = read_message(&mut stream, &mut buffer).await {
                    let body = respond(request).await;
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    if stream.write_all((head + &body).as_bytes()).await.is_err() {
                        break;
                    }
                }
            });
        }
    });
    Ok(at)
}

/// Stub endpoints and the stub discovery that lists them.
pub struct StubEndpoints {
    /// Address of the stub discovery.
    pub discovery: SocketAddr,
    /// Number of requests that the endpoints received.
    pub received: Arc<AtomicU64>,
    /// Arrival time and endpoint index of each request since this list was last taken.
    pub arrivals: Arc<Mutex<Vec<(Instant, usize)>>>,
    /// Current and peak number of concurrent requests.
    pub open: Arc<OpenRequests>,
}

/// Current and peak number of concurrent requests.
#[derive(Debug, Default)]
pub struct OpenRequests {
    now: AtomicU64,
    /// Peak number of concurrent requests.
    pub peak: AtomicU64,
}

impl OpenRequests {
    fn begin(&self) {
        let now = self.now.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(now, Ordering::SeqCst);
    }
}

impl StubEndpoints {
    /// Starts `count` endpoints, each of which takes the time `work` for a request.
    pub async fn start(
        ip: Ipv4Addr,
        count: usize,
        zones: &[String],
        work: Duration,
    ) -> io::Result<StubEndpoints> {
        let received = Arc::new(AtomicU64::new(0));
        let (arrivals, open) =
            (Arc::<Mutex<Vec<(Instant, usize)>>>::default(), Arc::<OpenRequests>::default());
        let mut entries = Vec::new();
        for i in 0..count {
            let counted = (received.clone(), arrivals.clone(), open.clone());
            let at = serve(ip, move |request| {
                let (counted, arrivals, open) = counted.clone();
                async move {
                    if request.starts_with("GET /metrics/load") || request.starts_with("GET /alive") {
                        return r#"{"inflight":1,"queue":0}"#.to_owned();
                    }
                    counted.fetch_add(1, Ordering::Relaxed);
                    arrivals.lock().unwrap_or_else(PoisonError::into_inner).push((Instant::now(), i));
                    open.begin();
                    tokio::time::sleep(work).await;
                    // Counted down before the response is sent: afterwards, a client could start its next request while
                    // this one still counts.
                    open.now.fetch_sub(1, Ordering::SeqCst);
                    "ok".to_owned()
                }
            })
            .await?;
            entries.push(endpoint_entry(i, at, &zones[i % zones.len()]));
        }
        let discovery = serve_list(ip, entries).await?;
        Ok(StubEndpoints { discovery, received, arrivals, open })
    }
}

/// Starts a stub discovery with a constant list of endpoints and their zones, and returns its address.
pub async fn stub_discovery(ip: Ipv4Addr, endpoints: &[(SocketAddr, String)]) -> io::Result<SocketAddr> {
    let entries = endpoints.iter().enumerate().map(|(i, (at, zone))| endpoint_entry(i, *at, zone)).collect();
    serve_list(ip, entries).await
}

fn endpoint_entry(i: usize, at: SocketAddr, zone: &str) -> String {
    format!(r#"{{"name":"s-{i}","address":"{at}","zone":"{zone}","status":"up","weight":1.0,"since_ms":0}}"#)
}

async fn serve_list(ip: Ipv4Addr, entries: Vec<String>) -> io::Result<SocketAddr> {
    let list = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
    serve(ip, move |request| {
        let list = list.clone();
        async move {
            // A long poll is held open for the requested time, as the list never changes.
            let hold = request.split("hold_ms=").nth(1).map(|rest| {
                rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0)
            });
            match hold {
                None => list,
                Some(hold) => {
                    tokio::time::sleep(Duration::from_millis(hold.min(60_000u64))).await;
                    r#"{"index":1,"snapshot":false,"endpoints":[]}"#.to_owned()
                }
            }
        }
    })
    .await
}
