//! Takes over a listening socket that whoever started this process left open. The one place in the workspace with an
//! `unsafe` block: the standard library has no safe way from a number to a descriptor, and the system's own
//! (`pidfd_getfd`) is refused by common system-call filters.
#![deny(unsafe_op_in_unsafe_fn, missing_docs)]

use socket2::{Domain, Socket, Type};
use std::fmt;
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, IntoRawFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};

/// Why a descriptor is not taken over.
#[derive(Debug)]
pub enum InheritError {
    /// It is a standard stream, or no number that a descriptor can have.
    InvalidNumber,
    /// A descriptor has been taken over before.
    AlreadyTaken,
    /// The system says that it is not open, or no socket.
    System(io::Error),
    /// It is a socket, but not one that listens for TCP over IPv4 or IPv6.
    NotAListener,
}

impl fmt::Display for InheritError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InheritError::InvalidNumber => f.write_str("is not the number of an inherited descriptor"),
            InheritError::AlreadyTaken => f.write_str("has been taken over before"),
            InheritError::System(error) => write!(f, "can't be taken over: {error}"),
            InheritError::NotAListener => f.write_str("is no listening TCP socket"),
        }
    }
}

impl std::error::Error for InheritError {}

static TAKEN: AtomicBool = AtomicBool::new(false);

/// The listening TCP socket with this number, set not to block. Once a process: to be called before anything else opens
/// descriptors, so that the number can only stand for what was inherited.
pub fn take_listener(number: RawFd) -> Result<TcpListener, InheritError> {
    if number <= 2 {
        return Err(InheritError::InvalidNumber);
    }
    if TAKEN.swap(true, Ordering::Relaxed) {
        return Err(InheritError::AlreadyTaken);
    }
    // SAFETY: the number is not negative. Nothing else in this process owns the descriptor: it was open before `main`
    // by the contract above, no other code here makes an owner from a number, and `TAKEN` lets this run once. Should
    // it not be open, each call below fails with EBADF, and the owner is given up without closing anything.
    let socket = unsafe { Socket::from_raw_fd(number) };
    let listens = (|| {
        let tcp = socket.r#type()? == Type::STREAM && matches!(socket.domain()?, Domain::IPV4 | Domain::IPV6);
        Ok(tcp && socket.is_listener()?)
    })();
    let fit = match listens {
        Ok(true) => socket.set_nonblocking(true).map_err(InheritError::System),
        Ok(false) => Err(InheritError::NotAListener),
        Err(error) => Err(InheritError::System(error)),
    };
    match fit {
        Ok(()) => Ok(socket.into()),
        Err(refused) => {
            // What is not a listener of ours is left as it was found.
            let _ = socket.into_raw_fd();
            TAKEN.store(false, Ordering::Relaxed);
            Err(refused)
        }
    }
}
