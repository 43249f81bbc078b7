//! Tests of `message` that mean its private state.

use super::*;

#[test]
fn what_is_cut_turned_over_or_of_another_file_is_refused() {
    let ballot = Ballot { term: u64::MAX, id: u64::MAX };
    let many = vec![u64::MAX; MAX_WHOLES];
    let ask = Message::Ask {
        holder: u64::MAX,
        seq: u64::MAX,
        promised: ballot,
        weight: u32::MAX,
        have: many.clone(),
        want: many,
        leaving: true,
    };
    let bytes = encode(7, &ask);
    assert!(bytes.len() <= MAX, "{}", bytes.len());
    assert_eq!(decode(7, MAX_WHOLES, &bytes), Ok(ask));
    assert_eq!(decode(8, MAX_WHOLES, &bytes), Err(Refused::Foreign));
    assert_eq!(decode(7, 3, &bytes), Err(Refused::Garbled));
    for end in 0..bytes.len() {
        assert_eq!(decode(7, MAX_WHOLES, &bytes[..end]), Err(Refused::Garbled));
    }
    for at in 0..bytes.len() {
        let mut turned = bytes.clone();
        turned[at] ^= 1 << (at % 8);
        assert!(decode(7, MAX_WHOLES, &turned).is_err());
    }
}
