//! Starts the real sidecars of a measurement, each in front of one endpoint.

use crate::error::Error;
use cometcroft_rig::{Guard, Process, sidecar_settings};
use serde_json::json;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Maximum time from start until a sidecar is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
const SOCKET_LIMIT: u32 = 512;
const MEMORY_LIMIT_MB: u32 = 192;

/// Running sidecars; dropping this stops them.
pub struct Sidecars {
    _processes: Vec<Process>,
    _directory: TempDir,
}

/// Directory of configuration files, which is removed on drop.
struct TempDir(PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        // If it cannot be removed, it stays in the system's temporary directory.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Two loopback addresses for this process: one for its sidecars and one for its stubs.
///
/// Each process takes its own pair because a port that was found free is unbound until its sidecar listens on it, and
/// another process on the same address could bind it in between.
pub fn loopback_addresses() -> [Ipv4Addr; 2] {
    const BLOCKS: u32 = 20 * 250;
    let block = std::process::id().wrapping_mul(31) % BLOCKS;
    [1, 2].map(|host| Ipv4Addr::new(127, (80 + block / 250) as u8, (block % 250) as u8, host))
}

impl Sidecars {
    /// Starts one sidecar for each listen address, each with its own discovery service, and waits until all are ready.
    pub fn start(
        program: &Path,
        zone: &str,
        listen: &[SocketAddr],
        discoveries: &[SocketAddr],
    ) -> Result<Sidecars, Error> {
        let directory =
            TempDir(std::env::temp_dir().join(format!("cometcroft-latency-{}", std::process::id())));
        std::fs::create_dir_all(&directory.0)?;
        let guard = Guard::start()?;
        let mut processes = Vec::new();
        for (index, (listen, discovery)) in listen.iter().zip(discoveries).enumerate() {
            let config = json!({
                "name": format!("n{index}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
                "seed": format!("{index:016x}"), "known": null,
                "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT},
                "settings": sidecar_settings(&[zone.to_owned()], 0, 0, 1),
            });
            let file = directory.0.join(format!("{index}.json"));
            std::fs::write(&file, config.to_string())?;
            let mut command = Command::new(program);
            command.env_clear().env("LB_CONFIG", &file).stdout(Stdio::null()).stderr(Stdio::null());
            processes.push(Process::start(&mut command, &guard)?);
        }
        for (sidecar, (listen, process)) in listen.iter().zip(&mut processes).enumerate() {
            wait_until_ready(sidecar, *listen, process)?;
        }
        Ok(Sidecars { _processes: processes, _directory: directory })
    }
}

fn wait_until_ready(sidecar: usize, listen: SocketAddr, process: &mut Process) -> Result<(), Error> {
    let give_up_at = Instant::now() + READY_TIMEOUT;
    while Instant::now() < give_up_at {
        if let Some(status) = process.exit_status() {
            return Err(Error::Exited { sidecar, status });
        }
        if is_ready(listen).unwrap_or(false) {
            return Ok(());
        }
        std::thread::sleep(READY_POLL_INTERVAL);
    }
    Err(Error::NotReady { sidecar, seconds: READY_TIMEOUT.as_secs() })
}

fn is_ready(listen: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(b"GET /up HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")?;
    let mut status_line = [0; 12];
    stream.read_exact(&mut status_line)?;
    Ok(&status_line == b"HTTP/1.1 200")
}
