//! Renders an answer of discovery into the bytes on the wire, and tells at which byte each piece of news is complete.

use crate::delivery::{Framing, Layout};
use crate::ids::{EndpointId, Version};
use crate::roster::{Entry, List};
use std::fmt::Write;

/// The version at which no endpoint had changed yet.
const FIRST_VERSION: Version = Version(1);
/// Separates the hashes of consecutive names.
const NAME_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// News that is complete once the byte before `end` is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mark {
    /// Bytes of the wire up to here.
    pub end: usize,
    /// Of which endpoint.
    pub endpoint: EndpointId,
    /// It takes nothing new.
    pub closed: bool,
    /// It is told by its absence from a whole list, not by a row.
    pub left_out: bool,
}

/// An answer as it goes over the wire.
#[derive(Debug)]
pub struct Wire {
    /// Head and body.
    pub bytes: Vec<u8>,
    /// The news in it, in the order in which it is complete.
    pub marks: Vec<Mark>,
}

/// The name of an endpoint on the wire; of the length that names have in large fleets.
pub fn name(endpoint: EndpointId) -> String {
    let hash = (endpoint.0 as u64 + 1).wrapping_mul(NAME_FACTOR);
    format!("checkout-backend-{:05}-{hash:016x}", endpoint.0)
}

/// Renders a list.
pub fn render(list: &List, layout: Layout, framing: Framing) -> Wire {
    let Body { text, marks } = render_body(list, layout);
    let mut bytes = head(framing, text.len()).into_bytes();
    let body_from = bytes.len();
    match framing {
        Framing::Length => bytes.extend_from_slice(text.as_bytes()),
        Framing::Chunked { size } => append_chunks(&mut bytes, text.as_bytes(), size),
    }
    let on_wire = |mark: Mark| Mark { end: body_from + end_on_wire(framing, mark.end, text.len()), ..mark };
    Wire { bytes, marks: marks.into_iter().map(on_wire).collect() }
}

struct Body {
    text: String,
    marks: Vec<Mark>,
}

fn render_body(list: &List, layout: Layout) -> Body {
    let (line, gap) = match layout {
        Layout::Compact => ("", ""),
        Layout::Indented => ("\n  ", " "),
    };
    let mut text = String::new();
    let mut marks = Vec::new();
    let (version, snapshot) = (list.version.0, list.snapshot);
    // Writing into a string never fails.
    let _ = write!(text, r#"{{{line}"index":{gap}{version},{line}"snapshot":{gap}{snapshot},"#);
    let _ = write!(text, r#"{line}"endpoints":{gap}["#);
    for (place, entry) in list.rows.iter().enumerate() {
        if place > 0 {
            text.push(',');
        }
        render_row(&mut text, entry, layout);
        if entry.status.is_closed() || entry.changed > FIRST_VERSION {
            let closed = entry.status.is_closed();
            marks.push(Mark { end: text.len(), endpoint: entry.id, closed, left_out: false });
        }
    }
    text.push_str(if layout == Layout::Indented { "\n  ]\n}" } else { "]}" });
    let end = text.len();
    marks.extend(list.left_out.iter().map(|&endpoint| Mark { end, endpoint, closed: true, left_out: true }));
    Body { text, marks }
}

fn render_row(text: &mut String, entry: &Entry, layout: Layout) {
    let (open, line, gap, close) = match layout {
        Layout::Compact => ("", "", "", ""),
        Layout::Indented => ("\n    ", "\n      ", " ", "\n    "),
    };
    let Entry { id, address, zone, group, status, since_ms, .. } = entry;
    let (name, status) = (name(*id), status.word());
    let _ = write!(text, r#"{open}{{{line}"name":{gap}"{name}",{line}"address":{gap}"{address}","#);
    let _ = write!(text, r#"{line}"zone":{gap}"{zone}",{line}"type":{gap}"m2",{line}"group":{gap}{group},"#);
    let _ = write!(text, r#"{line}"status":{gap}"{status}",{line}"weight":{gap}1.0,"#);
    let _ = write!(text, r#"{line}"since_ms":{gap}{since_ms}{close}}}"#);
}

fn head(framing: Framing, length: usize) -> String {
    let framing = match framing {
        Framing::Length => format!("Content-Length: {length}"),
        Framing::Chunked { .. } => "Transfer-Encoding: chunked".to_owned(),
    };
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n{framing}\r\n\r\n")
}

fn append_chunks(bytes: &mut Vec<u8>, body: &[u8], size: usize) {
    for chunk in body.chunks(size) {
        bytes.extend_from_slice(chunk_line(chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
}

fn chunk_line(length: usize) -> String {
    format!("{length:x}\r\n")
}

/// Where the first `end` bytes of a body of this length end on the wire, from the end of the head.
fn end_on_wire(framing: Framing, end: usize, length: usize) -> usize {
    let Framing::Chunked { size } = framing else { return end };
    let before = end.saturating_sub(1) / size;
    let this = size.min(length - before * size);
    let full = chunk_line(size).len() + size + 2;
    before * full + chunk_line(this).len() + (end - before * size)
}
