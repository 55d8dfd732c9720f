//! The key tables of executors and witnesses. See docs/design/at-most-once.md.

mod common;

use common::{SECOND, instance, interval, ms, service};
use marigold_request::at_most_once::{
    BeginDecision, EntryKey, ExecutorLimits, ExecutorReply, ExecutorTable, Nonce, RequestKey,
    Resolution, RunOutcome, SilentWitnesses, StartDecision, StoredAnswer, WitnessTable,
};
use marigold_request::{Refusal, RefusalReason, WitnessAnswer};
use marigold_types::{ByteSize, Digest};
use tokio::time::Instant;

const TTL_MS: u64 = 120_000;

fn key(nonce: u128) -> RequestKey {
    RequestKey {
        executor: instance(1, 1),
        witness: instance(2, 1),
        service: service(),
        expiry: TTL_MS,
        nonce: Nonce(nonce),
    }
}

fn digest() -> Digest {
    Digest::of(b"order")
}

fn table(keys: usize) -> ExecutorTable {
    let limits = ExecutorLimits {
        max_keys: keys,
        max_total_bytes: ByteSize(1_000),
        max_answer_bytes: ByteSize(400),
    };
    ExecutorTable::new(instance(1, 1), limits)
}

fn witness(capacity: usize) -> (WitnessTable, Instant) {
    let now = Instant::now();
    (
        WitnessTable::new(instance(2, 1), interval(TTL_MS), capacity, now),
        now,
    )
}

fn begin(table: &mut ExecutorTable, key: &RequestKey) -> EntryKey {
    match table.begin(key, digest()) {
        BeginDecision::Run(id) => id,
        other => panic!("{other:?}"),
    }
}

fn answer(bytes: usize) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: Vec::new(),
        body: vec![7; bytes].into(),
    }
}

/// Runs the request of `key` to the given outcome.
fn run(table: &mut ExecutorTable, key: &RequestKey, outcome: RunOutcome) {
    let id = begin(table, key);
    assert_eq!(
        table.start(id, Some(&WitnessAnswer::Started)),
        StartDecision::Run
    );
    table.finish(id, outcome);
}

#[test]
fn repeat_gets_the_stored_answer() {
    let mut table = table(10);
    let id = begin(&mut table, &key(1));
    assert_eq!(table.begin(&key(1), digest()), BeginDecision::Wait(id));
    assert_eq!(
        table.start(id, Some(&WitnessAnswer::Started)),
        StartDecision::Run
    );
    assert_eq!(table.begin(&key(1), digest()), BeginDecision::Wait(id));
    table.finish(id, RunOutcome::Answered(answer(10)));
    let BeginDecision::Stored(stored) = table.begin(&key(1), digest()) else {
        panic!("must be stored");
    };
    assert_eq!(*stored, answer(10));
}

#[test]
fn key_cannot_be_reused_for_another_request() {
    let mut table = table(10);
    run(&mut table, &key(1), RunOutcome::Answered(answer(10)));
    let begun = table.begin(&key(1), Digest::of(b"another order"));
    assert_eq!(
        begun,
        BeginDecision::NotRun(Refusal::permanent(RefusalReason::KeyReused))
    );
}

macro_rules! refuses_to_start {
    ($($name:ident: $answer:expr => $reason:ident;)*) => {$(
        #[test]
        fn $name() {
            let mut table = table(10);
            let id = begin(&mut table, &key(1));
            let StartDecision::NotRun(refusal) = table.start(id, $answer) else {
                panic!("must not run");
            };
            assert_eq!(refusal.reason, RefusalReason::$reason);
            // A later answer of the witness does not change the decision.
            assert_eq!(table.start(id, Some(&WitnessAnswer::Started)), StartDecision::NotRun(refusal));
            assert_eq!(table.begin(&key(1), digest()), BeginDecision::NotRun(refusal));
        }
    )*};
}

refuses_to_start! {
    witness_sealed: Some(&WitnessAnswer::NeverStarted) => KeyRefused;
    witness_expired: Some(&WitnessAnswer::Expired) => KeyRefused;
    witness_full: Some(&WitnessAnswer::Full) => KeysFull;
    witness_restarted: Some(&WitnessAnswer::WrongWitness) => NoWitness;
    witness_silent: None => NoWitness;
}

#[test]
fn refused_key_stays_refused() {
    let mut table = table(10);
    let id = begin(&mut table, &key(1));
    let refusal = Refusal::permanent(RefusalReason::Overloaded);
    assert!(table.refuse(id, refusal));
    assert_eq!(
        table.begin(&key(1), digest()),
        BeginDecision::NotRun(refusal)
    );
    assert_eq!(
        table.start(id, Some(&WitnessAnswer::Started)),
        StartDecision::NotRun(refusal)
    );
}

#[test]
fn running_request_cannot_be_refused() {
    let mut table = table(10);
    let id = begin(&mut table, &key(1));
    table.start(id, Some(&WitnessAnswer::Started));
    assert!(!table.refuse(id, Refusal::permanent(RefusalReason::Cancelled)));
    table.finish(id, RunOutcome::Lost);
    assert!(matches!(
        table.begin(&key(1), digest()),
        BeginDecision::Unknown(_)
    ));
    assert!(!table.refuse(id, Refusal::permanent(RefusalReason::Cancelled)));
}

#[test]
fn key_of_another_instance_is_unknown() {
    let limits = ExecutorLimits {
        max_keys: 1,
        max_total_bytes: ByteSize(1),
        max_answer_bytes: ByteSize(1),
    };
    let mut table = ExecutorTable::new(instance(1, 2), limits);
    assert!(matches!(
        table.begin(&key(1), digest()),
        BeginDecision::Unknown(_)
    ));
    assert!(table.is_empty());
}

#[test]
fn full_table_evicts_nothing_and_answers_unknown() {
    let mut table = table(3);
    for nonce in 0..3 {
        run(&mut table, &key(nonce), RunOutcome::Answered(answer(1)));
    }
    assert!(matches!(
        table.begin(&key(9), digest()),
        BeginDecision::Unknown(_)
    ));
    assert!(matches!(
        table.begin(&key(0), digest()),
        BeginDecision::Stored(_)
    ));
    assert_eq!(table.len(), 3);
}

#[test]
fn stored_answers_are_bounded_in_bytes() {
    let mut table = table(100);
    run(&mut table, &key(1), RunOutcome::Answered(answer(401)));
    assert!(matches!(
        table.begin(&key(1), digest()),
        BeginDecision::Unknown(_)
    ));
    for nonce in 2..20 {
        run(&mut table, &key(nonce), RunOutcome::Answered(answer(300)));
    }
    assert_eq!(table.bytes(), ByteSize(900));
    assert!(matches!(
        table.begin(&key(19), digest()),
        BeginDecision::Unknown(_)
    ));
}

#[test]
fn keys_expire_only_by_the_uptime_of_their_witness() {
    let mut table = table(10);
    run(&mut table, &key(1), RunOutcome::Answered(answer(10)));
    table.record_witness_uptime(&instance(2, 1), TTL_MS - 1);
    assert_eq!(table.len(), 1);
    table.record_witness_uptime(&instance(2, 2), TTL_MS);
    assert_eq!(table.len(), 1);
    table.record_witness_uptime(&instance(2, 1), TTL_MS);
    assert!(table.is_empty());
    assert_eq!(table.bytes(), ByteSize(0));
    // A late repeat is not treated as a new request.
    assert!(matches!(
        table.begin(&key(1), digest()),
        BeginDecision::Unknown(_)
    ));
}

#[test]
fn closing_a_witness_removes_its_keys_and_blocks_new_ones() {
    let mut table = table(10);
    let pending = begin(&mut table, &key(1));
    run(&mut table, &key(2), RunOutcome::Answered(answer(10)));
    table.close_witness(&instance(2, 1));
    assert_eq!(table.len(), 1);
    assert!(matches!(
        table.begin(&key(3), digest()),
        BeginDecision::Unknown(_)
    ));
    // A request in progress when the witness was closed still runs to its end.
    assert_eq!(
        table.start(pending, Some(&WitnessAnswer::Started)),
        StartDecision::Run
    );
    table.finish(pending, RunOutcome::Lost);
}

#[test]
fn witness_orders_start_and_seal() {
    let (mut witness, now) = witness(10);
    assert_eq!(witness.start(&key(1), now), WitnessAnswer::Started);
    assert_eq!(witness.start(&key(1), now), WitnessAnswer::MayHaveRun);
    assert_eq!(witness.seal(&key(1), now), WitnessAnswer::MayHaveRun);
    assert_eq!(witness.seal(&key(2), now), WitnessAnswer::NeverStarted);
    assert_eq!(witness.seal(&key(2), now), WitnessAnswer::NeverStarted);
    assert_eq!(witness.start(&key(2), now), WitnessAnswer::NeverStarted);
}

#[test]
fn witness_expires_keys_by_its_own_uptime() {
    let (mut witness, now) = witness(10);
    let before_expiry = now + ms(TTL_MS - 1);
    assert_eq!(
        witness.start(&key(1), before_expiry),
        WitnessAnswer::Started
    );
    assert_eq!(
        witness.start(&key(2), before_expiry + ms(1)),
        WitnessAnswer::Expired
    );
    // The state of an expired key is kept for one more lifetime.
    let before_removal = now + ms(2 * TTL_MS - 1);
    assert_eq!(
        witness.seal(&key(1), before_removal),
        WitnessAnswer::MayHaveRun
    );
    assert_eq!(
        witness.seal(&key(2), before_removal),
        WitnessAnswer::NeverStarted
    );
    assert_eq!(
        witness.seal(&key(1), before_removal + ms(1)),
        WitnessAnswer::Expired
    );
    assert_eq!(
        witness.start(&key(1), before_removal + ms(1)),
        WitnessAnswer::Expired
    );
    assert!(witness.is_empty());
}

#[test]
fn key_beyond_the_maximum_lifetime_is_rejected() {
    let (mut witness, now) = witness(10);
    let beyond = RequestKey {
        expiry: TTL_MS + 1,
        ..key(1)
    };
    assert_eq!(witness.start(&beyond, now), WitnessAnswer::Expired);
    assert!(witness.is_empty());
}

#[test]
fn full_witness_refuses_and_evicts_nothing() {
    let (mut witness, now) = witness(2);
    assert_eq!(witness.reserve(3, now), WitnessAnswer::Full);
    assert_eq!(witness.start(&key(1), now), WitnessAnswer::Started);
    assert_eq!(witness.seal(&key(2), now), WitnessAnswer::NeverStarted);
    assert_eq!(witness.start(&key(3), now), WitnessAnswer::Full);
    assert_eq!(witness.seal(&key(3), now), WitnessAnswer::Full);
    assert_eq!(witness.seal(&key(1), now), WitnessAnswer::MayHaveRun);
    assert_eq!(
        witness.reserve(1, now + 250 * SECOND),
        WitnessAnswer::Reserved { uptime: 250_000 }
    );
}

#[test]
fn key_of_another_witness_instance_is_refused() {
    let now = Instant::now();
    let mut witness = WitnessTable::new(instance(2, 2), interval(TTL_MS), 10, now);
    assert_eq!(witness.start(&key(1), now), WitnessAnswer::WrongWitness);
    assert_eq!(witness.seal(&key(1), now), WitnessAnswer::WrongWitness);
}

#[test]
fn instance_changes_only_before_the_first_key() {
    let (mut witness, now) = witness(10);
    let mut table = table(10);
    witness.adopt(instance(2, 3));
    table.adopt(instance(1, 3));
    assert_eq!(witness.start(&key(1), now), WitnessAnswer::WrongWitness);
    assert!(matches!(
        table.begin(&key(1), digest()),
        BeginDecision::Unknown(_)
    ));

    witness.adopt(instance(2, 1));
    table.adopt(instance(1, 1));
    begin(&mut table, &key(1));
    assert_eq!(witness.start(&key(1), now), WitnessAnswer::Started);
    witness.adopt(instance(2, 3));
    table.adopt(instance(1, 3));
    assert_eq!(witness.seal(&key(1), now), WitnessAnswer::MayHaveRun);
    assert!(matches!(
        table.begin(&key(1), digest()),
        BeginDecision::Wait(_)
    ));
}

#[test]
fn silent_witness_is_closed_after_four_hours_but_not_after_a_partition() {
    let now = Instant::now();
    let hour = 3_600 * SECOND;
    let mut silent = SilentWitnesses::default();
    assert!(!silent.record_silence(&instance(2, 1), now));
    assert!(!silent.record_silence(&instance(2, 1), now + hour));
    silent.record_answer(&instance(2, 1));
    assert!(!silent.record_silence(&instance(2, 1), now + 2 * hour));
    assert!(!silent.record_silence(&instance(2, 1), now + 5 * hour));
    assert!(silent.record_silence(&instance(2, 1), now + 6 * hour));

    let mut table = table(10);
    let id = begin(&mut table, &key(1));
    table.start(id, Some(&WitnessAnswer::Started));
    table.finish(id, RunOutcome::Lost);
    table.close_witness(&instance(2, 1));
    assert!(table.is_empty());
    assert!(matches!(
        table.begin(&key(1), digest()),
        BeginDecision::Unknown(_)
    ));
}

macro_rules! resolves_seal {
    ($($name:ident: $answer:expr => $is_proof:literal;)*) => {$(
        #[test]
        fn $name() {
            let resolution = Resolution::from_seal_answer($answer, RefusalReason::Unreachable);
            assert_eq!(matches!(resolution, Resolution::NotRun(_)), $is_proof);
            assert_eq!(resolution == Resolution::Unknown, !$is_proof);
        }
    )*};
}

resolves_seal! {
    seal_never_started: Some(&WitnessAnswer::NeverStarted) => true;
    seal_may_have_run: Some(&WitnessAnswer::MayHaveRun) => false;
    seal_expired: Some(&WitnessAnswer::Expired) => false;
    seal_full: Some(&WitnessAnswer::Full) => false;
    seal_other_instance: Some(&WitnessAnswer::WrongWitness) => false;
    seal_unanswered: None => false;
}

#[test]
fn failure_to_send_does_not_prove_not_run() {
    let resolution =
        Resolution::from_executor_reply(ExecutorReply::Missing(RefusalReason::Unreachable));
    assert_eq!(
        resolution,
        Resolution::AskWitness(RefusalReason::Unreachable)
    );
}
