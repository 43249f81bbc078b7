//! Processes of the real program among hollow members: started as the rig starts them, read from outside, and ended by
//! their ids also if this process dies.

use crate::coordinator::{address, zone_name};
use crate::error::Error;
use crate::member::{BUDGET, LEASE, budget_size, member_name};
use crate::options::RealOptions;
use crate::process_stats::{processor_time_of, resident_memory_of};
use crate::protocol::FleetSettings;
use crate::report::RealReport;
use crate::spread::Spread;
use cometcroft_rig::{Guard, Process, StubEndpoints, free_addresses, sidecar_settings};
use serde_json::json;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};

/// Descriptors that a sidecar may plan with.
const SOCKETS: u32 = 128;
const MEMORY_MB: u32 = 64;
/// What a backend server takes for a request; none is ever sent here.
const WORK: Duration = Duration::from_millis(5);
const KIB: f64 = 1024.0;

/// Real sidecars that run.
pub struct RealSidecars {
    sidecars: Vec<RealSidecar>,
    /// Holds the stand-ins for discovery and one backend server.
    _runtime: Runtime,
    _files: Files,
}

struct RealSidecar {
    process: Process,
    rest_began: Option<(Instant, Duration)>,
    /// Processor time a second in rest, and resident bytes at its end.
    measured: Option<(f64, u64)>,
}

/// A folder that goes with the run.
struct Files(PathBuf);

impl Drop for Files {
    fn drop(&mut self) {
        // Left in the system's temporary folder if it can't be removed.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl RealSidecars {
    /// Starts the members of these places.
    pub fn start(
        options: &RealOptions,
        places: &[usize],
        zones: usize,
        fleet: &FleetSettings,
    ) -> Result<RealSidecars, Error> {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let zones: Vec<String> = (0..zones).map(zone_name).collect();
        // Beyond the hosts that members have.
        let backends = Ipv4Addr::from(u32::from(address(0)) | 0xff);
        let backends = runtime.block_on(StubEndpoints::start(backends, 1, &zones, WORK))?;
        let files = Files(std::env::temp_dir().join(format!("cometcroft-hollow-{}", std::process::id())));
        let guard = Guard::start()?;
        let mut sidecars = Vec::new();
        for &place in places {
            let folder = files.0.join(place.to_string());
            let process = start(options, place, &zones, fleet, backends.discovery, &folder, &guard)
                .map_err(|source| Error::Real { sidecar: place, source })?;
            sidecars.push(RealSidecar { process, rest_began: None, measured: None });
        }
        Ok(RealSidecars { sidecars, _runtime: runtime, _files: files })
    }

    /// Measures from now on.
    pub fn begin_rest(&mut self) {
        for sidecar in &mut self.sidecars {
            sidecar.rest_began = processor_time_of(sidecar.process.id()).map(|used| (now(), used));
        }
    }

    /// Measures up to now.
    pub fn end_rest(&mut self) {
        for sidecar in &mut self.sidecars {
            sidecar.measured = sidecar.measure();
        }
    }

    /// What was measured.
    pub fn report(&self) -> RealReport {
        let measured: Vec<(f64, u64)> = self.sidecars.iter().filter_map(|it| it.measured).collect();
        RealReport {
            processes: measured.len(),
            ended: self.sidecars.len() - measured.len(),
            processor_ms_per_second: Spread::of(measured.iter().map(|(rate, _)| rate * 1000.0)),
            kilobytes: Spread::of(measured.iter().map(|(_, bytes)| *bytes as f64 / KIB)),
        }
    }
}

impl RealSidecar {
    fn measure(&mut self) -> Option<(f64, u64)> {
        if self.process.exit_status().is_some() {
            return None;
        }
        let (began, before) = self.rest_began?;
        let id = self.process.id();
        let used = processor_time_of(id)?.saturating_sub(before);
        let seconds = now().saturating_duration_since(began).as_secs_f64().max(0.001);
        Some((used.as_secs_f64() / seconds, resident_memory_of(id)?))
    }
}

fn now() -> Instant {
    use cometcroft_platform::{Platform, Tokio};
    Tokio.now()
}

fn start(
    options: &RealOptions,
    place: usize,
    zones: &[String],
    fleet: &FleetSettings,
    discovery: SocketAddr,
    folder: &Path,
    guard: &Guard,
) -> io::Result<Process> {
    std::fs::create_dir_all(folder)?;
    let ip = address(place);
    let [bind, listen, ops] = free_ports(ip)?;
    let config = json!({
        "name": member_name(place), "listen": listen.to_string(), "ops": ops.to_string(),
        "discovery": discovery.to_string(), "seed": format!("{place:016x}"),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, "known": null,
        "settings": sidecar_settings(zones, place % zones.len(), place, fleet.members),
    });
    let (config_file, operator_file) = (folder.join("config.json"), folder.join("operator.toml"));
    std::fs::write(&config_file, config.to_string())?;
    std::fs::write(&operator_file, operator_text(bind, fleet))?;
    let mut command = Command::new(&options.program);
    command.arg("--operator").arg(&operator_file).env_clear().env("LB_CONFIG", &config_file);
    command.stdout(Stdio::null()).stderr(Stdio::null());
    Process::start(&mut command, guard)
}

/// The operator's file that makes a real sidecar a member of a hollow fleet.
pub fn operator_text(bind: SocketAddrV4, fleet: &FleetSettings) -> String {
    let list = |addresses: &[SocketAddrV4]| {
        addresses.iter().map(|address| format!("\"{address}\"")).collect::<Vec<_>>().join(", ")
    };
    let (seeds, voters) = (list(&fleet.seeds), list(&fleet.voters));
    let (name, lease, rate) = (&fleet.name, LEASE.as_millis(), budget_size(fleet) as f64 / 1000.0);
    format!(
        "[fleet]\nname = \"{name}\"\nbind = \"{bind}\"\nseeds = [{seeds}]\n\
         [budget]\nkeepers = [{voters}]\nlease = \"{lease}ms\"\n\
         [[budget.whole]]\nuse = \"{BUDGET}\"\nrate = {rate:?}\nburst = {rate:?}\n\
         [plan]\nkeepers = [{voters}]\n"
    )
}

/// Three addresses of an IP address that nobody else uses, each with a port that the system picks.
fn free_ports(ip: Ipv4Addr) -> io::Result<[SocketAddrV4; 3]> {
    let free: Vec<SocketAddrV4> = free_addresses(ip, 3)?.into_iter().filter_map(v4).collect();
    free.try_into().map_err(|_| io::ErrorKind::AddrNotAvailable.into())
}

fn v4(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    }
}

#[cfg(test)]
mod tests;
