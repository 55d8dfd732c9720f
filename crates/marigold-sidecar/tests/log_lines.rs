//! Log events of each request outcome, and logging without blocking.

mod common;

use std::io::{self, Write};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use common::log_buffer::LogBuffer;
use common::test_mesh::{BackendBehaviour, TestMesh, get, until};
use marigold_sidecar::events::{EventLog, Severity, async_logger};
use spdlog::sink::WriteSink;
use tokio::task::LocalSet;

const CONNECTION_CLOSE: &str = "Connection: close\r\n";
/// More lines than fit in the queue to the writer thread.
const OVERFLOWING_LINES: u32 = 5_000;

/// Each case lists the behaviour of the backend servers, the path and additional header fields of the
/// request, and the expected events: outcome, status and reason at the ingress, and the outcome at the
/// executor if the request reached one.
macro_rules! log_event_tests {
    ($($name:ident: [$($behaviour:ident),*], $path:literal, $extra_fields:literal
        => $outcome:literal, $status:literal, $reason:literal, $at_executor:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            LocalSet::new()
                .run_until(async {
                    let log = LogBuffer::default();
                    let mesh = TestMesh::logging_to(&[$(BackendBehaviour::$behaviour),*], log.events()).await;
                    let fields = concat!($extra_fields, "Authorization: hidden-key\r\nConnection: close\r\n");
                    mesh.send(&get($path, fields)).await;
                    check(&log, [$outcome, $reason], $status, $at_executor).await;
                })
                .await;
        }
    )*};
}

async fn check(log: &LogBuffer, [outcome, reason]: [&str; 2], status: u64, executor: Option<&str>) {
    let ended = log.lines("request_ended");
    assert_eq!(ended.len(), 1, "{ended:?}");
    let line = &ended[0];
    assert_eq!(line["request"], "r1");
    assert_eq!(
        (&line["outcome"], &line["status"]),
        (&outcome.into(), &status.into()),
        "{line}"
    );
    assert_eq!(line["reason"], reason, "{line}");
    // The executor logs a cancelled call slightly later.
    if executor.is_some() {
        until(|| !log.lines("call_ended").is_empty()).await;
    }
    let calls = log.lines("call_ended");
    let call = calls.first().and_then(|line| line["outcome"].as_str());
    assert_eq!(call, executor, "{calls:?}");
    let text = log.text();
    assert!(!text.contains("hidden-key"), "{text}");
}

log_event_tests! {
    answered: [Succeed], "/safe/a", "" => "answered", 200, "", Some("answered");
    error_response: [Fail], "/once/a", "" => "answered", 500, "", Some("answered");
    rejected: [Reject], "/once/a", "" => "not_run", 503, "no backend server has room", Some("rejected");
    broken_exchange: [Disconnect], "/once/a", "" => "unknown", 502, "the backend server broke off", Some("lost");
    unresponsive_backend_server: [Hang], "/once/a", "X-Left: 100\r\n" => "unknown", 504, "no answer in time", Some("lost");
    no_backend_server: [], "/safe/a", "" => "not_run", 503, "no backend server has room", None;
    unknown_route: [Succeed], "/other/a", "" => "invalid", 404, "no route takes this host and path", None;
}

#[tokio::test]
async fn closed_executor_refuses() {
    LocalSet::new()
        .run_until(async {
            let log = LogBuffer::default();
            let mesh = TestMesh::logging_to(&[BackendBehaviour::Succeed], log.events()).await;
            mesh.executors[0].close();
            mesh.send(&get("/once/a", CONNECTION_CLOSE)).await;
            let expected = ["not_run", "no backend server has room"];
            check(&log, expected, 503, None).await;
        })
        .await;
}

/// Blocks writes until the end of the test, like a full pipe whose reader has stopped.
struct BlockedWriter(Mutex<Receiver<()>>);

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let unblock = self.0.lock().expect("nobody else writes");
        unblock.recv().ok();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_event_log() -> (Rc<EventLog>, Sender<()>) {
    let (unblock, blocked) = channel();
    let writer = BlockedWriter(Mutex::new(blocked));
    let sink = WriteSink::builder().target(writer).build_arc();
    let logger = async_logger(sink.expect("a sink")).expect("a logger");
    (Rc::new(EventLog::new(Arc::from("test"), logger)), unblock)
}

#[tokio::test]
async fn blocked_log_reader_does_not_block_requests() {
    LocalSet::new()
        .run_until(async {
            let (events, unblock) = blocked_event_log();
            for number in 0..OVERFLOWING_LINES {
                // Distinct names, since the rate limit applies to each name.
                let name: &'static str = Box::leak(format!("event-{number}").into_boxed_str());
                events.emit(name, Severity::Warn, &[]);
            }
            let mesh = TestMesh::logging_to(&[BackendBehaviour::Succeed], events).await;
            let answer = mesh.send(&get("/safe/a", CONNECTION_CLOSE)).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            drop(unblock);
        })
        .await;
}

/// Guards against losing log events of failures while many requests are refused.
#[tokio::test(start_paused = true)]
async fn warnings_have_a_separate_rate_limit() {
    let log = LogBuffer::default();
    let events = log.events();
    for _ in 0..1_000 {
        events.emit(
            "request_ended",
            Severity::Info,
            &[("outcome", "not_run".into())],
        );
    }
    events.emit(
        "request_ended",
        Severity::Warn,
        &[("outcome", "unknown".into())],
    );
    let lines = log.lines("request_ended");
    assert!(lines.len() < 100, "{}", lines.len());
    assert_eq!(lines.last().expect("a line")["outcome"], "unknown");
}
