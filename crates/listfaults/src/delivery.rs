//! How an answer is written: its form, its pace and its end. A plan is compiled into steps that the server takes. No I/O.

use std::fmt;
use std::time::Duration;

/// Bytes that were written get so much time to arrive before a reset may destroy them.
const SETTLE: Duration = Duration::from_millis(20);

/// White space of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layout {
    /// None.
    Compact,
    /// One field a line: about twice the size.
    Indented,
}

/// How the answer tells its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length`.
    Length,
    /// Chunks of this size.
    Chunked {
        /// Bytes of a chunk.
        size: usize,
    },
}

/// The pace of the bytes. Places are shares of the whole answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Pace {
    /// In one piece.
    AtOnce,
    /// In pieces with pauses.
    Pieces {
        /// Where a pause is made.
        cuts: Vec<f64>,
        /// The pause.
        pause: Duration,
    },
    /// Steadily, with short gaps.
    Drip {
        /// The gap between two pieces.
        gap: Duration,
        /// The time that the whole answer takes.
        total: Duration,
    },
    /// A stretch byte by byte, the rest at once.
    ByteByByte {
        /// Where the stretch begins.
        from: f64,
        /// Its length in bytes.
        bytes: usize,
        /// The gap between two bytes.
        gap: Duration,
    },
}

/// How the answer ends. Places are shares of the whole answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ending {
    /// It comes whole.
    Whole,
    /// It stops; the connection stays open and silent.
    Silent(f64),
    /// The connection is reset.
    Reset(f64),
    /// The connection is closed in good order, short of the answer's end.
    Closed(f64),
}

/// The plan of one answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Delivery {
    /// White space.
    pub layout: Layout,
    /// How it tells its length.
    pub framing: Framing,
    /// It begins so much later than it could.
    pub delay: Duration,
    /// The pace.
    pub pace: Pace,
    /// The end.
    pub ending: Ending,
    /// Where the sidecar is told by SIGHUP that discovery has moved.
    pub moves: Option<f64>,
}

/// One step of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Write all bytes up to here.
    WriteTo(usize),
    /// Wait.
    Pause(Duration),
    /// Have the sidecar move to its other address of discovery.
    Move,
    /// Write nothing more and leave the connection open.
    Silence,
    /// Reset the connection.
    Reset,
    /// Close the connection.
    Close,
}

impl Delivery {
    /// In one piece, at once, whole.
    pub fn plain() -> Delivery {
        Delivery {
            layout: Layout::Compact,
            framing: Framing::Length,
            delay: Duration::ZERO,
            pace: Pace::AtOnce,
            ending: Ending::Whole,
            moves: None,
        }
    }

    /// The steps by which an answer of this length is written.
    pub fn steps(&self, length: usize) -> Vec<Step> {
        let end = self.ending.at().map_or(length, |share| place(share, length));
        let mut breaks: Vec<(usize, Step)> = self.pace.pauses(length);
        breaks.extend(self.moves.map(|share| (place(share, length), Step::Move)));
        breaks.retain(|&(at, _)| at < end);
        breaks.sort_by_key(|&(at, _)| at);
        let mut steps: Vec<Step> =
            breaks.into_iter().flat_map(|(at, step)| [Step::WriteTo(at), step]).collect();
        steps.push(Step::WriteTo(end));
        match self.ending {
            Ending::Whole => {}
            Ending::Silent(_) => steps.push(Step::Silence),
            Ending::Reset(_) => steps.extend([Step::Pause(SETTLE), Step::Reset]),
            Ending::Closed(_) => steps.push(Step::Close),
        }
        steps
    }
}

impl Ending {
    fn at(self) -> Option<f64> {
        match self {
            Ending::Whole => None,
            Ending::Silent(at) | Ending::Reset(at) | Ending::Closed(at) => Some(at),
        }
    }
}

impl Pace {
    /// The offsets at which a pause is made.
    fn pauses(&self, length: usize) -> Vec<(usize, Step)> {
        match self {
            Pace::AtOnce => Vec::new(),
            Pace::Pieces { cuts, pause } => {
                cuts.iter().map(|&cut| (place(cut, length), Step::Pause(*pause))).collect()
            }
            Pace::Drip { gap, total } => {
                let pieces = (total.as_secs_f64() / gap.as_secs_f64()).ceil().max(1.0) as usize;
                let cut = |piece: usize| (length * piece / pieces, Step::Pause(*gap));
                (1..pieces).map(cut).collect()
            }
            Pace::ByteByByte { from, bytes, gap } => {
                let from = place(*from, length);
                (from..length.min(from + bytes)).map(|at| (at, Step::Pause(*gap))).collect()
            }
        }
    }
}

/// An offset of at least one byte and short of the whole.
fn place(share: f64, length: usize) -> usize {
    let at = (length as f64 * share) as usize;
    at.clamp(1, length.saturating_sub(1).max(1))
}

impl fmt::Display for Delivery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.framing {
            Framing::Length => write!(f, "Content-Length")?,
            Framing::Chunked { size } => write!(f, "chunks of {size}")?,
        }
        if self.layout == Layout::Indented {
            write!(f, ", indented")?;
        }
        if !self.delay.is_zero() {
            write!(f, ", {} ms late", self.delay.as_millis())?;
        }
        match &self.pace {
            Pace::AtOnce => write!(f, ", in one piece")?,
            Pace::Pieces { cuts, pause } => {
                write!(f, ", {} pieces with pauses of {} ms", cuts.len() + 1, pause.as_millis())?;
            }
            Pace::Drip { gap, total } => {
                write!(f, ", drip every {} ms for {} ms", gap.as_millis(), total.as_millis())?;
            }
            Pace::ByteByByte { from, bytes, gap } => {
                write!(f, ", {bytes} bytes one by one from {from:.3} every {} us", gap.as_micros())?;
            }
        }
        match self.ending {
            Ending::Whole => write!(f, ", whole")?,
            Ending::Silent(at) => write!(f, ", silent from {at:.3}")?,
            Ending::Reset(at) => write!(f, ", reset at {at:.3}")?,
            Ending::Closed(at) => write!(f, ", closed at {at:.3}")?,
        }
        match self.moves {
            Some(at) => write!(f, ", SIGHUP at {at:.3}"),
            None => Ok(()),
        }
    }
}
