//! Mutation of messages, for the fuzz tests of the membership and the budget protocol. Both have a header of 11 bytes and a
//! checksum of 4 bytes at the end.

use std::path::PathBuf;
use xxhash_rust::xxh3::xxh3_64;

/// The directory of the corpus of the package under test.
pub fn corpus_dir() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/corpus")
}

/// Recomputes the checksum of a message.
fn update_checksum(bytes: &mut [u8]) {
    if bytes.len() > 4 {
        let (covered, tail) = bytes.split_at_mut(bytes.len() - 4);
        let sum = xxh3_64(covered) as u32;
        tail.copy_from_slice(&sum.to_le_bytes());
    }
}

/// A random message of the corpus with a few random mutations after its header. In seven of eight cases its checksum is
/// correct.
pub fn mutate(rng: &mut fastrand::Rng, corpus: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = corpus[rng.usize(..corpus.len())].clone();
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
                let other = &corpus[rng.usize(..corpus.len())];
                let at = rng.usize(body);
                bytes.truncate(at);
                bytes.extend_from_slice(other.get(at..).unwrap_or_default());
            }
        }
    }
    if rng.u8(..8) > 0 {
        update_checksum(&mut bytes);
    }
    bytes
}

/// All messages of the corpus, ordered by file name.
pub fn read_corpus() -> Vec<Vec<u8>> {
    let entries = std::fs::read_dir(corpus_dir()).expect("the corpus directory can be read");
    let mut files: Vec<PathBuf> = entries.map(|entry| entry.expect("a directory entry").path()).collect();
    files.sort();
    files.iter().map(|file| std::fs::read(file).expect("the file can be read")).collect()
}

/// The number of rounds: the environment variable `FUZZ_ROUNDS`, or `default` if it is not set.
pub fn rounds(default: u64) -> u64 {
    std::env::var("FUZZ_ROUNDS").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
