//! Requests of the load generator, each on its own connection, and their outcomes.

use crate::stubs::read_message;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Number of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Outcomes {
    /// Requests with a 200 response.
    pub served: u64,
    /// Requests that the sidecar rejected with 503.
    pub denied: u64,
    /// Requests with any other response.
    pub failed: u64,
    /// Requests whose connection could not be opened, or without a response from a process that a fault disturbed.
    pub unmet: u64,
    /// Requests without a response although the process was running undisturbed all the time.
    pub lost: u64,
}

impl std::fmt::Display for Outcomes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Outcomes { served, denied, failed, unmet, lost } = self;
        write!(f, "{served} served, {denied} denied, {failed} failed, {unmet} unmet, {lost} lost")
    }
}

/// Outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Response with status 200.
    Served,
    /// Response with status 503.
    Rejected,
    /// Response with any other status.
    Failed,
    /// The connection could not be opened.
    NotConnected,
    /// No complete response in time.
    Unanswered,
}

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Sends `GET /plan/N` with a budget of 2 s, for the given tenant if there is one.
pub async fn request(to: SocketAddr, tenant: Option<&str>) -> RequestOutcome {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let connected = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(to)).await;
    let Ok(Ok(mut stream)) = connected else { return RequestOutcome::NotConnected };
    let tenant_header = tenant.map(|tenant| format!("X-Caller: {tenant}\r\n")).unwrap_or_default();
    let head = format!(
        "GET /plan/{number} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {number:016x}\r\nX-Budget: 2000m\r\n{tenant_header}Connection: close\r\n\r\n"
    );
    let exchange = async {
        stream.write_all(head.as_bytes()).await.ok()?;
        read_message(&mut stream, &mut Vec::new()).await.ok().flatten()
    };
    // The timeout is far beyond the budget, so that a response delayed by a busy machine does not count as lost.
    match tokio::time::timeout(Duration::from_secs(8), exchange).await {
        Ok(Some(response)) if response.starts_with("HTTP/1.1 200") => RequestOutcome::Served,
        Ok(Some(response)) if response.starts_with("HTTP/1.1 503") => RequestOutcome::Rejected,
        Ok(Some(_)) => RequestOutcome::Failed,
        _ => RequestOutcome::Unanswered,
    }
}
