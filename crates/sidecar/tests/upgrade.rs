//! An upgrade with an inherited listening socket: a second process takes over under load, and one that cannot start leaves
//! the first one serving.
#![allow(clippy::disallowed_methods)]
mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("local address");
    (listener, address)
}

/// Reads a message with its body; `None` at the end of the connection.
fn read_message(stream: &mut TcpStream) -> Option<String> {
    let (mut text, mut byte) = (Vec::new(), [0; 1]);
    while !text.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => text.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8(text).ok()?;
    let length = head.split("Content-Length: ").nth(1).and_then(|rest| rest.lines().next());
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a length"))];
    stream.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

/// Answers every request with the body that `respond` makes of it.
fn serve(listener: TcpListener, respond: impl Fn(&str) -> String + Send + Sync + 'static) {
    let respond = Arc::new(respond);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let respond = respond.clone();
            std::thread::spawn(move || {
                while let Some(request) = read_message(&mut stream) {
                    let body = respond(&request);
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    if stream.write_all((head + &body).as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
}

/// Starts the program with an inherited socket.
fn start_program(config: &std::path::Path, socket: i32, ops: SocketAddr) -> Child {
    Command::new(env!("CARGO_BIN_EXE_cometcroft"))
        .env("LB_CONFIG", config)
        .env("LB_SOCKET_FD", socket.to_string())
        .env("LB_OPS", ops.to_string())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the program")
}

/// Whether the sidecar is ready, as its operations endpoint reports.
fn ready(ops: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(ops) else { return false };
    let written = stream.write_all(b"GET /ops/readiness HTTP/1.1\r\n\r\n");
    written.is_ok() && read_message(&mut stream).is_some_and(|response| response.starts_with("HTTP/1.1 200"))
}

/// Waits until this holds, for 10 s at most.
fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < Duration::from_secs(10), "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Ends a process by SIGTERM.
fn terminate(child: Child) -> Output {
    let kill = format!("kill -TERM {}", child.id());
    assert!(Command::new("sh").args(["-c", &kill]).status().expect("run a shell").success());
    child.wait_with_output().expect("wait for the end")
}

/// A client that keeps its connection as long as possible. Counts its requests: answered with 200, answered otherwise, and
/// sent on a connection that had been closed.
fn client(to: SocketAddr, number: usize, stop: &AtomicBool) -> [usize; 3] {
    let (mut counts, mut kept) = ([0; 3], None);
    for turn in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let request = format!(
            "GET /plan/1 HTTP/1.1\r\nHost: h\r\nX-Call-Id: {number}-{turn}\r\nX-Budget: 2000m\r\n\r\n"
        );
        let mut stream =
            kept.take().unwrap_or_else(|| TcpStream::connect(to).expect("connect to the sidecar"));
        let response = stream.write_all(request.as_bytes()).ok().and_then(|()| read_message(&mut stream));
        match &response {
            Some(response) if response.starts_with("HTTP/1.1 200") => counts[0] += 1,
            Some(_) => counts[1] += 1,
            None => counts[2] += 1,
        }
        kept = response.filter(|response| !response.contains("Connection: close")).map(|_| stream);
        std::thread::sleep(Duration::from_millis(2));
    }
    counts
}

#[test]
fn a_new_process_takes_over_under_load_and_one_that_cannot_start_changes_nothing() {
    let ((endpoint, endpoint_address), (discovery, discovery_address)) = (listen(), listen());
    serve(endpoint, |_| "ok".to_owned());
    let list = format!(
        r#"{{"index":1,"snapshot":true,"endpoints":[{{"name":"s","address":"{endpoint_address}","zone":"a","status":"up"}}]}}"#
    );
    serve(discovery, move |request| {
        // Long polls wait; the list never changes.
        if request.contains("hold_ms=") {
            std::thread::sleep(Duration::from_secs(3));
        }
        list.clone()
    });
    let (socket, clients) = listen();
    socket2::SockRef::from(&socket).set_cloexec(false).expect("clear close-on-exec");
    let path = std::env::temp_dir().join(format!("cometcroft-upgrade-{}.json", std::process::id()));
    std::fs::write(&path, common::config_json(&clients.to_string(), &discovery_address.to_string(), "null"))
        .expect("write a file");
    let (one, two) = (listen().1, listen().1);
    let old = start_program(&path, socket.as_raw_fd(), one);
    wait_until("the first process is ready", || ready(one));

    // Standard output, a descriptor that is not open, and a socket that does not listen.
    let not_listening = std::net::UdpSocket::bind("127.0.0.1:0").expect("bind a port");
    socket2::SockRef::from(&not_listening).set_cloexec(false).expect("clear close-on-exec");
    for bad in [1, 987, not_listening.as_raw_fd()] {
        let output = start_program(&path, bad, two).wait_with_output().expect("wait for the end");
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), error.lines().count()), (Some(2), 1), "{error}");
        assert!(error.contains("LB_SOCKET_FD"), "{error}");
    }
    assert!(ready(one));

    let stop = Arc::new(AtomicBool::new(false));
    let load: Vec<_> = (0..4)
        .map(|number| {
            let stop = stop.clone();
            std::thread::spawn(move || client(clients, number, &stop))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    let new = start_program(&path, socket.as_raw_fd(), two);
    wait_until("the second process is ready", || ready(two));
    let output = terminate(old);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    std::thread::sleep(Duration::from_millis(200));
    stop.store(true, Ordering::Relaxed);
    let counts: Vec<_> = load.into_iter().map(|client| client.join().expect("no panic")).collect();
    let sum = |what: usize| counts.iter().map(|counts| counts[what]).sum::<usize>();
    assert!(sum(0) > 100, "{counts:?}");
    assert_eq!((sum(1), sum(2)), (0, 0), "no request was rejected or met a closed connection: {counts:?}");
    let output = terminate(new);
    assert!(output.status.success());
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(!log.contains("\"served\":0,"), "the second process has served: {log}");
    std::fs::remove_file(&path).expect("remove the file");
}
