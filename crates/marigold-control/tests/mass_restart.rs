//! Restarts of many daemons at once, and daemons that start without reachable seeds.

mod common;

use std::time::Duration;

use common::{Fixture, SECOND, address};
use marigold_control::{ControlOptions, FetchDecision, FetchLimiter, SnapshotKind};

#[test]
fn mass_restart_stays_within_the_limits() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[100, 100], 1);
    fixture.publish_route(1);
    fixture.mesh.advance(10 * SECOND);
    for number in 1..100 {
        fixture.mesh.crash(address(0, number));
    }
    fixture.mesh.advance(10 * SECOND);
    let reads = fixture.mesh.log.reads;
    for number in 1..100 {
        fixture.restart(address(0, number));
    }
    fixture.mesh.advance(30 * SECOND);

    assert!(fixture.all_serve(), "every daemon serves");
    assert_eq!(fixture.versions().len(), 1);
    let limit = fixture.mesh.options.fetches;
    for plane in fixture.mesh.planes() {
        let peak = plane.status(fixture.mesh.now).fetch_peak;
        assert!(peak <= limit, "{peak} concurrent snapshot transfers");
    }
    // While the members tables fill, daemons become followers and stop again, but never all at
    // once.
    let reads = fixture.mesh.log.reads - reads;
    assert!(reads < 30 * 20, "{reads} reads of the log in 30 s");
}

#[test]
fn fetch_limiter_limits_transfers_and_refers_to_recipients() {
    let now = tokio::time::Instant::now();
    let mut limiter = FetchLimiter::new(2);
    let ask = |limiter: &mut FetchLimiter, number, at| {
        limiter.admit(address(0, number), SnapshotKind::Config, at)
    };
    assert_eq!(ask(&mut limiter, 1, now), FetchDecision::Granted);
    assert_eq!(ask(&mut limiter, 2, now), FetchDecision::Granted);
    assert_eq!(
        ask(&mut limiter, 3, now),
        FetchDecision::Deferred { other: None }
    );
    // A repeated request reuses its slot.
    assert_eq!(ask(&mut limiter, 2, now), FetchDecision::Granted);
    limiter.release(address(0, 1), SnapshotKind::Config, now);
    assert_eq!(ask(&mut limiter, 3, now), FetchDecision::Granted);
    let other = Some(address(0, 1));
    assert_eq!(ask(&mut limiter, 4, now), FetchDecision::Deferred { other });
    // Unconfirmed transfers release their slots after a timeout.
    let later = now + Duration::from_secs(10);
    assert_eq!(ask(&mut limiter, 4, later), FetchDecision::Granted);
    assert_eq!(limiter.peak(), 2);
}

#[test]
fn fully_restarted_mesh_recovers_with_the_log_available() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[40, 40, 40], 2);
    fixture.publish_route(1);
    fixture.mesh.advance(10 * SECOND);
    for at in fixture.mesh.nodes.keys().copied().collect::<Vec<_>>() {
        fixture.mesh.crash(at);
        fixture.restart(at);
    }
    fixture.mesh.advance(30 * SECOND);
    assert!(fixture.all_serve());
    assert_eq!(fixture.versions().len(), 1);
    for plane in fixture.mesh.planes() {
        assert_eq!(plane.state().members.len(), 120);
    }
}

#[test]
fn daemon_without_live_seeds_joins_through_the_log() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[10], 3);
    let version = fixture.publish_route(1);
    fixture.mesh.advance(40 * SECOND);
    fixture.mesh.seeds = vec![address(5, 0), address(5, 1)];
    fixture.start(0, 20);
    fixture.mesh.advance(20 * SECOND);
    let plane = fixture.mesh.plane(address(0, 20));
    assert_eq!(plane.state().members.len(), 11);
    assert_eq!(plane.config().version, version);
    assert!(plane.view().serving);
}

#[test]
fn daemon_with_unreachable_seeds_does_not_serve_alone() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[10], 4);
    fixture.publish_route(1);
    fixture.mesh.advance(40 * SECOND);
    // Both seeds and most daemons listed in the log are down and refuse connections.
    for number in 0..8 {
        fixture.mesh.crash(address(0, number));
    }
    fixture.restart(address(0, 0));
    for _ in 0..150 {
        fixture.mesh.advance(SECOND / 10);
        let plane = fixture.mesh.plane(address(0, 0));
        let members = plane.state().members.len();
        assert!(!plane.view().serving || members > 1, "it serves alone");
    }
    assert!(fixture.mesh.plane(address(0, 0)).view().serving);
}
