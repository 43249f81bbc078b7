//! Unit tests of the encoding.

use super::*;

#[test]
fn truncated_corrupted_and_other_fleets_messages_are_not_decoded() {
    let ballot = Ballot { term: u64::MAX, id: u64::MAX };
    let longest = vec![u64::MAX; MAX_LIMITS];
    let request = Message::LeaseRequest {
        holder: u64::MAX,
        seq: u64::MAX,
        promised: ballot,
        weight: u32::MAX,
        held: longest.clone(),
        demand: longest,
        leaving: true,
    };
    let bytes = encode(7, &request);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(decode(7, MAX_LIMITS, &bytes), Ok(request));
    assert_eq!(decode(8, MAX_LIMITS, &bytes), Err(DecodeError::OtherConfig));
    assert_eq!(decode(7, 3, &bytes), Err(DecodeError::Malformed));
    for end in 0..bytes.len() {
        assert_eq!(decode(7, MAX_LIMITS, &bytes[..end]), Err(DecodeError::Malformed));
    }
    for at in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 1 << (at % 8);
        assert!(decode(7, MAX_LIMITS, &corrupted).is_err());
    }
}
