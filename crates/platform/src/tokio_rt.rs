//! The platform of the sidecar's program: tokio on one thread, inside a `LocalSet`. The network code reaches tokio's
//! clock, sockets and tasks only through this module; `clippy.toml` forbids direct calls in the other packages.
#![allow(clippy::disallowed_methods)]

use crate::{Datagrams, Listener, Platform, RetryingStream, Stream, Task, retry_interrupted};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::{IpAddr, SocketAddr};
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::task::JoinHandle;

/// The sockets, clock and local tasks of tokio; must be used inside a `LocalSet`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tokio;

/// A task that was spawned on tokio's `LocalSet`.
#[derive(Debug)]
pub struct LocalTask(JoinHandle<()>);

impl Future for LocalTask {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.0).poll(cx).map(|_| ())
    }
}

impl Task for LocalTask {
    fn abort(&self) {
        self.0.abort();
    }
}

impl Stream for RetryingStream<TcpStream> {
    fn set_nodelay(&self) -> io::Result<()> {
        self.get_ref().set_nodelay(true)
    }

    fn limit_unsent(&self, bytes: u32) -> io::Result<()> {
        socket2::SockRef::from(self.get_ref()).set_tcp_notsent_lowat(bytes)
    }

    fn is_idle(&self) -> bool {
        // The runtime may not have polled the socket yet, so its readiness can be out of date: peek at the socket.
        let mut byte = [MaybeUninit::uninit()];
        let socket = socket2::SockRef::from(self.get_ref());
        loop {
            match socket.peek(&mut byte) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                peeked => return matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock),
            }
        }
    }

    fn is_read_closed(&self) -> bool {
        let ready = pin!(self.get_ref().ready(Interest::READABLE));
        let polled = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }
}

impl Listener for TcpListener {
    type Stream = RetryingStream<TcpStream>;
    async fn accept(&self) -> io::Result<RetryingStream<TcpStream>> {
        let (stream, _) = retry_interrupted(|| TcpListener::accept(self)).await?;
        Ok(stream.into())
    }
}

impl Datagrams for UdpSocket {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        loop {
            match self.recv_from(buffer).await {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        loop {
            match self.try_send_to(bytes, to) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return result.map(drop),
            }
        }
    }
}

impl Platform for Tokio {
    type Stream = RetryingStream<TcpStream>;
    type Listener = TcpListener;
    type Datagrams = UdpSocket;
    type Task = LocalTask;

    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn unix(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> + 'static {
        tokio::time::sleep_until(at.into())
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> LocalTask {
        LocalTask(tokio::task::spawn_local(task))
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<RetryingStream<TcpStream>> {
        // An interrupted connect closes its socket; the next one opens a new socket.
        Ok(retry_interrupted(|| TcpStream::connect(to)).await?.into())
    }

    async fn connect_from(&self, from: IpAddr, to: SocketAddr) -> io::Result<RetryingStream<TcpStream>> {
        let connect = async || {
            let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
            socket.bind(SocketAddr::new(from, 0))?;
            socket.connect(to).await
        };
        Ok(retry_interrupted(connect).await?.into())
    }
}
