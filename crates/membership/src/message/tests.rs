//! Tests of messages and their wire format.

use super::*;

fn packet(name: &str, updates: usize) -> Packet {
    let record = Record {
        name: Name::new(name).expect("a name"),
        generation: u64::MAX,
        incarnation: u32::MAX,
        ip: u32::MAX,
        port: u16::MAX,
        zone: Name::new("zone").expect("a name"),
        tier: 255,
        rank: u16::MAX,
        formats: (1, 2),
    };
    let reporter = Name::new(name).expect("a name");
    let update = Update { record: record.clone(), state: State::Left, reporter };
    let body = Body { from: record, leaving: true, payload: Payload::Gossip, updates: vec![update; updates] };
    Packet { body, digest: Some(u64::MAX) }
}

#[test]
fn messages_round_trip_in_both_formats_and_update_size_is_not_underestimated() {
    let packet = packet("a-member-of-some-length", 5);
    for format in [1, 2] {
        let bytes = encode(7, format, &packet);
        let decoded = decode(7, FORMATS, &bytes, MAX_DATAGRAM).expect("a valid message");
        assert_eq!(decoded.body, packet.body);
        assert_eq!(decoded.digest, packet.digest.filter(|_| format == 2));
    }
    let update = &packet.body.updates[0];
    let length = postcard::to_stdvec(update).expect("bytes").len();
    assert!(length <= update_size(update) + 8, "{length}");
}

#[test]
fn truncated_corrupted_foreign_and_overlong_messages_are_rejected() {
    let bytes = encode(7, 2, &packet("m", 2));
    for end in 0..bytes.len() {
        assert_eq!(decode(7, FORMATS, &bytes[..end], MAX_DATAGRAM), Err(DecodeError::Garbled), "{end}");
    }
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut corrupted = bytes.clone();
            corrupted[at] ^= 1 << bit;
            assert!(decode(7, FORMATS, &corrupted, MAX_DATAGRAM).is_err(), "byte {at} bit {bit}");
        }
    }
    assert_eq!(decode(8, FORMATS, &bytes, MAX_DATAGRAM), Err(DecodeError::Foreign));
    assert_eq!(decode(7, (3, 4), &bytes, MAX_DATAGRAM), Err(DecodeError::Format));
    assert_eq!(decode(7, FORMATS, &[0; MAX_DATAGRAM + 1], MAX_DATAGRAM), Err(DecodeError::Overlong));
}

/// An encoded message in hexadecimal.
fn hex(format: u8, payload: Payload, digest: Option<u64>) -> String {
    let name = |text| Name::new(text).expect("a name");
    let record = Record {
        name: name("m1"),
        generation: 300,
        incarnation: 2,
        ip: 0x7f00_0001,
        port: 7000,
        zone: name("z"),
        tier: 1,
        rank: 5,
        formats: (1, 2),
    };
    let states = [State::Alive, State::Suspect, State::Dead, State::Left];
    let update = |state| Update { record: record.clone(), state, reporter: name("m2") };
    let updates = if payload == Payload::Gossip { states.map(update).to_vec() } else { Vec::new() };
    let body = Body { from: record.clone(), leaving: payload == Payload::Gossip, payload, updates };
    encode(fleet_digest("f"), format, &Packet { body, digest })
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

#[test]
fn wire_format_is_unchanged() {
    let name = || Name::new("m3").expect("a name");
    let sequence = Sequence(200);
    let ping = || Payload::Ping { sequence, name: name(), generation: 300 };
    let request =
        Payload::PingRequest { sequence, name: name(), generation: 300, ip: 0x7f00_0002, port: 7001 };
    assert_eq!(
        hex(1, ping(), None),
        "6366019abaf39f9055c133026d31ac0202818080f807d836017a010501020000c801026d33ac020058c566e7"
    );
    assert_eq!(
        hex(2, ping(), Some(9)),
        "6366029abaf39f9055c133026d31ac0202818080f807d836017a010501020000c801026d33ac02000109f22976c7"
    );
    assert_eq!(
        hex(2, Payload::Ack { sequence, name: name(), generation: 300 }, Some(9)),
        "6366029abaf39f9055c133026d31ac0202818080f807d836017a010501020001c801026d33ac02000109e878f50a"
    );
    assert_eq!(
        hex(2, Payload::Nack { sequence }, Some(9)),
        "6366029abaf39f9055c133026d31ac0202818080f807d836017a010501020002c8010001095deb243d"
    );
    assert_eq!(
        hex(2, request, Some(9)),
        "6366029abaf39f9055c133026d31ac0202818080f807d836017a010501020003c801026d33ac02828080f807d936000109b7d384b3"
    );
    assert_eq!(
        hex(2, Payload::Gossip, Some(9)),
        "6366029abaf39f9055c133026d31ac0202818080f807d836017a01050102010404026d31ac0202818080f807d836017a0105010200026d32026d31ac0202818080f807d836017a0105010201026d32026d31ac0202818080f807d836017a0105010202026d32026d31ac0202818080f807d836017a0105010203026d320109e3e4225f"
    );
    assert_eq!(
        hex(1, Payload::View { answer: true }, None),
        "6366019abaf39f9055c133026d31ac0202818080f807d836017a01050102000501003e5c5685"
    );
}

#[test]
fn digests_are_unchanged() {
    assert_eq!(fleet_digest("cometcroft"), 15_084_208_772_775_140_462);
    assert_eq!(packet("m", 0).body.from.digest(), 15_331_588_418_913_644_995);
}
