//! The stand-in for the platform log: its protocol, its injected faults, and the mesh's log client
//! against it.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use marigold_log::{HttpLog, LogFailure, PlatformLog, StreamName};
use marigold_standin::log::{LogControl, LogLimits, LogRefusal, LogServer, LogStore, MemoryLog};
use marigold_types::{ByteSize, Interval, LogOffset, Rate, RecordTime};
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(20);

fn start() -> LogServer {
    LogServer::start(([127, 0, 0, 1], 0).into(), LogLimits::default()).unwrap()
}

fn control(server: &LogServer, order: &str) {
    let url = format!("{}/v1/control", server.url());
    ureq::post(&url)
        .header("connection", "close")
        .send(order)
        .unwrap();
}

fn status(server: &LogServer, path: &str, body: Option<&[u8]>) -> u16 {
    let url = format!("{}{path}", server.url());
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let sent = match body {
        Some(body) => agent.post(&url).header("connection", "close").send(body),
        None => agent.get(&url).header("connection", "close").call(),
    };
    sent.unwrap().status().as_u16()
}

async fn append(log: &dyn PlatformLog, data: &str) -> Result<u64, LogFailure> {
    let deadline = Instant::now() + TIMEOUT;
    let result = log
        .append(StreamName::Config, data.to_owned(), deadline)
        .await;
    result
        .map(|appended| appended.offset.0)
        .map_err(|error| error.failure)
}

async fn read(log: &dyn PlatformLog, from: u64) -> Result<Vec<String>, LogFailure> {
    let deadline = Instant::now() + TIMEOUT;
    let batch = log
        .read(StreamName::Config, LogOffset(from), 10, deadline)
        .await
        .map_err(|error| error.failure)?;
    Ok(batch.records.into_iter().map(|r| r.data).collect())
}

/// Defines tests that use the log over HTTP.
macro_rules! over_http {
    ($($name:ident: |$server:ident, $log:ident| $body:block)*) => {$(
        #[tokio::test]
        async fn $name() {
            let $server = start();
            let $log = HttpLog::new(&$server.url());
            $body
        }
    )*};
}

over_http! {
    preserves_append_order: |server, log| {
        assert_eq!(append(&log, "a").await, Ok(0));
        assert_eq!(append(&log, "b").await, Ok(1));
        assert_eq!(read(&log, 0).await.unwrap(), ["a", "b"]);
        assert_eq!(read(&log, 1).await.unwrap(), ["b"]);
        assert!(read(&log, 9).await.unwrap().is_empty());
        drop(server);
    }
    log_that_is_down_writes_nothing: |server, log| {
        control(&server, r#"{"down":true}"#);
        let failed = append(&log, "a").await.unwrap_err();
        assert!(matches!(failed, LogFailure::Unavailable { .. }), "{failed}");
        control(&server, r#"{"down":false}"#);
        assert!(read(&log, 0).await.unwrap().is_empty());
    }
    append_with_lost_answer_takes_effect: |server, log| {
        control(&server, r#"{"lose":1}"#);
        let failed = append(&log, "a").await.unwrap_err();
        assert!(matches!(failed, LogFailure::Unknown { .. }), "{failed}");
        assert_eq!(read(&log, 0).await.unwrap(), ["a"]);
        assert_eq!(append(&log, "b").await, Ok(1));
    }
    read_of_trimmed_records_reports_earliest_offset: |server, log| {
        for data in ["a", "b", "c"] {
            append(&log, data).await.unwrap();
        }
        control(&server, r#"{"trim":{"stream":"config","before":2}}"#);
        let earliest = LogOffset(2);
        assert_eq!(read(&log, 0).await, Err(LogFailure::Trimmed { earliest }));
        assert_eq!(read(&log, 2).await.unwrap(), ["c"]);
    }
    zero_rate_refuses_appends: |server, log| {
        control(&server, r#"{"rate":0}"#);
        let failed = append(&log, "a").await.unwrap_err();
        assert!(matches!(failed, LogFailure::Unavailable { .. }), "{failed}");
    }
    delay_beyond_deadline_has_unknown_outcome: |server, log| {
        control(&server, r#"{"slow_ms":400}"#);
        let deadline = Instant::now() + Duration::from_millis(100);
        let failed = log.append(StreamName::Config, "a".to_owned(), deadline).await;
        let failed = failed.unwrap_err().failure;
        assert!(matches!(failed, LogFailure::Unknown { .. }), "{failed}");
    }
}

macro_rules! refused_requests {
    ($($name:ident: $path:literal, $body:expr => $status:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(status(&start(), $path, $body), $status);
        }
    )*};
}

refused_requests! {
    unknown_path: "/v2", None => 404;
    non_numeric_offset: "/v1/streams/config/records?from=x", None => 400;
    invalid_stream_name: "/v1/streams/Con.fig/records", None => 400;
    record_with_line_break: "/v1/streams/config/records", Some(b"a\nb") => 400;
    empty_record: "/v1/streams/config/records", Some(b"") => 400;
    record_not_utf8: "/v1/streams/config/records", Some(b"\xff") => 400;
    record_above_max_size: "/v1/streams/config/records", Some(&vec![b'a'; (1 << 20) + 1]) => 413;
    control_order_with_unknown_field: "/v1/control", Some(br#"{"downn":true}"#) => 400;
    truncated_control_order: "/v1/control", Some(br#"{"down":"#) => 400;
}

#[test]
fn start_fails_if_port_is_in_use() {
    let first = start();
    let error = LogServer::start(first.address(), LogLimits::default())
        .err()
        .unwrap();
    assert!(
        error.to_string().starts_with("listen at 127.0.0.1:"),
        "{error}"
    );
}

#[tokio::test(start_paused = true)]
async fn token_bucket_refills_at_its_rate() {
    let limits = LogLimits {
        rate: Rate(300),
        ..LogLimits::default()
    };
    let log = MemoryLog::new(limits);
    let mut appended = 0;
    for _ in 0..10_000 {
        appended += u64::from(append(&log, "a").await.is_ok());
        tokio::time::advance(Duration::from_micros(200)).await;
    }
    // Two seconds at 300 appends per second, plus the initial burst of a tenth of a second.
    assert!((600..=631).contains(&appended), "{appended}");
}

#[tokio::test(start_paused = true)]
async fn memory_log_loses_answer_but_not_append() {
    let log = MemoryLog::new(LogLimits::default());
    let order = LogControl {
        lose: Some(1),
        ..LogControl::default()
    };
    log.control(&order).unwrap();
    assert!(matches!(
        append(&log, "a").await,
        Err(LogFailure::Unknown { .. })
    ));
    assert_eq!(read(&log, 0).await.unwrap(), ["a"]);
    assert_eq!(log.totals().lost_answers, 1);
}

#[tokio::test(start_paused = true)]
async fn append_takes_effect_after_its_deadline() {
    let log = MemoryLog::new(LogLimits::default());
    let order = LogControl {
        slow_ms: Some(30_000),
        ..LogControl::default()
    };
    log.control(&order).unwrap();
    assert!(matches!(
        append(&log, "a").await,
        Err(LogFailure::Unknown { .. })
    ));
    log.control(&LogControl {
        slow_ms: Some(0),
        ..LogControl::default()
    })
    .unwrap();
    assert!(read(&log, 0).await.unwrap().is_empty());
    tokio::time::advance(Duration::from_secs(15)).await;
    tokio::task::yield_now().await;
    assert_eq!(read(&log, 0).await.unwrap(), ["a"]);
}

#[test]
fn records_past_retention_are_trimmed() {
    let limits = LogLimits {
        retention: Interval::from_millis(1_000),
        ..LogLimits::default()
    };
    let now = Instant::now();
    let mut store = LogStore::new(limits, now);
    store
        .append("config", "a".to_owned(), RecordTime(0), now)
        .unwrap();
    store
        .append("config", "b".to_owned(), RecordTime(900), now)
        .unwrap();
    let earliest = LogOffset(1);
    let refused = store.read("config", LogOffset(0), 10, RecordTime(1_500));
    assert_eq!(refused, Err(LogRefusal::Trimmed { earliest }));
}

#[test]
fn read_is_limited_in_bytes() {
    let limits = LogLimits {
        max_read_bytes: ByteSize(10),
        ..LogLimits::default()
    };
    let now = Instant::now();
    let mut store = LogStore::new(limits, now);
    for _ in 0..3 {
        let data = "123456".to_owned();
        store.append("config", data, RecordTime(0), now).unwrap();
    }
    let batch = store
        .read("config", LogOffset(0), 10, RecordTime(0))
        .unwrap();
    assert_eq!(batch.records.len(), 1);
    assert_eq!(batch.end, LogOffset(3));
}

/// Reads from a log whose response begins with `head` and has a body in one chunk.
async fn read_after(head: &'static str) -> Result<Vec<String>, LogFailure> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let log = HttpLog::new(&format!("http://{}", listener.local_addr().unwrap()));
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        let body = "{\"records\":[],\"earliest\":0,\"end\":0}";
        let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
        stream
            .write_all(format!("{head}\r\n{chunk}").as_bytes())
            .unwrap();
    });
    read(&log, 0).await
}

#[tokio::test]
async fn response_that_is_none_by_the_grammar_is_no_answer() {
    for head in [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
    ] {
        let result = read_after(head).await;
        assert!(
            matches!(result, Err(LogFailure::Unknown { .. })),
            "{head}: {result:?}"
        );
    }
    let sound = read_after("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n").await;
    assert!(sound.is_ok(), "{sound:?}");
}
