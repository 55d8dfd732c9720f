//! Decoders of network messages never panic and never allocate more than the input justifies.

use std::sync::Arc;

use marigold_request::{
    CallHead, LoadReport, Refusal, RefusalReason, ReplyBody, ReplyHead, StreamOpen, WitnessAnswer,
    WitnessRequest,
};
use marigold_types::{Class, Interval, RequestId};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;

fn head() -> CallHead {
    CallHead {
        id: RequestId("6f9619ff-8b86-4011-b42d-00c04fc964ff".parse().unwrap()),
        route: "orders".parse().unwrap(),
        service: "dispatch-desk".parse().unwrap(),
        class: Class::Interactive,
        idempotent: false,
        left: Interval::from_millis(900),
        depth: 2,
        attempt: 1,
        caller: Some("depot".parse().unwrap()),
        key: Some(Arc::from("mk1.AAAA")),
        method: Arc::from("POST"),
        target: Arc::from("/orders?tank=7"),
        headers: vec![(Arc::from("accept"), b"*/*".to_vec())],
    }
}

fn reply(body: ReplyBody) -> ReplyHead {
    ReplyHead {
        id: head().id,
        load: LoadReport::default(),
        body,
    }
}

/// Decodes random bytes, and the encoding of `value` with bytes changed and the end cut off.
fn fuzz<T: Serialize + DeserializeOwned>(value: &T, seed: u64) {
    let encoded = postcard::to_allocvec(value).unwrap();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..3_000 {
        let mut bytes = encoded.clone();
        for _ in 0..rng.random_range(1..4) {
            let index = rng.random_range(0..bytes.len());
            bytes[index] = (rng.next_u32() & 0xff) as u8;
        }
        bytes.truncate(rng.random_range(0..=bytes.len()));
        if let Ok(decoded) = postcard::from_bytes::<T>(&bytes) {
            // Re-encoding gives at most twice the input.
            let reencoded = postcard::to_allocvec(&decoded).unwrap();
            assert!(
                reencoded.len() <= bytes.len().max(1) * 2,
                "{} {}",
                reencoded.len(),
                bytes.len()
            );
        }
        let noise: Vec<u8> = (0..rng.random_range(0..64))
            .map(|_| (rng.next_u32() & 0xff) as u8)
            .collect();
        let _ = postcard::from_bytes::<T>(&noise);
    }
}

macro_rules! decodes_safely {
    ($($name:ident: $value:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..4 {
                fuzz(&$value, seed);
            }
        }
    )*};
}

decodes_safely! {
    call_head: head();
    stream_open: StreamOpen::Call(head());
    witness_stream: StreamOpen::Witness(WitnessRequest::Seal { key: Arc::from("mk1.AAAA") });
    demand_stream: StreamOpen::Demand(vec![]);
    crash_record_stream: StreamOpen::CrashRecords(vec![]);
    witness_request: WitnessRequest::Reserve { count: 256 };
    witness_answer: WitnessAnswer::Reserved { uptime: 77 };
    reply_not_run: reply(ReplyBody::NotRun(Refusal::permanent(RefusalReason::Draining)));
    reply_unknown: reply(ReplyBody::Unknown { step: Arc::from("read answer") });
    reply_answered: reply(ReplyBody::Answered {
        status: 200,
        headers: vec![(Arc::from("etag"), vec![7; 20])],
        stored: true,
    });
}
