//! Tests with real processes: exhausted file descriptors, several signals in a row, many simultaneous restarts, and a handover
//! of the listening socket with open requests.
#![allow(clippy::disallowed_methods)]
mod common;

use common::program::{NEXT_NUMBER, Process, list_json, sidecar_addresses, start_one_shot_discovery};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// Reads the head of a message; empty if the connection has ended.
fn head(stream: &mut TcpStream) -> String {
    common::program::read_head(stream).unwrap_or_default()
}

/// Connects, and retries for 10 s while there is no listener.
fn connect(to: SocketAddr) -> TcpStream {
    let began = Instant::now();
    loop {
        match TcpStream::connect(to) {
            Ok(stream) => {
                stream.set_read_timeout(Some(20 * 1000 * MS)).expect("set a socket option");
                return stream;
            }
            Err(error) => assert!(began.elapsed() < 10 * 1000 * MS, "no listener after 10 s: {error}"),
        }
        std::thread::sleep(10 * MS);
    }
}

fn request(stream: &mut TcpStream, line: &str) {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
    let text = format!("{line} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {number:x}\r\nX-Budget: 2900m\r\n");
    let body = if line.starts_with("POST") { "Content-Length: 2\r\n\r\nhi" } else { "\r\n" };
    stream.write_all((text + body).as_bytes()).expect("write to the sidecar");
}

/// Whether the sidecar at this address answers `/up` with status 200.
fn ready(at: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(at) else { return false };
    stream.set_read_timeout(Some(1000 * MS)).expect("set a socket option");
    stream.write_all(b"GET /up HTTP/1.1\r\n\r\n").is_ok() && head(&mut stream).starts_with("HTTP/1.1 200")
}

/// Waits until this holds, for 10 s at most.
fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < 10 * 1000 * MS, "{what}");
        std::thread::sleep(10 * MS);
    }
}

/// Starts an endpoint that hands each request to the test as a sender, and responds when the test sends on it.
fn start_gated_endpoint() -> (SocketAddr, mpsc::Receiver<mpsc::Sender<()>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("local address");
    let (arrived, arrivals) = mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let arrived = arrived.clone();
            std::thread::spawn(move || {
                while !head(&mut stream).is_empty() {
                    let (respond, released) = mpsc::channel();
                    if arrived.send(respond).is_err() || released.recv().is_err() {
                        return;
                    }
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            });
        }
    });
    (address, arrivals)
}

/// Silent clients, idle clients and operators use up all descriptors while discovery is down. Requests must still be answered,
/// and the sidecar must call discovery again soon after it is back.
#[test]
fn idle_clients_fill_the_descriptors_while_discovery_is_down() {
    for descriptors in [64, 256] {
        let (endpoint, _) = common::program::start_endpoint(Duration::ZERO, "", false);
        let [listen, ops, discovery] = sidecar_addresses(1)[0];
        let config =
            common::config_json(&listen.to_string(), &discovery.to_string(), &list_json(&[endpoint], 1))
                .replace("\"sockets\":256", &format!("\"sockets\":{descriptors}"));
        let process = Process::start(&config, &[("LB_OPS", ops.to_string())], descriptors);
        start_one_shot_discovery(discovery).join().expect("no panic");
        wait_until("it is ready", || ready(listen));
        let mut idle = Vec::new();
        for number in 0..descriptors {
            let mut client = connect(listen);
            if number % 2 == 0 && client.write_all(b"GET /up HTTP/1.1\r\n\r\n").is_ok() {
                // The sidecar may have closed this connection in the meantime: there is no response then.
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
        let back = TcpListener::bind(discovery).expect("bind the address");
        back.set_nonblocking(true).expect("set a socket option");
        let returned = Instant::now();
        while back.accept().is_err() {
            assert!(returned.elapsed() < 6 * 1000 * MS, "discovery is back and gets no call");
            std::thread::sleep(5 * MS);
        }
        process.signal("TERM");
        let output = process.wait();
        let output = (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned());
        assert!(output.0 && output.1.contains("\"accept_failures\":0,"), "{output:?}");
    }
}

/// A second SIGTERM, SIGINT after SIGTERM, SIGHUP before and after it: accepted requests are answered, and the process exits
/// with success.
#[test]
fn signals_in_any_order_lose_no_request() {
    let orders = [["TERM", "TERM"], ["TERM", "INT"], ["HUP", "TERM"], ["TERM", "HUP"]];
    let runs = orders.map(|order| {
        std::thread::spawn(move || {
            let (endpoint, arrivals) = start_gated_endpoint();
            let discovery = common::program::start_discovery(vec![endpoint]);
            let [listen, _, _] = sidecar_addresses(1)[0];
            let config =
                common::config_json(&listen.to_string(), &discovery.to_string(), &list_json(&[endpoint], 1));
            let process = Process::start(&config, &[], 256);
            wait_until("it is ready", || ready(listen));
            let (mut open, mut half_sent) = (connect(listen), connect(listen));
            request(&mut open, "POST /book/1");
            half_sent
                .write_all(b"POST /book/2 HTTP/1.1\r\nX-Call-Id: half\r\n")
                .expect("write to the sidecar");
            let respond = arrivals.recv().expect("receive a request");
            for signal in order {
                process.signal(signal);
                std::thread::sleep(100 * MS);
            }
            // The second half of the other request arrives during the shutdown.
            half_sent
                .write_all(b"X-Budget: 2000m\r\nContent-Length: 2\r\n\r\nhi")
                .expect("write to the sidecar");
            let respond_other = arrivals.recv().expect("receive the other request");
            for (respond, client) in [(respond, &mut open), (respond_other, &mut half_sent)] {
                respond.send(()).expect("the endpoint waits");
                assert!(head(client).starts_with("HTTP/1.1 200"), "{order:?}");
            }
            let output = process.wait();
            let log = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(output.status.success() && log.contains("\"served\":2,"), "{order:?}: {log}");
        })
    });
    for run in runs {
        run.join().expect("no panic");
    }
}

/// Thirty sidecars without an endpoint list start at once. Discovery handles one call at a time, 60 ms each, and rejects calls
/// that waited for more than 1 s. 27 of the sidecars must be ready within 10 s.
#[test]
fn nine_in_ten_of_thirty_simultaneous_restarts_are_ready_in_time_with_overloaded_discovery() {
    let (endpoint, _) = common::program::start_endpoint(Duration::ZERO, "", false);
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let discovery = listener.local_addr().expect("local address");
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
    let list = list_json(&[endpoint], 1);
    std::thread::spawn(move || {
        for (mut stream, since) in calls {
            let too_late = since.elapsed() > 1000 * MS;
            let response = if too_late {
                "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".to_owned()
            } else {
                std::thread::sleep(60 * MS);
                let length = list.len();
                format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{list}")
            };
            let _ = stream.write_all(response.as_bytes());
        }
    });
    let addresses = sidecar_addresses(30);
    let processes: Vec<Process> = addresses
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
        for (up, [listen, ..]) in up.iter_mut().zip(&addresses) {
            *up |= ready(*listen);
        }
        std::thread::sleep(50 * MS);
    }
    assert!(up.iter().filter(|up| **up).count() >= 27, "{up:?}");
}

/// Two processes share a listening socket. After SIGTERM the first one answers its open requests and those that arrive on its
/// connections; the second one serves new connections.
#[test]
fn at_a_handover_each_process_answers_the_requests_on_its_connections() {
    use std::os::fd::AsRawFd;
    let (endpoint, arrivals) = start_gated_endpoint();
    let socket = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    socket2::SockRef::from(&socket).set_cloexec(false).expect("clear close-on-exec");
    let clients = socket.local_addr().expect("local address");
    let discovery = common::program::start_discovery(vec![endpoint]);
    let [_, one, _] = sidecar_addresses(1)[0];
    let two = sidecar_addresses(1)[0][1];
    let config =
        common::config_json(&clients.to_string(), &discovery.to_string(), &list_json(&[endpoint], 1));
    let start = |ops: SocketAddr| {
        let inherits = ("LB_SOCKET_FD", socket.as_raw_fd().to_string());
        Process::start(&config, &[inherits, ("LB_OPS", ops.to_string())], 256)
    };
    let serves = |ops: SocketAddr| {
        let Ok(mut stream) = TcpStream::connect(ops) else { return false };
        let written = stream.write_all(b"GET /ops/readiness HTTP/1.1\r\n\r\n");
        written.is_ok() && head(&mut stream).starts_with("HTTP/1.1 200")
    };
    let old = start(one);
    wait_until("the first process is ready", || serves(one));
    let (mut open, mut kept) = (connect(clients), connect(clients));
    request(&mut open, "POST /book/1");
    let first = arrivals.recv().expect("receive a request");
    request(&mut kept, "GET /plan/1");
    arrivals.recv().expect("receive a request").send(()).expect("the endpoint waits");
    assert!(head(&mut kept).starts_with("HTTP/1.1 200"));
    let mut body = [0; 2];
    kept.read_exact(&mut body).expect("a body");
    let new = start(two);
    wait_until("the second process is ready", || serves(two));
    old.signal("TERM");
    wait_until("the first process is not ready any more", || !serves(one));
    // One request on a connection of the first process, and one on a new connection.
    request(&mut kept, "GET /plan/2");
    let second = arrivals.recv().expect("receive a request");
    let mut fresh = connect(clients);
    request(&mut fresh, "GET /plan/3");
    let third = arrivals.recv().expect("receive a request");
    for (respond, client) in [(third, &mut fresh), (second, &mut kept), (first, &mut open)] {
        respond.send(()).expect("the endpoint waits");
        assert!(head(client).starts_with("HTTP/1.1 200"));
    }
    let output = old.wait();
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success() && log.contains("\"served\":3,"), "{log}");
    new.signal("TERM");
    let output = new.wait();
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success() && log.contains("\"served\":1,"), "{log}");
}
