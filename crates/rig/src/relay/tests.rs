//! Tests of `relay` that mean its private state.

use super::*;

/// A relay between two places, with a block of addresses of its own.
async fn pair(block: u8) -> Arc<Relay> {
    let own = move |i: usize| Ipv4Addr::new(127, 90, block, 1 + i as u8);
    let reached = move |i: usize| Ipv4Addr::new(127, 90, block, 101 + i as u8);
    Relay::start(2, own, reached, 1).await.expect("addresses of loopback")
}

/// Binds a place that the relay has let go. Danger: a process that another test starts holds all sockets of this one
/// between its fork and its exec, so for a moment the place may still be taken.
async fn own_place<T, F: Future<Output = io::Result<T>>>(bind: impl Fn() -> F) -> T {
    for _ in 0..200 {
        if let Ok(bound) = bind().await {
            return bound;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    bind().await.expect("its own place")
}

#[tokio::test]
async fn connections_that_are_reset_end_with_an_error_open_ones_and_new_ones() {
    let relay = pair((std::process::id() % 250) as u8).await;
    let listener = own_place(|| TcpListener::bind(relay.place(1).own)).await;
    let connect = async || {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from((*relay.place(0).own.ip(), 0))).expect("bound");
        socket.connect(relay.place(1).reached.into()).await
    };
    let mut near = connect().await.expect("it connects");
    let (mut far, _) = listener.accept().await.expect("it comes");
    near.write_all(b"x").await.expect("written");
    assert_eq!(far.read_u8().await.expect("it passes"), b'x');
    relay.wire(1, 0, LinkFault { reset: true, ..LinkFault::default() });
    let broke = |read: io::Result<u8>| read.expect_err("it is broken").kind();
    assert_eq!(broke(near.read_u8().await), io::ErrorKind::ConnectionReset);
    assert_eq!(broke(far.read_u8().await), io::ErrorKind::ConnectionReset);
    if let Ok(mut new) = connect().await {
        assert_eq!(broke(new.read_u8().await), io::ErrorKind::ConnectionReset);
    }
    relay.wire(1, 0, LinkFault::default());
    assert!(connect().await.is_ok() && listener.accept().await.is_ok(), "it is over");
}

#[tokio::test]
async fn a_narrow_way_holds_datagrams_back_and_loses_what_waits_too_long() {
    let relay = pair((std::process::id() % 250) as u8 + 1).await;
    let far = own_place(|| UdpSocket::bind(relay.place(1).own)).await;
    let near = UdpSocket::bind((*relay.place(0).own.ip(), 0)).await.expect("its own place");
    relay.wire(0, 1, LinkFault { pace: 10_000.0, ..LinkFault::default() });
    for _ in 0..40 {
        near.send_to(&[7; 1000], relay.place(1).reached).await.expect("sent");
    }
    let mut come = 0;
    let mut buffer = [0; 2000];
    let patience = Duration::from_secs(5);
    while let Ok(Ok(_)) = tokio::time::timeout(patience, far.recv_from(&mut buffer)).await {
        come += 1;
        if come + relay.passed.lost.load(Ordering::Relaxed) == 40 {
            break;
        }
    }
    // Ten pass a second, and what would wait for more than one is lost.
    assert!((8..=30).contains(&come), "{come} of 40 came");
    assert!(relay.passed.lost.load(Ordering::Relaxed) >= 10);
}
