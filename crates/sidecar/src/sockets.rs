//! Handling of errors of socket calls.

use cometcroft_platform::Stream;
use std::io;

/// The process has reached its limit of open file descriptors.
const EMFILE: i32 = 24;
/// The host has reached its limit of open file descriptors.
const ENFILE: i32 = 23;

/// Has small writes sent without delay. An error (EINVAL on a connection that is just being reset, ENOBUFS) is ignored: the
/// connection is slower without it, which is no reason to close it, as it may carry a request.
pub fn enable_nodelay<S: Stream>(stream: &S) {
    let _ = stream.set_nodelay();
}

/// Bytes that the system holds for a client before it can send them. A client that reads 64 kB a second, the slowest that the
/// protocol names, takes them within 2 s.
pub const MAX_UNSENT_BYTES: u32 = 128 * 1024;

/// Lets writes to a client make progress as it reads, however large the system's send buffer is. An error is ignored: without
/// the limit only very slow clients of long responses are affected.
pub fn limit_unsent<S: Stream>(stream: &S) {
    let _ = stream.limit_unsent(MAX_UNSENT_BYTES);
}

/// Whether an accept failed for lack of a file descriptor, so that closing a connection helps. It does not help after a
/// disconnected client (ECONNABORTED, EPROTO), a firewall rule (EPERM) or a lack of memory (ENOBUFS, ENOMEM).
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE))
}
