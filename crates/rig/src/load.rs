//! The load: an open loop of requests on each member, each on a connection of its own, and what becomes of them.

use crate::standin::hear;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// What became of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Outcomes {
    /// Answered with 200.
    pub served: u64,
    /// Answered with 503.
    pub denied: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// The connection could not be opened, or the request met the end of its process.
    pub unmet: u64,
    /// Never answered although the process lived and ran all the time.
    pub lost: u64,
}

impl std::fmt::Display for Outcomes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Outcomes { served, denied, failed, unmet, lost } = self;
        write!(f, "{served} served, {denied} denied, {failed} failed, {unmet} unmet, {lost} lost")
    }
}

/// How one request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// 200.
    Served,
    /// 503.
    Denied,
    /// Another answer.
    Failed,
    /// Nobody listened.
    Unmet,
    /// No whole answer in time.
    Lost,
}

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// One request: `GET /plan/N`, whose client waits for 2 s, of a tenant if one is named.
pub async fn request(to: SocketAddr, tenant: Option<&str>) -> Ended {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let connected = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(to)).await;
    let Ok(Ok(mut stream)) = connected else { return Ended::Unmet };
    let caller = tenant.map(|tenant| format!("X-Caller: {tenant}\r\n")).unwrap_or_default();
    let asked = format!(
        "GET /plan/{number} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {number:016x}\r\nX-Budget: 2000m\r\n{caller}Connection: close\r\n\r\n"
    );
    let answered = async {
        stream.write_all(asked.as_bytes()).await.ok()?;
        hear(&mut stream, &mut Vec::new()).await.ok().flatten()
    };
    // Far beyond the budget: an answer that is late as the machine is busy is not lost.
    match tokio::time::timeout(Duration::from_secs(8), answered).await {
        Ok(Some(answer)) if answer.starts_with("HTTP/1.1 200") => Ended::Served,
        Ok(Some(answer)) if answer.starts_with("HTTP/1.1 503") => Ended::Denied,
        Ok(Some(_)) => Ended::Failed,
        _ => Ended::Lost,
    }
}
