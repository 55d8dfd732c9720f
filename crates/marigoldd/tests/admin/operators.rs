//! What operators ask, and who is refused.

use std::sync::atomic::Ordering;

use marigold_api::{
    ConfigDocument, ConfirmAnswer, HistoryDocument, PlanState, PlanStored, PlanView,
};
use marigold_auth::{OperatorKey, RequestProof};
use marigold_types::RecordTime;

use crate::bench::{Bench, local, now};

const DESK: &str = "[service desk]\n";

#[test]
fn unsigned_requests_get_nowhere() {
    let bench = Bench::new();
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
        let answer = bench.send(method, target, b"", None);
        assert_eq!(answer.status, 401, "{target}");
        assert!(answer.text().contains("marigold-operator is missing"));
    }
    assert_eq!(bench.log.append_count(), 0);
}

#[test]
fn wrong_proofs_are_refused() {
    let bench = Bench::new();
    let eve = OperatorKey::generate("eve".parse().unwrap()).unwrap();
    let fake = OperatorKey::generate("root".parse().unwrap()).unwrap();
    let target = "/v1/status";
    let sign = |key, time| RequestProof::sign(key, "GET", target, b"", time);
    let old = RecordTime(now().0 - 120_000);
    let cases = [
        (sign(&eve, now()), "operator `eve` is not declared"),
        (sign(&fake, now()), "the signature is not that of `root`"),
        (sign(&bench.root, old), "clock is"),
    ];
    for (proof, want) in cases {
        let answer = bench.send("GET", target, b"", Some(&proof));
        assert_eq!(answer.status, 401);
        assert!(answer.text().contains(want), "{}", answer.text());
    }
    let proof = sign(&bench.root, now());
    assert_eq!(
        bench.send("GET", "/v1/history", b"", Some(&proof)).status,
        401
    );
    assert_eq!(bench.send("GET", target, b"", Some(&proof)).status, 200);
}

#[test]
fn open_paths() {
    let bench = Bench::new();
    let get = |target| bench.send("GET", target, b"", None);
    assert_eq!(get("/healthz").status, 200);
    assert_eq!(get("/metrics").text(), "marigold_up 1\n");
    assert_eq!(get("/readyz").status, 200);
    assert_eq!(get("/nothing").status, 404);
    assert_eq!(bench.send("PUT", "/v1/config", b"", None).status, 404);
    bench.shared.draining.send_replace(true);
    assert_eq!(get("/readyz").status, 503);
}

#[test]
fn plan_and_confirm() {
    let bench = Bench::new();
    let plan = bench.plan(DESK);
    let id = plan.plan.id();
    let body = serde_json::to_vec(&plan).unwrap();
    let stored: PlanStored = bench.signed("POST", "/v1/plans", &body).json();
    assert_eq!((stored.plan, stored.certain), (id, true));
    let view: PlanView = bench.signed("GET", &format!("/v1/plans/{id}"), b"").json();
    assert_eq!(view.content, Some(plan.clone()));
    assert_eq!(view.state, PlanState::Pending);

    let answer = bench.confirm(&plan);
    assert_eq!(answer.status, 200, "{}", answer.text());
    let ConfirmAnswer::Accepted { version, repeated } = answer.json() else {
        panic!("{}", answer.text());
    };
    assert!(!repeated);
    let again: ConfirmAnswer = bench.confirm(&plan).json();
    let repeated = true;
    assert_eq!(again, ConfirmAnswer::Accepted { version, repeated });

    let config: ConfigDocument = bench.signed("GET", "/v1/config", b"").json();
    assert!(config.fresh && config.version == version);
    let history: HistoryDocument = bench.signed("GET", "/v1/history", b"").json();
    assert_eq!(history.entries.len(), 1);
}

#[test]
fn log_down_is_said_so() {
    let bench = Bench::new();
    let plan = bench.plan(DESK);
    bench.log.with(|log| log.unavailable = true);
    let body = serde_json::to_vec(&plan).unwrap();
    let answer = bench.signed("POST", "/v1/plans", &body);
    assert_eq!(answer.status, 503);
    assert!(
        answer.text().contains("nothing was written"),
        "{}",
        answer.text()
    );
    let config: ConfigDocument = bench.signed("GET", "/v1/config", b"").json();
    assert!(!config.fresh);
}

#[test]
fn plan_of_another_is_refused() {
    let bench = Bench::new();
    let mut plan = bench.plan(DESK);
    plan.plan.operator = "ann".parse().unwrap();
    let body = serde_json::to_vec(&plan).unwrap();
    let answer = bench.signed("POST", "/v1/plans", &body);
    assert_eq!(answer.status, 403, "{}", answer.text());
    assert_eq!(bench.log.append_count(), 0);
}

#[test]
fn drains_this_life_only() {
    let bench = Bench::new();
    let drain = |incarnation: u64| {
        let mut body = serde_json::json!({ "instance": local() });
        body["instance"]["incarnation"] = incarnation.into();
        bench.signed("POST", "/v1/drain", body.to_string().as_bytes())
    };
    assert_eq!(drain(4).status, 400);
    assert!(!bench.rest.drained.load(Ordering::SeqCst));
    assert_eq!(drain(5).status, 202);
    assert!(bench.rest.drained.load(Ordering::SeqCst));
}

#[test]
fn nonsense_is_refused() {
    let bench = Bench::new();
    let large = vec![b' '; 1_000_001];
    for body in [b"".as_slice(), b"{}", b"\xff\xfe", &large] {
        for target in ["/v1/plans", "/v1/confirmations", "/v1/drain"] {
            assert_eq!(bench.signed("POST", target, body).status, 400, "{target}");
        }
    }
    assert_eq!(bench.signed("GET", "/v1/plans/zz", b"").status, 400);
    let unknown = format!("/v1/plans/{}", "0".repeat(64));
    assert_eq!(bench.signed("GET", &unknown, b"").status, 404);
}
