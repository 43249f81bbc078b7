//! What failed calls on sockets mean for the service.

use cometcroft_platform::Stream;
use std::io;

/// The process has no descriptor left (EMFILE).
const PROCESS_LIMIT: i32 = 24;
/// The machine has no descriptor left (ENFILE).
const MACHINE_LIMIT: i32 = 23;

/// Asks the system to send small writes at once. Where it cannot (EINVAL on a connection that is just being reset, ENOBUFS), a
/// connection is slower and nothing else, so that is no reason to close one that may bring a request.
pub fn enable_nodelay<S: Stream>(stream: &S) {
    let _ = stream.set_nodelay();
}

/// Whether an accept failed for lack of a descriptor, so that closing a connection helps. A peer that has left
/// (ECONNABORTED, EPROTO), a firewall (EPERM) and a lack of memory (ENOBUFS, ENOMEM) are not helped by it.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(PROCESS_LIMIT | MACHINE_LIMIT))
}
