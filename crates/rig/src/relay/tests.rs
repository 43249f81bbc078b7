//! Tests of `relay` that need access to its private state.

use super::*;

/// Starts a relay between two members, with its own block of addresses.
async fn pair(block: u8) -> Arc<Relay> {
    let own = move |i: usize| Ipv4Addr::new(127, 90, block, 1 + i as u8);
    let advertised = move |i: usize| Ipv4Addr::new(127, 90, block, 101 + i as u8);
    Relay::start(2, own, advertised, 1).await.expect("bind loopback addresses")
}

/// Binds an own address that the relay has released. A process that another test starts inherits all sockets of this one
/// between its fork and its exec, so the address may still be in use for a moment.
async fn bind_own_address<T, F: Future<Output = io::Result<T>>>(bind: impl Fn() -> F) -> T {
    for _ in 0..200 {
        if let Ok(bound) = bind().await {
            return bound;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    bind().await.expect("bind the own address")
}

#[tokio::test]
async fn reset_fault_ends_open_and_new_connections_with_an_error() {
    let relay = pair((std::process::id() % 250) as u8).await;
    let listener = bind_own_address(|| TcpListener::bind(relay.addresses(1).own)).await;
    let connect = async || {
        let socket = TcpSocket::new_v4().expect("create a socket");
        socket.bind(SocketAddr::from((*relay.addresses(0).own.ip(), 0))).expect("bind the socket");
        socket.connect(relay.addresses(1).advertised.into()).await
    };
    let mut near = connect().await.expect("connect");
    let (mut far, _) = listener.accept().await.expect("accept");
    near.write_all(b"x").await.expect("write");
    assert_eq!(far.read_u8().await.expect("read the byte"), b'x');
    relay.set_wire(1, 0, LinkFault { reset: true, ..LinkFault::default() });
    let error_kind = |read: io::Result<u8>| read.expect_err("the connection is not reset").kind();
    assert_eq!(error_kind(near.read_u8().await), io::ErrorKind::ConnectionReset);
    assert_eq!(error_kind(far.read_u8().await), io::ErrorKind::ConnectionReset);
    if let Ok(mut new) = connect().await {
        assert_eq!(error_kind(new.read_u8().await), io::ErrorKind::ConnectionReset);
    }
    relay.set_wire(1, 0, LinkFault::default());
    assert!(connect().await.is_ok() && listener.accept().await.is_ok(), "connections work after the fault");
}

#[tokio::test]
async fn limited_bandwidth_delays_datagrams_and_drops_those_that_wait_too_long() {
    let relay = pair((std::process::id() % 250) as u8 + 1).await;
    let far = bind_own_address(|| UdpSocket::bind(relay.addresses(1).own)).await;
    let near = UdpSocket::bind((*relay.addresses(0).own.ip(), 0)).await.expect("bind the own address");
    relay.set_wire(0, 1, LinkFault { pace: 10_000.0, ..LinkFault::default() });
    for _ in 0..40 {
        near.send_to(&[7; 1000], relay.addresses(1).advertised).await.expect("send");
    }
    let mut received = 0;
    let mut buffer = [0; 2000];
    let timeout = Duration::from_secs(5);
    while let Ok(Ok(_)) = tokio::time::timeout(timeout, far.recv_from(&mut buffer)).await {
        received += 1;
        if received + relay.counters.dropped.load(Ordering::Relaxed) == 40 {
            break;
        }
    }
    // Ten datagrams pass per second, and those that would wait for more than 1 s are dropped.
    assert!((8..=30).contains(&received), "received {received} of 40 datagrams");
    assert!(relay.counters.dropped.load(Ordering::Relaxed) >= 10);
}
