//! HTTP/1.1 as state machines that are fed bytes and know no sockets; no other module parses HTTP.
//!
//! [`server`] is the side towards clients, [`client`] the side towards endpoints and discovery. What they
//! return are slices of the buffer that was read into.

pub mod client;
mod message;
pub mod server;

pub use message::{
    BodyPiece, Headers, MAX_BUFFERED_BODY, MAX_HEAD, MAX_STREAMED_BODY, ParseError, READ_WINDOW,
};
