//! Both directions of HTTP against a model: whatever the pieces that bytes come in, what comes out is what
//! was put in, in order, and nothing comes out of what is broken.
mod common;

use bytes::BytesMut;
use cometcroft_sidecar::http::client::{ResponseReader, encode_request};
use cometcroft_sidecar::http::server::{Connection, Request, Status, Step};
use proptest::prelude::*;
use std::time::Duration;

const BROKEN: [(&str, Status); 10] = [
    ("GET /plan\r\n\r\n", Status::BadRequest),
    ("get /plan HTTP/1.1\r\n\r\n", Status::BadRequest),
    ("GET /plan HTTP/1.1\r\nNo colon\r\n\r\n", Status::BadRequest),
    ("GET /plan HTTP/1.1\r\nA: b\nC: d\r\n\r\n", Status::BadRequest),
    ("POST /plan HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", Status::BadRequest),
    ("POST /plan HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Status::BadRequest),
    ("POST /p HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", Status::BadRequest),
    ("POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n+5\r\n", Status::BadRequest),
    ("POST /plan HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n", Status::TooLarge),
    ("POST /plan HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", Status::TooLarge),
];

#[derive(Debug, Clone)]
struct Sent {
    body: Vec<u8>,
    chunk: Option<usize>,
    last: bool,
}

fn sent() -> impl Strategy<Value = Sent> {
    let body = prop_oneof![Just(Vec::new()), prop::collection::vec(any::<u8>(), 1..3000)];
    let chunk = prop::option::of(1..900usize);
    (body, chunk, prop::bool::weighted(0.1)).prop_map(|(body, chunk, last)| Sent { body, chunk, last })
}

/// A message of this first line, framed as the model says.
fn write(first: &str, sent: &Sent, extra: &str) -> Vec<u8> {
    let close = if sent.last { "Connection: close\r\n" } else { "" };
    let mut out = format!("{first}\r\n{extra}{close}").into_bytes();
    match sent.chunk {
        Some(size) => {
            out.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            for chunk in sent.body.chunks(size) {
                out.extend(format!("{:x}\r\n", chunk.len()).as_bytes());
                out.extend(chunk);
                out.extend(b"\r\n");
            }
            out.extend(b"0\r\nTrailer: x\r\n\r\n");
        }
        None => {
            out.extend(format!("Content-Length: {}\r\n\r\n", sent.body.len()).as_bytes());
            out.extend(&sent.body);
        }
    }
    out
}

proptest! {
    #![proptest_config(common::proptest_config(200))]

    /// Random requests, pipelined, perhaps with a broken one at the end, in random pieces; each is answered
    /// at a random time.
    #[test]
    fn requests_come_out_as_they_were_sent(
        requests in prop::collection::vec(sent(), 1..6),
        broken in prop::option::of(0..BROKEN.len()),
        pieces in prop::collection::vec(1..700usize, 1..40),
        patience in prop::collection::vec(0..4u8, 1..9),
    ) {
        let mut bytes: Vec<u8> = Vec::new();
        for (n, request) in requests.iter().enumerate() {
            bytes.extend(write(&format!("POST /plan/{n}?q HTTP/1.1"), request, "X-Call-Id: 7\r\n"));
        }
        bytes.extend(broken.map_or("", |b| BROKEN[b].0).as_bytes());
        let lasting = requests.iter().position(|r| r.last).map_or(requests.len(), |at| at + 1);
        let (mut machine, mut came, mut rejected, mut owed) = (Connection::default(), 0, None, None);
        let (mut pieces, mut patience) = (pieces.iter().cycle(), patience.iter().cycle());
        let mut rest = &bytes[..];
        loop {
            if let Some(wait) = owed {
                prop_assert!(matches!(machine.step(), Step::More), "nothing new while an answer is owed");
                if wait == 0 || rest.is_empty() {
                    machine.response_head(Status::Ok, "", 0, false);
                    owed = None;
                } else {
                    owed = Some(wait - 1);
                }
            }
            if owed.is_none() && !machine.is_closed() {
                match machine.step() {
                    Step::Request(request) => {
                        let target = format!("/plan/{came}?q");
                        prop_assert_eq!(&request.target[..], target.as_bytes());
                        prop_assert_eq!(&request.body[..], &requests[came].body[..]);
                        prop_assert_eq!(request.class_name(), b"plan");
                        came += 1;
                        owed = patience.next().copied();
                        continue;
                    }
                    Step::Reject(status) => rejected = Some(status),
                    Step::Continue(_) | Step::Upload(..) => prop_assert!(false, "nobody expects, none is large"),
                    Step::More if rest.is_empty() => break,
                    Step::More => {}
                }
            }
            if machine.is_closed() {
                break;
            }
            let piece = rest.len().min(*pieces.next().unwrap_or(&1));
            machine.buffer().extend_from_slice(&rest[..piece]);
            rest = &rest[piece..];
        }
        prop_assert_eq!(came, lasting);
        let expected = broken.filter(|_| lasting == requests.len() && !requests.iter().any(|r| r.last));
        prop_assert_eq!(rejected, expected.map(|b| BROKEN[b].1));
    }

    /// An answer comes out whole or not at all, and a connection is used again only after a clean end.
    #[test]
    fn an_answer_is_whole_or_none(
        sent in sent(), interim in any::<bool>(), pieces in prop::collection::vec(1..700usize, 1..20),
        cut in prop::option::of(0.0..1.0f64), more in any::<bool>(),
    ) {
        let mut bytes = if interim { b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec() } else { Vec::new() };
        bytes.extend(write("HTTP/1.1 200 OK", &sent, ""));
        let whole = cut.is_none();
        bytes.truncate(cut.map_or(bytes.len(), |cut| (bytes.len() as f64 * cut) as usize));
        if whole && more {
            bytes.extend(b"HTTP");
        }
        let (mut exchange, mut rest, mut answer) = (ResponseReader::new(64 * 1024), &bytes[..], None);
        let mut pieces = pieces.iter().cycle();
        while !rest.is_empty() {
            let piece = rest.len().min(*pieces.next().unwrap_or(&1));
            exchange.buffer().extend_from_slice(&rest[..piece]);
            rest = &rest[piece..];
            if answer.is_none() {
                answer = exchange.step(false).expect("well formed");
            }
        }
        if answer.is_none() {
            answer = exchange.step(true).expect("well formed");
        }
        prop_assert_eq!(answer.is_some(), whole);
        if let Some(answer) = answer {
            prop_assert_eq!(&answer.body[..], &sent.body[..]);
            prop_assert_eq!(exchange.reusable(), !sent.last && !more);
        }
    }

    /// No bytes make either machine panic.
    #[test]
    fn garbage_is_survived(bytes in prop::collection::vec(any::<u8>(), 0..400), cut in 0..40usize) {
        let start = &b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"[..];
        let mut machine = Connection::default();
        machine.buffer().extend_from_slice(&start[..start.len() - cut]);
        machine.buffer().extend_from_slice(&bytes);
        machine.step();
        let mut exchange = ResponseReader::new(100);
        exchange.buffer().extend_from_slice(b"HTTP/1.1 200");
        exchange.buffer().extend_from_slice(&bytes);
        let _ = exchange.step(true);
    }
}

fn parse(text: &str) -> Request {
    let mut machine = Connection::default();
    machine.buffer().extend_from_slice(text.as_bytes());
    match machine.step() {
        Step::Request(request) => request,
        step => panic!("{step:?}"),
    }
}

#[test]
fn every_form_of_a_request_is_read_byte_by_byte() {
    for (text, target, body) in [
        ("GET http://h:80/plan/1?q HTTP/1.1\r\nHost: h\r\n\r\n", "/plan/1?q", ""),
        ("GET HTTP://h HTTP/1.1\r\nHost: h\r\n\r\n", "/", ""),
        ("\r\n\r\nGET /a HTTP/1.1\r\nhOsT:h\r\nX:\t y \r\n\r\n", "/a", ""),
        (
            "POST /a HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n2;e=\"v\"\r\nhi\r\n003 ;x\r\nyou\r\n0\r\nT: u\r\n\r\n",
            "/a",
            "hiyou",
        ),
        ("POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi", "/a", "hi"),
    ] {
        let mut machine = Connection::default();
        let mut came = None;
        for byte in text.bytes() {
            machine.buffer().extend_from_slice(&[byte]);
            match machine.step() {
                Step::Request(request) => came = Some(request),
                Step::More | Step::Continue(_) => {}
                step => panic!("{text}: {step:?}"),
            }
        }
        let request = came.expect(text);
        assert_eq!((&request.target[..], &request.body[..]), (target.as_bytes(), body.as_bytes()));
    }
    for bad in [
        "GET ftp://h/ HTTP/1.1\r\n\r\n",
        "GET http:/// HTTP/1.1\r\n\r\n",
        "GET http://a@b/ HTTP/1.1\r\n\r\n",
        "GET a HTTP/1.1\r\n\r\n",
    ] {
        let mut machine = Connection::default();
        machine.buffer().extend_from_slice(bad.as_bytes());
        assert!(matches!(machine.step(), Step::Reject(Status::BadRequest)), "{bad}");
    }
}

#[test]
fn an_endless_head_is_refused() {
    let mut machine = Connection::default();
    machine.buffer().extend_from_slice(&BytesMut::from(&vec![b'a'; 17 * 1024][..]));
    assert!(matches!(machine.step(), Step::Reject(Status::HeadTooLarge)));
    assert!(machine.is_closed());
}

#[test]
fn budgets_have_a_unit_and_no_tricks() {
    let budget =
        |value: &str| parse(&format!("GET /p HTTP/1.1\r\nX-Budget: {value}\r\n\r\n")).time_budget().ok();
    assert_eq!(budget("480m"), Some(Duration::from_millis(480)));
    assert_eq!(budget("1500u"), Some(Duration::from_micros(1500)));
    for bad in ["", "m", "480", "-3m", "1e3m", "infm", "NaNm", "0m", "480s", "4 80m", "ém"] {
        assert_eq!(budget(bad), None, "{bad}");
    }
    assert!(parse("GET /p HTTP/1.1\r\n\r\n").time_budget().is_err());
}

#[test]
fn what_is_passed_on_keeps_all_but_the_hop() {
    let request = parse(
        "POST /book/7?x=%20 HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9\r\nX-Budget: 480m\r\nConnection: keep-alive, \
         X-Hop\r\nX-Hop: 1\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi",
    );
    let out = encode_request(&request, Duration::from_millis(250));
    let expected = "POST /book/7?x=%20 HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9\r\nIdempotency-Key: k\r\n\
                    X-Budget: 250000u\r\nContent-Length: 2\r\n\r\nhi";
    assert_eq!(std::str::from_utf8(&out), Ok(expected));
}
