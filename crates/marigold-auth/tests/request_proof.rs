//! Signed requests: changes to a request and differences of the clocks are detected.

use std::time::Duration;

use marigold_auth::{AuthError, OperatorKey, RequestProof};
use marigold_types::RecordTime;

const NOW: RecordTime = RecordTime(1_000_000);
const SKEW: Duration = Duration::from_mins(1);

fn verify(method: &str, target: &str, body: &[u8], now: RecordTime) -> Result<(), AuthError> {
    let key = OperatorKey::generate("ann".parse().unwrap()).unwrap();
    let proof = RequestProof::sign(&key, "POST", "/v1/drain", b"body", NOW);
    proof.verify(&key.public(), method, target, body, now, SKEW)
}

macro_rules! rejects {
    ($($name:ident: $method:literal, $target:literal, $body:literal, $now:expr;)*) => {$(
        #[test]
        fn $name() {
            assert!(verify($method, $target, $body, RecordTime($now)).is_err());
        }
    )*};
}

rejects! {
    different_method: "GET", "/v1/drain", b"body", 1_000_000;
    different_target: "POST", "/v1/plans", b"body", 1_000_000;
    different_body: "POST", "/v1/drain", b"tidy", 1_000_000;
    clock_too_far_behind: "POST", "/v1/drain", b"body", 1_060_001;
    clock_too_far_ahead: "POST", "/v1/drain", b"body", 939_999;
}

#[test]
fn accepts_clock_within_skew() {
    assert_eq!(
        verify("POST", "/v1/drain", b"body", RecordTime(1_060_000)),
        Ok(())
    );
    assert_eq!(
        verify("POST", "/v1/drain", b"body", RecordTime(940_000)),
        Ok(())
    );
}

#[test]
fn rejects_signature_by_another_key() {
    let key = OperatorKey::generate("ann".parse().unwrap()).unwrap();
    let other = OperatorKey::generate("ann".parse().unwrap()).unwrap();
    let proof = RequestProof::sign(&other, "GET", "/v1/status", b"", NOW);
    let verified = proof.verify(&key.public(), "GET", "/v1/status", b"", NOW, SKEW);
    assert!(verified.is_err());
}

#[test]
fn error_names_missing_header() {
    let error = RequestProof::from_headers(|_| None).unwrap_err();
    assert!(error.to_string().contains("marigold-operator is missing"));
}
