//! Retries of system calls that failed without any effect: immediately if a signal interrupted the call, after a delay if
//! the system had no memory for it. Neither failure means that the connection is broken.

use rustix::io::Errno;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// Delay before a call that failed for lack of memory is retried.
const OUT_OF_MEMORY_DELAY: Duration = Duration::from_millis(2);

/// A stream that retries reads and writes that were interrupted (`EINTR`) or failed for lack of memory (`ENOBUFS`,
/// `ENOMEM`). The lack of memory may last, so the caller has to set a timeout.
#[derive(Debug)]
pub struct RetryingStream<S> {
    stream: S,
    read_delay: RetryDelay,
    write_delay: RetryDelay,
}

/// The delay before the next call; `None` unless the last one failed for lack of memory.
type RetryDelay = Option<Pin<Box<Sleep>>>;

impl<S> RetryingStream<S> {
    /// The wrapped stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }
}

impl<S> From<S> for RetryingStream<S> {
    fn from(stream: S) -> RetryingStream<S> {
        RetryingStream { stream, read_delay: None, write_delay: None }
    }
}

/// Repeats a call until it is not interrupted by a signal, and returns its result. An interrupted call has had no effect.
pub async fn retry_interrupted<T, F: Future<Output = io::Result<T>>>(
    mut call: impl FnMut() -> F,
) -> io::Result<T> {
    loop {
        match call().await {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

fn is_out_of_memory(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM))
}

/// Repeats a poll until it is neither interrupted nor out of memory, and returns its result.
fn poll_with_retries<T>(
    delay: &mut RetryDelay,
    context: &mut Context<'_>,
    mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    loop {
        if let Some(sleep) = delay {
            ready!(sleep.as_mut().poll(context));
            *delay = None;
        }
        match call(context) {
            Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            Poll::Ready(Err(error)) if is_out_of_memory(&error) => *delay = Some(out_of_memory_delay()),
            result => return result,
        }
    }
}

// This type wraps streams of the tokio runtime, so tokio's own clock is the right one.
#[allow(clippy::disallowed_methods)]
fn out_of_memory_delay() -> Pin<Box<Sleep>> {
    Box::pin(tokio::time::sleep(OUT_OF_MEMORY_DELAY))
}

impl<S: AsyncRead + Unpin> AsyncRead for RetryingStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let RetryingStream { stream, read_delay, .. } = self.get_mut();
        poll_with_retries(read_delay, context, |context| Pin::new(&mut *stream).poll_read(context, buffer))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RetryingStream<S> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let RetryingStream { stream, write_delay, .. } = self.get_mut();
        poll_with_retries(write_delay, context, |context| Pin::new(&mut *stream).poll_write(context, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let RetryingStream { stream, write_delay, .. } = self.get_mut();
        poll_with_retries(write_delay, context, |context| Pin::new(&mut *stream).poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let RetryingStream { stream, write_delay, .. } = self.get_mut();
        poll_with_retries(write_delay, context, |context| Pin::new(&mut *stream).poll_shutdown(context))
    }
}
