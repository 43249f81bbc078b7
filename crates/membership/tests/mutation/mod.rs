//! Mutated messages for the fuzz tests of both codecs, which have heads and checksums of one length.

use std::path::PathBuf;
use xxhash_rust::xxh3::xxh3_64;

/// Where the messages are kept of the crate that is tested.
pub fn corpus_dir() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/corpus")
}

/// Whatever was done to it, its checksum is right.
fn seal(bytes: &mut [u8]) {
    if bytes.len() > 4 {
        let (covered, tail) = bytes.split_at_mut(bytes.len() - 4);
        let sum = xxh3_64(covered) as u32;
        tail.copy_from_slice(&sum.to_le_bytes());
    }
}

/// A message to begin with and a few things done to it.
pub fn mutate(rng: &mut fastrand::Rng, from: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = from[rng.usize(..from.len())].clone();
    for _ in 0..1 + rng.usize(..4) {
        let length = bytes.len();
        let body = 11.min(length)..length;
        match rng.u8(..6) {
            _ if body.is_empty() => break,
            0 => bytes[rng.usize(body)] ^= 1 << rng.u32(..8),
            1 => bytes[rng.usize(body)] = rng.u8(..),
            2 => bytes.truncate(rng.usize(body)),
            3 => bytes.insert(rng.usize(body), rng.u8(..)),
            4 => bytes[rng.usize(body)] = [0, 0xff, 0x80, 0x7f][rng.usize(..4)],
            _ => {
                let other = &from[rng.usize(..from.len())];
                let at = rng.usize(body);
                bytes.truncate(at);
                bytes.extend_from_slice(other.get(at..).unwrap_or_default());
            }
        }
    }
    if rng.u8(..8) > 0 {
        seal(&mut bytes);
    }
    bytes
}

/// All that is kept.
pub fn read_corpus() -> Vec<Vec<u8>> {
    let entries = std::fs::read_dir(corpus_dir()).expect("the corpus");
    let mut files: Vec<PathBuf> = entries.map(|entry| entry.expect("an entry").path()).collect();
    files.sort();
    files.iter().map(|file| std::fs::read(file).expect("a file")).collect()
}

/// How many rounds: those that `FUZZ_ROUNDS` says, else this number.
pub fn rounds(usual: u64) -> u64 {
    std::env::var("FUZZ_ROUNDS").ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}
