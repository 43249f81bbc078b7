//! Fleets of real processes with injected faults: runs every shipped script, as the emulator does.
#![allow(clippy::disallowed_methods)]
mod common;

use cometcroft_rig::{Options, RigReport, run};
use cometcroft_script::{Plan, SHIPPED, Script};
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of fleets that run concurrently. Each has five or slightly more processes.
const CONCURRENT_FLEETS: usize = 12;

fn options() -> Options {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_cometcroft"));
    Options { program, logs: None, endpoints: 3, stop: None }
}

fn play(name: &str, seed: u64) -> RigReport {
    let script = Script::find(name).expect("a shipped script");
    let plan = Plan::draw(&script, seed, None);
    run(&plan, &options(), &mut |_, _, _| {}).expect("the rig runs")
}

#[test]
fn no_shipped_script_violates_an_invariant_on_real_processes() {
    let (next, failures) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_FLEETS {
            scope.spawn(|| {
                while let Some((name, _)) = SHIPPED.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let report = play(name, 1);
                    let mut violations: Vec<String> = report.broken.iter().map(ToString::to_string).collect();
                    violations.extend(report.crashed.clone());
                    if report.equal_s.is_none() {
                        violations.push("views did not converge".to_owned());
                    }
                    if report.requests.served == 0 {
                        violations.push(format!("no request was served: {:?}", report.requests));
                    }
                    println!(
                        "{name}: {:.1} s, known {:?}, equal {:?}, {:?}",
                        report.seconds, report.known_s, report.equal_s, report.requests
                    );
                    let mut failures = failures.lock().expect("no thread panicked");
                    failures.extend(violations.into_iter().map(|violation| format!("{name}: {violation}")));
                }
            });
        }
    });
    let failures = failures.into_inner().expect("no thread panicked");
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Number of datagram sockets that a process holds, according to /proc.
fn datagram_sockets(pid: u32) -> usize {
    let table = std::fs::read_to_string(format!("/proc/{pid}/net/udp")).expect("socket table");
    let inodes: Vec<&str> = table.lines().skip(1).filter_map(|l| l.split_whitespace().nth(9)).collect();
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("descriptors of the process");
    descriptors
        .filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok())
        .filter(|to| {
            let to = to.to_string_lossy();
            let inode = to.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']'));
            inode.is_some_and(|inode| inodes.contains(&inode))
        })
        .count()
}

#[test]
fn without_a_fleet_section_no_datagram_socket_is_open_and_ops_fleet_is_not_found() {
    use std::io::{Read, Write};
    let folder = std::env::temp_dir().join(format!("cometcroft-off-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("directory created");
    for fleet in [false, true] {
        let [listen, ops, bind] = common::program::sidecar_addresses(1)[0];
        let (config, operator) = (folder.join("config.json"), folder.join("operator.toml"));
        let text = common::config_json(&listen.to_string(), "127.0.0.1:9", "null");
        std::fs::write(&config, text).expect("written");
        let section =
            if fleet { format!("[fleet]\nname = \"f\"\nbind = \"{bind}\"\n") } else { String::new() };
        std::fs::write(&operator, section).expect("written");
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_cometcroft"))
            .arg("--operator")
            .arg(&operator)
            .env("LB_CONFIG", &config)
            .env("LB_OPS", ops.to_string())
            .stderr(std::process::Stdio::null())
            .spawn()
            .expect("process starts");
        let started = std::time::Instant::now();
        let response = loop {
            let mut response = String::new();
            if let Ok(mut connection) = std::net::TcpStream::connect(ops)
                && connection.write_all(b"GET /ops/fleet HTTP/1.1\r\nHost: h\r\n\r\n").is_ok()
                && connection.read_to_string(&mut response).is_ok()
                && !response.is_empty()
            {
                break response;
            }
            assert!(
                started.elapsed() < std::time::Duration::from_secs(20),
                "operations endpoint does not respond"
            );
            std::thread::sleep(std::time::Duration::from_millis(20));
        };
        let sockets = datagram_sockets(child.id());
        // A fleet section alone configures no plan.
        let mut plan = String::new();
        let mut connection = std::net::TcpStream::connect(ops).expect("operations endpoint");
        connection.write_all(b"GET /ops/plan HTTP/1.1\r\nHost: h\r\n\r\n").expect("request sent");
        connection.read_to_string(&mut plan).expect("response received");
        assert!(plan.starts_with("HTTP/1.1 404"), "{plan}");
        child.kill().expect("process runs");
        child.wait().expect("process ends");
        assert_eq!(sockets, usize::from(fleet), "{response}");
        assert_eq!(response.starts_with("HTTP/1.1 200"), fleet, "{response}");
        assert_eq!(response.starts_with("HTTP/1.1 404"), !fleet, "{response}");
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn an_invalid_operator_file_is_reported_in_one_line_that_names_the_field() {
    let file = std::env::temp_dir().join(format!("cometcroft-bad-{}.toml", std::process::id()));
    std::fs::write(&file, "[fleet]\nname = \"f\"\nbnd = \"127.0.0.1:1\"\n").expect("written");
    let check = std::process::Command::new(env!("CARGO_BIN_EXE_cometcroft"))
        .arg("check")
        .arg(&file)
        .output()
        .expect("program runs");
    let _ = std::fs::remove_file(&file);
    let error = String::from_utf8_lossy(&check.stderr).into_owned();
    assert_eq!(check.status.code(), Some(2));
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(
        error.contains(":3:1: bnd: unknown field") && error.contains("did you mean \"bind\"?"),
        "{error}"
    );
}
