//! Whole processes: descriptors that run out, signals that cross, many that restart at once, a hand-over with requests owed.
#![allow(clippy::disallowed_methods)]
mod common;

use common::program::{NEXT_NUMBER, Process, list_json, sidecar_addresses, start_confirm_once};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// A message up to its blank line; empty where its sender has ended.
fn head(stream: &mut TcpStream) -> String {
    common::program::read_head(stream).unwrap_or_default()
}

fn connect(to: SocketAddr) -> TcpStream {
    let began = Instant::now();
    loop {
        match TcpStream::connect(to) {
            Ok(stream) => {
                stream.set_read_timeout(Some(20 * 1000 * MS)).expect("a socket");
                return stream;
            }
            Err(error) => assert!(began.elapsed() < 10 * 1000 * MS, "nobody listens: {error}"),
        }
        std::thread::sleep(10 * MS);
    }
}

fn request(stream: &mut TcpStream, line: &str) {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
    let text = format!("{line} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {number:x}\r\nX-Budget: 2900m\r\n");
    let body = if line.starts_with("POST") { "Content-Length: 2\r\n\r\nhi" } else { "\r\n" };
    stream.write_all((text + body).as_bytes()).expect("it reads");
}

fn ready(at: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(at) else { return false };
    stream.set_read_timeout(Some(1000 * MS)).expect("a socket");
    stream.write_all(b"GET /up HTTP/1.1\r\n\r\n").is_ok() && head(&mut stream).starts_with("HTTP/1.1 200")
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < 10 * 1000 * MS, "{what}");
        std::thread::sleep(10 * MS);
    }
}

/// A backend server that answers each request when told to, and tells of each that has come.
fn held() -> (SocketAddr, mpsc::Receiver<mpsc::Sender<()>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let (came, comes) = mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let came = came.clone();
            std::thread::spawn(move || {
                while !head(&mut stream).is_empty() {
                    let (go, goes) = mpsc::channel();
                    if came.send(go).is_err() || goes.recv().is_err() {
                        return;
                    }
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            });
        }
    });
    (at, comes)
}

/// Clients that say nothing, clients that have been served and operators fill all places while discovery is down: requests
/// are answered all the same, and discovery is found when it is back.
#[test]
fn idle_clients_fill_the_descriptors_while_discovery_is_down() {
    for descriptors in [64, 256] {
        let (server, _) = common::program::start_endpoint(Duration::ZERO, "", false);
        let [listen, ops, discovery] = sidecar_addresses(1)[0];
        let config =
            common::config_json(&listen.to_string(), &discovery.to_string(), &list_json(&[server], 1))
                .replace("\"sockets\":256", &format!("\"sockets\":{descriptors}"));
        let process = Process::start(&config, &[("LB_OPS", ops.to_string())], descriptors);
        start_confirm_once(discovery).join().expect("no panic");
        until("it is ready", || ready(listen));
        let mut idle = Vec::new();
        for number in 0..descriptors {
            let mut client = connect(listen);
            if number % 2 == 0 && client.write_all(b"GET /up HTTP/1.1\r\n\r\n").is_ok() {
                // One that was let go meanwhile hears nothing.
                head(&mut client);
            }
            idle.push(client);
            if number % 8 == 0 {
                idle.push(connect(ops));
            }
        }
        for _ in 0..20 {
            let mut client = connect(listen);
            request(&mut client, "GET /plan/1");
            assert!(head(&mut client).starts_with("HTTP/1.1 200"), "{descriptors} descriptors");
            idle.push(client);
        }
        let back = TcpListener::bind(discovery).expect("its address");
        back.set_nonblocking(true).expect("a socket");
        let returned = Instant::now();
        while back.accept().is_err() {
            assert!(returned.elapsed() < 6 * 1000 * MS, "discovery is back and is not asked");
            std::thread::sleep(5 * MS);
        }
        process.signal("TERM");
        let said = process.wait();
        let said = (said.status.success(), String::from_utf8_lossy(&said.stderr).into_owned());
        assert!(said.0 && said.1.contains("\"accept_failures\":0,"), "{said:?}");
    }
}

/// A second SIGTERM, SIGINT after it, SIGHUP before and after: what was taken is answered, and the process ends well.
#[test]
fn signals_in_any_order_lose_no_request() {
    let orders = [["TERM", "TERM"], ["TERM", "INT"], ["HUP", "TERM"], ["TERM", "HUP"]];
    let stories = orders.map(|order| {
        std::thread::spawn(move || {
            let (server, comes) = held();
            let discovery = common::program::start_discovery(vec![server]);
            let [listen, _, _] = sidecar_addresses(1)[0];
            let config =
                common::config_json(&listen.to_string(), &discovery.to_string(), &list_json(&[server], 1));
            let process = Process::start(&config, &[], 256);
            until("it is ready", || ready(listen));
            let (mut owed, mut half) = (connect(listen), connect(listen));
            request(&mut owed, "POST /book/1");
            half.write_all(b"POST /book/2 HTTP/1.1\r\nX-Call-Id: half\r\n").expect("it reads");
            let go = comes.recv().expect("a request");
            for signal in order {
                process.signal(signal);
                std::thread::sleep(100 * MS);
            }
            // The other half, while it is on its way out.
            half.write_all(b"X-Budget: 2000m\r\nContent-Length: 2\r\n\r\nhi").expect("it reads");
            let other = comes.recv().expect("the other request");
            for (go, client) in [(go, &mut owed), (other, &mut half)] {
                go.send(()).expect("it waits");
                assert!(head(client).starts_with("HTTP/1.1 200"), "{order:?}");
            }
            let output = process.wait();
            let said = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(output.status.success() && said.contains("\"served\":2,"), "{order:?}: {said}");
        })
    });
    for story in stories {
        story.join().expect("no panic");
    }
}

/// Thirty start at once with no list, and discovery serves calls in turn, 60 ms each, and turns away who waited for a second.
#[test]
fn nine_in_ten_of_thirty_that_restart_at_once_are_ready_in_time_though_discovery_is_swamped() {
    let (server, _) = common::program::start_endpoint(Duration::ZERO, "", false);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery = listener.local_addr().expect("bound");
    let (queue, calls) = mpsc::channel::<(TcpStream, Instant)>();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let queue = queue.clone();
            std::thread::spawn(move || {
                if head(&mut stream).contains("hold_ms=") {
                    std::thread::sleep(20 * 1000 * MS);
                }
                let _ = queue.send((stream, Instant::now()));
            });
        }
    });
    let whole = list_json(&[server], 1);
    std::thread::spawn(move || {
        for (mut stream, since) in calls {
            let late = since.elapsed() > 1000 * MS;
            let answer = if late {
                "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".to_owned()
            } else {
                std::thread::sleep(60 * MS);
                let length = whole.len();
                format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{whole}")
            };
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    let places = sidecar_addresses(30);
    let processes: Vec<Process> = places
        .iter()
        .map(|[listen, ..]| {
            Process::start(
                &common::config_json(&listen.to_string(), &discovery.to_string(), "null"),
                &[],
                256,
            )
        })
        .collect();
    let (began, mut up) = (Instant::now(), vec![false; processes.len()]);
    while began.elapsed() < 10 * 1000 * MS && up.iter().any(|up| !up) {
        for (up, [listen, ..]) in up.iter_mut().zip(&places) {
            *up |= ready(*listen);
        }
        std::thread::sleep(50 * MS);
    }
    assert!(up.iter().filter(|up| **up).count() >= 27, "{up:?}");
}

/// Two processes on one socket: the first answers what it owes and what comes on its connections, the second takes the rest.
#[test]
fn at_a_hand_over_each_answers_what_it_has_taken() {
    use std::os::fd::AsRawFd;
    let (server, comes) = held();
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    socket2::SockRef::from(&socket).set_cloexec(false).expect("a flag");
    let clients = socket.local_addr().expect("bound");
    let discovery = common::program::start_discovery(vec![server]);
    let [_, one, _] = sidecar_addresses(1)[0];
    let two = sidecar_addresses(1)[0][1];
    let config = common::config_json(&clients.to_string(), &discovery.to_string(), &list_json(&[server], 1));
    let begin = |ops: SocketAddr| {
        let inherits = ("LB_SOCKET_FD", socket.as_raw_fd().to_string());
        Process::start(&config, &[inherits, ("LB_OPS", ops.to_string())], 256)
    };
    let serves = |ops: SocketAddr| {
        let Ok(mut stream) = TcpStream::connect(ops) else { return false };
        let asked = stream.write_all(b"GET /ops/readiness HTTP/1.1\r\n\r\n");
        asked.is_ok() && head(&mut stream).starts_with("HTTP/1.1 200")
    };
    let old = begin(one);
    until("the first is ready", || serves(one));
    let (mut owed, mut kept) = (connect(clients), connect(clients));
    request(&mut owed, "POST /book/1");
    let first = comes.recv().expect("a request");
    request(&mut kept, "GET /plan/1");
    comes.recv().expect("a request").send(()).expect("it waits");
    assert!(head(&mut kept).starts_with("HTTP/1.1 200"));
    let mut body = [0; 2];
    kept.read_exact(&mut body).expect("a body");
    let new = begin(two);
    until("the second is ready", || serves(two));
    old.signal("TERM");
    until("the first says that it leaves", || !serves(one));
    // On a connection that the first has, and on one that nobody has taken yet.
    request(&mut kept, "GET /plan/2");
    let second = comes.recv().expect("a request");
    let mut fresh = connect(clients);
    request(&mut fresh, "GET /plan/3");
    let third = comes.recv().expect("a request");
    for (go, client) in [(third, &mut fresh), (second, &mut kept), (first, &mut owed)] {
        go.send(()).expect("it waits");
        assert!(head(client).starts_with("HTTP/1.1 200"));
    }
    let output = old.wait();
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success() && said.contains("\"served\":3,"), "{said}");
    new.signal("TERM");
    let output = new.wait();
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success() && said.contains("\"served\":1,"), "{said}");
}
