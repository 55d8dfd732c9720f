//! Tests of operators' requests and their authentication.

use std::sync::atomic::Ordering;

use marigold_api::{
    ConfigDocument, ConfirmAnswer, HistoryDocument, PlanState, PlanStored, PlanView,
};
use marigold_auth::{OperatorKey, RequestProof};
use marigold_types::RecordTime;

use crate::fixture::{Fixture, local, now};

const DESK: &str = "[service desk]\n";

#[test]
fn unsigned_requests_are_refused() {
    let fixture = Fixture::new();
    for (method, target) in [
        ("GET", "/v1/config"),
        ("GET", "/v1/history"),
        ("GET", "/v1/status"),
        ("GET", "/v1/burn"),
        ("GET", "/v1/plans/00"),
        ("POST", "/v1/plans"),
        ("POST", "/v1/confirmations"),
        ("POST", "/v1/drain"),
    ] {
        let answer = fixture.send(method, target, b"", None);
        assert_eq!(answer.status, 401, "{target}");
        assert!(answer.text().contains("marigold-operator is missing"));
    }
    assert_eq!(fixture.log.append_count(), 0);
}

#[test]
fn invalid_signatures_are_refused() {
    let fixture = Fixture::new();
    let eve = OperatorKey::generate("eve".parse().unwrap()).unwrap();
    let fake = OperatorKey::generate("root".parse().unwrap()).unwrap();
    let target = "/v1/status";
    let sign = |key, time| RequestProof::sign(key, "GET", target, b"", time);
    let old = RecordTime(now().0 - 120_000);
    let cases = [
        (sign(&eve, now()), "operator `eve` is not declared"),
        (sign(&fake, now()), "the signature is not that of `root`"),
        (sign(&fixture.root, old), "clock is"),
    ];
    for (proof, want) in cases {
        let answer = fixture.send("GET", target, b"", Some(&proof));
        assert_eq!(answer.status, 401);
        assert!(answer.text().contains(want), "{}", answer.text());
    }
    let proof = sign(&fixture.root, now());
    assert_eq!(
        fixture.send("GET", "/v1/history", b"", Some(&proof)).status,
        401
    );
    assert_eq!(fixture.send("GET", target, b"", Some(&proof)).status, 200);
}

#[test]
fn health_and_metrics_need_no_signature() {
    let fixture = Fixture::new();
    let get = |target| fixture.send("GET", target, b"", None);
    assert_eq!(get("/healthz").status, 200);
    assert_eq!(get("/metrics").text(), "marigold_up 1\n");
    assert_eq!(get("/readyz").status, 200);
    assert_eq!(get("/nothing").status, 404);
    assert_eq!(fixture.send("PUT", "/v1/config", b"", None).status, 404);
    fixture.shared.draining.send_replace(true);
    assert_eq!(get("/readyz").status, 503);
}

#[test]
fn plan_and_confirm() {
    let fixture = Fixture::new();
    let plan = fixture.plan(DESK);
    let id = plan.plan.id();
    let body = serde_json::to_vec(&plan).unwrap();
    let stored: PlanStored = fixture.signed("POST", "/v1/plans", &body).json();
    assert_eq!((stored.plan, stored.certain), (id, true));
    let view: PlanView = fixture
        .signed("GET", &format!("/v1/plans/{id}"), b"")
        .json();
    assert_eq!(view.content, Some(plan.clone()));
    assert_eq!(view.state, PlanState::Pending);

    let answer = fixture.confirm(&plan);
    assert_eq!(answer.status, 200, "{}", answer.text());
    let ConfirmAnswer::Accepted { version, repeated } = answer.json() else {
        panic!("{}", answer.text());
    };
    assert!(!repeated);
    let again: ConfirmAnswer = fixture.confirm(&plan).json();
    let repeated = true;
    assert_eq!(again, ConfirmAnswer::Accepted { version, repeated });

    let config: ConfigDocument = fixture.signed("GET", "/v1/config", b"").json();
    assert!(config.fresh && config.version == version);
    let history: HistoryDocument = fixture.signed("GET", "/v1/history", b"").json();
    assert_eq!(history.entries.len(), 1);
}

#[test]
fn unavailable_log_is_reported() {
    let fixture = Fixture::new();
    let plan = fixture.plan(DESK);
    fixture.log.with(|log| log.unavailable = true);
    let body = serde_json::to_vec(&plan).unwrap();
    let answer = fixture.signed("POST", "/v1/plans", &body);
    assert_eq!(answer.status, 503);
    assert!(
        answer.text().contains("nothing was written"),
        "{}",
        answer.text()
    );
    let config: ConfigDocument = fixture.signed("GET", "/v1/config", b"").json();
    assert!(!config.fresh);
}

#[test]
fn plan_of_another_operator_is_refused() {
    let fixture = Fixture::new();
    let mut plan = fixture.plan(DESK);
    plan.plan.operator = "ann".parse().unwrap();
    let body = serde_json::to_vec(&plan).unwrap();
    let answer = fixture.signed("POST", "/v1/plans", &body);
    assert_eq!(answer.status, 403, "{}", answer.text());
    assert_eq!(fixture.log.append_count(), 0);
}

#[test]
fn drain_must_name_the_current_incarnation() {
    let fixture = Fixture::new();
    let drain = |incarnation: u64| {
        let mut body = serde_json::json!({ "instance": local() });
        body["instance"]["incarnation"] = incarnation.into();
        fixture.signed("POST", "/v1/drain", body.to_string().as_bytes())
    };
    assert_eq!(drain(4).status, 400);
    assert!(!fixture.sources.drained.load(Ordering::SeqCst));
    assert_eq!(drain(5).status, 202);
    assert!(fixture.sources.drained.load(Ordering::SeqCst));
}

#[test]
fn malformed_bodies_are_refused() {
    let fixture = Fixture::new();
    let large = vec![b' '; 1_000_001];
    for body in [b"".as_slice(), b"{}", b"\xff\xfe", &large] {
        for target in ["/v1/plans", "/v1/confirmations", "/v1/drain"] {
            assert_eq!(fixture.signed("POST", target, body).status, 400, "{target}");
        }
    }
    assert_eq!(fixture.signed("GET", "/v1/plans/zz", b"").status, 400);
    let unknown = format!("/v1/plans/{}", "0".repeat(64));
    assert_eq!(fixture.signed("GET", &unknown, b"").status, 404);
}
