//! Calls that a signal interrupts are retried.

use cometcroft_platform::{RetryingStream, retry_interrupted};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

/// A stream on which each call is interrupted twice before it reads or writes one byte.
#[derive(Default)]
struct InterruptedStream {
    calls: u32,
    written: Vec<u8>,
}

impl InterruptedStream {
    fn next_is_interrupted(&mut self) -> bool {
        self.calls += 1;
        !self.calls.is_multiple_of(3)
    }
}

impl AsyncRead for InterruptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.next_is_interrupted() {
            return Poll::Ready(Err(io::ErrorKind::Interrupted.into()));
        }
        buffer.put_slice(b"x");
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for InterruptedStream {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.next_is_interrupted() {
            return Poll::Ready(Err(io::ErrorKind::Interrupted.into()));
        }
        self.written.push(bytes[0]);
        Poll::Ready(Ok(1))
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let interrupted = self.next_is_interrupted();
        Poll::Ready(if interrupted { Err(io::ErrorKind::Interrupted.into()) } else { Ok(()) })
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_flush(context)
    }
}

#[test]
fn interrupted_reads_and_writes_are_retried_without_loss() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("runtime");
    runtime.block_on(async {
        let mut stream = RetryingStream::from(InterruptedStream::default());
        stream.write_all(b"hello").await.expect("written");
        let mut bytes = [0; 4];
        stream.read_exact(&mut bytes).await.expect("read");
        stream.shutdown().await.expect("shut down");
        assert_eq!((&bytes, stream.get_ref().written.as_slice()), (b"xxxx", b"hello".as_slice()));
    });
}

#[test]
fn interrupted_calls_are_retried_and_other_errors_are_returned() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("runtime");
    runtime.block_on(async {
        let calls = Cell::new(0);
        let succeeds_on_third_call = || async {
            calls.set(calls.get() + 1);
            if calls.get() < 3 { Err(io::ErrorKind::Interrupted.into()) } else { Ok(calls.get()) }
        };
        assert_eq!(retry_interrupted(succeeds_on_third_call).await.expect("retried"), 3);
        let connection_refused = || async { Err::<(), _>(io::Error::from(io::ErrorKind::ConnectionRefused)) };
        let error = retry_interrupted(connection_refused).await.expect_err("connection refused");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused);
    });
}
