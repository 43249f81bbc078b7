//! The sidecar processes of a run: their configurations, their start, and SIGHUP with another address of discovery.

use crate::error::Error;
use crate::ids::SidecarId;
use crate::roster::ZONES;
use cometcroft_rig::{Guard, Process, free_addresses, sidecar_settings};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// A sidecar is ready within this.
const READY: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(20);
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
const SOCKETS: u32 = 512;
const MEMORY_MB: u32 = 192;

static RUNS: AtomicU32 = AtomicU32::new(0);

/// Loopback addresses of one run alone. Danger: a port that was found free for a sidecar is let go of until the sidecar
/// listens, so nothing else may listen at that address.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Where sidecars listen.
    pub sidecars: Ipv4Addr,
    /// Where discovery listens.
    pub discovery: Ipv4Addr,
    /// The first block of endpoints.
    pub endpoints: [u8; 2],
}

impl Addresses {
    /// Other ones for every run.
    pub fn pick() -> Addresses {
        const BLOCKS: u32 = 40 * 250;
        let run = RUNS.fetch_add(1, Ordering::SeqCst);
        let block = std::process::id().wrapping_mul(37).wrapping_add(run) % BLOCKS;
        let host = |host| Ipv4Addr::new(127, 110 + (block / 250) as u8, (block % 250) as u8, host);
        let endpoints = [160 + (block % 40) as u8, (block / 40 % 200) as u8];
        Addresses { sidecars: host(1), discovery: host(2), endpoints }
    }
}

/// What sidecars are started with.
#[derive(Debug)]
pub struct Plan<'a> {
    /// The program.
    pub program: &'a Path,
    /// Where they listen.
    pub ip: Ipv4Addr,
    /// The two addresses of discovery of each.
    pub discoveries: &'a [[SocketAddr; 2]],
    /// The grace in their settings.
    pub grace: Duration,
    /// They may probe endpoints.
    pub probes: bool,
    /// For their random numbers.
    pub seed: u64,
}

struct Sidecar {
    id: SidecarId,
    process: Process,
    listen: SocketAddr,
    file: PathBuf,
    config: Value,
    discoveries: [SocketAddr; 2],
    /// Which of them is in force.
    current: usize,
}

/// Sidecars that run until this is dropped.
pub struct Sidecars {
    sidecars: Vec<Sidecar>,
    _files: Files,
}

/// A folder that goes with the run.
struct Files(PathBuf);

impl Drop for Files {
    fn drop(&mut self) {
        // Left in the system's temporary folder if it can't be removed.
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl Sidecars {
    /// Starts all and waits until all serve.
    pub fn start(plan: &Plan<'_>) -> Result<Sidecars, Error> {
        let block = plan.ip.octets();
        let folder = format!("cometcroft-listfaults-{}-{}-{}", std::process::id(), block[1], block[2]);
        let files = Files(std::env::temp_dir().join(folder));
        fs::create_dir_all(&files.0)?;
        let guard = Guard::start()?;
        let mut sidecars = Vec::new();
        for (place, listen) in free_addresses(plan.ip, plan.discoveries.len())?.into_iter().enumerate() {
            sidecars.push(Sidecar::start(plan, SidecarId(place), listen, &files.0, &guard)?);
        }
        let mut sidecars = Sidecars { sidecars, _files: files };
        let until = Instant::now() + READY;
        for sidecar in &mut sidecars.sidecars {
            sidecar.wait_until_ready(until)?;
        }
        Ok(sidecars)
    }

    /// Where each listens.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.sidecars.iter().map(|sidecar| sidecar.listen).collect()
    }

    /// Moves one to its other address of discovery.
    pub fn move_discovery(&mut self, sidecar: SidecarId) -> io::Result<()> {
        self.sidecars.get_mut(sidecar.0).map_or(Ok(()), Sidecar::move_discovery)
    }

    /// Those that have ended.
    pub fn ended(&mut self) -> Vec<(SidecarId, ExitStatus)> {
        let ended = |sidecar: &mut Sidecar| sidecar.process.exit_status().map(|status| (sidecar.id, status));
        self.sidecars.iter_mut().filter_map(ended).collect()
    }

    /// The counters of all, added up.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        for sidecar in &self.sidecars {
            // One that does not answer is missing from the sums.
            for (name, count) in sidecar.counters().unwrap_or_default() {
                *sums.entry(name).or_default() += count;
            }
        }
        sums
    }
}

impl Sidecar {
    fn start(
        plan: &Plan<'_>,
        id: SidecarId,
        listen: SocketAddr,
        folder: &Path,
        guard: &Guard,
    ) -> Result<Sidecar, Error> {
        let discoveries = plan.discoveries[id.0];
        let config = config(plan, id, listen, discoveries[0]);
        let file = folder.join(format!("{}.json", id.0));
        fs::write(&file, config.to_string())?;
        let log = fs::File::create(folder.join(format!("{}.log", id.0)))?;
        let mut command = Command::new(plan.program);
        command.env_clear().env("LB_CONFIG", &file).stdout(Stdio::null()).stderr(log);
        let process = Process::start(&mut command, guard)?;
        Ok(Sidecar { id, process, listen, file, config, discoveries, current: 0 })
    }

    fn wait_until_ready(&mut self, until: Instant) -> Result<(), Error> {
        while Instant::now() < until {
            if let Some(status) = self.process.exit_status() {
                return Err(Error::Ended { sidecar: self.id, status });
            }
            if self.ask("/up").is_ok_and(|answer| answer.starts_with("HTTP/1.1 200")) {
                return Ok(());
            }
            std::thread::sleep(STEP);
        }
        Err(Error::NotReady { sidecar: self.id, seconds: READY.as_secs() })
    }

    fn move_discovery(&mut self) -> io::Result<()> {
        self.current = 1 - self.current;
        self.config["discovery"] = json!(self.discoveries[self.current].to_string());
        let new = self.file.with_extension("new");
        fs::write(&new, self.config.to_string())?;
        fs::rename(&new, &self.file)?;
        // Danger: the id of a process that was waited for may be another's by now.
        if self.process.exit_status().is_none()
            && let Some(pid) = Pid::from_raw(self.process.id() as i32)
        {
            kill_process(pid, Signal::HUP)?;
        }
        Ok(())
    }

    fn counters(&self) -> Option<BTreeMap<String, u64>> {
        let answer = self.ask("/counters").ok()?;
        let (_, body) = answer.split_once("\r\n\r\n")?;
        let counters: Value = serde_json::from_str(body).ok()?;
        let counters = counters.as_object()?.iter();
        Some(counters.filter_map(|(name, count)| Some((name.clone(), count.as_u64()?))).collect())
    }

    fn ask(&self, path: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.listen, ASK_TIMEOUT)?;
        stream.set_read_timeout(Some(ASK_TIMEOUT))?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }
}

fn config(plan: &Plan<'_>, id: SidecarId, listen: SocketAddr, discovery: SocketAddr) -> Value {
    let zones = ZONES.map(str::to_owned);
    let mut settings = sidecar_settings(&zones, id.0 % zones.len(), id.0, plan.discoveries.len());
    settings["contract"]["drain-grace-ns"] = json!(plan.grace.as_nanos() as u64);
    settings["policy-limits"]["probes"] = json!(plan.probes);
    json!({
        "name": id.to_string(), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:016x}", plan.seed.wrapping_add(id.0 as u64)), "known": null,
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "settings": settings,
    })
}
