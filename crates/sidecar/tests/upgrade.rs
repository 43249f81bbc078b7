//! Two processes of the program on one listening socket: the new one takes over under load, and one that can't start
//! leaves the old one serving.
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
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// A message's head and what its length says; `None` at the end.
fn hear(stream: &mut TcpStream) -> Option<String> {
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

/// Answers every message with what `answer` makes of it.
fn serve(listener: TcpListener, answer: impl Fn(&str) -> String + Send + Sync + 'static) {
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                while let Some(asked) = hear(&mut stream) {
                    let body = answer(&asked);
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    if stream.write_all((head + &body).as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
}

fn program(config: &std::path::Path, socket: i32, ops: SocketAddr) -> Child {
    Command::new(env!("CARGO_BIN_EXE_cometcroft"))
        .env("LB_CONFIG", config)
        .env("LB_SOCKET_FD", socket.to_string())
        .env("LB_OPS", ops.to_string())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts")
}

fn ready(ops: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(ops) else { return false };
    let asked = stream.write_all(b"GET /ops/readiness HTTP/1.1\r\n\r\n");
    asked.is_ok() && hear(&mut stream).is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < Duration::from_secs(10), "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn end(child: Child) -> Output {
    let kill = format!("kill -TERM {}", child.id());
    assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    child.wait_with_output().expect("it ends")
}

/// A client that keeps its connection as long as it may, and counts: answered, answered otherwise, and requests that met
/// a connection which had been closed.
fn client(to: SocketAddr, number: usize, stop: &AtomicBool) -> [usize; 3] {
    let (mut counts, mut kept) = ([0; 3], None);
    for turn in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let asked = format!(
            "GET /plan/1 HTTP/1.1\r\nHost: h\r\nX-Call-Id: {number}-{turn}\r\nX-Budget: 2000m\r\n\r\n"
        );
        let mut stream = kept.take().unwrap_or_else(|| TcpStream::connect(to).expect("somebody listens"));
        let answer = stream.write_all(asked.as_bytes()).ok().and_then(|()| hear(&mut stream));
        match &answer {
            Some(answer) if answer.starts_with("HTTP/1.1 200") => counts[0] += 1,
            Some(_) => counts[1] += 1,
            None => counts[2] += 1,
        }
        kept = answer.filter(|answer| !answer.contains("Connection: close")).map(|_| stream);
        std::thread::sleep(Duration::from_millis(2));
    }
    counts
}

#[test]
fn a_new_version_takes_over_under_load_and_one_that_can_not_start_changes_nothing() {
    let ((backend, at), (discovery, told)) = (listen(), listen());
    serve(backend, |_| "ok".to_owned());
    let list = format!(
        r#"{{"index":1,"snapshot":true,"endpoints":[{{"name":"s","address":"{at}","zone":"a","status":"up"}}]}}"#
    );
    serve(discovery, move |asked| {
        // A watch waits; nothing ever changes.
        if asked.contains("hold_ms=") {
            std::thread::sleep(Duration::from_secs(3));
        }
        list.clone()
    });
    let (socket, clients) = listen();
    socket2::SockRef::from(&socket).set_cloexec(false).expect("a flag");
    let path = std::env::temp_dir().join(format!("cometcroft-upgrade-{}.json", std::process::id()));
    std::fs::write(&path, common::config_json(&clients.to_string(), &told.to_string(), "null"))
        .expect("a file");
    let (one, two) = (listen().1, listen().1);
    let old = program(&path, socket.as_raw_fd(), one);
    until("the first one is ready", || ready(one));

    // None that may be inherited, none that is open, and one that listens to nobody.
    let deaf = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket2::SockRef::from(&deaf).set_cloexec(false).expect("a flag");
    for bad in [1, 987, deaf.as_raw_fd()] {
        let output = program(&path, bad, two).wait_with_output().expect("it ends");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), said.lines().count()), (Some(2), 1), "{said}");
        assert!(said.contains("LB_SOCKET_FD"), "{said}");
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
    let new = program(&path, socket.as_raw_fd(), two);
    until("the second one is ready", || ready(two));
    let output = end(old);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    std::thread::sleep(Duration::from_millis(200));
    stop.store(true, Ordering::Relaxed);
    let counts: Vec<_> = load.into_iter().map(|client| client.join().expect("no panic")).collect();
    let sum = |what: usize| counts.iter().map(|counts| counts[what]).sum::<usize>();
    assert!(sum(0) > 100, "{counts:?}");
    assert_eq!((sum(1), sum(2)), (0, 0), "none refused, and none met a closed connection: {counts:?}");
    let output = end(new);
    assert!(output.status.success());
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(!said.contains("\"served\":0,"), "the second one has served: {said}");
    std::fs::remove_file(&path).expect("a file");
}
