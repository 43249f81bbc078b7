//! Latency that one sidecar adds: the same requests to the same endpoint, alternately direct and through the sidecar.

use crate::error::Error;
use crate::load::{Load, run_load};
use crate::report::AddedLatencyReport;
use crate::sidecar::{Sidecars, loopback_addresses};
use crate::stub::{StubOptions, Stubs};
use cometcroft_rig::free_addresses;
use std::path::PathBuf;
use std::time::Duration;

const ZONE: &str = "z0";
const DEADLINE: Duration = Duration::from_secs(2);
/// Enough that requests of a few milliseconds never wait for a thread.
const THREADS: u64 = 32;
/// Length of the warm-up before each measured phase, which opens the connections.
const WARM_UP_SECONDS: f64 = 1.0;

/// Parameters of a measurement of one sidecar.
#[derive(Debug, Clone)]
pub struct AddedLatencyOptions {
    /// Path of the sidecar's executable.
    pub program: PathBuf,
    /// Requests per second.
    pub rate: f64,
    /// Number of rounds, each with a direct phase and a phase through the sidecar.
    pub rounds: usize,
    /// Length of a phase in seconds.
    pub seconds: f64,
}

/// Measures the latency that a sidecar adds at a given request rate.
pub fn measure_added_latency(options: &AddedLatencyOptions) -> Result<AddedLatencyReport, Error> {
    let [sidecar_ip, ip] = loopback_addresses();
    let stub_options = StubOptions {
        ip,
        zone: ZONE.to_owned(),
        count: 1,
        service_time: Duration::ZERO,
        next_hops: Vec::new(),
    };
    let stubs = Stubs::start(stub_options)?;
    let listen = free_addresses(sidecar_ip, 1)?;
    let _sidecar = Sidecars::start(&options.program, ZONE, &listen, &stubs.discoveries)?;
    let mut first_id = 0;
    let mut run_phase = |target, seconds: f64| {
        let requests = (options.rate * seconds).ceil() as u64;
        let load =
            Load { target, rate: options.rate, requests, threads: THREADS, deadline: DEADLINE, first_id };
        first_id += requests;
        run_load(&load)
    };
    let mut rounds = Vec::new();
    for _ in 0..options.rounds {
        let mut measure = |target| {
            run_phase(target, WARM_UP_SECONDS)?;
            run_phase(target, options.seconds)
        };
        rounds.push([measure(stubs.endpoints[0])?, measure(listen[0])?]);
    }
    Ok(AddedLatencyReport::from_rounds(options.rate, &rounds)?)
}
