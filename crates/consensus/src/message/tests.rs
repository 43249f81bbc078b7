//! Tests of messages and their wire format.

use super::*;
use crate::config::Config;
use omnipaxos::messages::ballot_leader_election::{BLEMessage, HeartbeatMsg, HeartbeatRequest};
use omnipaxos::messages::sequence_paxos::{PaxosMessage, PaxosMsg};

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn config() -> Config {
    Config::new("f", address(7001), (7001..=7003).map(address).collect())
}

/// An encoded message in hexadecimal.
fn hex(body: &Body) -> String {
    let sender = Sender::new(address(7001), 300);
    encode(config().digest, sender, body).iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn digest_of_fleet_and_voters_is_unchanged() {
    assert_eq!(config().digest, 1_808_289_733_817_289_760);
}

#[test]
fn wire_format_of_omnipaxos_messages_is_unchanged() {
    let epoch = Epoch { bootstrap_id: 1 << 20, number: 3 };
    let forwarded = PaxosMsg::ProposalForward(vec![EncodedEntry(vec![1, 2, 3])]);
    let forwarded = OmniPaxosMessage::SequencePaxos(PaxosMessage { from: 1, to: 2, msg: forwarded });
    let heartbeat = HeartbeatMsg::Request(HeartbeatRequest { round: 7 });
    let heartbeat = OmniPaxosMessage::BLE(BLEMessage { from: 1, to: 2, msg: heartbeat });
    assert_eq!(
        hex(&Body::OmniPaxos { epoch, count: 5, message: forwarded }),
        "636c01204c2aa3ee551819818080f807d936ac020080804003050001020801030102037c90ddbb"
    );
    assert_eq!(
        hex(&Body::OmniPaxos { epoch, count: 5, message: heartbeat }),
        "636c01204c2aa3ee551819818080f807d936ac02008080400305010102000716260636"
    );
    assert_eq!(
        hex(&Body::Propose(vec![1, 2, 3])),
        "636c01204c2aa3ee551819818080f807d936ac020103010203b3ee112f"
    );
}

#[test]
fn wire_format_of_replication_is_unchanged() {
    let voters = VoterSet { epoch: Epoch { bootstrap_id: 1 << 20, number: 3 }, starts: vec![300, 0, 301] };
    let position = Position { bootstrap_id: 1 << 20, index: 130, sum: 9 };
    let entries = vec![Entry::Command(vec![1, 2, 3]), Entry::Voters(voters)];
    let bytes = vec![4, 5, 6];
    let chunk = SnapshotChunk { position, digest: 8, total: 200, offset: 7, bytes };
    assert_eq!(
        hex(&Body::Position { position, unthrottled: true }),
        "636c01204c2aa3ee551819818080f807d936ac020280804082010901c708ab6f"
    );
    assert_eq!(
        hex(&Body::Entries(EntryBatch { after: 130, sum: 9, entries })),
        "636c01204c2aa3ee551819818080f807d936ac0203820109020003010203018080400303ac0200ad0235c4c6bf"
    );
    assert_eq!(
        hex(&Body::SnapshotChunk(chunk)),
        "636c01204c2aa3ee551819818080f807d936ac020480804082010908c80107030405060d5615ee"
    );
    assert_eq!(
        hex(&Body::SnapshotRequest(SnapshotRequest { position, digest: 8, offset: 7 })),
        "636c01204c2aa3ee551819818080f807d936ac02058080408201090807917a8192"
    );
    assert_eq!(
        hex(&Body::OutOfBand(vec![1, 2, 3])),
        "636c01204c2aa3ee551819818080f807d936ac020a03010203b9bb93e0"
    );
}

#[test]
fn wire_format_of_bootstraps_is_unchanged() {
    let voters = VoterSet { epoch: Epoch { bootstrap_id: 1 << 20, number: 0 }, starts: vec![300, 0, 301] };
    let position = Position { bootstrap_id: 1 << 20, index: 130, sum: 9 };
    let status = BootstrapStatus { nonce: 6, position, leader: Some(2), last_vote: 1 << 20 };
    let vote = BootstrapVote { nonce: 6, bootstrap_id: 1 << 20, granted: true };
    assert_eq!(
        hex(&Body::BootstrapQuery { nonce: 6 }),
        "636c01204c2aa3ee551819818080f807d936ac020606bac7817a"
    );
    assert_eq!(
        hex(&Body::BootstrapStatus(status)),
        "636c01204c2aa3ee551819818080f807d936ac02070680804082010901028080405b73d624"
    );
    assert_eq!(
        hex(&Body::BootstrapVoteRequest { nonce: 6, voters }),
        "636c01204c2aa3ee551819818080f807d936ac0208068080400003ac0200ad02589cd9fa"
    );
    assert_eq!(
        hex(&Body::BootstrapVote(vote)),
        "636c01204c2aa3ee551819818080f807d936ac0209068080400136a5976a"
    );
}
