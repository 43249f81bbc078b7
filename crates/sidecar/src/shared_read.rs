//! Reads from connections through one buffer for all of them, so that a connection holds no more memory than what has
//! arrived on it and is still needed.

use bytes::BytesMut;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, ReadBuf};

/// Maximum number of bytes of one read.
pub const MAX_READ: usize = 64 * 1024;

thread_local! {
    static BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; MAX_READ].into_boxed_slice());
}

/// Polls a read of at most `limit` bytes and hands the bytes to `take`. Returns their number; 0 at the end of the stream.
pub fn poll_read_with<S: AsyncRead + Unpin>(
    stream: &mut S,
    context: &mut Context<'_>,
    limit: usize,
    take: impl FnOnce(&[u8]),
) -> Poll<io::Result<usize>> {
    BUFFER.with_borrow_mut(|shared| {
        let limit = limit.min(shared.len());
        let mut buffer = ReadBuf::new(&mut shared[..limit]);
        ready!(Pin::new(stream).poll_read(context, &mut buffer))?;
        take(buffer.filled());
        Poll::Ready(Ok(buffer.filled().len()))
    })
}

/// Reads at most `limit` bytes and appends them to `buffer`. Returns their number; 0 at the end of the stream. No bytes are
/// lost if the future is dropped.
pub async fn read_into<S: AsyncRead + Unpin>(
    stream: &mut S,
    buffer: &mut BytesMut,
    limit: usize,
) -> io::Result<usize> {
    poll_fn(|context| poll_read_with(stream, context, limit, |bytes| buffer.extend_from_slice(bytes))).await
}

/// Reads and discards what has arrived. Returns the number of bytes; 0 at the end of the stream.
pub async fn discard<S: AsyncRead + Unpin>(stream: &mut S) -> io::Result<usize> {
    poll_fn(|context| poll_read_with(stream, context, MAX_READ, |_| ())).await
}
