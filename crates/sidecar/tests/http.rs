//! Both sides of HTTP against a model: however the bytes are split into pieces, requests and responses come out
//! as they were put in, in order, and none comes out of invalid bytes.
mod common;

use bytes::BytesMut;
use cometcroft_sidecar::http::client::{ResponseReader, encode_request};
use cometcroft_sidecar::http::server::{Connection, Request, Status, Step};
use proptest::prelude::*;
use std::time::Duration;

const INVALID: [(&str, Status); 10] = [
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
struct Message {
    body: Vec<u8>,
    chunk: Option<usize>,
    closes: bool,
}

fn message() -> impl Strategy<Value = Message> {
    let body = prop_oneof![Just(Vec::new()), prop::collection::vec(any::<u8>(), 1..3000)];
    let chunk = prop::option::of(1..900usize);
    (body, chunk, prop::bool::weighted(0.1)).prop_map(|(body, chunk, closes)| Message { body, chunk, closes })
}

/// A message with this first line, framed as the model says.
fn encode(first: &str, message: &Message, extra: &str) -> Vec<u8> {
    let close = if message.closes { "Connection: close\r\n" } else { "" };
    let mut encoded = format!("{first}\r\n{extra}{close}").into_bytes();
    match message.chunk {
        Some(size) => {
            encoded.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            for chunk in message.body.chunks(size) {
                encoded.extend(format!("{:x}\r\n", chunk.len()).as_bytes());
                encoded.extend(chunk);
                encoded.extend(b"\r\n");
            }
            encoded.extend(b"0\r\nTrailer: x\r\n\r\n");
        }
        None => {
            encoded.extend(format!("Content-Length: {}\r\n\r\n", message.body.len()).as_bytes());
            encoded.extend(&message.body);
        }
    }
    encoded
}

proptest! {
    #![proptest_config(common::proptest_config(200))]

    /// Random requests, pipelined, possibly with an invalid one at the end, in random pieces; each gets its
    /// response after a random delay.
    #[test]
    fn requests_are_parsed_as_they_were_sent(
        requests in prop::collection::vec(message(), 1..6),
        invalid in prop::option::of(0..INVALID.len()),
        pieces in prop::collection::vec(1..700usize, 1..40),
        delays in prop::collection::vec(0..4u8, 1..9),
    ) {
        let mut bytes: Vec<u8> = Vec::new();
        for (n, request) in requests.iter().enumerate() {
            bytes.extend(encode(&format!("POST /plan/{n}?q HTTP/1.1"), request, "X-Call-Id: 7\r\n"));
        }
        bytes.extend(invalid.map_or("", |b| INVALID[b].0).as_bytes());
        let served = requests.iter().position(|r| r.closes).map_or(requests.len(), |at| at + 1);
        let (mut connection, mut received, mut rejected, mut response_due_in) = (Connection::default(), 0, None, None);
        let (mut pieces, mut delays) = (pieces.iter().cycle(), delays.iter().cycle());
        let mut remaining = &bytes[..];
        loop {
            if let Some(wait) = response_due_in {
                prop_assert!(matches!(connection.step(), Step::More), "no next request before the response");
                if wait == 0 || remaining.is_empty() {
                    connection.response_head(Status::Ok, "", 0, false);
                    response_due_in = None;
                } else {
                    response_due_in = Some(wait - 1);
                }
            }
            if response_due_in.is_none() && !connection.is_closed() {
                match connection.step() {
                    Step::Request(request) => {
                        let target = format!("/plan/{received}?q");
                        prop_assert_eq!(&request.target[..], target.as_bytes());
                        prop_assert_eq!(&request.body[..], &requests[received].body[..]);
                        prop_assert_eq!(request.class_name(), b"plan");
                        received += 1;
                        response_due_in = delays.next().copied();
                        continue;
                    }
                    Step::Reject(status) => rejected = Some(status),
                    Step::Continue(_) | Step::Upload(..) => prop_assert!(false, "no request expects 100-continue or is large"),
                    Step::More if remaining.is_empty() => break,
                    Step::More => {}
                }
            }
            if connection.is_closed() {
                break;
            }
            let piece = remaining.len().min(*pieces.next().unwrap_or(&1));
            connection.buffer().extend_from_slice(&remaining[..piece]);
            remaining = &remaining[piece..];
        }
        prop_assert_eq!(received, served);
        let expected = invalid.filter(|_| served == requests.len() && !requests.iter().any(|r| r.closes));
        prop_assert_eq!(rejected, expected.map(|b| INVALID[b].1));
    }

    /// A response is returned completely or not at all, and a connection is reused only after a clean end.
    #[test]
    fn a_response_is_complete_or_not_returned(
        message in message(), interim in any::<bool>(), pieces in prop::collection::vec(1..700usize, 1..20),
        cut in prop::option::of(0.0..1.0f64), extra_bytes in any::<bool>(),
    ) {
        let mut bytes = if interim { b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec() } else { Vec::new() };
        bytes.extend(encode("HTTP/1.1 200 OK", &message, ""));
        let complete = cut.is_none();
        bytes.truncate(cut.map_or(bytes.len(), |cut| (bytes.len() as f64 * cut) as usize));
        if complete && extra_bytes {
            bytes.extend(b"HTTP");
        }
        let (mut reader, mut remaining, mut response) = (ResponseReader::new(64 * 1024), &bytes[..], None);
        let mut pieces = pieces.iter().cycle();
        while !remaining.is_empty() {
            let piece = remaining.len().min(*pieces.next().unwrap_or(&1));
            reader.buffer().extend_from_slice(&remaining[..piece]);
            remaining = &remaining[piece..];
            if response.is_none() {
                response = reader.step(false).expect("well formed");
            }
        }
        if response.is_none() {
            response = reader.step(true).expect("well formed");
        }
        prop_assert_eq!(response.is_some(), complete);
        if let Some(response) = response {
            prop_assert_eq!(&response.body[..], &message.body[..]);
            prop_assert_eq!(reader.reusable(), !message.closes && !extra_bytes);
        }
    }

    /// No input makes either side panic.
    #[test]
    fn garbage_causes_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..400), cut in 0..40usize) {
        let start = &b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"[..];
        let mut connection = Connection::default();
        connection.buffer().extend_from_slice(&start[..start.len() - cut]);
        connection.buffer().extend_from_slice(&bytes);
        connection.step();
        let mut reader = ResponseReader::new(100);
        reader.buffer().extend_from_slice(b"HTTP/1.1 200");
        reader.buffer().extend_from_slice(&bytes);
        let _ = reader.step(true);
    }
}

fn parse(text: &str) -> Request {
    let mut connection = Connection::default();
    connection.buffer().extend_from_slice(text.as_bytes());
    match connection.step() {
        Step::Request(request) => request,
        step => panic!("{step:?}"),
    }
}

#[test]
fn every_form_of_a_request_is_parsed_byte_by_byte() {
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
        let mut connection = Connection::default();
        let mut received = None;
        for byte in text.bytes() {
            connection.buffer().extend_from_slice(&[byte]);
            match connection.step() {
                Step::Request(request) => received = Some(request),
                Step::More | Step::Continue(_) => {}
                step => panic!("{text}: {step:?}"),
            }
        }
        let request = received.expect(text);
        assert_eq!((&request.target[..], &request.body[..]), (target.as_bytes(), body.as_bytes()));
    }
    for invalid in [
        "GET ftp://h/ HTTP/1.1\r\n\r\n",
        "GET http:/// HTTP/1.1\r\n\r\n",
        "GET http://a@b/ HTTP/1.1\r\n\r\n",
        "GET a HTTP/1.1\r\n\r\n",
    ] {
        let mut connection = Connection::default();
        connection.buffer().extend_from_slice(invalid.as_bytes());
        assert!(matches!(connection.step(), Step::Reject(Status::BadRequest)), "{invalid}");
    }
}

#[test]
fn an_endless_head_is_rejected() {
    let mut connection = Connection::default();
    connection.buffer().extend_from_slice(&BytesMut::from(&vec![b'a'; 17 * 1024][..]));
    assert!(matches!(connection.step(), Step::Reject(Status::HeadTooLarge)));
    assert!(connection.is_closed());
}

#[test]
fn a_time_budget_needs_a_unit_and_a_plain_number() {
    let budget =
        |value: &str| parse(&format!("GET /p HTTP/1.1\r\nX-Budget: {value}\r\n\r\n")).time_budget().ok();
    assert_eq!(budget("480m"), Some(Duration::from_millis(480)));
    assert_eq!(budget("1500u"), Some(Duration::from_micros(1500)));
    for invalid in ["", "m", "480", "-3m", "1e3m", "infm", "NaNm", "0m", "480s", "4 80m", "ém"] {
        assert_eq!(budget(invalid), None, "{invalid}");
    }
    assert!(parse("GET /p HTTP/1.1\r\n\r\n").time_budget().is_err());
}

#[test]
fn a_forwarded_request_keeps_all_but_hop_by_hop_headers() {
    let request = parse(
        "POST /book/7?x=%20 HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9\r\nX-Budget: 480m\r\nConnection: keep-alive, \
         X-Hop\r\nX-Hop: 1\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi",
    );
    let encoded = encode_request(&request, Duration::from_millis(250));
    let expected = "POST /book/7?x=%20 HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9\r\nIdempotency-Key: k\r\n\
                    X-Budget: 250000u\r\nContent-Length: 2\r\n\r\nhi";
    assert_eq!(std::str::from_utf8(&encoded), Ok(expected));
}
