//! Tests of slots, queues and classes at one backend server. See docs/design/admission.md.

mod common;

use common::{SECOND, interval, ms};
use marigold_request::RefusalReason;
use marigold_request::admission::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Permit, Ticket,
};
use marigold_types::{Class, SlotCount};
use tokio::time::Instant;

fn request(class: Class, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest {
        class,
        deadline,
        caller: None,
        exclusive: false,
    }
}

fn admission(slots: u32) -> (AdmissionController, Instant) {
    (
        AdmissionController::new(SlotCount(slots), 2),
        Instant::now(),
    )
}

fn run(admission: &mut AdmissionController, class: Class, now: Instant) -> Permit {
    match admission.offer(&request(class, now + 10 * SECOND), now) {
        AdmissionDecision::Run(permit) => permit,
        other => panic!("{other:?}"),
    }
}

fn wait(admission: &mut AdmissionController, class: Class, now: Instant) -> Ticket {
    match admission.offer(&request(class, now + 10 * SECOND), now) {
        AdmissionDecision::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

#[test]
fn one_slot_is_reserved_for_critical_requests() {
    let (mut admission, now) = admission(4);
    let permit = run(&mut admission, Class::Critical, now);
    admission.release(permit, now);
    for _ in 0..3 {
        run(&mut admission, Class::Interactive, now);
    }
    wait(&mut admission, Class::Interactive, now);
    run(&mut admission, Class::Critical, now);
    wait(&mut admission, Class::Critical, now);
    assert_eq!(admission.load().busy, SlotCount(4));
    assert_eq!(admission.load().queued, SlotCount(2));
}

#[test]
fn no_slot_is_reserved_without_recent_critical_requests() {
    let (mut admission, now) = admission(4);
    let permit = run(&mut admission, Class::Critical, now);
    admission.release(permit, now);
    let later = now + 10 * SECOND;
    for _ in 0..4 {
        run(&mut admission, Class::Interactive, later);
    }
}

#[test]
fn batch_holds_at_most_half_of_the_slots() {
    let (mut admission, now) = admission(8);
    for _ in 0..4 {
        run(&mut admission, Class::Batch, now);
    }
    wait(&mut admission, Class::Batch, now);
    run(&mut admission, Class::Interactive, now);
}

#[test]
fn one_slot_serves_every_class() {
    for class in Class::ALL {
        let (mut admission, now) = admission(1);
        run(&mut admission, class, now);
    }
}

#[test]
fn nothing_runs_without_slots() {
    let (mut admission, now) = admission(0);
    for class in Class::ALL {
        let refused = admission.offer(&request(class, now + SECOND), now);
        assert!(
            matches!(refused, AdmissionDecision::Refuse(_)),
            "{refused:?}"
        );
    }
}

#[test]
fn freed_slot_goes_to_the_most_urgent_class() {
    let (mut admission, now) = admission(1);
    let permit = run(&mut admission, Class::Interactive, now);
    let batch = wait(&mut admission, Class::Batch, now);
    let critical = wait(&mut admission, Class::Critical, now);
    let update = admission.release(permit, now + ms(10));
    assert_eq!(update.granted[0].ticket, critical);
    let update = admission.release(update.granted[0].permit, now + ms(20));
    assert_eq!(update.granted[0].ticket, batch);
}

#[test]
fn batch_is_never_starved() {
    let (mut admission, mut now) = admission(1);
    let mut permit = run(&mut admission, Class::Interactive, now);
    let batch = wait(&mut admission, Class::Batch, now);
    for turn in 0..100 {
        if admission.load().queued < SlotCount(3) {
            wait(&mut admission, Class::Interactive, now);
        }
        now += ms(10);
        let granted = admission.release(permit, now).granted[0];
        if granted.ticket == batch {
            assert!(turn <= 16, "{turn}");
            return;
        }
        permit = granted.permit;
    }
    panic!("starved");
}

#[test]
fn interactive_gets_more_slots_than_batch() {
    let (mut admission, now) = admission(1);
    let mut permit = run(&mut admission, Class::Critical, now);
    let mut waiting = std::collections::BTreeMap::new();
    for class in Class::ALL {
        waiting.insert(wait(&mut admission, class, now), class);
    }
    let mut counts = [0; 3];
    for _ in 0..640 {
        let granted = admission.release(permit, now).granted.remove(0);
        permit = granted.permit;
        let class = waiting.remove(&granted.ticket).unwrap();
        counts[class.index()] += 1;
        waiting.insert(wait(&mut admission, class, now), class);
    }
    assert!(counts[0] > 3 * (counts[1] + counts[2]), "{counts:?}");
    assert!(counts[1] > counts[2] && counts[2] > 0, "{counts:?}");
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let (mut admission, now) = admission(1);
    let permit = run(&mut admission, Class::Interactive, now);
    admission.release(permit, now + ms(100));
    let now = now + ms(100);
    run(&mut admission, Class::Interactive, now);
    // It would wait for 100 ms and run for 100 ms.
    let short = request(Class::Interactive, now + ms(150));
    let AdmissionDecision::Refuse(refusal) = admission.offer(&short, now) else {
        panic!("must be refused");
    };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert_eq!(refusal.retry_after, Some(interval(100)));
    let long = request(Class::Interactive, now + ms(250));
    assert!(matches!(
        admission.offer(&long, now),
        AdmissionDecision::Wait(_)
    ));
}

#[test]
fn free_slot_is_granted_regardless_of_the_estimate() {
    let (mut admission, now) = admission(1);
    let permit = run(&mut admission, Class::Interactive, now);
    admission.release(permit, now + 60 * SECOND);
    let now = now + 60 * SECOND;
    let short = request(Class::Interactive, now + ms(50));
    assert!(matches!(
        admission.offer(&short, now),
        AdmissionDecision::Run(_)
    ));
}

#[test]
fn request_is_dropped_as_soon_as_it_cannot_meet_its_deadline() {
    let (mut admission, now) = admission(1);
    let permit = run(&mut admission, Class::Interactive, now);
    admission.release(permit, now + ms(100));
    let now = now + ms(100);
    run(&mut admission, Class::Interactive, now);
    let AdmissionDecision::Wait(ticket) =
        admission.offer(&request(Class::Interactive, now + ms(250)), now)
    else {
        panic!("must wait");
    };
    // From 150 ms on, too little time is left for its service time of 100 ms.
    assert_eq!(admission.next_expiry(), Some(now + ms(150)));
    assert!(admission.expire(now + ms(149)).dropped.is_empty());
    let dropped = admission.expire(now + ms(150)).dropped;
    assert_eq!(dropped[0].ticket, ticket);
    assert_eq!(admission.load().queued, SlotCount(0));
}

#[test]
fn queue_length_is_bounded() {
    let (mut admission, now) = admission(2);
    run(&mut admission, Class::Critical, now);
    run(&mut admission, Class::Critical, now);
    for _ in 0..4 {
        wait(&mut admission, Class::Critical, now);
    }
    let refused = admission.offer(&request(Class::Critical, now + SECOND), now);
    assert!(matches!(refused, AdmissionDecision::Refuse(_)));
}

#[test]
fn cancelled_request_leaves_the_queue() {
    let (mut admission, now) = admission(1);
    let permit = run(&mut admission, Class::Interactive, now);
    let first = wait(&mut admission, Class::Interactive, now);
    let second = wait(&mut admission, Class::Interactive, now);
    admission.cancel(first);
    let update = admission.release(permit, now);
    assert_eq!(update.granted[0].ticket, second);
    assert_eq!(update.granted.len(), 1);
}

#[test]
fn added_slots_run_waiting_requests() {
    let (mut admission, now) = admission(1);
    run(&mut admission, Class::Interactive, now);
    wait(&mut admission, Class::Interactive, now);
    wait(&mut admission, Class::Interactive, now);
    assert_eq!(admission.set_slots(SlotCount(4), now).granted.len(), 2);
    assert!(admission.set_slots(SlotCount(1), now).granted.is_empty());
}

#[test]
fn draining_drops_all_waiting_requests() {
    let (mut admission, now) = admission(1);
    run(&mut admission, Class::Interactive, now);
    wait(&mut admission, Class::Interactive, now);
    wait(&mut admission, Class::Batch, now);
    let dropped = admission.drop_waiting(RefusalReason::Draining);
    assert_eq!(dropped.len(), 2);
    assert_eq!(admission.load().queued, SlotCount(0));
    assert_eq!(admission.next_expiry(), None);
}

#[test]
fn second_release_of_a_permit_frees_no_slot() {
    let (mut admission, now) = admission(1);
    let permit = run(&mut admission, Class::Interactive, now);
    admission.release(permit, now);
    admission.release(permit, now);
    run(&mut admission, Class::Interactive, now);
    wait(&mut admission, Class::Interactive, now);
}

fn exclusive(now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        exclusive: true,
        ..request(Class::Interactive, now + 10 * SECOND)
    }
}

#[test]
fn exclusive_request_runs_alone() {
    let (mut admission, now) = admission(4);
    let permit = run(&mut admission, Class::Interactive, now);
    let AdmissionDecision::Wait(suspect) = admission.offer(&exclusive(now), now) else {
        panic!("must wait for the slots to empty");
    };
    let other = wait(&mut admission, Class::Interactive, now);
    let update = admission.release(permit, now + ms(10));
    assert_eq!(update.granted.len(), 1);
    assert_eq!(update.granted[0].ticket, suspect);
    wait(&mut admission, Class::Critical, now + ms(20));
    let update = admission.release(update.granted[0].permit, now + ms(30));
    assert_eq!(update.granted.len(), 2);
    assert!(update.granted.iter().any(|granted| granted.ticket == other));
}

#[test]
fn exclusive_request_holds_free_slots_for_at_most_one_second() {
    let (mut admission, now) = admission(4);
    run(&mut admission, Class::Interactive, now);
    let AdmissionDecision::Wait(suspect) = admission.offer(&exclusive(now), now) else {
        panic!("must wait");
    };
    let other = wait(&mut admission, Class::Interactive, now);
    assert_eq!(admission.next_expiry(), Some(now + SECOND));
    let granted = admission.expire(now + SECOND).granted;
    let tickets: Vec<_> = granted.iter().map(|granted| granted.ticket).collect();
    assert_eq!(tickets, [suspect, other]);
}

#[test]
fn only_one_exclusive_request_runs_at_a_time() {
    let (mut admission, now) = admission(4);
    let AdmissionDecision::Run(first) = admission.offer(&exclusive(now), now) else {
        panic!("must run");
    };
    assert!(matches!(
        admission.offer(&exclusive(now), now),
        AdmissionDecision::Wait(_)
    ));
    assert!(admission.expire(now + 5 * SECOND).granted.is_empty());
    assert_eq!(admission.release(first, now + 5 * SECOND).granted.len(), 1);
}

#[test]
fn critical_request_does_not_wait_for_the_slots_to_empty() {
    let (mut admission, now) = admission(4);
    run(&mut admission, Class::Interactive, now);
    assert!(matches!(
        admission.offer(&exclusive(now), now),
        AdmissionDecision::Wait(_)
    ));
    wait(&mut admission, Class::Interactive, now);
    run(&mut admission, Class::Critical, now);
}

#[test]
fn drop_waiting_ends_the_hold_for_an_exclusive_request() {
    let (mut admission, now) = admission(4);
    let permit = run(&mut admission, Class::Interactive, now);
    assert!(matches!(
        admission.offer(&exclusive(now), now),
        AdmissionDecision::Wait(_)
    ));
    assert_eq!(
        admission.drop_waiting(RefusalReason::NoBackendServer).len(),
        1
    );
    admission.release(permit, now);
    run(&mut admission, Class::Interactive, now);
}

#[test]
fn one_caller_takes_at_most_half_of_a_queue() {
    let (mut admission, now) = admission(2);
    let from = |name: &str| AdmissionRequest {
        caller: Some(name.parse().unwrap()),
        ..request(Class::Interactive, now + 10 * SECOND)
    };
    let permit = run(&mut admission, Class::Interactive, now);
    run(&mut admission, Class::Interactive, now);
    for _ in 0..2 {
        assert!(matches!(
            admission.offer(&from("greedy"), now),
            AdmissionDecision::Wait(_)
        ));
    }
    assert!(matches!(
        admission.offer(&from("greedy"), now),
        AdmissionDecision::Refuse(_)
    ));
    assert!(matches!(
        admission.offer(&from("modest"), now),
        AdmissionDecision::Wait(_)
    ));
    // The place of a request that left the queue may be taken again.
    admission.release(permit, now + ms(1));
    assert!(matches!(
        admission.offer(&from("greedy"), now + ms(1)),
        AdmissionDecision::Wait(_)
    ));
}
