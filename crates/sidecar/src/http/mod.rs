//! HTTP/1.1 as state machines that are fed bytes and know no socket; nothing else here knows HTTP.
//!
//! [`server`] is the frontend's side of a connection, [`client`] the side towards backend servers and
//! discovery. What they hand out are slices of the buffer that was read into.

pub mod client;
mod message;
pub mod server;

pub use message::{
    BodyPiece, Headers, MAX_BUFFERED_BODY, MAX_HEAD, MAX_STREAMED_BODY, ParseError, READ_WINDOW,
};
