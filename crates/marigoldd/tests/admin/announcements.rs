//! The backend server beside the daemon announces itself.

use std::sync::Arc;
use std::time::Duration;

use marigold_api::AnnounceAnswer;
use marigold_settings::Settings;
use marigold_types::Interval;
use marigoldd::BackendServer;
use marigoldd::admin::Announcements;
use tokio::time::Instant;

use crate::bench::{Bench, shared};
use crate::common::FakeLog;

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
