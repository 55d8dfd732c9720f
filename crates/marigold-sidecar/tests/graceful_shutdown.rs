//! Requests that an ingress has read when it is stopped.

mod common;

use std::time::Duration;

use common::test_mesh::{BackendBehaviour, TestMesh, get, until};
use common::{TEST_TIMEOUT, local_tests};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Grace period of the stopped ingress. No check depends on how long it is.
const GRACE: Duration = Duration::from_millis(600);
const CLOSE: &str = "Connection: close";

/// A caller's connection to the ingress of a mesh that is stopped while requests are pending.
struct PipeliningCaller {
    mesh: TestMesh,
    stream: TcpStream,
}

impl PipeliningCaller {
    async fn new() -> Self {
        let behaviours = [BackendBehaviour::HangOnMark, BackendBehaviour::HangOnMark];
        let mesh = TestMesh::new(&behaviours).await;
        mesh.ingress.lifecycle.set_grace(GRACE);
        let stream = TcpStream::connect(mesh.callers).await.expect("the ingress");
        Self { mesh, stream }
    }

    /// Sends requests for `paths` without waiting for responses.
    async fn send(&mut self, paths: &[&str]) {
        let text: String = paths.iter().map(|path| get(path, "")).collect();
        let sent = self.stream.write_all(text.as_bytes()).await;
        sent.expect("an open connection");
    }

    async fn wait_for_arrivals(&self, count: u32) {
        until(|| self.mesh.arrivals() == count).await;
    }

    /// Returns everything that is received until the ingress closes the connection.
    async fn receive(&mut self) -> String {
        let mut text = String::new();
        let received = timeout(TEST_TIMEOUT / 2, self.stream.read_to_string(&mut text)).await;
        received
            .expect("the connection ends")
            .expect("the connection is not reset");
        text
    }
}

local_tests! {
    ready_response_stays_behind_a_request_that_never_ends {
        let mut caller = PipeliningCaller::new().await;
        caller.send(&["/safe/hang", "/safe/ready"]).await;
        caller.wait_for_arrivals(2).await;
        caller.mesh.ingress.lifecycle.begin_shutdown();
        let text = caller.receive().await;
        let first = text.find("HTTP/1.1 502").expect("an outcome of the first request");
        let second = text.find("/safe/ready for ledger").expect("the ready response");
        assert!(first < second, "{text}");
        assert_eq!(text.matches(CLOSE).count(), 1, "only the last response closes: {text}");
    }

    request_that_never_ends_keeps_its_caller_without_a_response {
        let mut caller = PipeliningCaller::new().await;
        caller.send(&["/once/hang"]).await;
        caller.wait_for_arrivals(1).await;
        caller.mesh.ingress.lifecycle.begin_shutdown();
        let text = caller.receive().await;
        assert!(text.starts_with("HTTP/1.1 502"), "{text}");
        assert_eq!(caller.mesh.arrivals(), 1);
    }

    running_request_is_cut_off_behind_a_closing_response {
        let mut caller = PipeliningCaller::new().await;
        caller.send(&["/safe/first", "/safe/second", "/safe/third"]).await;
        until(|| caller.mesh.ingress.in_flight() == 3).await;
        caller.mesh.ingress.lifecycle.begin_shutdown();
        let text = caller.receive().await;
        for path in ["/safe/first", "/safe/second", "/safe/third"] {
            assert!(text.contains(&format!("{path} for ledger")), "{path}: {text}");
        }
        assert_eq!(text.matches(CLOSE).count(), 1, "{text}");
    }

    request_behind_a_pending_one_is_passed_on_while_stopping {
        let mut caller = PipeliningCaller::new().await;
        caller.send(&["/safe/hang"]).await;
        caller.wait_for_arrivals(1).await;
        caller.mesh.ingress.lifecycle.begin_shutdown();
        caller.send(&["/safe/behind"]).await;
        let text = caller.receive().await;
        assert_eq!(caller.mesh.arrivals(), 1, "{text}");
        assert!(text.starts_with("HTTP/1.1 502") && text.contains(CLOSE), "{text}");
    }
}
