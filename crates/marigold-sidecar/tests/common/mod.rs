//! Fixtures shared by the integration tests of the sidecar.
#![allow(
    dead_code,
    unused_imports,
    unused_macros,
    reason = "no test file uses all of it"
)]

/// Runs each test in a [`LocalSet`](tokio::task::LocalSet), which the tasks of daemons require.
macro_rules! local_tests {
    ($($name:ident $body:block)*) => {$(
        #[tokio::test]
        async fn $name() {
            tokio::task::LocalSet::new().run_until(async $body).await;
        }
    )*};
}
pub(crate) use local_tests;

pub mod log_buffer;
pub mod test_mesh;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigold_dispatch::{Announcement, CallKind, Rank, ServingState, SiteReport};
use marigold_sidecar::link::{Call, CallId};
use marigold_sidecar::{Body, HeaderNames};
use marigold_types::{ServiceName, SlotCount, Version};
use tokio::net::TcpListener;

/// Limit on any wait in a test, so that a hanging test fails. No test depends on its value.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns header names that differ from those of any platform.
pub fn names() -> Arc<HeaderNames> {
    Arc::new(HeaderNames {
        request_id: Arc::from("X-Id"),
        deadline: Arc::from("X-Left"),
        signature: Arc::from("X-Signed"),
        expected_identity: Arc::from("X-Expected"),
        not_run: Arc::from("X-Not-Run"),
        retry_after: Arc::from("Retry-After"),
        request_limit: Arc::from("X-Limit"),
        leaving: Arc::from("X-Leaving"),
        origin: Arc::from("X-Origin"),
        identity: Arc::from("X-Identity"),
        key: Arc::from("X-Key"),
        workspace: Arc::from("X-Workspace"),
    })
}

/// Returns the service called `name`.
pub fn service(name: &str) -> ServiceName {
    name.parse().expect("a service")
}

/// Binds a listener to a free port of the loopback interface.
pub async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Returns a call between daemons for the service `desk`; `request` is the id of the request.
pub fn call(request: &str, idempotent: bool) -> Call {
    Call {
        id: CallId::default(),
        floor: CallId::default(),
        version: Version(1),
        service: service("desk"),
        origin: service("ledger"),
        kind: CallKind(Arc::from("read")),
        workspace: None,
        precedence: marigold_dispatch::Precedence::default(),
        rank: Rank(1),
        idempotent,
        objective: TEST_TIMEOUT,
        timeout: TEST_TIMEOUT,
        request_id: Arc::from(request),
        method: Arc::from("GET"),
        target: Arc::from("/a/b"),
        fields: Bytes::from(format!("Host: x\r\nX-Id: {request}\r\n")),
        body: Body::default(),
    }
}

/// Returns the report of an idle executor.
pub fn site() -> SiteReport {
    SiteReport {
        service: Some(service("desk")),
        slots: SlotCount(4),
        busy: SlotCount(0),
        queued: SlotCount(0),
        mean_run: Duration::ZERO,
    }
}

/// Returns an announcement of the backend server at `address`.
pub fn announcement(address: SocketAddr, sequence: u64, state: ServingState) -> Announcement {
    Announcement {
        identity: Arc::from("life-1"),
        started_ms: Some(1),
        sequence,
        service: service("desk"),
        version: None,
        address,
        slots: SlotCount(2),
        state,
        warmup: Duration::ZERO,
    }
}
