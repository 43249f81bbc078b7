//! The time that an endpoint needs at least for a response, and responses that come too soon to be one. No I/O.
//!
//! Some endpoints send a second copy of a response. One that arrives just after the next request was written looks like the
//! response to that request, as responses carry no id. But it was sent before the request arrived, so it comes sooner than the
//! endpoint can respond. On a connection without an earlier response there is nothing to copy, so the fastest response on such
//! connections shows what the endpoint can do.

use std::time::Duration;

/// Endpoints that respond faster than this are not judged: their responses come as soon as a copy does.
const MIN_JUDGED: Duration = Duration::from_millis(8);
/// A response is too soon if it takes less than this part of the fastest one.
const TOO_SOON_FRACTION: u32 = 4;
/// Upper bound of the time that is too soon. A copy arrives within the round trip between two zones.
const MAX_TOO_SOON: Duration = Duration::from_millis(5);

/// The fastest response of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseTime {
    fastest: Option<Duration>,
}

impl ResponseTime {
    /// Records the time from the first byte of a request to the end of its response, on a connection that carried no response
    /// before.
    pub fn record(&mut self, time: Duration) {
        self.fastest = Some(self.fastest.map_or(time, |fastest| fastest.min(time)));
    }

    /// Whether a response that took this long on a connection that was used before was sent before its request arrived.
    pub fn is_too_soon(&self, time: Duration) -> bool {
        let judged = self.fastest.filter(|fastest| *fastest >= MIN_JUDGED);
        judged.is_some_and(|fastest| time < (fastest / TOO_SOON_FRACTION).min(MAX_TOO_SOON))
    }
}
