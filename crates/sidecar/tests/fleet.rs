//! Several processes of the program with faults between them: every shipped script, the same that the emulator plays.
#![allow(clippy::disallowed_methods)]
mod common;

use cometcroft_rig::{Options, RigReport, run};
use cometcroft_script::{Plan, SHIPPED, Script};
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Fleets played side by side, each with five processes or a few more.
const SIDE_BY_SIDE: usize = 12;

fn options() -> Options {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_cometcroft"));
    Options { program, logs: None, backends: 3, until: None }
}

fn play(name: &str, seed: u64) -> RigReport {
    let script = Script::find(name).expect("a shipped script");
    let plan = Plan::draw(&script, seed, None);
    run(&plan, &options(), &mut |_, _, _| {}).expect("the rig runs")
}

#[test]
fn no_shipped_script_breaks_a_rule_on_real_processes() {
    let (next, wrong) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..SIDE_BY_SIDE {
            scope.spawn(|| {
                while let Some((name, _)) = SHIPPED.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let report = play(name, 1);
                    let mut found: Vec<String> = report.broken.iter().map(ToString::to_string).collect();
                    found.extend(report.crashed.clone());
                    if report.equal_s.is_none() {
                        found.push("views never became equal and true".to_owned());
                    }
                    if report.requests.served == 0 {
                        found.push(format!("nothing was served: {:?}", report.requests));
                    }
                    println!(
                        "{name}: {:.1} s, known {:?}, equal {:?}, {:?}",
                        report.seconds, report.known_s, report.equal_s, report.requests
                    );
                    let mut wrong = wrong.lock().expect("nobody panicked");
                    wrong.extend(found.into_iter().map(|what| format!("{name}: {what}")));
                }
            });
        }
    });
    let wrong = wrong.into_inner().expect("nobody panicked");
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// How many datagram sockets a process holds, as the system tells.
fn datagram_sockets(pid: u32) -> usize {
    let table = std::fs::read_to_string(format!("/proc/{pid}/net/udp")).expect("the table");
    let inodes: Vec<&str> = table.lines().skip(1).filter_map(|l| l.split_whitespace().nth(9)).collect();
    let held = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors");
    held.filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok())
        .filter(|to| {
            let to = to.to_string_lossy();
            let inode = to.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']'));
            inode.is_some_and(|inode| inodes.contains(&inode))
        })
        .count()
}

#[test]
fn without_the_operators_file_there_is_no_datagram_socket_and_no_answer_about_a_fleet() {
    use std::io::{Read, Write};
    let folder = std::env::temp_dir().join(format!("cometcroft-off-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    for fleet in [false, true] {
        let [listen, ops, bind] = common::program::sidecar_addresses(1)[0];
        let (config, operator) = (folder.join("config.json"), folder.join("operator.toml"));
        let text = common::config_json(&listen.to_string(), "127.0.0.1:9", "null");
        std::fs::write(&config, text).expect("written");
        let member =
            if fleet { format!("[fleet]\nname = \"f\"\nbind = \"{bind}\"\n") } else { String::new() };
        std::fs::write(&operator, member).expect("written");
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_cometcroft"))
            .arg("--operator")
            .arg(&operator)
            .env("LB_CONFIG", &config)
            .env("LB_OPS", ops.to_string())
            .stderr(std::process::Stdio::null())
            .spawn()
            .expect("it starts");
        let began = std::time::Instant::now();
        let answer = loop {
            let mut answer = String::new();
            if let Ok(mut door) = std::net::TcpStream::connect(ops)
                && door.write_all(b"GET /ops/fleet HTTP/1.1\r\nHost: h\r\n\r\n").is_ok()
                && door.read_to_string(&mut answer).is_ok()
                && !answer.is_empty()
            {
                break answer;
            }
            assert!(began.elapsed() < std::time::Duration::from_secs(20), "the door answers");
            std::thread::sleep(std::time::Duration::from_millis(20));
        };
        let sockets = datagram_sockets(child.id());
        // A fleet alone has no plan.
        let mut plan = String::new();
        let mut door = std::net::TcpStream::connect(ops).expect("the door");
        door.write_all(b"GET /ops/plan HTTP/1.1\r\nHost: h\r\n\r\n").expect("asked");
        door.read_to_string(&mut plan).expect("answered");
        assert!(plan.starts_with("HTTP/1.1 404"), "{plan}");
        child.kill().expect("it is there");
        child.wait().expect("it ends");
        assert_eq!(sockets, usize::from(fleet), "{answer}");
        assert_eq!(answer.starts_with("HTTP/1.1 200"), fleet, "{answer}");
        assert_eq!(answer.starts_with("HTTP/1.1 404"), !fleet, "{answer}");
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_bad_operators_file_ends_the_program_with_one_line_that_names_the_field() {
    let file = std::env::temp_dir().join(format!("cometcroft-bad-{}.toml", std::process::id()));
    std::fs::write(&file, "[fleet]\nname = \"f\"\nbnd = \"127.0.0.1:1\"\n").expect("written");
    let check = std::process::Command::new(env!("CARGO_BIN_EXE_cometcroft"))
        .arg("check")
        .arg(&file)
        .output()
        .expect("it runs");
    let _ = std::fs::remove_file(&file);
    let told = String::from_utf8_lossy(&check.stderr).into_owned();
    assert_eq!(check.status.code(), Some(2));
    assert_eq!(told.lines().count(), 1, "{told}");
    assert!(told.contains(":3:1: bnd: unknown field") && told.contains("did you mean \"bind\"?"), "{told}");
}
