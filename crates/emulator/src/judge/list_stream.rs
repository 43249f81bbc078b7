//! Reads discovery's answers as their bytes are delivered, byte by byte, with no part of the sidecar's code: a row counts
//! from its closing brace on, whatever becomes of the rest of its answer.

/// What a delivered byte has completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Item<'a> {
    /// The beginning of the rows; the text before them.
    Begin(&'a [u8]),
    /// A row, from its opening to its closing brace.
    Row(&'a [u8]),
    /// The list; the text around its rows.
    End(&'a [u8]),
}

/// How much more of an answer is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Frame {
    /// Its head.
    Head,
    /// So many bytes of its body.
    Length(usize),
    /// The line that says how long the next chunk is.
    ChunkSize,
    /// So many bytes of a chunk.
    Chunk(usize),
    /// The end of a chunk's line.
    ChunkEnd,
    /// Lines after the last chunk.
    Trailer,
    /// Nothing that can be read.
    Garbled,
}

/// The longest head, or line of the chunked coding, that is read.
const LONGEST_LINE: usize = 16 << 10;

/// Reads the answers on one connection.
#[derive(Debug)]
pub struct ListStream {
    frame: Frame,
    /// What has come of a head or a line.
    line: Vec<u8>,
    rows: RowScanner,
    /// Whether the answer being read is a list.
    listed: bool,
}

impl Default for ListStream {
    fn default() -> ListStream {
        ListStream { frame: Frame::Head, line: Vec::new(), rows: RowScanner::default(), listed: false }
    }
}

impl ListStream {
    /// Bytes have been delivered; each item that they complete is handed on. Tells whether an answer has ended.
    pub fn push(&mut self, mut bytes: &[u8], mut found: impl FnMut(Item<'_>)) -> bool {
        let mut ended = false;
        while !bytes.is_empty() {
            let taken = match self.frame {
                Frame::Head => self.head(bytes),
                Frame::Length(left) => self.body(bytes, left, &mut found),
                Frame::Chunk(left) => self.chunk(bytes, left, &mut found),
                Frame::ChunkSize | Frame::ChunkEnd | Frame::Trailer => self.chunk_line(bytes[0]),
                Frame::Garbled => return ended,
            };
            bytes = &bytes[taken..];
            if self.frame == Frame::Head && self.line.is_empty() {
                ended = true;
            }
        }
        ended
    }

    fn head(&mut self, bytes: &[u8]) -> usize {
        for (i, byte) in bytes.iter().enumerate() {
            self.line.push(*byte);
            if self.line.ends_with(b"\r\n\r\n") {
                self.frame = self.begin_body();
                self.line.clear();
                return i + 1;
            }
        }
        if self.line.len() > LONGEST_LINE {
            self.frame = Frame::Garbled;
        }
        bytes.len()
    }

    fn begin_body(&mut self) -> Frame {
        let text = String::from_utf8_lossy(&self.line).to_ascii_lowercase();
        let header = |name: &str| {
            let lines = text.lines().skip(1).filter_map(|line| line.split_once(':'));
            lines.filter(|(key, _)| *key == name).map(|(_, value)| value.trim().to_owned()).next()
        };
        self.listed = text.split(' ').nth(1) == Some("200");
        self.rows = RowScanner::default();
        if header("transfer-encoding").as_deref() == Some("chunked") {
            return Frame::ChunkSize;
        }
        match header("content-length").map(|value| value.parse()) {
            Some(Ok(0)) | None => Frame::Head,
            Some(Ok(length)) => Frame::Length(length),
            Some(Err(_)) => Frame::Garbled,
        }
    }

    fn body(&mut self, bytes: &[u8], left: usize, found: &mut impl FnMut(Item<'_>)) -> usize {
        let taken = left.min(bytes.len());
        self.scan(&bytes[..taken], found);
        self.frame = if taken == left { Frame::Head } else { Frame::Length(left - taken) };
        taken
    }

    fn chunk(&mut self, bytes: &[u8], left: usize, found: &mut impl FnMut(Item<'_>)) -> usize {
        let taken = left.min(bytes.len());
        self.scan(&bytes[..taken], found);
        self.frame = if taken == left { Frame::ChunkEnd } else { Frame::Chunk(left - taken) };
        taken
    }

    fn chunk_line(&mut self, byte: u8) -> usize {
        self.line.push(byte);
        if self.line.len() > LONGEST_LINE {
            self.frame = Frame::Garbled;
        }
        if !self.line.ends_with(b"\r\n") {
            return 1;
        }
        let line = std::mem::take(&mut self.line);
        let line = &line[..line.len() - 2];
        self.frame = match self.frame {
            Frame::ChunkEnd if line.is_empty() => Frame::ChunkSize,
            Frame::Trailer if line.is_empty() => Frame::Head,
            Frame::Trailer => Frame::Trailer,
            Frame::ChunkSize => chunk_size(line),
            _ => Frame::Garbled,
        };
        1
    }

    fn scan(&mut self, bytes: &[u8], found: &mut impl FnMut(Item<'_>)) {
        if self.listed {
            self.rows.push(bytes, found);
        }
    }
}

fn chunk_size(line: &[u8]) -> Frame {
    let text = String::from_utf8_lossy(line);
    let digits = text.split(';').next().unwrap_or_default().trim();
    match usize::from_str_radix(digits, 16) {
        Ok(0) => Frame::Trailer,
        Ok(size) => Frame::Chunk(size),
        Err(_) => Frame::Garbled,
    }
}

/// Depth of the braces and brackets inside which rows stand: the list's object and its array.
const ROW_DEPTH: usize = 2;

/// Finds the rows in a list's text.
#[derive(Debug, Default)]
struct RowScanner {
    depth: usize,
    in_text: bool,
    escaped: bool,
    row: Vec<u8>,
    /// What stands around the rows.
    around: Vec<u8>,
}

impl RowScanner {
    fn push(&mut self, bytes: &[u8], found: &mut impl FnMut(Item<'_>)) {
        // A row within one delivery is not copied.
        let mut start = (self.depth > ROW_DEPTH).then_some(0);
        for (i, &byte) in bytes.iter().enumerate() {
            let was = self.depth;
            self.step(byte);
            if was == ROW_DEPTH && self.depth > was {
                start = Some(i);
            } else if was == ROW_DEPTH + 1 && self.depth == ROW_DEPTH {
                let row = &bytes[start.take().unwrap_or(i)..=i];
                if self.row.is_empty() {
                    found(Item::Row(row));
                } else {
                    self.row.extend_from_slice(row);
                    found(Item::Row(&self.row));
                    self.row.clear();
                }
            } else if was <= ROW_DEPTH {
                self.around.push(byte);
                match (was, self.depth) {
                    (1, ROW_DEPTH) => found(Item::Begin(&self.around)),
                    (1, 0) => found(Item::End(&self.around)),
                    _ => {}
                }
            }
        }
        if let Some(start) = start {
            self.row.extend_from_slice(&bytes[start..]);
        }
    }

    fn step(&mut self, byte: u8) {
        if self.escaped {
            self.escaped = false;
        } else if self.in_text {
            match byte {
                b'\\' => self.escaped = true,
                b'"' => self.in_text = false,
                _ => {}
            }
        } else {
            match byte {
                b'"' => self.in_text = true,
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
    }
}

/// Reads a list that is there as a whole, such as one that a process is started with.
pub fn scan_list(list: &[u8], mut found: impl FnMut(Item<'_>)) {
    RowScanner::default().push(list, &mut found);
}
