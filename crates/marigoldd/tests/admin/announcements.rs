//! Tests of the announcements of the backend server.

use std::sync::Arc;
use std::time::Duration;

use marigold_api::AnnounceAnswer;
use marigold_settings::Settings;
use marigold_types::Interval;
use marigoldd::BackendServer;
use marigoldd::admin::Announcements;
use tokio::time::Instant;

use crate::common::FakeLog;
use crate::fixture::{Fixture, shared};

fn desk_server() -> BackendServer {
    serde_json::from_str(
        r#"{"service":"desk","address":"127.0.0.1:8100","slots":15,"connections":120}"#,
    )
    .unwrap()
}

#[test]
fn backend_server_announces_itself_and_withdraws() {
    let fixture = Fixture::new();
    let body = serde_json::to_vec(&desk_server()).unwrap();
    let answer = fixture.send("POST", "/v1/announce", &body, None);
    assert_eq!(answer.status, 200, "{}", answer.text());
    let answer: AnnounceAnswer = answer.json();
    assert!(answer.accepted && !answer.declared);
    assert_eq!(answer.heartbeat, Interval::from_millis(2_000));
    assert_eq!(*fixture.shared.server.borrow(), Some(desk_server()));
    assert_eq!(
        fixture.send("DELETE", "/v1/announce", b"", None).status,
        204
    );
    assert_eq!(*fixture.shared.server.borrow(), None);
    let answer = fixture.send("POST", "/v1/announce", br#"{"service":"Desk"}"#, None);
    assert_eq!(answer.status, 400);
    fixture.shared.draining.send_replace(true);
    let answer = fixture.send("POST", "/v1/announce", &body, None);
    assert_eq!(answer.status, 409);
    assert!(answer.text().contains("draining"));
}

#[tokio::test(start_paused = true)]
async fn announcement_expires_without_heartbeats() {
    let shared = shared(&FakeLog::default(), Settings::default());
    let announcements = Arc::new(Announcements::new(shared.clone()));
    let expiring = announcements.clone();
    let task = tokio::spawn(async move { expiring.run().await });
    let mut changes = shared.server.subscribe();
    for _ in 0..5 {
        announcements.announce(desk_server(), Instant::now());
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(shared.server.borrow().is_some());
    }
    // A heartbeat does not notify subscribers.
    changes.mark_unchanged();
    announcements.announce(desk_server(), Instant::now());
    assert!(!changes.has_changed().unwrap());
    let last = Instant::now();
    changes.changed().await.unwrap();
    assert!(shared.server.borrow().is_none());
    let ttl = shared.settings.admin.announce_ttl.duration();
    assert!(last.elapsed() >= ttl && last.elapsed() <= ttl * 2);
    task.abort();
}
