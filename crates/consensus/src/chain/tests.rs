//! Tests of the chain of entries.

use super::*;

#[test]
fn encoding_and_checksums_of_entries_are_unchanged() {
    let voters = VoterSet { epoch: Epoch { bootstrap_id: 1 << 20, number: 3 }, starts: vec![300, 0, 301] };
    let entries = [Entry::Voters(voters), Entry::Command(vec![1, 2, 3])];
    let mut chain = Chain::default();
    let mut seen = Vec::new();
    for entry in entries {
        let bytes = postcard::to_stdvec(&entry).expect("bytes");
        chain.push(entry);
        seen.push((bytes, chain.last().index, chain.last().sum));
    }
    assert_eq!(seen[0], (vec![1, 128, 128, 64, 3, 3, 172, 2, 0, 173, 2], 1, 10_715_259_109_869_248_505));
    assert_eq!(seen[1], (vec![0, 3, 1, 2, 3], 2, 5_283_757_917_422_318_437));
}
