//! What a signal interrupts is made again.

use cometcroft_platform::{RetryingStream, retry_interrupted};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

/// A stream whose every call is interrupted twice, and that then takes or gives one byte.
#[derive(Default)]
struct Interrupting {
    calls: u32,
    written: Vec<u8>,
}

impl Interrupting {
    fn interrupted(&mut self) -> bool {
        self.calls += 1;
        !self.calls.is_multiple_of(3)
    }
}

impl AsyncRead for Interrupting {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.interrupted() {
            return Poll::Ready(Err(io::ErrorKind::Interrupted.into()));
        }
        buffer.put_slice(b"x");
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Interrupting {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.interrupted() {
            return Poll::Ready(Err(io::ErrorKind::Interrupted.into()));
        }
        self.written.push(bytes[0]);
        Poll::Ready(Ok(1))
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let interrupted = self.interrupted();
        Poll::Ready(if interrupted { Err(io::ErrorKind::Interrupted.into()) } else { Ok(()) })
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_flush(context)
    }
}

#[test]
fn interrupted_reads_and_writes_are_made_again_and_lose_nothing() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        let mut stream = RetryingStream::from(Interrupting::default());
        stream.write_all(b"hello").await.expect("written");
        let mut bytes = [0; 4];
        stream.read_exact(&mut bytes).await.expect("read");
        stream.shutdown().await.expect("shut");
        assert_eq!((&bytes, stream.get_ref().written.as_slice()), (b"xxxx", b"hello".as_slice()));
    });
}

#[test]
fn interrupted_calls_are_made_again_and_others_fail() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        let calls = Cell::new(0);
        let interrupted_twice = || async {
            calls.set(calls.get() + 1);
            if calls.get() < 3 { Err(io::ErrorKind::Interrupted.into()) } else { Ok(calls.get()) }
        };
        assert_eq!(retry_interrupted(interrupted_twice).await.expect("made"), 3);
        let refused = || async { Err::<(), _>(io::Error::from(io::ErrorKind::ConnectionRefused)) };
        let error = retry_interrupted(refused).await.expect_err("refused");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused);
    });
}
