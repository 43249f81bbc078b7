//! Encodings and texts that other versions, stored snapshots and operators' tools depend on, byte for byte.
//!
//! postcard writes the index of an enum variant and the fields of a struct in the order of their declaration. A
//! reordered variant or field still compiles, but sidecars of two versions would then read one log differently.

use cometcroft_consensus::StateMachine;
use cometcroft_plan::{
    Command, CommandEntry, CommandId, CommandOutcome, Controller, ExhaustedAction, Permit, PermitState,
    PermitTarget, Plan, PlanError, ReleasePhase, RetryAttributes, RetryCause, RevisionContent, StormRule,
    release_position,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The fields before the command: id 7, by "m1", reason "why", at 1000 ms, no expected revision.
const PREFIX: &str = "07026d3103776879e80700";

fn entry(id: u64, expected_revision: Option<u32>, command: Command) -> CommandEntry {
    CommandEntry {
        id: CommandId(id),
        proposed_by: "m1".into(),
        reason: "why".into(),
        unix_ms: 1000,
        expected_revision,
        command,
    }
}

fn sidecar(name: &str) -> PermitTarget {
    PermitTarget::Sidecar { name: name.into(), generation: 300 }
}

fn request_permit(target: PermitTarget) -> Command {
    Command::RequestPermit { target, zone: "a".into(), tier: 2, overdue_after_s: 60 }
}

#[test]
fn commands_encode_to_the_same_bytes() {
    let text = || "version = 1\n".to_owned();
    let pinned = [
        (Command::Noop, "00"),
        (Command::Propose { text: text() }, "010c76657273696f6e203d20310a"),
        (Command::RollBackTo { revision: 5 }, "0205"),
        (Command::Pin { revision: 5, pinned: true }, "030501"),
        (Command::Release { text: text(), waves: vec![50, 1000] }, "040c76657273696f6e203d20310a0232e807"),
        (Command::AdvanceWave { revision: 5, wave: 2 }, "050502"),
        (Command::Halt, "06"),
        (Command::Resume, "07"),
        (Command::RollBackRelease, "08"),
        (Command::RollBackWave { revision: 5, wave: 2 }, "090502"),
        (request_permit(sidecar("m0")), "0a00026d30ac020161023c"),
        (request_permit(PermitTarget::Endpoint("s".into())), "0a0101730161023c"),
        (Command::GrantPermit { permit: 3, missing: vec!["m2".into()], total: 6 }, "0b0301026d3206"),
        (Command::MarkClear { permit: 3 }, "0c03"),
        (Command::ForceClear { permit: 3 }, "0d03"),
        (Command::ReturnPermit { permit: 3 }, "0e03"),
        (Command::SetStorm { active: true, sequence: 4 }, "0f0104"),
    ];
    for (command, bytes) in pinned {
        let logged = entry(7, None, command.clone());
        assert_eq!(hex(&logged.encode()), format!("{PREFIX}{bytes}"), "{command:?}");
        assert_eq!(CommandEntry::decode(&logged.encode()), Some(logged));
    }
    assert_eq!(hex(&entry(7, Some(200), Command::Noop).encode()), "07026d3103776879e80701c80100");
    assert_eq!(CommandEntry::decode(b"\xff\xff\xff"), None);
}

#[test]
fn outcomes_encode_to_the_same_bytes_and_keep_their_codes_and_texts() {
    let applied = CommandOutcome::Applied { index: 300, number: 7 };
    assert_eq!(hex(&postcard::to_stdvec(&applied).expect("encodes")), "00ac0207");
    let pinned = [
        ("plan.content", "revision:1:1: x", "01000f7265766973696f6e3a313a313a2078"),
        ("plan.moved", "revision 2 is in force, the word expects 1", "01010102"),
        ("plan.not-kept", "revision 1 is not kept; the oldest that is kept is 2, the newest 3", "0102010203"),
        ("plan.release-goes-on", "the release of revision 1 goes on", "010301"),
        ("plan.no-release", "no release goes on", "0104"),
        ("plan.halted", "halted by n1", "0105026e31"),
        ("plan.not-next", "wave 1 is not next, the release stands at 0", "01060100"),
        ("plan.waves", "waves must grow, from over 0 to 1000 thousandths", "0107"),
        ("plan.no-permit", "there is no permit 1", "010801"),
        ("plan.permit-state", "permit 1 is out", "010901036f7574"),
        ("plan.too-many-out", "1 are out of 1 allowed: n1", "010a0101026e31"),
        ("plan.has-permit", "n1 has permit 1 already", "010b026e3101"),
        (
            "plan.too-little-left",
            "server: the rules leave 1 of 4 backend servers, keep is 0.5",
            "010c06736572766572010403302e35",
        ),
        ("plan.full", "1 are kept at most", "010d01"),
        ("plan.unreadable", "the word can't be read by this version", "010e"),
    ];
    let errors = PlanError::all();
    assert_eq!(errors.len(), pinned.len());
    for (error, (code, text, bytes)) in errors.into_iter().zip(pinned) {
        assert_eq!((error.code(), error.to_string().as_str()), (code, text));
        let rejected = CommandOutcome::Rejected(error);
        assert_eq!(hex(&postcard::to_stdvec(&rejected).expect("encodes")), bytes, "{code}");
    }
}

#[test]
fn snapshots_encode_to_the_same_bytes() {
    let mut plan = Plan::fresh();
    assert_eq!(
        hex(&plan.snapshot()),
        "000100a9d4afbfa4a4f2e6b601000f7468652066696c657320616c6f6e6500000101a9d4afbfa4a4f2e6b6010c76657273696f6e203d20310a0000000000000000000000"
    );
    let mut index = 0;
    let mut apply = |plan: &mut Plan, expects, command| {
        index += 1;
        plan.apply(index, &entry(index, expects, command).encode());
    };
    // Permits 1 to 4: waiting, out, clear, clear by force; permit 5 is rejected and keeps the reason.
    for name in ["m0", "m1", "m2", "m3"] {
        apply(&mut plan, None, request_permit(sidecar(name)));
    }
    apply(
        &mut plan,
        None,
        Command::Propose { text: "version = 1\n[[out]]\nof = \"sidecars\"\nmost = 3\n".into() },
    );
    for permit in 2..=4 {
        apply(&mut plan, None, Command::GrantPermit { permit, missing: Vec::new(), total: 6 });
    }
    apply(&mut plan, None, Command::MarkClear { permit: 3 });
    apply(&mut plan, None, Command::ForceClear { permit: 4 });
    apply(&mut plan, None, request_permit(PermitTarget::Endpoint("s".into())));
    apply(&mut plan, None, Command::GrantPermit { permit: 1, missing: vec!["m5".into()], total: 6 });
    let pinned = "0c0200a9d4afbfa4a4f2e6b601000f7468652066696c657320616c6f6e6500000101ef94d7f1dcc3c4e10f026d3103776879e807000002ef94d7f1dcc3c4e10f2d76657273696f6e203d20310a5b5b6f75745d5d0a6f66203d20227369646563617273220a6d6f7374203d20330aa9d4afbfa4a4f2e6b6010c76657273696f6e203d20310a0101050100026d30ac02016102026d31c8dc0300010a04030e6d312c206d322c206d332c206d350200026d31ac02016102026d31c8dc030106000300026d32ac02016102026d31c8dc03020700000400026d33ac02016102026d31c8dc03020801026d310005010173016102026d31c8dc030000050000000000000c0100010102000202030003030400040405000501060006020700070308000804090009030a000a040b000b050c010a04030e6d312c206d322c206d332c206d35";
    assert_eq!(hex(&plan.snapshot()), pinned);
    let permits = |plan: &Plan| plan.permits().values().cloned().collect::<Vec<Permit>>();
    let states: Vec<&str> = permits(&plan).iter().map(Permit::state_text).collect();
    assert_eq!(states, ["waiting", "out", "clear", "clear, forced", "waiting"]);
    assert_eq!(permits(&plan)[2].state, PermitState::Clear { index: 7, forced_by: None });

    // A release that goes forward, one that is rolled back, a halt, a pin, a storm, commands with an expected revision.
    let mut plan = Plan::fresh();
    let mut index = 0;
    let mut apply = |plan: &mut Plan, expects, command| {
        index += 1;
        plan.apply(index, &entry(index, expects, command).encode());
    };
    apply(&mut plan, Some(9), Command::Propose { text: "version = 1\n".into() });
    apply(
        &mut plan,
        Some(0),
        Command::Release { text: "version = 1\nattempts = 2\n".into(), waves: vec![50, 1000] },
    );
    apply(&mut plan, None, Command::SetStorm { active: true, sequence: 0 });
    apply(&mut plan, None, Command::Pin { revision: 1, pinned: true });
    assert_eq!(plan.release().map(|release| release.phase), Some(ReleasePhase::RollingOut));
    assert_eq!(
        hex(&plan.snapshot()),
        "040200a9d4afbfa4a4f2e6b601000f7468652066696c657320616c6f6e6500000101acfda688d4e4a7bde901026d3103776879e807000102a9d4afbfa4a4f2e6b6010c76657273696f6e203d20310aacfda688d4e4a7bde9011976657273696f6e203d20310a617474656d707473203d20320a0001000001010232e80701000202000101040101010900020002010300030104000401"
    );
    apply(&mut plan, None, Command::AdvanceWave { revision: 1, wave: 2 });
    apply(&mut plan, None, Command::Halt);
    apply(&mut plan, None, Command::RollBackRelease);
    assert_eq!(plan.release().map(|release| release.phase), Some(ReleasePhase::RollingBack));
    assert_eq!(
        hex(&plan.snapshot()),
        "070200a9d4afbfa4a4f2e6b601000f7468652066696c657320616c6f6e6500000101acfda688d4e4a7bde901026d3103776879e807000102a9d4afbfa4a4f2e6b6010c76657273696f6e203d20310aacfda688d4e4a7bde9011976657273696f6e203d20310a617474656d707473203d20320a0001000001010232e8070201070501026d310101070101010900020002010300030104000401050005010600060007000701"
    );
    // Operators read the phase under these names in GET /ops/plan.
    assert_eq!((ReleasePhase::RollingOut.as_str(), ReleasePhase::RollingBack.as_str()), ("Going", "Back"));
}

#[test]
fn numbers_drawn_from_hashes_stay_the_same() {
    assert_eq!((release_position("m0", 1), release_position("sidecar-17", 4_000_000_000)), (166, 942));
    assert_eq!(
        Controller::command_id(&Command::AdvanceWave { revision: 1, wave: 2 }, 12),
        CommandId(18266974585028129229)
    );
}

#[test]
fn keys_and_values_of_a_revision_stay_the_same() {
    let text = "version = 1\nattempts = 2\nkeep = 0.25\n\
        [[server]]\nname = \"s\"\nzone = \"a\"\ngroup = 1\nshare = 0.5\n\
        [[out]]\nof = \"sidecars\"\nzone = \"a\"\ntier = 1\nmost = 3\nshare = 0.5\n[[out]]\nof = \"servers\"\nmost = 1\n\
        [[retries]]\ntenant = \"t\"\nclass = \"c\"\ntier = 1\nzone = \"a\"\nafter = \"refused\"\n\
        share = 0.1\nfloor = 1.0\nceiling = 5.0\nburst = 2.0\nspent = \"count\"\n\
        [[retries]]\nafter = \"never-connected\"\nshare = 0.1\nceiling = 5.0\nspent = \"deny\"\n\
        [[retries]]\nafter = \"may-have-run\"\nshare = 0.1\nceiling = 5.0\n\
        [[retries]]\nafter = \"late\"\nshare = 0.1\nceiling = 5.0\n\
        [storm]\nover = 0.5\nfor = \"2s\"\nunder = 0.1\nceiling = 4.0\n";
    let content = RevisionContent::parse(text, "r").expect("reads");
    assert_eq!(
        (content.max_attempts, content.min_endpoint_share, content.endpoint_rules.len()),
        (Some(2), 0.25, 1)
    );
    let causes: Vec<Option<RetryCause>> = content.retry_rules.iter().map(|rule| rule.after).collect();
    use RetryCause::*;
    assert_eq!(causes, [Some(Rejected), Some(NeverConnected), Some(MayHaveRun), Some(TimedOut)]);
    let actions: Vec<ExhaustedAction> = content.retry_rules.iter().map(|rule| rule.when_exhausted).collect();
    assert_eq!(
        actions,
        [ExhaustedAction::Count, ExhaustedAction::Deny, ExhaustedAction::Deny, ExhaustedAction::Deny]
    );
    let Some(StormRule { start_above, hold, end_below, ceiling }) = content.storm else {
        panic!("no storm rule")
    };
    assert_eq!((start_above, hold.0, end_below, ceiling), (0.5, 2.0, 0.1, 4.0));
}

/// A rejected text is stored with its reason in the replicated outcome: sidecars of all versions must write the same
/// reason.
#[test]
fn reasons_of_a_rejected_text_stay_the_same() {
    let pinned = [
        ("version = 2\n", "revision:1:1: version: this program reads version 1"),
        ("version = 1\nattempts = 0\n", "revision:2:1: attempts: must be at least 1"),
        ("version = 1\nkeep = 2.0\n", "revision:2:1: keep: must be between 0 and 1"),
        (
            "version = 1\nserver = [1]\n",
            "revision:2:11: server: invalid type: integer `1`, expected struct ServerRule",
        ),
        (
            "version = 1\nout = [1]\n",
            "revision:2:8: out: invalid type: integer `1`, expected struct OutLimit",
        ),
        (
            "version = 1\nretries = [1]\n",
            "revision:2:12: retries: invalid type: integer `1`, expected struct RetryRule",
        ),
        ("version = 1\nstorm = 1\n", "revision:2:9: storm: invalid type: integer `1`, expected struct Storm"),
        (
            "version = 1\n[[server]]\nshare = 0.5\nsize = 1\n",
            "revision:4:1: size: unknown field `size`, expected one of `name`, `zone`, `group`, `share`; did you mean \"name\"?",
        ),
        (
            "version = 1\nsize = 1\n",
            "revision:2:1: size: unknown field `size`, expected one of `version`, `attempts`, `keep`, `server`, `out`, `retries`, `storm`",
        ),
        (
            "version = 1\n[[out]]\nsize = 1\n",
            "revision:3:1: size: unknown field `size`, expected one of `of`, `zone`, `tier`, `most`, `share`; did you mean \"share\"?",
        ),
        (
            "version = 1\n[[retries]]\nmost = 1\n",
            "revision:3:1: most: unknown field `most`, expected one of `tenant`, `class`, `tier`, `zone`, `after`, `share`, `floor`, `ceiling`, `burst`, `spent`; did you mean \"burst\"?",
        ),
        (
            "version = 1\n[storm]\nsize = 1\n",
            "revision:3:1: size: unknown field `size`, expected one of `over`, `for`, `under`, `ceiling`",
        ),
        ("version = 1\n[[server]]\nname = \"s\"\n", "revision:2:1: [[server]]: missing field `share`"),
        (
            "version = 1\n[[server]]\nname = \"s\"\nshare = 2.0\n",
            "revision:4:1: share: must be between 0 and 1",
        ),
        (
            "version = 1\n[[server]]\nshare = 0.5\n",
            "revision:3:1: share: names no backend server: name, zone or group is missing",
        ),
        ("version = 1\n[[out]]\nof = 1\n", "revision:3:6: of: wanted string or table"),
        (
            "version = 1\n[[out]]\nof = \"rows\"\n",
            "revision:3:6: of: unknown variant `rows`, expected `sidecars` or `servers`",
        ),
        ("version = 1\n[[out]]\nof = \"servers\"\n", "revision:2:1: most: most or share is missing"),
        ("version = 1\n[[out]]\nof = \"servers\"\nmost = 0\n", "revision:4:1: most: must be at least 1"),
        (
            "version = 1\n[[out]]\nof = \"servers\"\nshare = 2.0\n",
            "revision:4:1: share: must be between 0 and 1",
        ),
        ("version = 1\n[[retries]]\nafter = 1\n", "revision:3:9: after: wanted string or table"),
        (
            "version = 1\n[[retries]]\nafter = \"soon\"\n",
            "revision:3:9: after: unknown variant `soon`, expected one of `refused`, `never-connected`, `may-have-run`, `late`",
        ),
        ("version = 1\n[[retries]]\nspent = 1\n", "revision:3:9: spent: wanted string or table"),
        (
            "version = 1\n[[retries]]\nspent = \"all\"\n",
            "revision:3:9: spent: unknown variant `all`, expected `deny` or `count`",
        ),
        ("version = 1\n[[retries]]\nshare = 0.1\n", "revision:2:1: [[retries]]: missing field `ceiling`"),
        (
            "version = 1\n[[retries]]\nshare = 0.1\nceiling = -1.0\n",
            "revision:3:1: share: share, floor, ceiling and burst must be between 0 and 1e6",
        ),
        (
            "version = 1\n[[retries]]\nshare = 0.1\nfloor = 6.0\nceiling = 5.0\n",
            "revision:4:1: floor: is over the ceiling",
        ),
        (
            "version = 1\n[[retries]]\nshare = 0.1\nceiling = 5.0\nburst = 0.5\n",
            "revision:5:1: burst: must be at least 1, or no retry fits",
        ),
        (
            "version = 1\n[[retries]]\nshare = 0.1\nceiling = 5.0\n[[retries]]\nshare = 0.1\nceiling = 5.0\n",
            "revision:6:1: share: overlaps rule 1 of the same rank: name one thing more",
        ),
        (
            "version = 1\n[storm]\nover = 0.1\nunder = 0.2\nfor = \"2s\"\nceiling = 1.0\n",
            "revision:4:1: under: must be under `over`",
        ),
        (
            "version = 1\n[storm]\nover = 0.3\nunder = 0.2\nfor = \"1ms\"\nceiling = 1.0\n",
            "revision:5:1: for: must be at least 500ms",
        ),
        (
            "version = 1\n[storm]\nover = 0.3\nunder = 0.2\nfor = \"2s\"\nceiling = 1.0\n",
            "revision:6:1: ceiling: there is no [[retries]] whose ceiling could fall",
        ),
    ];
    for (text, reason) in pinned {
        let error = RevisionContent::parse(text, "revision").expect_err("rejected").to_string();
        assert_eq!(error, reason, "{text}");
    }
    let long =
        RevisionContent::parse(&"#".repeat(24 * 1024 + 1), "revision").expect_err("rejected").to_string();
    assert_eq!(long, "revision: 24577 bytes, 24576 at most");
}

#[test]
fn the_explanation_of_a_binding_rule_stays_the_same() {
    let text = "version = 1\n[[retries]]\nclass = \"c\"\nshare = 0.1\nceiling = 5.0\nspent = \"count\"\n\
        [[retries]]\ntenant = \"t\"\nclass = \"d\"\nshare = 0.1\nfloor = 1.0\nceiling = 5.0\n";
    let content = RevisionContent::parse(text, "r").expect("reads");
    let explain =
        |tenant, class| content.explain(&RetryAttributes { tenant, class, tier: 0, zone: "a", after: None });
    assert_eq!(
        explain(None, "c"),
        "rule 1 binds (1 things named, 0 less specific fit too): 0.1 for each first try, 0 to 5 a second over the cluster, burst 10; then Count"
    );
    assert_eq!(
        explain(Some("t"), "d"),
        "rule 2 binds (2 things named, 0 less specific fit too): 0.1 for each first try, 1 to 5 a second over the cluster, burst 10; then Deny"
    );
    assert_eq!(explain(None, "other"), "no rule binds: the class's own limits and the settings alone");
}
