//! Latency through a chain of real sidecars: each forwards requests to a stub endpoint, which calls the next sidecar.

use crate::error::Error;
use crate::load::{Load, run_load};
use crate::report::{ChainReport, Percentiles};
use crate::sidecar::{Sidecars, loopback_addresses};
use crate::stub::{StubOptions, Stubs};
use cometcroft_rig::free_addresses;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::Duration;

const ZONE: &str = "z0";
const THREADS: u64 = 32;

/// Parameters of a measurement of a chain.
#[derive(Debug, Clone)]
pub struct ChainOptions {
    /// Name of the case in the report.
    pub case: &'static str,
    /// Path of the sidecar's executable.
    pub program: PathBuf,
    /// Number of sidecars in the chain.
    pub depth: usize,
    /// Requests per second.
    pub rate: f64,
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Deadline that the client sends with each request.
    pub deadline: Duration,
    /// Time that the last endpoint takes for a request.
    pub service_time: Duration,
}

/// Measures requests through a chain of sidecars.
pub fn measure_chain(options: &ChainOptions) -> Result<ChainReport, Error> {
    let [sidecar_ip, ip] = loopback_addresses();
    let listen = free_addresses(sidecar_ip, options.depth)?;
    let stub_options = StubOptions {
        ip,
        zone: ZONE.to_owned(),
        count: options.depth,
        service_time: options.service_time,
        next_hops: listen[1..].to_vec(),
    };
    let stubs = Stubs::start(stub_options)?;
    let _sidecars = Sidecars::start(&options.program, ZONE, &listen, &stubs.discoveries)?;
    let requests = (options.rate * options.seconds).ceil() as u64;
    let (rate, deadline) = (options.rate, options.deadline);
    let load = Load { target: listen[0], rate, requests, threads: THREADS, deadline, first_id: 0 };
    let outcome = run_load(&load)?;
    let attempts = stubs.last_endpoint.requests.load(Ordering::SeqCst);
    Ok(ChainReport {
        case: options.case,
        depth: options.depth,
        rate,
        deadline_us: deadline.as_micros() as u64,
        service_time_us: options.service_time.as_micros() as u64,
        served: Percentiles::of(&outcome.latency),
        response_time: Percentiles::of(&outcome.response_time),
        rejected: outcome.rejected,
        failed: outcome.failed,
        past_deadline: outcome.past_deadline,
        attempts_per_request: attempts as f64 / requests.max(1) as f64,
        remaining_deadline_us: stubs.last_endpoint.remaining_deadline_us(),
        send_delay: Percentiles::of(&outcome.send_delay),
    })
}
