//! A read or a write that fails for lack of memory has done nothing, and its connection is sound: it is made again.
#![allow(clippy::disallowed_methods)]

use cometcroft_platform::RetryingStream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

const ENOMEM: i32 = 12;
const ENOBUFS: i32 = 105;

/// A stream that has no memory for the first calls, and then takes or gives all.
struct Lacking {
    error: i32,
    failures: u32,
    calls: u32,
    written: Vec<u8>,
}

impl Lacking {
    fn new(error: i32, failures: u32) -> Lacking {
        Lacking { error, failures, calls: 0, written: Vec::new() }
    }

    fn lacks(&mut self) -> io::Result<()> {
        self.calls += 1;
        if self.calls <= self.failures { Err(io::Error::from_raw_os_error(self.error)) } else { Ok(()) }
    }
}

impl AsyncRead for Lacking {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.lacks()?;
        buffer.put_slice(b"hi");
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Lacking {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.lacks()?;
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
    tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime").block_on(work);
}

#[test]
fn what_failed_for_lack_of_memory_is_made_again_and_loses_nothing() {
    for error in [ENOBUFS, ENOMEM] {
        run(async {
            let mut stream = RetryingStream::from(Lacking::new(error, 3));
            stream.write_all(b"hello").await.expect("written");
            assert_eq!((stream.get_ref().written.as_slice(), stream.get_ref().calls), (&b"hello"[..], 4));
            let mut stream = RetryingStream::from(Lacking::new(error, 3));
            let mut bytes = [0; 2];
            stream.read_exact(&mut bytes).await.expect("read");
            assert_eq!((&bytes, stream.get_ref().calls), (b"hi", 4));
        });
    }
}

/// A lack that lasts neither fails the call nor makes it spin; its caller bounds it.
#[test]
fn a_lack_that_lasts_is_asked_after_now_and_then() {
    run(async {
        let mut stream = RetryingStream::from(Lacking::new(ENOBUFS, u32::MAX));
        let waited = tokio::time::timeout(Duration::from_millis(60), stream.write_all(b"hello")).await;
        assert!(waited.is_err(), "{waited:?}");
        let calls = stream.get_ref().calls;
        assert!((2..=60).contains(&calls), "{calls} calls in 60 ms");
    });
}

/// Whatever else fails is told at once.
#[test]
fn other_errors_are_told() {
    const ECONNRESET: i32 = 104;
    run(async {
        let mut stream = RetryingStream::from(Lacking::new(ECONNRESET, 1));
        let error = stream.write_all(b"hello").await.expect_err("a reset");
        assert_eq!(error.raw_os_error(), Some(ECONNRESET));
    });
}
