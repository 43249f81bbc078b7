//! The JSON of the report. Operators' tools depend on its keys.

use cometcroft_membership::{Config, Membership, Name, Time};
use std::net::{Ipv4Addr, SocketAddrV4};

fn member(n: u8) -> Membership {
    let name = Name::new(&format!("m{n}")).expect("a name");
    let config = Config::new("f", name, SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, n), 7000));
    Membership::new(config, Time::ZERO, 1000, u64::from(n))
}

#[test]
fn json_of_the_report_is_unchanged() {
    let (mut first, mut second) = (member(1), member(2));
    let view = second.view();
    assert!(first.receive_view(Time::from_millis(10), &view).is_some());
    let json = serde_json::to_string(&first.report()).expect("JSON");
    assert_eq!(
        json,
        r#"{"fleet":"f","name":"m1","generation":1024672,"incarnation":0,"reached":2,"known":2,"zones":[{"zone":"","reached":2,"known":2}],"isolated":false,"unheard":false,"superseded":false,"own_slowness":0,"refuted":0,"late":0,"twins":0,"digest":"49727ebd2fc8ead9","traffic":{"sent":0,"sent_bytes":0,"received":0,"received_bytes":0,"exchanges":1,"exchange_bytes":97,"probes":0,"probes_failed":0},"dropped":{"garbled":0,"overlong":0,"foreign":0,"format":0,"stale":0,"full":0},"members":[{"name":"m2","state":"alive","for_ms":0,"heard_ms":0,"generation":1024207,"incarnation":0,"address":"127.0.0.2:7000","zone":"","tier":0,"rank":0,"formats":[1,2],"suspected_by":[]}]}"#
    );
}
