//! A daemon's admin API on an in-memory log, and a way to run the program against it.

#![allow(dead_code, reason = "each test file uses a part of it")]

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

static NEXT_DIRECTORY: AtomicUsize = AtomicUsize::new(0);

/// A temporary directory of one test, removed on drop.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new() -> Self {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::SeqCst);
        let name = format!("marigoldctl-{}-{number}", std::process::id());
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

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The output and exit code of the program.
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

/// The mesh behind the admin API: a status of two daemons, and a record of whether a drain was
/// requested.
pub struct FakeMesh {
    version: AtomicU64,
    drained: Mutex<bool>,
}

impl FakeMesh {
    pub fn set_version(&self, version: u64) {
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

impl StatusSource for FakeMesh {
    fn status(&self) -> Status {
        let latest = Version(self.version.load(Ordering::SeqCst));
        let own = row(7_001, "desk", latest);
        // The other daemon holds the next lower version while `latest` is odd.
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

impl BurnSource for FakeMesh {
    fn burn(&self) -> BurnReport {
        BurnReport {
            daemons: 1,
            ..BurnReport::default()
        }
    }
}

impl MetricsSource for FakeMesh {
    fn render(&self) -> String {
        String::new()
    }
}

impl DrainSink for FakeMesh {
    fn drain(&self) {
        *self.drained.lock().unwrap() = true;
    }
}

/// The admin API of a daemon, served from this process.
pub struct TestDaemon {
    pub log: MemoryLog,
    pub mesh: Arc<FakeMesh>,
    pub dir: TempDir,
    pub url: String,
    pub root: PathBuf,
    _server: AdminServer,
    _runtime: Runtime,
}

impl TestDaemon {
    pub fn new() -> Self {
        let runtime = Runtime::new().unwrap();
        let log = {
            let _context = runtime.enter();
            MemoryLog::new(LogLimits::default())
        };
        let key = OperatorKey::generate("root".parse().unwrap()).unwrap();
        let dir = TempDir::new();
        let root = PathBuf::from(dir.file("root.json", &key.to_file_text()));
        let mesh_key = MeshKey::new([7; 32]);
        let trust = Trust::new(key.operator().clone(), key.public(), &mesh_key);
        let mesh = Arc::new(FakeMesh {
            version: AtomicU64::new(0),
            drained: Mutex::new(false),
        });
        let mut settings = Settings::default();
        settings.log.timeout = Interval::from_millis(1_000);
        let local = mesh.status().instance;
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
        let timeout = Duration::from_secs(1);
        let session = LogSession::new(shared.log.clone(), trust.clone(), timeout);
        let parts = AdminParts {
            shared,
            trust,
            session: Arc::new(session),
            runtime: runtime.handle().clone(),
            status: mesh.clone(),
            burn: mesh.clone(),
            metrics: mesh.clone(),
            drain: mesh.clone(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = AdminServer::start(parts, listener).unwrap();
        Self {
            log,
            mesh,
            url: format!("http://{}", server.address()),
            dir,
            root,
            _server: server,
            _runtime: runtime,
        }
    }

    /// Runs the program as the root operator.
    pub fn run(&self, args: &[&str]) -> Output {
        Self::run_as(&self.root, &self.url, args)
    }

    pub fn run_as(key: &Path, url: &str, args: &[&str]) -> Output {
        let key = key.display().to_string();
        let mut all = vec!["--daemon", url, "--key", &key];
        all.extend(args);
        run(&all)
    }

    /// Stores a plan for `intent` and returns its id.
    pub fn plan(&self, intent: &str) -> String {
        let file = self.dir.file("mesh.ini", intent);
        let output = self.run(&["--json", "plan", &file]);
        assert_eq!(output.code, 0, "{output:?}");
        let value: serde_json::Value = serde_json::from_str(&output.out).unwrap();
        value["plan"].as_str().unwrap().to_owned()
    }
}
