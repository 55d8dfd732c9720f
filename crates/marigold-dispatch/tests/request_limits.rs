//! Limits of requests per second that backend servers name.

use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::{
    AdmissionController, AdmissionDecision, CallKind, Rank, RequestLimit, RequestPacer,
    SlotRequest, Ticket,
};
use marigold_types::SlotCount;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Windows in which the users count requests.
const WINDOW: Duration = Duration::from_secs(4);

fn limit(text: &str) -> RequestLimit {
    text.parse().expect("a limit")
}

/// Names each value of a response's fields and the rate that follows from it.
macro_rules! limit_tests {
    ($($name:ident: $text:literal => $rate:expr;)*) => {$(
        #[test]
        fn $name() {
            let rate = RequestLimit::parse_fields($text).ok().map(RequestLimit::rate);
            assert_eq!(rate, $rate);
        }
    )*};
}

limit_tests! {
    whole_limit_is_refused: "12" => Some(12.0);
    decimal_limit_is_refused: " 11.9 " => Some(11.9);
    limit_that_is_no_number_is_taken: "many" => None;
    negative_limit_is_taken: "-3" => None;
    infinite_limit_is_taken: "inf" => None;
    limit_that_is_not_a_number_is_taken: "NaN" => None;
    empty_limit_is_taken: "" => None;
    zero_limit_is_never_asked_about_again: "0" => Some(0.25);
    huge_limit_is_refused: "1e300" => Some(1e300);
    higher_of_two_limits_holds: "30,12.5" => Some(12.5);
    two_limits_of_which_one_is_invalid_are_taken: "30,x" => None;
}

/// Sends as much as the pacer allows, every millisecond.
fn send_all(pacer: &mut RequestPacer, from: Instant, time: Duration) -> Vec<Instant> {
    let mut sent = Vec::new();
    let mut now = from;
    while now < from + time {
        while pacer.is_open(now) {
            pacer.record_sent(now);
            sent.push(now);
        }
        now += MS;
    }
    sent
}

fn most_in_window(sent: &[Instant]) -> usize {
    let within = |start: &Instant| {
        let is_within = |at: &&Instant| **at >= *start && **at < *start + WINDOW;
        sent.iter().filter(is_within).count()
    };
    sent.iter().map(within).max().unwrap_or_default()
}

/// Names each limit, and the least and the most requests in 20 s and in 4 s.
macro_rules! pacing_tests {
    ($($name:ident: $limit:literal => at least $least:literal, at most $most:literal;)*) => {$(
        #[test]
        fn $name() {
            let now = Instant::now();
            let mut pacer = RequestPacer::new();
            pacer.set_limit(Some(limit($limit)), 0, now);
            let sent = send_all(&mut pacer, now, 20 * SECOND);
            assert!(sent.len() >= $least, "{}", sent.len());
            let most = most_in_window(&sent);
            assert!(most <= $most, "{most}");
        }
    )*};
}

// 0.8 of the limit in 20 s; one and a half times the limit and 5 in 4 s.
pacing_tests! {
    limit_of_ten_is_exceeded: "10" => at least 160, at most 65;
    limit_of_thirty_is_exceeded: "30.2" => at least 483, at most 186;
    limit_of_one_is_exceeded: "1" => at least 16, at most 11;
    limit_below_one_is_exceeded: "0.5" => at least 8, at most 8;
    limit_of_none_is_exceeded: "0" => at least 4, at most 5;
}

#[test]
fn requests_sent_before_the_limit_was_known_do_not_count() {
    let now = Instant::now();
    let mut pacer = RequestPacer::new();
    pacer.set_limit(Some(limit("2")), 6, now);
    assert!(!pacer.is_open(now + 3_499 * MS));
    assert!(pacer.is_open(now + 3_500 * MS));
}

#[test]
fn pause_of_the_daemon_is_followed_by_a_burst() {
    let now = Instant::now();
    let mut pacer = RequestPacer::new();
    pacer.set_limit(Some(limit("10")), 0, now);
    let sent = send_all(&mut pacer, now + 60 * SECOND, WINDOW);
    assert!(sent.len() <= 45, "{}", sent.len());
}

#[test]
fn lowered_limit_leaves_requests_of_the_higher_one() {
    let now = Instant::now();
    let mut pacer = RequestPacer::new();
    pacer.set_limit(Some(limit("100")), 0, now);
    let later = now + 10 * SECOND;
    pacer.set_limit(Some(limit("2")), 0, later);
    let sent = send_all(&mut pacer, later, WINDOW);
    assert!(sent.len() <= 9, "{}", sent.len());
    pacer.set_limit(None, 0, later + WINDOW);
    assert!(pacer.is_open(later + WINDOW));
}

const SLOTS: u32 = 6;

fn request(kind: &str, rank: u8, now: Instant) -> SlotRequest {
    SlotRequest {
        workspace: None,
        precedence: marigold_dispatch::Precedence::default(),
        kind: CallKind(Arc::from(kind)),
        rank: Rank(rank),
        objective: now + SECOND,
        deadline: now + 4 * SECOND,
    }
}

fn limited(text: &str, now: Instant) -> AdmissionController {
    let mut controller = AdmissionController::new(SlotCount(SLOTS));
    controller.set_request_limit(Some(limit(text)), now);
    controller
}

/// Three times the limit arrives for 10 s, a third of it urgent.
#[test]
fn least_urgent_request_takes_the_limit_of_an_urgent_one() {
    let start = Instant::now();
    let mut controller = limited("10", start);
    let (mut urgent, mut other, mut longest_delay) = (0, 0, Duration::ZERO);
    let mut waiting: Vec<(Ticket, bool, Instant)> = Vec::new();
    for step in 0..1_000 {
        let now = start + step * 10 * MS;
        controller.remove_expired(now);
        while let Some((ticket, permit)) = controller.grant(now) {
            let index = waiting.iter().position(|(other, _, _)| *other == ticket);
            let (_, is_urgent, since) = waiting.swap_remove(index.expect("a waiting request"));
            longest_delay = longest_delay.max(now - since);
            urgent += u32::from(is_urgent);
            other += u32::from(!is_urgent);
            controller.release(permit, true, now + 10 * MS);
        }
        let kind = match step % 10 {
            0 => Some(("urgent", 0, true)),
            3 | 7 => Some(("other", 3, false)),
            _ => None,
        };
        let Some((kind, rank, is_urgent)) = kind else {
            continue;
        };
        match controller.admit(request(kind, rank, now), now) {
            AdmissionDecision::Run(permit) => {
                urgent += u32::from(is_urgent);
                other += u32::from(!is_urgent);
                controller.release(permit, true, now + 10 * MS);
            }
            AdmissionDecision::Wait(ticket) => waiting.push((ticket, is_urgent, now)),
            AdmissionDecision::Refuse(delay) => {
                assert!(delay >= 30 * MS, "{delay:?}");
            }
        }
    }
    assert!(
        (80..=106).contains(&(urgent + other)),
        "{urgent} and {other}"
    );
    assert!(urgent >= 70, "{urgent} of 100 urgent ones, {other} others");
    assert!(longest_delay <= 400 * MS, "{longest_delay:?}");
}

#[test]
fn refused_request_is_refused_again_when_it_returns_as_told() {
    let now = Instant::now();
    let mut controller = limited("2", now);
    let mut refusal = None;
    for _ in 0..10 {
        if let AdmissionDecision::Refuse(delay) = controller.admit(request("a", 1, now), now) {
            refusal = Some(delay);
        }
    }
    let delay = refusal.expect("a refusal");
    assert!(delay <= SECOND, "{delay:?}");
    let later = now + delay;
    while let Some((_, permit)) = controller.grant(later) {
        controller.release(permit, true, later);
    }
    let admission = controller.admit(request("a", 1, later), later);
    assert!(
        !matches!(admission, AdmissionDecision::Refuse(_)),
        "{admission:?} after {delay:?}"
    );
}

#[test]
fn lowered_limit_keeps_requests_waiting_until_their_deadlines() {
    let now = Instant::now();
    let mut controller = limited("20", now);
    let mut waiting = 0;
    for _ in 0..4 {
        let admission = controller.admit(request("a", 1, now), now);
        waiting += usize::from(matches!(admission, AdmissionDecision::Wait(_)));
    }
    assert!(waiting > 0);
    controller.set_request_limit(Some(limit("0.1")), now);
    assert_eq!(controller.remove_expired(now).len(), waiting);
}

#[test]
fn limited_server_reports_room_that_it_does_not_have() {
    let now = Instant::now();
    let mut controller = limited("10", now);
    let report = controller.report(None, now);
    assert_eq!(
        (report.slots, report.busy),
        (SlotCount(SLOTS), SlotCount(SLOTS))
    );
    // One request every 100 ms, as of six slots with runs of 600 ms.
    assert_eq!(report.mean_run, 600 * MS);
    let later = now + 200 * MS;
    let report = controller.report(None, later);
    assert_eq!(
        (report.busy, report.mean_run),
        (SlotCount(SLOTS - 2), Duration::ZERO)
    );
    controller.set_request_limit(None, later);
    assert_eq!(controller.report(None, later).busy, SlotCount(0));
}

#[test]
fn health_checks_do_not_count() {
    let now = Instant::now();
    let mut controller = limited("10", now);
    let later = now + 100 * MS;
    controller.record_unslotted(later);
    assert!(!controller.is_within_limit(later));
    assert!(controller.is_within_limit(later + 100 * MS));
}
