//! The operators' side over real connections on loopback.

mod common;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use common::FakeLog;
use marigold_api::{
    AnnounceAnswer, ConfigDocument, ConfirmAnswer, HistoryDocument, PlanState, PlanStored,
    PlanView, Status,
};
use marigold_auth::{MeshKey, OperatorKey, RequestProof};
use marigold_config::{Config, Confirm, Intent, Plan, SignedConfirm, SignedPlan, Trust};
use marigold_control::View;
use marigold_request::burn::BurnReport;
use marigold_settings::Settings;
use marigold_types::{Incarnation, InstanceId, Interval, RecordTime, Version};
use marigoldd::admin::{
    AdminParts, AdminServer, Announcements, BurnSource, DrainSink, LogSession, MetricsSource,
    StatusSource,
};
use marigoldd::{BackendServer, Shared};
use serde::de::DeserializeOwned;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use uuid::Uuid;

/// What the lead's parts would give.
#[derive(Default)]
struct Rest {
    drained: AtomicBool,
}

impl StatusSource for Rest {
    fn status(&self) -> Status {
        Status {
            instance: local(),
            data_centre: "hall-a".parse().unwrap(),
            region: "prairie-west".parse().unwrap(),
            serving: true,
            draining: false,
            latest: Version(0),
            daemons: Vec::new(),
        }
    }
}

impl BurnSource for Rest {
    fn burn(&self) -> BurnReport {
        BurnReport::default()
    }
}

impl MetricsSource for Rest {
    fn render(&self) -> String {
        "marigold_up 1\n".to_owned()
    }
}

impl DrainSink for Rest {
    fn drain(&self) {
        self.drained.store(true, Ordering::SeqCst);
    }
}

fn local() -> InstanceId {
    InstanceId {
        address: "127.0.0.1:7001".parse().unwrap(),
        incarnation: Incarnation(5),
    }
}

fn shared(log: &FakeLog, settings: Settings) -> Arc<Shared> {
    let config = Arc::new(Config::default());
    Arc::new(Shared {
        settings,
        local: local(),
        view: ArcSwap::from_pointee(View::new(local(), true, config, BTreeMap::new())),
        server: watch::Sender::new(None),
        healthy: watch::Sender::new(false),
        draining: watch::Sender::new(false),
        log: Arc::new(log.clone()),
        events: mpsc::channel(1).0,
        mesh_key: MeshKey::new([7; 32]),
    })
}

struct Bench {
    root: OperatorKey,
    log: FakeLog,
    shared: Arc<Shared>,
    rest: Arc<Rest>,
    server: AdminServer,
    _runtime: Runtime,
}

struct Answer {
    status: u16,
    body: Vec<u8>,
}

impl Answer {
    fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {}", self.text()))
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn now() -> RecordTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    RecordTime(u64::try_from(since.as_millis()).unwrap())
}

impl Bench {
    fn new() -> Self {
        let runtime = Runtime::new().unwrap();
        let root = OperatorKey::generate("root".parse().unwrap()).unwrap();
        let log = FakeLog::default();
        log.with(|log| log.time = Some(now()));
        let mut settings = Settings::default();
        settings.log.timeout = Interval::from_millis(1_000);
        let shared = shared(&log, settings);
        let trust = Trust::new(root.operator().clone(), root.public(), &shared.mesh_key);
        let rest = Arc::new(Rest::default());
        let session = LogSession::new(Arc::new(log.clone()), trust.clone(), Duration::from_secs(1));
        let parts = AdminParts {
            shared: shared.clone(),
            trust,
            session: Arc::new(session),
            runtime: runtime.handle().clone(),
            status: rest.clone(),
            burn: rest.clone(),
            metrics: rest.clone(),
            drain: rest.clone(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = AdminServer::start(parts, listener).unwrap();
        Self {
            root,
            log,
            shared,
            rest,
            server,
            _runtime: runtime,
        }
    }

    fn send(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
        proof: Option<&RequestProof>,
    ) -> Answer {
        self.try_send(method, target, body, proof).unwrap()
    }

    fn try_send(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
        proof: Option<&RequestProof>,
    ) -> Result<Answer, ureq::Error> {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_secs(30)))
            .http_status_as_error(false);
        let agent: ureq::Agent = config.build().into();
        let url = format!("http://{}{target}", self.server.address());
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(url)
            .header("connection", "close");
        if let Some(proof) = proof {
            request = request
                .header(RequestProof::OPERATOR_HEADER, proof.operator.as_str())
                .header(RequestProof::TIME_HEADER, proof.time.0.to_string())
                .header(RequestProof::SIGNATURE_HEADER, proof.signature.to_string());
        }
        let mut response = agent.run(request.body(body).unwrap())?;
        Ok(Answer {
            status: response.status().as_u16(),
            body: response.body_mut().read_to_vec()?,
        })
    }

    fn signed(&self, method: &str, target: &str, body: &[u8]) -> Answer {
        let proof = RequestProof::sign(&self.root, method, target, body, now());
        self.send(method, target, body, Some(&proof))
    }

    fn plan(&self, intent: &str) -> SignedPlan {
        let base: ConfigDocument = self.signed("GET", "/v1/config", b"").json();
        let base = base.to_config();
        let target = Intent::parse("mesh.ini", intent)
            .unwrap()
            .to_config(base.version);
        let expires = RecordTime(now().0 + 3_600_000);
        let changes = base.changes_to(&target);
        let plan = Plan::new(&base, self.root.operator().clone(), expires, changes);
        SignedPlan::sign(plan, &self.root)
    }

    fn confirm(&self, plan: &SignedPlan) -> Answer {
        let confirm = Confirm {
            plan: plan.plan.id(),
            operator: self.root.operator().clone(),
            nonce: Uuid::from_u128(1),
            expires: RecordTime(now().0 + 600_000),
        };
        let confirm = SignedConfirm::sign(confirm, &self.root);
        let body = serde_json::to_vec(&confirm).unwrap();
        self.signed("POST", "/v1/confirmations", &body)
    }
}

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
    assert_eq!(bench.log.count(), 0);
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
    bench.log.with(|log| log.down = true);
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
    assert_eq!(bench.log.count(), 0);
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

/// A peer that talks nonsense or goes silent keeps nobody else waiting.
#[test]
fn strange_peers_do_no_harm() {
    let bench = Bench::new();
    let address: SocketAddr = bench.server.address();
    let mut silent = Vec::new();
    for text in [
        "",
        "GET",
        "\0\0\0\0\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "POST /v1/plans HTTP/1.1\r\ncontent-length: 50\r\n\r\n",
    ] {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        silent.push(stream);
    }
    assert_eq!(bench.send("GET", "/healthz", b"", None).status, 200);
    let mut stream = silent.swap_remove(3);
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut answer = Vec::new();
    // The peer is answered with an error or cut off.
    let _ = stream.read_to_end(&mut answer);
    assert!(!answer.starts_with(b"HTTP/1.1 200"));
}

/// A head without an end takes up no more memory than a body may.
#[test]
fn endless_head_is_cut_off() {
    let bench = Bench::new();
    let mut stream = TcpStream::connect(bench.server.address()).unwrap();
    stream
        .set_write_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nx: ").unwrap();
    let chunk = vec![b'a'; 1 << 16];
    let mut sent = 0;
    while sent < 100 << 20 && stream.write_all(&chunk).is_ok() {
        sent += chunk.len();
    }
    // What was sent beyond the bound stands in the buffers of the sockets.
    assert!(sent < 50 << 20, "{sent}");
    assert_eq!(bench.send("GET", "/healthz", b"", None).status, 200);
}

/// Connections beyond the bound are closed at once.
#[test]
fn connections_are_bounded() {
    let bench = Bench::new();
    let open = |_| {
        let stream = TcpStream::connect(bench.server.address()).unwrap();
        stream.set_nonblocking(true).unwrap();
        stream
    };
    let mut streams: Vec<TcpStream> = (0..60).map(open).collect();
    let is_closed = |stream: &mut TcpStream| !matches!(stream.read(&mut [0]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
    // 32 stay open and the rest is closed, however long that takes on a busy machine.
    wait_until(|| {
        streams
            .iter_mut()
            .filter_map(|s| is_closed(s).then_some(()))
            .count()
            >= 28
    });
    drop(streams);
    wait_until(|| {
        let answer = bench.try_send("GET", "/healthz", b"", None);
        answer.is_ok_and(|answer| answer.status == 200)
    });
}

/// A closed side answers nobody, as when the process has died.
#[test]
fn closes_at_once() {
    let bench = Bench::new();
    let mut open = TcpStream::connect(bench.server.address()).unwrap();
    assert_eq!(bench.send("GET", "/healthz", b"", None).status, 200);
    bench.server.close();
    // An end or a reset, and no answer.
    assert!(!matches!(open.read(&mut [0]), Ok(read) if read > 0));
    wait_until(|| TcpStream::connect(bench.server.address()).is_err());
}

/// Probes of clients that keep their connections are answered on them.
#[test]
fn kept_connection_is_answered() {
    let bench = Bench::new();
    let agent = ureq::Agent::new_with_defaults();
    let url = format!("http://{}/healthz", bench.server.address());
    for _ in 0..20 {
        let mut response = agent.get(&url).call().unwrap();
        assert_eq!(response.body_mut().read_to_string().unwrap(), "ok\n");
    }
}

/// Waits for something that has to happen sooner or later.
fn wait_until(mut done: impl FnMut() -> bool) {
    for _ in 0..6_000 {
        if done() {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("it never happened");
}

fn desk() -> BackendServer {
    serde_json::from_str(
        r#"{"service":"desk","address":"127.0.0.1:8100","slots":15,"connections":120}"#,
    )
    .unwrap()
}

#[test]
fn backend_server_comes_and_goes() {
    let bench = Bench::new();
    let body = serde_json::to_vec(&desk()).unwrap();
    let answer = bench.send("POST", "/v1/announce", &body, None);
    assert_eq!(answer.status, 200, "{}", answer.text());
    let answer: AnnounceAnswer = answer.json();
    assert!(answer.accepted && !answer.declared);
    assert_eq!(answer.heartbeat, Interval::from_millis(2_000));
    assert_eq!(*bench.shared.server.borrow(), Some(desk()));
    assert_eq!(bench.send("DELETE", "/v1/announce", b"", None).status, 204);
    assert_eq!(*bench.shared.server.borrow(), None);
    let answer = bench.send("POST", "/v1/announce", br#"{"service":"Desk"}"#, None);
    assert_eq!(answer.status, 400);
    bench.shared.draining.send_replace(true);
    let answer = bench.send("POST", "/v1/announce", &body, None);
    assert_eq!(answer.status, 409);
    assert!(answer.text().contains("leaving"));
}

#[tokio::test(start_paused = true)]
async fn announcement_ages() {
    let shared = shared(&FakeLog::default(), Settings::default());
    let announcements = Arc::new(Announcements::new(shared.clone()));
    let keeper = announcements.clone();
    let task = tokio::spawn(async move { keeper.run().await });
    let mut changes = shared.server.subscribe();
    for _ in 0..5 {
        announcements.announce(desk(), Instant::now());
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(shared.server.borrow().is_some());
    }
    // Repeats wake nobody.
    changes.mark_unchanged();
    announcements.announce(desk(), Instant::now());
    assert!(!changes.has_changed().unwrap());
    let last = Instant::now();
    changes.changed().await.unwrap();
    assert!(shared.server.borrow().is_none());
    let ttl = shared.settings.admin.announce_ttl.duration();
    assert!(last.elapsed() >= ttl && last.elapsed() <= ttl * 2);
    task.abort();
}
