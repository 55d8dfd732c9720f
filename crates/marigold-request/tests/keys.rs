//! The text form of idempotency keys, and their issue. See docs/design/at-most-once.md.

mod common;

use common::{SECOND, instance, interval, ms, service};
use marigold_auth::MeshKey;
use marigold_request::at_most_once::{KeyError, KeyMint, Nonce, RequestKey};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

fn secret() -> MeshKey {
    MeshKey::new([7; 32])
}

fn key() -> RequestKey {
    RequestKey {
        executor: instance(1, 3),
        witness: instance(2, 4),
        service: service(),
        expiry: 120_000,
        nonce: Nonce(9),
    }
}

#[test]
fn key_round_trips_through_text() {
    let text = key().encode(&secret());
    assert_eq!(RequestKey::decode(&text, &secret()), Ok(key()));
    assert_eq!(
        RequestKey::decode_for(&text, &service(), &secret()),
        Ok(key())
    );
    assert!(text.len() <= 128, "{}", text.len());
}

macro_rules! rejects {
    ($($name:ident: $text:expr => $error:expr;)*) => {$(
        #[test]
        fn $name() {
            let error = RequestKey::decode(&$text, &secret()).unwrap_err();
            assert_eq!(error, $error);
            assert!(error.to_string().contains("POST /.marigold/keys"), "{error}");
        }
    )*};
}

rejects! {
    empty_text: "" => KeyError::Malformed;
    key_invented_by_caller: "order-4711" => KeyError::Malformed;
    prefix_only: "mk1." => KeyError::Malformed;
    truncated: "mk1.AAAA" => KeyError::Malformed;
    invalid_base64: "mk1.!!!!" => KeyError::Malformed;
    too_long: "mk1.".to_owned() + &"A".repeat(1 << 20) => KeyError::TooLong((1 << 20) + 4);
    other_mesh: key().encode(&MeshKey::new([8; 32])) => KeyError::Forged;
}

#[test]
fn key_of_another_service_is_rejected() {
    let text = key().encode(&secret());
    let other = "delivery-ledger".parse().unwrap();
    assert_eq!(
        RequestKey::decode_for(&text, &other, &secret()),
        Err(KeyError::OtherService)
    );
}

#[test]
fn change_of_any_byte_is_rejected() {
    let text = key().encode(&secret());
    for index in 0..text.len() {
        let mut bytes = text.as_bytes().to_vec();
        bytes[index] = if bytes[index] == b'A' { b'B' } else { b'A' };
        let text = String::from_utf8(bytes).unwrap();
        assert!(
            RequestKey::decode(&text, &secret()).is_err(),
            "byte {index}"
        );
    }
}

#[test]
fn random_texts_are_rejected_without_panic() {
    let mut rng = ChaCha8Rng::seed_from_u64(42);
    for _ in 0..20_000 {
        let length = rng.random_range(0..300);
        let bytes: Vec<u8> = (0..length).map(|_| (rng.next_u32() & 0x7f) as u8).collect();
        let mut text = String::from_utf8(bytes).unwrap();
        if rng.random_bool(0.5) {
            text.insert_str(0, "mk1.");
        }
        assert!(RequestKey::decode(&text, &secret()).is_err());
    }
}

#[test]
fn one_reservation_covers_many_keys() {
    let (now, mut rng) = (Instant::now(), ChaCha8Rng::seed_from_u64(1));
    let (executor, witness) = (instance(1, 1), instance(2, 1));
    let mut mint = KeyMint::new(interval(120_000));
    let mut issue = |mint: &mut KeyMint, now| {
        mint.mint(executor, witness, &service(), &secret(), &mut rng, now)
    };
    assert!(mint.needs_reservation(&witness, now));
    assert_eq!(issue(&mut mint, now), None);
    mint.record_reservation(witness, 5_000, now);
    let mut nonces = std::collections::BTreeSet::new();
    for issued in 1..=KeyMint::KEYS_PER_RESERVATION {
        let text = issue(&mut mint, now + ms(100)).unwrap();
        let key = RequestKey::decode(&text, &secret()).unwrap();
        assert_eq!(key.expiry, 125_000);
        assert!(nonces.insert(key.nonce));
        // The next reservation is requested before the keys are used up.
        assert_eq!(
            mint.needs_reservation(&witness, now),
            issued >= KeyMint::KEYS_PER_RESERVATION - 64
        );
    }
    assert_eq!(issue(&mut mint, now), None);
}

#[test]
fn stale_reservation_issues_no_key() {
    let (now, mut rng) = (Instant::now(), ChaCha8Rng::seed_from_u64(1));
    let (executor, witness) = (instance(1, 1), instance(2, 1));
    let mut mint = KeyMint::new(interval(120_000));
    mint.record_reservation(witness, 5_000, now);
    let later = now + 30 * SECOND;
    assert!(mint.needs_reservation(&witness, later));
    let issued = mint.mint(executor, witness, &service(), &secret(), &mut rng, later);
    assert_eq!(issued, None);
}
