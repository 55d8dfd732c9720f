//! Encoding of control messages, and robustness against malformed ones.

mod common;

use common::{Fixture, SECOND, address};
use marigold_config::Config;
use marigold_control::{
    ControlOptions, Event, Liveness, MAX_MESSAGE_BYTES, MEMBER_TABLE_BUCKETS, Member, Message,
    MessageError, SnapshotKind, StateDigest, Update, VersionSummary,
};
use marigold_types::{Incarnation, InstanceId, SlotCount, Version};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn member(number: usize) -> Member {
    Member {
        instance: InstanceId {
            address: address(0, number),
            incarnation: Incarnation(3),
        },
        revision: 1,
        liveness: Liveness::Alive,
        data_centre: "dc0".parse().expect("a name"),
        region: "region0".parse().expect("a name"),
        service: Some(common::service("desk")),
        slots: SlotCount(4),
        healthy: true,
        draining: false,
        unreachable_data_centres: Vec::new(),
    }
}

/// Returns one message of each kind.
fn samples() -> Vec<Message> {
    let mark = StateDigest::default();
    let config = Config::default().with_changes(
        &[
            common::set_service("desk"),
            common::set_route("r", "desk", 1),
        ],
        Version(4),
    );
    let delta = Config::default().delta_to(&config);
    let digest = config.digest().prefix();
    let follower = address(0, 1);
    let summary = VersionSummary::of(Version(4));
    let update = Update::Summary {
        follower,
        number: (Incarnation(1), 1),
        summary: summary.clone(),
    };
    vec![
        Message::Probe { nonce: 1, mark },
        Message::Answer { nonce: 1, mark },
        Message::Relay {
            nonce: 1,
            target: follower,
        },
        Message::Join { member: member(1) },
        Message::Table {
            members: vec![member(1), member(2)],
            last: true,
            joined: true,
        },
        Message::Gossip {
            updates: vec![Update::Member(member(1)), update],
        },
        Message::Compare { mark },
        Message::Buckets {
            digests: vec![7; MEMBER_TABLE_BUCKETS],
        },
        Message::Records {
            wanted: u64::MAX,
            members: vec![member(2)],
        },
        Message::Delta { delta },
        Message::Fetch { held: Version(1) },
        Message::Whole { config, digest },
        Message::Busy {
            subject: SnapshotKind::Config,
            retry: u32::MAX,
            other: Some(follower),
        },
        Message::Holding {
            subject: SnapshotKind::Members,
            mark,
        },
        Message::Recall,
        Message::Recalled {
            held: Version(4),
            life: Incarnation(1),
            settled: true,
            fresh: true,
            mark,
        },
        Message::Ack { summary },
    ]
}

#[test]
fn every_kind_round_trips_and_has_a_distinct_name() {
    let samples = samples();
    let mut kinds: Vec<_> = samples.iter().map(Message::kind).collect();
    for message in &samples {
        assert_eq!(Message::decode(&message.encode()).as_ref(), Ok(message));
    }
    kinds.sort_unstable();
    kinds.dedup();
    assert_eq!(kinds.len(), samples.len());
}

#[test]
fn corrupted_messages_never_cause_a_panic() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[4], 1);
    let version = fixture.publish_route(1);
    fixture.mesh.advance(5 * SECOND);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let samples: Vec<Vec<u8>> = samples().iter().map(Message::encode).collect();
    for _ in 0..20_000 {
        let mut message = samples[rng.random_range(0..samples.len())].clone();
        match rng.random_range(0..3) {
            0 => message.truncate(rng.random_range(0..=message.len())),
            1 => message = (0..rng.random_range(0..64)).map(|_| rng.random()).collect(),
            _ => {
                for _ in 0..rng.random_range(1..4) {
                    let position = rng.random_range(0..message.len());
                    message[position] = rng.random();
                }
            }
        }
        let from = address(0, rng.random_range(1..4));
        fixture
            .mesh
            .handle(address(0, 0), &Event::Received { from, message });
    }
    let plane = fixture.mesh.plane(address(0, 0));
    assert!(plane.config().version >= version);
    assert!(plane.config().is_complete());
    assert!(plane.counters().malformed > 0);
}

macro_rules! rejects {
    ($($name:ident: $bytes:expr => $error:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(Message::decode(&$bytes), Err($error));
        }
    )*};
}

rejects! {
    empty: [] => MessageError::Malformed;
    unknown_kind: [200] => MessageError::Malformed;
    too_long: vec![0; MAX_MESSAGE_BYTES + 1] => MessageError::TooLong {
        bytes: MAX_MESSAGE_BYTES + 1,
    };
    huge_count: [4, 255, 255, 255, 255, 255, 255, 255, 255, 127] => MessageError::Malformed;
    too_many_members: Message::Table { members: vec![member(1); 513], last: true, joined: true }.encode()
        => MessageError::TooMany { kind: "table" };
    wrong_bucket_count: Message::Buckets { digests: vec![0; 3] }.encode()
        => MessageError::TooMany { kind: "buckets" };
}
