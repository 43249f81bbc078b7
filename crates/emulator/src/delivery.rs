//! How an answer of discovery is sent: in one piece, in pieces, slowly, late, or broken at any byte. No I/O: a plan says
//! what is written when, and whoever asked for it writes.

use crate::dice::Dice;
use crate::emulator::Last;
use crate::kernel::{MS, Nanos};
use crate::scenario::{DeliverySection, Span, Time};
use bytes::{Bytes, BytesMut};

/// The size that a slow answer's time is given for.
const DRIP_SIZE: f64 = 500e3;
/// Chunk sizes of the chunked transfer coding, in bytes.
const CHUNKS: [usize; 4] = [700, 4096, 16 << 10, 64 << 10];
/// A reset follows the bytes before it after a time from this range. It takes none of them with it, so a sidecar that is
/// busy when it comes reads them later.
const RESET_AFTER: (f64, f64) = (0.0, 400.0 * MS as f64);

/// How answers are sent, as drawn.
#[derive(Debug, Clone)]
pub struct DeliveryDraw {
    /// Shares of the manners, in the order of [`Manner::DRAWN`].
    shares: [f64; 6],
    piece_count: (f64, f64),
    pause: (f64, f64),
    drip_time: (f64, f64),
    drip_gap: (f64, f64),
    late_by: (f64, f64),
    chunked: f64,
    indented: f64,
    /// Share of draining nodes whose rows whole lists leave out.
    pub unlisted: f64,
}

impl DeliveryDraw {
    /// Draws the shares of a day.
    pub fn draw(section: &DeliverySection, dice: &mut Dice) -> DeliveryDraw {
        let mut share = |span: Span| dice.within((span.0, span.1));
        let nanos = |time: Time| (time.0 * 1e9, time.1 * 1e9);
        DeliveryDraw {
            shares: [
                share(section.pieces),
                share(section.drip),
                share(section.late),
                share(section.stopped),
                share(section.reset),
                share(section.spoilt),
            ],
            piece_count: (section.piece_count.0, section.piece_count.1),
            pause: nanos(section.pause),
            drip_time: nanos(section.drip_time),
            drip_gap: nanos(section.drip_gap),
            late_by: nanos(section.late_by),
            chunked: share(section.chunked),
            indented: share(section.indented),
            unlisted: share(section.unlisted),
        }
    }
}

/// The manner in which an answer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// In one piece, at once.
    Whole,
    /// In pieces with pauses between them.
    Pieces,
    /// Slowly and steadily.
    Drip,
    /// In one piece, late.
    Late,
    /// Up to a byte; the connection stays open.
    Stopped,
    /// Up to a byte, then a reset.
    Reset,
    /// Noise from a byte on.
    Spoilt,
}

impl Manner {
    /// Those that are drawn; what is left of the shares is sent whole.
    const DRAWN: [Manner; 6] =
        [Manner::Pieces, Manner::Drip, Manner::Late, Manner::Stopped, Manner::Reset, Manner::Spoilt];
}

/// How the body is framed and laid out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Form {
    /// The chunk size, if the transfer coding is chunked.
    pub chunk: Option<usize>,
    /// Rows and fields stand on lines of their own.
    pub indented: bool,
}

/// Part of an answer.
#[derive(Debug)]
pub struct Part {
    /// When it is written, counted from the beginning.
    pub after: Nanos,
    /// Its bytes.
    pub bytes: Bytes,
    /// How the connection goes on.
    pub last: Last,
}

/// What is written of an answer, and when.
#[derive(Debug)]
pub struct Plan {
    /// The parts, in the order of their times.
    pub parts: Vec<Part>,
    /// In words: manner, size, form.
    pub words: String,
}

impl Plan {
    /// When its last part is written.
    pub fn takes(&self) -> Nanos {
        self.parts.last().map_or(0, |part| part.after)
    }
}

/// Draws how answers are sent.
#[derive(Debug)]
pub struct Courier {
    draw: DeliveryDraw,
    dice: Dice,
    /// Whether anything else than compact answers in one piece is drawn.
    varied: bool,
}

impl Courier {
    /// One that sends as this day has drawn.
    pub fn new(draw: DeliveryDraw, dice: Dice) -> Courier {
        let varied = draw.shares.iter().chain([&draw.chunked, &draw.indented]).any(|share| *share > 0.0);
        Courier { draw, dice, varied }
    }

    /// The form of the next answer.
    pub fn form(&mut self) -> Form {
        if !self.varied {
            return Form::default();
        }
        let chunked = self.dice.chance(self.draw.chunked);
        let chunk = CHUNKS[self.dice.below(CHUNKS.len())];
        Form { chunk: chunked.then_some(chunk), indented: self.dice.chance(self.draw.indented) }
    }

    /// How a list of this form is sent.
    pub fn plan(&mut self, form: Form, body: &Bytes) -> Plan {
        let manner = self.manner();
        let mut body = body.clone();
        let mut place = String::new();
        if manner == Manner::Spoilt {
            let byte = self.dice.below(body.len().max(1));
            place = format!(" from byte {byte} of the body on");
            body = spoilt(&body, byte);
        }
        let message = message(form, &body);
        let parts = match manner {
            Manner::Whole | Manner::Spoilt => vec![part(0, message.clone())],
            Manner::Late => vec![part(self.dice.within(self.draw.late_by) as Nanos, message.clone())],
            Manner::Pieces => self.pieces(&message),
            Manner::Drip => self.drip(&message),
            Manner::Stopped | Manner::Reset => {
                let byte = self.dice.below(message.len());
                place = format!(" at byte {byte}");
                let mut parts = vec![part(0, message.slice(..byte))];
                if manner == Manner::Reset {
                    let after = self.dice.within(RESET_AFTER) as Nanos;
                    parts.push(Part { after, bytes: Bytes::new(), last: Last::Reset });
                }
                parts
            }
        };
        let takes = parts.last().map_or(0, |part| part.after) as f64 / 1e9;
        let words = format!(
            "{manner:?}{place}, {} bytes in {takes:.3} s, {}{}",
            message.len(),
            if form.chunk.is_some() { "chunked" } else { "content-length" },
            if form.indented { ", indented" } else { "" },
        );
        Plan { parts, words }
    }

    fn manner(&mut self) -> Manner {
        if !self.varied {
            return Manner::Whole;
        }
        let mut at = self.dice.unit();
        for (manner, share) in Manner::DRAWN.into_iter().zip(self.draw.shares) {
            if at < share {
                return manner;
            }
            at -= share;
        }
        Manner::Whole
    }

    fn pieces(&mut self, message: &Bytes) -> Vec<Part> {
        let count = self.dice.within(self.draw.piece_count).round().max(1.0) as usize;
        let mut cuts: Vec<usize> = (1..count).map(|_| self.dice.below(message.len())).collect();
        cuts.extend([0, message.len()]);
        cuts.sort_unstable();
        let mut after = 0;
        let mut parts = Vec::new();
        for cut in cuts.windows(2).filter(|cut| cut[0] < cut[1]) {
            parts.push(part(after, message.slice(cut[0]..cut[1])));
            after += self.dice.within(self.draw.pause) as Nanos;
        }
        parts
    }

    fn drip(&mut self, message: &Bytes) -> Vec<Part> {
        let whole = self.dice.within(self.draw.drip_time) * message.len() as f64 / DRIP_SIZE;
        let gap = self.dice.within(self.draw.drip_gap);
        let writes = ((whole / gap).ceil() as usize).clamp(1, message.len());
        let size = message.len().div_ceil(writes);
        let starts = (0..message.len()).step_by(size);
        let slice = |start: usize| message.slice(start..(start + size).min(message.len()));
        starts.enumerate().map(|(i, start)| part((i as f64 * gap) as Nanos, slice(start))).collect()
    }
}

fn part(after: Nanos, bytes: Bytes) -> Part {
    Part { after, bytes, last: Last::No }
}

/// The body with noise from this byte on.
fn spoilt(body: &Bytes, from: usize) -> Bytes {
    let mut bytes = BytesMut::from(&body[..from]);
    bytes.resize(body.len(), b'#');
    bytes.freeze()
}

/// The answer as it goes over the wire.
fn message(form: Form, body: &Bytes) -> Bytes {
    let mut message = BytesMut::with_capacity(body.len() + body.len() / 64 + 128);
    match form.chunk {
        None => {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            message.extend_from_slice(head.as_bytes());
            message.extend_from_slice(body);
        }
        Some(size) => {
            message.extend_from_slice(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for chunk in body.chunks(size) {
                message.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                message.extend_from_slice(chunk);
                message.extend_from_slice(b"\r\n");
            }
            message.extend_from_slice(b"0\r\n\r\n");
        }
    }
    message.freeze()
}
