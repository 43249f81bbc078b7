//! Calls that failed and have done nothing are made again: what a signal interrupted at once, and what the system had no
//! memory for after a pause. Neither says anything of a connection.

use rustix::io::Errno;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// A call for which there was no memory is made again after this time.
const LACK_PAUSE: Duration = Duration::from_millis(2);

/// A stream whose reads and writes are made again where they were interrupted (`EINTR`) or there was no memory for them
/// (`ENOBUFS`, `ENOMEM`). A lack may last; whoever reads or writes bounds the wait.
#[derive(Debug)]
pub struct RetryingStream<S> {
    stream: S,
    read_pause: Pause,
    write_pause: Pause,
}

/// The time until a call is made again; none where the last one was not short of memory.
type Pause = Option<Pin<Box<Sleep>>>;

impl<S> RetryingStream<S> {
    /// The stream itself.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }
}

impl<S> From<S> for RetryingStream<S> {
    fn from(stream: S) -> RetryingStream<S> {
        RetryingStream { stream, read_pause: None, write_pause: None }
    }
}

/// The first result of a call that no signal interrupted. A call that was interrupted has done nothing.
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

fn lacks_memory(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM))
}

/// The first result of a poll that was neither interrupted nor short of memory.
fn resume<T>(
    pause: &mut Pause,
    context: &mut Context<'_>,
    mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    loop {
        if let Some(wait) = pause {
            ready!(wait.as_mut().poll(context));
            *pause = None;
        }
        match call(context) {
            Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            Poll::Ready(Err(error)) if lacks_memory(&error) => *pause = Some(sleep()),
            result => return result,
        }
    }
}

/// The daemon's streams live on its runtime's clock.
#[allow(clippy::disallowed_methods)]
fn sleep() -> Pin<Box<Sleep>> {
    Box::pin(tokio::time::sleep(LACK_PAUSE))
}

impl<S: AsyncRead + Unpin> AsyncRead for RetryingStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let RetryingStream { stream, read_pause, .. } = self.get_mut();
        resume(read_pause, context, |context| Pin::new(&mut *stream).poll_read(context, buffer))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RetryingStream<S> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let RetryingStream { stream, write_pause, .. } = self.get_mut();
        resume(write_pause, context, |context| Pin::new(&mut *stream).poll_write(context, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let RetryingStream { stream, write_pause, .. } = self.get_mut();
        resume(write_pause, context, |context| Pin::new(&mut *stream).poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let RetryingStream { stream, write_pause, .. } = self.get_mut();
        resume(write_pause, context, |context| Pin::new(&mut *stream).poll_shutdown(context))
    }
}
