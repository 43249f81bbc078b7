//! A read or a write that fails for lack of memory has had no effect and its connection still works, so it is retried.
#![allow(clippy::disallowed_methods)]

use cometcroft_platform::RetryingStream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

const ENOMEM: i32 = 12;
const ENOBUFS: i32 = 105;

/// A stream whose first calls fail with `error`; the later ones succeed.
struct FailingStream {
    error: i32,
    failures: u32,
    calls: u32,
    written: Vec<u8>,
}

impl FailingStream {
    fn new(error: i32, failures: u32) -> FailingStream {
        FailingStream { error, failures, calls: 0, written: Vec::new() }
    }

    fn next_call(&mut self) -> io::Result<()> {
        self.calls += 1;
        if self.calls <= self.failures { Err(io::Error::from_raw_os_error(self.error)) } else { Ok(()) }
    }
}

impl AsyncRead for FailingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.next_call()?;
        buffer.put_slice(b"hi");
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for FailingStream {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.next_call()?;
        self.written.extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_time().build().expect("runtime").block_on(work);
}

#[test]
fn calls_that_fail_for_lack_of_memory_are_retried_without_loss() {
    for error in [ENOBUFS, ENOMEM] {
        run(async {
            let mut stream = RetryingStream::from(FailingStream::new(error, 3));
            stream.write_all(b"hello").await.expect("written");
            assert_eq!((stream.get_ref().written.as_slice(), stream.get_ref().calls), (&b"hello"[..], 4));
            let mut stream = RetryingStream::from(FailingStream::new(error, 3));
            let mut bytes = [0; 2];
            stream.read_exact(&mut bytes).await.expect("read");
            assert_eq!((&bytes, stream.get_ref().calls), (b"hi", 4));
        });
    }
}

/// A lasting lack of memory neither fails the call nor makes it retry in a busy loop; the caller sets the timeout.
#[test]
fn a_lasting_lack_of_memory_is_retried_with_delays() {
    run(async {
        let mut stream = RetryingStream::from(FailingStream::new(ENOBUFS, u32::MAX));
        let result = tokio::time::timeout(Duration::from_millis(60), stream.write_all(b"hello")).await;
        assert!(result.is_err(), "{result:?}");
        let calls = stream.get_ref().calls;
        assert!((2..=60).contains(&calls), "{calls} calls in 60 ms");
    });
}

/// All other errors are returned at once.
#[test]
fn other_errors_are_returned() {
    const ECONNRESET: i32 = 104;
    run(async {
        let mut stream = RetryingStream::from(FailingStream::new(ECONNRESET, 1));
        let error = stream.write_all(b"hello").await.expect_err("reset");
        assert_eq!(error.raw_os_error(), Some(ECONNRESET));
    });
}
