//! How the answers of discovery come: the `[delivery]` section.

use super::{Span, Time, n};
use serde::{Deserialize, Serialize};

section! {
    /// `[delivery]`: how answers of discovery are sent. The shares say which part of the answers is sent so; the rest is
    /// sent in one piece.
    DeliverySection {
        /// Share that is sent in pieces with pauses between them.
        pieces: Span = n(0.0),
        /// How many pieces.
        piece_count: Span = Span(2.0, 6.0),
        /// A pause between two of them.
        pause: Time = Time(0.01, 0.4),
        /// Share that comes slowly and steadily.
        drip: Span = n(0.0),
        /// How long 500 KB take then.
        drip_time: Time = Time(1.0, 3.0),
        /// The gap between two writes then.
        drip_gap: Time = Time(0.004, 0.06),
        /// Share that begins late.
        late: Span = n(0.0),
        /// How late.
        late_by: Time = Time(3.3, 5.0),
        /// Share that stops at a byte; the connection stays open.
        stopped: Span = n(0.0),
        /// Share that is reset at a byte.
        reset: Span = n(0.0),
        /// Share that is noise from a byte of its body on.
        spoilt: Span = n(0.0),
        /// Share in the chunked transfer coding; the rest has a `Content-Length`.
        chunked: Span = n(0.0),
        /// Share that is indented; the rest is compact.
        indented: Span = n(0.0),
        /// Share of draining nodes whose rows whole lists leave out.
        unlisted: Span = n(0.0),
    }
}

impl DeliverySection {
    /// The shares that exclude one another.
    fn manners(&self) -> [Span; 6] {
        [self.pieces, self.drip, self.late, self.stopped, self.reset, self.spoilt]
    }

    /// The field that makes no sense, and why.
    pub(super) fn check(&self) -> Result<(), (&'static str, &'static str)> {
        if self.manners().iter().map(|share| share.1).sum::<f64>() > 1.0 {
            return Err(("pieces", "the shares come to more than 1"));
        }
        if self.piece_count.0 < 1.0 {
            return Err(("piece_count", "must be at least 1"));
        }
        if self.drip_gap.0 <= 0.0 {
            return Err(("drip_gap", "must be positive"));
        }
        Ok(())
    }
}
