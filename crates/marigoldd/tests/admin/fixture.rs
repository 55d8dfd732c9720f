//! An admin server over an in-memory log, and an HTTP client that signs as an operator.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use marigold_api::{ConfigDocument, Status};
use marigold_auth::{MeshKey, OperatorKey, RequestProof};
use marigold_config::{Config, Confirm, Intent, Plan, SignedConfirm, SignedPlan, Trust};
use marigold_control::View;
use marigold_request::burn::BurnReport;
use marigold_settings::Settings;
use marigold_types::{Incarnation, InstanceId, Interval, RecordTime, Version};
use marigoldd::Shared;
use marigoldd::admin::{
    AdminParts, AdminServer, BurnSource, DrainSink, LogSession, MetricsSource, StatusSource,
};
use serde::de::DeserializeOwned;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use uuid::Uuid;

use crate::common::FakeLog;

#[derive(Default)]
pub struct StubSources {
    pub drained: AtomicBool,
}

impl StatusSource for StubSources {
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

impl BurnSource for StubSources {
    fn burn(&self) -> BurnReport {
        BurnReport::default()
    }
}

impl MetricsSource for StubSources {
    fn render(&self) -> String {
        "marigold_up 1\n".to_owned()
    }
}

impl DrainSink for StubSources {
    fn drain(&self) {
        self.drained.store(true, Ordering::SeqCst);
    }
}

pub fn local() -> InstanceId {
    InstanceId {
        address: "127.0.0.1:7001".parse().unwrap(),
        incarnation: Incarnation(5),
    }
}

pub fn shared(log: &FakeLog, settings: Settings) -> Arc<Shared> {
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

pub struct Fixture {
    pub root: OperatorKey,
    pub log: FakeLog,
    pub shared: Arc<Shared>,
    pub sources: Arc<StubSources>,
    pub server: AdminServer,
    _runtime: Runtime,
}

pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {}", self.text()))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub fn now() -> RecordTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    RecordTime(u64::try_from(since.as_millis()).unwrap())
}

impl Fixture {
    pub fn new() -> Self {
        let runtime = Runtime::new().unwrap();
        let root = OperatorKey::generate("root".parse().unwrap()).unwrap();
        let log = FakeLog::default();
        log.with(|log| log.time = Some(now()));
        let mut settings = Settings::default();
        settings.log.timeout = Interval::from_millis(1_000);
        let shared = shared(&log, settings);
        let trust = Trust::new(root.operator().clone(), root.public(), &shared.mesh_key);
        let sources = Arc::new(StubSources::default());
        let session = LogSession::new(Arc::new(log.clone()), trust.clone(), Duration::from_secs(1));
        let parts = AdminParts {
            shared: shared.clone(),
            trust,
            session: Arc::new(session),
            runtime: runtime.handle().clone(),
            status: sources.clone(),
            burn: sources.clone(),
            metrics: sources.clone(),
            drain: sources.clone(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = AdminServer::start(parts, listener).unwrap();
        Self {
            root,
            log,
            shared,
            sources,
            server,
            _runtime: runtime,
        }
    }

    pub fn send(
        &self,
        method: &str,
        target: &str,
        body: &[u8],
        proof: Option<&RequestProof>,
    ) -> Answer {
        self.try_send(method, target, body, proof).unwrap()
    }

    pub fn try_send(
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

    pub fn signed(&self, method: &str, target: &str, body: &[u8]) -> Answer {
        let proof = RequestProof::sign(&self.root, method, target, body, now());
        self.send(method, target, body, Some(&proof))
    }

    pub fn plan(&self, intent: &str) -> SignedPlan {
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

    pub fn confirm(&self, plan: &SignedPlan) -> Answer {
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

/// Polls `done` until it returns true; panics after a minute.
pub fn wait_until(mut done: impl FnMut() -> bool) {
    for _ in 0..6_000 {
        if done() {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the condition did not become true");
}
