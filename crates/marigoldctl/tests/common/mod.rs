//! A daemon's admin side over a log in memory, and the program run against it.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::BTreeMap;
use std::fs;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use marigold_api::{DaemonState, DaemonStatus, Status};
use marigold_auth::{MeshKey, OperatorKey};
use marigold_config::{Config, Trust};
use marigold_control::View;
use marigold_request::burn::BurnReport;
use marigold_settings::Settings;
use marigold_standin::log::{LogLimits, MemoryLog};
use marigold_types::{Incarnation, InstanceId, Interval, Version};
use marigoldd::Shared;
use marigoldd::admin::{
    AdminParts, AdminServer, BurnSource, DrainSink, LogSession, MetricsSource, StatusSource,
};
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};

static COUNT: AtomicUsize = AtomicUsize::new(0);

/// A directory of its own for each test, removed at its end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new() -> Self {
        let at = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("marigoldctl-{}-{at}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// What the program printed and how it ended.
#[derive(Debug)]
pub struct Output {
    pub code: i32,
    pub out: String,
    pub err: String,
}

pub fn run(args: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_marigoldctl"))
        .args(args)
        .env_remove("MARIGOLD_DAEMON")
        .env_remove("MARIGOLD_KEY")
        .output()
        .unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Output {
        code: output.status.code().unwrap(),
        out: text(&output.stdout),
        err: text(&output.stderr),
    }
}

/// The daemons of a mesh as `status` tells them; their version can be set.
pub struct Rest {
    version: AtomicU64,
    drained: Mutex<bool>,
}

impl Rest {
    pub fn hold(&self, version: u64) {
        self.version.store(version, Ordering::SeqCst);
    }

    pub fn drained(&self) -> bool {
        *self.drained.lock().unwrap()
    }
}

fn row(port: u16, service: &str, version: Version) -> DaemonStatus {
    DaemonStatus {
        instance: InstanceId {
            address: format!("127.0.0.1:{port}").parse().unwrap(),
            incarnation: Incarnation(1),
        },
        data_centre: format!("hall-{}", ["a", "b"][usize::from(port % 2)])
            .parse()
            .unwrap(),
        service: Some(service.parse().unwrap()),
        state: DaemonState::Ready,
        version,
        lag: 0,
        since: Interval::from_millis(1_000),
        bytes: Vec::new(),
    }
}

impl StatusSource for Rest {
    fn status(&self) -> Status {
        let latest = Version(self.version.load(Ordering::SeqCst));
        let own = row(7_001, "desk", latest);
        // The other daemon is behind while the version is odd.
        let other = row(7_002, "ledger", Version(latest.0 & !1));
        Status {
            instance: own.instance,
            data_centre: own.data_centre.clone(),
            region: "prairie-west".parse().unwrap(),
            serving: true,
            draining: false,
            latest,
            daemons: vec![own, other],
        }
    }
}

impl BurnSource for Rest {
    fn burn(&self) -> BurnReport {
        BurnReport {
            daemons: 1,
            ..BurnReport::default()
        }
    }
}

impl MetricsSource for Rest {
    fn render(&self) -> String {
        String::new()
    }
}

impl DrainSink for Rest {
    fn drain(&self) {
        *self.drained.lock().unwrap() = true;
    }
}

pub struct Bench {
    pub log: MemoryLog,
    pub rest: Arc<Rest>,
    pub scratch: Scratch,
    pub url: String,
    pub root: PathBuf,
    _server: AdminServer,
    _runtime: Runtime,
}

impl Bench {
    pub fn new() -> Self {
        let runtime = Runtime::new().unwrap();
        let log = {
            let _context = runtime.enter();
            MemoryLog::new(LogLimits::default())
        };
        let key = OperatorKey::generate("root".parse().unwrap()).unwrap();
        let scratch = Scratch::new();
        let root = PathBuf::from(scratch.file("root.json", &key.to_file_text()));
        let mesh_key = MeshKey::new([7; 32]);
        let trust = Trust::new(key.operator().clone(), key.public(), &mesh_key);
        let rest = Arc::new(Rest {
            version: AtomicU64::new(0),
            drained: Mutex::new(false),
        });
        let mut settings = Settings::default();
        settings.log.timeout = Interval::from_millis(1_000);
        let local = rest.status().instance;
        let view = View::new(local, true, Arc::new(Config::default()), BTreeMap::new());
        let shared = Arc::new(Shared {
            settings,
            local,
            view: ArcSwap::from_pointee(view),
            server: watch::Sender::new(None),
            healthy: watch::Sender::new(false),
            draining: watch::Sender::new(false),
            log: Arc::new(log.clone()),
            events: mpsc::channel(1).0,
            mesh_key,
        });
        let attempt = Duration::from_secs(1);
        let session = LogSession::new(shared.log.clone(), trust.clone(), attempt);
        let parts = AdminParts {
            shared,
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
            log,
            rest,
            url: format!("http://{}", server.address()),
            scratch,
            root,
            _server: server,
            _runtime: runtime,
        }
    }

    /// Runs the program as the root operator.
    pub fn run(&self, args: &[&str]) -> Output {
        Self::run_as(&self.root, &self.url, args)
    }

    pub fn run_as(key: &Path, daemon: &str, args: &[&str]) -> Output {
        let key = key.display().to_string();
        let mut all = vec!["--daemon", daemon, "--key", &key];
        all.extend(args);
        run(&all)
    }

    /// Plans an intent and returns the plan's id.
    pub fn plan(&self, intent: &str) -> String {
        let file = self.scratch.file("mesh.ini", intent);
        let output = self.run(&["--json", "plan", &file]);
        assert_eq!(output.code, 0, "{output:?}");
        let value: serde_json::Value = serde_json::from_str(&output.out).unwrap();
        value["plan"].as_str().unwrap().to_owned()
    }
}
