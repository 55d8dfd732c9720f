//! Tests of the detection of silent connections. See docs/design/silent-connections.md.

mod common;

use common::{interval, ms};
use marigold_request::silence::{ConnectionMonitor, ConnectionState};
use tokio::time::Instant;

fn monitor() -> (ConnectionMonitor, Instant) {
    let now = Instant::now();
    (ConnectionMonitor::new(interval(1_000), now), now)
}

#[test]
fn silent_connection_is_replaced_within_twice_the_silence() {
    let (mut monitor, now) = monitor();
    monitor.sent(now);
    assert_eq!(monitor.state(now + ms(999)), ConnectionState::Healthy);
    assert_eq!(monitor.next_check(), Some(now + ms(1_000)));
    assert_eq!(monitor.state(now + ms(1_000)), ConnectionState::ProbeDue);
    monitor.probe_sent(now + ms(1_000));
    assert_eq!(monitor.state(now + ms(1_999)), ConnectionState::Probing);
    assert!(!monitor.may_carry(true, now + ms(1_500)));
    assert_eq!(monitor.state(now + ms(2_000)), ConnectionState::Silent);
}

#[test]
fn slow_answer_does_not_replace_the_connection() {
    let (mut monitor, now) = monitor();
    monitor.sent(now);
    for second in 1..30 {
        let at = now + ms(1_000 * second);
        assert_eq!(monitor.state(at), ConnectionState::ProbeDue);
        monitor.probe_sent(at);
        monitor.received(at + ms(2));
        assert_eq!(monitor.state(at + ms(2)), ConnectionState::Healthy);
        // The next probe is due one silence interval after data was last received.
        monitor.received(at);
    }
}

#[test]
fn further_requests_do_not_delay_the_probe() {
    let (mut monitor, now) = monitor();
    for step in 0..10 {
        monitor.sent(now + ms(100 * step));
    }
    assert_eq!(monitor.state(now + ms(1_000)), ConnectionState::ProbeDue);
}

#[test]
fn abandoned_request_still_leads_to_a_probe() {
    let (mut monitor, now) = monitor();
    monitor.sent(now);
    monitor.ended();
    assert_eq!(monitor.state(now + ms(1_000)), ConnectionState::ProbeDue);
}

#[test]
fn idle_connection_is_healthy_and_carries_only_idempotent_requests() {
    let (mut monitor, now) = monitor();
    monitor.sent(now);
    monitor.received(now + ms(5));
    monitor.ended();
    assert_eq!(monitor.next_check(), None);
    assert!(monitor.may_carry(false, now + ms(1_004)));
    assert!(!monitor.may_carry(false, now + ms(1_005)));
    assert!(monitor.may_carry(true, now + ms(60_000)));
}
