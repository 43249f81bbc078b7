//! What the receiver of a reset still reads: on real sockets of this machine, and the same on the simulated network.

use bytes::Bytes;
use cometcroft_emulator::net::{Arrival, ConnId, Links, Net, Owner, Party};
use cometcroft_platform::{Platform, RetryingStream, Stream, Tokio};
use std::io;
use std::net::SocketAddr;
use std::task::Waker;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};

/// What one side does before the reset, and what the other does when all of it has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The peer sends so many bytes.
    Send(usize),
    /// The peer ends its sending.
    End,
    /// The peer resets the connection.
    Reset,
    /// The receiver reads so many bytes at most.
    Read(usize),
    /// The receiver asks whether anything has come.
    AskQuiet,
}

/// What the receiver sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seen {
    Bytes(usize),
    /// No more bytes.
    End,
    Broken(io::ErrorKind),
    Quiet(bool),
    /// Nothing has come.
    Nothing,
}

fn seen_by_read(read: io::Result<usize>) -> Seen {
    match read {
        Ok(0) => Seen::End,
        Ok(count) => Seen::Bytes(count),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Seen::Nothing,
        Err(error) => Seen::Broken(error.kind()),
    }
}

const PATIENCE: Duration = Duration::from_secs(5);

/// Both ends of a connection over the loopback interface: the receiver's, as sidecars hold it, and the peer's.
async fn connection() -> (RetryingStream<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it has one");
    let (receiver, accepted) = tokio::join!(Tokio.connect(address), listener.accept());
    (receiver.expect("connected"), accepted.expect("accepted").0)
}

/// Waits until so many bytes, or an end or error, have arrived; none of it is taken.
async fn arrived(receiver: &RetryingStream<TcpStream>, bytes: usize) {
    let mut buffer = vec![0; bytes.max(1)];
    while receiver.get_ref().peek(&mut buffer).await.is_ok_and(|count| count > 0 && count < bytes) {
        Tokio.sleep(Duration::from_millis(1)).await;
    }
}

async fn on_real_sockets(steps: &[Step]) -> Vec<Seen> {
    let (mut receiver, peer) = connection().await;
    let (mut peer, mut unread, mut seen) = (Some(peer), 0, Vec::new());
    for step in steps {
        match *step {
            Step::Send(count) => {
                let peer = peer.as_mut().expect("it has not reset the connection");
                peer.write_all(&vec![7; count]).await.expect("sent");
                unread += count;
                arrived(&receiver, unread).await;
            }
            Step::End => {
                peer.as_mut().expect("it has not reset the connection").shutdown().await.expect("ended");
                let closed = receiver.get_ref().ready(Interest::READABLE);
                Tokio.timeout(PATIENCE, closed).await.expect("it is heard of").expect("it is ready");
            }
            Step::Reset => {
                let peer = peer.take().expect("it has not reset the connection");
                peer.set_zero_linger().expect("set");
                drop(peer);
                let broken = receiver.get_ref().ready(Interest::ERROR);
                Tokio.timeout(PATIENCE, broken).await.expect("it is heard of").expect("it is ready");
            }
            Step::Read(most) => {
                let mut buffer = vec![0; most];
                let read = Tokio.timeout(Duration::from_millis(50), receiver.read(&mut buffer)).await;
                let read = read.unwrap_or_else(|_| Err(io::ErrorKind::WouldBlock.into()));
                unread -= read.as_ref().map_or(0, |count| *count);
                seen.push(seen_by_read(read));
            }
            Step::AskQuiet => seen.push(Seen::Quiet(receiver.is_idle())),
        }
    }
    seen
}

/// Lets all that is under way arrive, in order of time.
fn settle(net: &mut Net) {
    let mut under_way: Vec<(u64, Arrival)> = Vec::new();
    loop {
        under_way.append(&mut net.sent);
        let Some(first) = (0..under_way.len()).min_by_key(|&i| (under_way[i].0, i)) else { return };
        let (at, arrival) = under_way.remove(first);
        net.now = net.now.max(at);
        net.arrive(arrival);
    }
}

fn on_the_simulated_network(steps: &[Step]) -> Vec<Seen> {
    let links = Links { local: 1e4, same: 2e5, cross: 6e5, client: 5e5, jitter: 0.5 };
    let mut net = Net::new(links, 5);
    let (own, host, pid) = (net.host(0), net.host(0), net.process(4));
    let address = SocketAddr::from(([127, 0, 0, 9], 80));
    net.listen(address, Owner::Party(Party(7)), host, 8);
    let conn: ConnId = net.connect(Owner::Process(pid), own, address).expect("descriptors are free");
    settle(&mut net);
    let mut seen = Vec::new();
    for step in steps {
        match *step {
            Step::Send(count) => net.send(conn, 1, Bytes::from(vec![7; count])),
            Step::End => net.fin(conn, 1),
            Step::Reset => net.reset(conn, 1),
            Step::Read(most) => {
                let read = net.read(conn, 0, most, Waker::noop());
                let read = read.unwrap_or_else(|| Err(io::ErrorKind::WouldBlock.into()));
                seen.push(seen_by_read(read.map(|bytes| bytes.len())));
            }
            Step::AskQuiet => seen.push(Seen::Quiet(net.quiet(conn, 0))),
        }
        settle(&mut net);
    }
    seen
}

/// The receiver sees this on real sockets, and on the simulated network.
fn both_show(steps: &[Step], expected: &[Seen]) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    assert_eq!(runtime.block_on(on_real_sockets(steps)), expected, "real sockets: {steps:?}");
    assert_eq!(on_the_simulated_network(steps), expected, "simulated network: {steps:?}");
}

const RESET: Seen = Seen::Broken(io::ErrorKind::ConnectionReset);

#[test]
fn bytes_that_arrived_before_a_reset_are_read_after_it() {
    use Step::*;
    both_show(
        &[AskQuiet, Send(3000), AskQuiet, Reset, AskQuiet, Read(1000), Read(5000), AskQuiet, Read(10)],
        &[
            Seen::Quiet(true),
            Seen::Quiet(false),
            Seen::Quiet(false),
            Seen::Bytes(1000),
            Seen::Bytes(2000),
            Seen::Quiet(false),
            Seen::End,
        ],
    );
}

#[test]
fn bytes_that_were_read_in_part_before_a_reset_are_read_on_after_it() {
    use Step::*;
    both_show(
        &[Send(2000), Read(500), Send(700), Reset, Read(9000), Read(9000)],
        &[Seen::Bytes(500), Seen::Bytes(2200), RESET],
    );
}

#[test]
fn a_reset_without_bytes_is_an_error_and_not_quiet() {
    use Step::*;
    both_show(&[Read(9), Reset, Read(9)], &[Seen::Nothing, RESET]);
    both_show(&[AskQuiet, Reset, AskQuiet], &[Seen::Quiet(true), Seen::Quiet(false)]);
}

/// To whoever reads or to whoever asks; after that the connection has ended.
#[test]
fn the_error_of_a_reset_is_told_once() {
    use Step::*;
    both_show(&[Send(10), Reset, Read(99), Read(99), Read(99)], &[Seen::Bytes(10), RESET, Seen::End]);
    both_show(&[Reset, AskQuiet, Read(99), AskQuiet], &[Seen::Quiet(false), Seen::End, Seen::Quiet(false)]);
}

#[test]
fn a_reset_after_an_end_in_order_takes_no_bytes_either() {
    use Step::*;
    both_show(
        &[Send(10), End, Reset, Read(4), Read(99), Read(99)],
        &[Seen::Bytes(4), Seen::Bytes(6), Seen::End],
    );
}
