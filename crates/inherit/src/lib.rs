//! Takes over a listening socket that the parent process left open. The only package of the workspace with an `unsafe`
//! block: the standard library has no safe conversion from a number to a descriptor, and common system-call filters reject
//! the safe alternative of the operating system (`pidfd_getfd`).
#![deny(unsafe_op_in_unsafe_fn, missing_docs)]

use socket2::{Domain, Socket, Type};
use std::fmt;
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, IntoRawFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};

/// The reason why a descriptor was not taken over.
#[derive(Debug)]
pub enum InheritError {
    /// The number is negative or that of a standard stream.
    InvalidNumber,
    /// A descriptor has already been taken over.
    AlreadyTaken,
    /// The operating system reports an error, for example that the descriptor is not open or not a socket.
    System(io::Error),
    /// The descriptor is a socket, but not one that listens for TCP over IPv4 or IPv6.
    NotAListener,
}

impl fmt::Display for InheritError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InheritError::InvalidNumber => f.write_str("is not the number of an inherited descriptor"),
            InheritError::AlreadyTaken => f.write_str("has already been taken over"),
            InheritError::System(error) => write!(f, "cannot be taken over: {error}"),
            InheritError::NotAListener => f.write_str("is not a listening TCP socket"),
        }
    }
}

impl std::error::Error for InheritError {}

/// Set once a descriptor has been taken over.
static TAKEN: AtomicBool = AtomicBool::new(false);

/// Takes over the listening TCP socket with this descriptor number and makes it non-blocking. Works once per process, and
/// must be called before anything else opens descriptors, so that the number can only refer to an inherited one.
pub fn take_listener(number: RawFd) -> Result<TcpListener, InheritError> {
    if number <= 2 {
        return Err(InheritError::InvalidNumber);
    }
    if TAKEN.swap(true, Ordering::Relaxed) {
        return Err(InheritError::AlreadyTaken);
    }
    // SAFETY: the number is not negative. Nothing else in this process owns the descriptor: it was open before `main`
    // by the contract above, no other code here creates an owner from a number, and `TAKEN` lets this run once. If it is
    // not open, each call below fails with EBADF, and the owner is released without closing anything.
    let socket = unsafe { Socket::from_raw_fd(number) };
    let is_listener = (|| {
        let is_tcp =
            socket.r#type()? == Type::STREAM && matches!(socket.domain()?, Domain::IPV4 | Domain::IPV6);
        Ok(is_tcp && socket.is_listener()?)
    })();
    let result = match is_listener {
        Ok(true) => socket.set_nonblocking(true).map_err(InheritError::System),
        Ok(false) => Err(InheritError::NotAListener),
        Err(error) => Err(InheritError::System(error)),
    };
    match result {
        Ok(()) => Ok(socket.into()),
        Err(error) => {
            // A descriptor that is not taken over stays open.
            let _ = socket.into_raw_fd();
            TAKEN.store(false, Ordering::Relaxed);
            Err(error)
        }
    }
}
