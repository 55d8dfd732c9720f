//! Every way in which a request can end has its lines, and no request waits for whoever reads them.

mod common;

use std::io::{self, Write};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use common::test_mesh::{BackendBehaviour, TestMesh, get, until};
use marigold_sidecar::events::{EventLog, Severity, async_logger};
use serde_json::Value;
use spdlog::Logger;
use spdlog::sink::WriteSink;
use tokio::task::LocalSet;

const LAST: &str = "Connection: close\r\n";
/// More lines than wait for the writer at most.
const MANY: u32 = 5_000;

/// Keeps what is written.
#[derive(Clone, Default)]
struct Page(Arc<Mutex<Vec<u8>>>);

impl Page {
    fn events(&self) -> Rc<EventLog> {
        let sink = WriteSink::builder().target(self.clone()).build_arc();
        let logger = Logger::builder().sink(sink.expect("a sink")).build_arc();
        Rc::new(EventLog::new(Arc::from("test"), logger.expect("a logger")))
    }

    /// Returns the lines of one event, in order.
    fn lines(&self, event: &str) -> Vec<Value> {
        let bytes = self.0.lock().expect("no writer has panicked").clone();
        let text = String::from_utf8(bytes).expect("a text");
        let lines = text.lines().filter_map(|line| {
            let line = &line[line.find('{')?..];
            Some(serde_json::from_str::<Value>(line).expect("JSON"))
        });
        lines.filter(|line| line["event"] == event).collect()
    }
}

impl Write for Page {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut page = self.0.lock().expect("no writer has panicked");
        page.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Names what the backend server does, a path, further fields, and what the lines must say: the outcome,
/// the status and the reason at the ingress, and the outcome at the executor, if it was reached.
macro_rules! lines {
    ($($name:ident: [$($script:ident),*], $path:literal, $more:literal
        => $outcome:literal, $status:literal, $reason:literal, $at_executor:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            LocalSet::new()
                .run_until(async {
                    let page = Page::default();
                    let mesh = TestMesh::logging_to(&[$(BackendBehaviour::$script),*], page.events()).await;
                    let more = concat!($more, "Authorization: hidden-key\r\nConnection: close\r\n");
                    mesh.send(&get($path, more)).await;
                    check(&page, [$outcome, $reason], $status, $at_executor).await;
                })
                .await;
        }
    )*};
}

async fn check(page: &Page, [outcome, reason]: [&str; 2], status: u64, executor: Option<&str>) {
    let ended = page.lines("request_ended");
    assert_eq!(ended.len(), 1, "{ended:?}");
    let line = &ended[0];
    assert_eq!(line["request"], "r1");
    assert_eq!(
        (&line["outcome"], &line["status"]),
        (&outcome.into(), &status.into()),
        "{line}"
    );
    assert_eq!(line["reason"], reason, "{line}");
    // An executor notes the end of a call that nobody waits for any more a moment later.
    if executor.is_some() {
        until(|| !page.lines("call_ended").is_empty()).await;
    }
    let calls = page.lines("call_ended");
    let call = calls.first().and_then(|line| line["outcome"].as_str());
    assert_eq!(call, executor, "{calls:?}");
    let bytes = page.0.lock().expect("no writer has panicked").clone();
    let text = String::from_utf8(bytes).expect("a text");
    assert!(!text.contains("hidden-key"), "{text}");
}

lines! {
    an_answer: [Succeed], "/safe/a", "" => "answered", 200, "", Some("answered");
    a_failure: [Fail], "/once/a", "" => "answered", 500, "", Some("answered");
    a_rejection: [Reject], "/once/a", "" => "not_run", 503, "no backend server has room", Some("rejected");
    a_broken_exchange: [Disconnect], "/once/a", "" => "unknown", 502, "the backend server broke off", Some("lost");
    a_silent_server: [Hang], "/once/a", "X-Left: 100\r\n" => "unknown", 504, "no answer in time", Some("lost");
    nobody_to_ask: [], "/safe/a", "" => "not_run", 503, "no backend server has room", None;
    an_unknown_route: [Succeed], "/other/a", "" => "invalid", 404, "no route takes this host and path", None;
}

#[tokio::test]
async fn a_daemon_that_leaves_says_so() {
    LocalSet::new()
        .run_until(async {
            let page = Page::default();
            let mesh = TestMesh::logging_to(&[BackendBehaviour::Succeed], page.events()).await;
            mesh.executors[0].close();
            mesh.send(&get("/once/a", LAST)).await;
            let expected = ["not_run", "no backend server has room"];
            check(&page, expected, 503, None).await;
        })
        .await;
}

/// Waits until the test is over, as a full pipe does whose reader has stopped.
struct Stuck(Mutex<Receiver<()>>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let stopped = self.0.lock().expect("nobody else writes");
        stopped.recv().ok();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stuck_events() -> (Rc<EventLog>, Sender<()>) {
    let (end, stopped) = channel();
    let stuck = Stuck(Mutex::new(stopped));
    let sink = WriteSink::builder().target(stuck).build_arc();
    let logger = async_logger(sink.expect("a sink")).expect("a logger");
    (Rc::new(EventLog::new(Arc::from("test"), logger)), end)
}

#[tokio::test]
async fn a_reader_that_stops_reading_stalls_no_request() {
    LocalSet::new()
        .run_until(async {
            let (events, end) = stuck_events();
            for number in 0..MANY {
                // Events of many names, as the budget of one would be used up.
                let name: &'static str = Box::leak(format!("event-{number}").into_boxed_str());
                events.emit(name, Severity::Warn, &[]);
            }
            let mesh = TestMesh::logging_to(&[BackendBehaviour::Succeed], events).await;
            let answer = mesh.send(&get("/safe/a", LAST)).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            drop(end);
        })
        .await;
}

/// Refusals in their thousands leave room for the lines of failures.
#[tokio::test(start_paused = true)]
async fn warnings_have_a_budget_of_their_own() {
    let page = Page::default();
    let events = page.events();
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
    let lines = page.lines("request_ended");
    assert!(lines.len() < 100, "{}", lines.len());
    assert_eq!(lines.last().expect("a line")["outcome"], "unknown");
}
