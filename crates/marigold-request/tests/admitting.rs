//! Slots, lines and classes at one backend server. See docs/design/admission.md.

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

fn gate(slots: u32) -> (AdmissionController, Instant) {
    (
        AdmissionController::new(SlotCount(slots), 2),
        Instant::now(),
    )
}

fn run(gate: &mut AdmissionController, class: Class, now: Instant) -> Permit {
    match gate.offer(&request(class, now + 10 * SECOND), now) {
        AdmissionDecision::Run(permit) => permit,
        other => panic!("{other:?}"),
    }
}

fn wait(gate: &mut AdmissionController, class: Class, now: Instant) -> Ticket {
    match gate.offer(&request(class, now + 10 * SECOND), now) {
        AdmissionDecision::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

#[test]
fn one_slot_is_kept_for_the_first_class() {
    let (mut gate, now) = gate(4);
    let permit = run(&mut gate, Class::Critical, now);
    gate.release(permit, now);
    for _ in 0..3 {
        run(&mut gate, Class::Interactive, now);
    }
    wait(&mut gate, Class::Interactive, now);
    run(&mut gate, Class::Critical, now);
    wait(&mut gate, Class::Critical, now);
    assert_eq!(gate.load().busy, SlotCount(4));
    assert_eq!(gate.load().queued, SlotCount(2));
}

#[test]
fn no_slot_is_kept_idle_where_the_first_class_is_not_there() {
    let (mut gate, now) = gate(4);
    let permit = run(&mut gate, Class::Critical, now);
    gate.release(permit, now);
    let later = now + 10 * SECOND;
    for _ in 0..4 {
        run(&mut gate, Class::Interactive, later);
    }
}

#[test]
fn last_class_holds_at_most_half() {
    let (mut gate, now) = gate(8);
    for _ in 0..4 {
        run(&mut gate, Class::Batch, now);
    }
    wait(&mut gate, Class::Batch, now);
    run(&mut gate, Class::Interactive, now);
}

#[test]
fn one_slot_serves_every_class() {
    for class in Class::ALL {
        let (mut gate, now) = gate(1);
        run(&mut gate, class, now);
    }
}

#[test]
fn no_slots_run_nothing() {
    let (mut gate, now) = gate(0);
    for class in Class::ALL {
        let refused = gate.offer(&request(class, now + SECOND), now);
        assert!(
            matches!(refused, AdmissionDecision::Refuse(_)),
            "{refused:?}"
        );
    }
}

#[test]
fn freed_slot_goes_to_the_most_urgent() {
    let (mut gate, now) = gate(1);
    let permit = run(&mut gate, Class::Interactive, now);
    let batch = wait(&mut gate, Class::Batch, now);
    let critical = wait(&mut gate, Class::Critical, now);
    let moves = gate.release(permit, now + ms(10));
    assert_eq!(moves.granted[0].ticket, critical);
    let moves = gate.release(moves.granted[0].permit, now + ms(20));
    assert_eq!(moves.granted[0].ticket, batch);
}

#[test]
fn last_class_is_never_starved() {
    let (mut gate, mut now) = gate(1);
    let mut permit = run(&mut gate, Class::Interactive, now);
    let batch = wait(&mut gate, Class::Batch, now);
    for turn in 0..100 {
        if gate.load().queued < SlotCount(3) {
            wait(&mut gate, Class::Interactive, now);
        }
        now += ms(10);
        let granted = gate.release(permit, now).granted[0];
        if granted.ticket == batch {
            assert!(turn <= 16, "{turn}");
            return;
        }
        permit = granted.permit;
    }
    panic!("starved");
}

#[test]
fn second_class_gets_more_than_the_last() {
    let (mut gate, now) = gate(1);
    let mut permit = run(&mut gate, Class::Critical, now);
    let mut waiting = std::collections::BTreeMap::new();
    for class in Class::ALL {
        waiting.insert(wait(&mut gate, class, now), class);
    }
    let mut counts = [0; 3];
    for _ in 0..640 {
        let granted = gate.release(permit, now).granted.remove(0);
        permit = granted.permit;
        let class = waiting.remove(&granted.ticket).unwrap();
        counts[class.index()] += 1;
        waiting.insert(wait(&mut gate, class, now), class);
    }
    assert!(counts[0] > 3 * (counts[1] + counts[2]), "{counts:?}");
    assert!(counts[1] > counts[2] && counts[2] > 0, "{counts:?}");
}

#[test]
fn refuses_at_once_what_cannot_make_it() {
    let (mut gate, now) = gate(1);
    let permit = run(&mut gate, Class::Interactive, now);
    gate.release(permit, now + ms(100));
    let now = now + ms(100);
    run(&mut gate, Class::Interactive, now);
    // It would wait 100 ms and run 100 ms.
    let short = request(Class::Interactive, now + ms(150));
    let AdmissionDecision::Refuse(refusal) = gate.offer(&short, now) else {
        panic!("must be refused");
    };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert_eq!(refusal.retry_after, Some(interval(100)));
    let long = request(Class::Interactive, now + ms(250));
    assert!(matches!(gate.offer(&long, now), AdmissionDecision::Wait(_)));
}

#[test]
fn free_slot_is_given_whatever_the_estimate_says() {
    let (mut gate, now) = gate(1);
    let permit = run(&mut gate, Class::Interactive, now);
    gate.release(permit, now + 60 * SECOND);
    let now = now + 60 * SECOND;
    let short = request(Class::Interactive, now + ms(50));
    assert!(matches!(gate.offer(&short, now), AdmissionDecision::Run(_)));
}

#[test]
fn gives_up_early_and_says_so_at_once() {
    let (mut gate, now) = gate(1);
    let permit = run(&mut gate, Class::Interactive, now);
    gate.release(permit, now + ms(100));
    let now = now + ms(100);
    run(&mut gate, Class::Interactive, now);
    let AdmissionDecision::Wait(ticket) =
        gate.offer(&request(Class::Interactive, now + ms(250)), now)
    else {
        panic!("must wait");
    };
    // From 150 ms on it cannot run its 100 ms any more.
    assert_eq!(gate.next_expiry(), Some(now + ms(150)));
    assert!(gate.expire(now + ms(149)).dropped.is_empty());
    let dropped = gate.expire(now + ms(150)).dropped;
    assert_eq!(dropped[0].ticket, ticket);
    assert_eq!(gate.load().queued, SlotCount(0));
}

#[test]
fn line_is_bounded() {
    let (mut gate, now) = gate(2);
    run(&mut gate, Class::Critical, now);
    run(&mut gate, Class::Critical, now);
    for _ in 0..4 {
        wait(&mut gate, Class::Critical, now);
    }
    let refused = gate.offer(&request(Class::Critical, now + SECOND), now);
    assert!(matches!(refused, AdmissionDecision::Refuse(_)));
}

#[test]
fn cancelled_request_leaves_its_place() {
    let (mut gate, now) = gate(1);
    let permit = run(&mut gate, Class::Interactive, now);
    let first = wait(&mut gate, Class::Interactive, now);
    let second = wait(&mut gate, Class::Interactive, now);
    gate.cancel(first);
    let moves = gate.release(permit, now);
    assert_eq!(moves.granted[0].ticket, second);
    assert_eq!(moves.granted.len(), 1);
}

#[test]
fn more_slots_run_those_that_wait() {
    let (mut gate, now) = gate(1);
    run(&mut gate, Class::Interactive, now);
    wait(&mut gate, Class::Interactive, now);
    wait(&mut gate, Class::Interactive, now);
    assert_eq!(gate.set_slots(SlotCount(4), now).granted.len(), 2);
    assert!(gate.set_slots(SlotCount(1), now).granted.is_empty());
}

#[test]
fn leaving_drops_all_that_wait() {
    let (mut gate, now) = gate(1);
    run(&mut gate, Class::Interactive, now);
    wait(&mut gate, Class::Interactive, now);
    wait(&mut gate, Class::Batch, now);
    let dropped = gate.drop_waiting(RefusalReason::Draining);
    assert_eq!(dropped.len(), 2);
    assert_eq!(gate.load().queued, SlotCount(0));
    assert_eq!(gate.next_expiry(), None);
}

#[test]
fn released_twice_frees_one_slot() {
    let (mut gate, now) = gate(1);
    let permit = run(&mut gate, Class::Interactive, now);
    gate.release(permit, now);
    gate.release(permit, now);
    run(&mut gate, Class::Interactive, now);
    wait(&mut gate, Class::Interactive, now);
}

fn alone(now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        exclusive: true,
        ..request(Class::Interactive, now + 10 * SECOND)
    }
}

#[test]
fn suspect_runs_with_no_other_beside_it() {
    let (mut gate, now) = gate(4);
    let permit = run(&mut gate, Class::Interactive, now);
    let AdmissionDecision::Wait(suspect) = gate.offer(&alone(now), now) else {
        panic!("must wait for the slots to empty");
    };
    let other = wait(&mut gate, Class::Interactive, now);
    let moves = gate.release(permit, now + ms(10));
    assert_eq!(moves.granted.len(), 1);
    assert_eq!(moves.granted[0].ticket, suspect);
    wait(&mut gate, Class::Critical, now + ms(20));
    let moves = gate.release(moves.granted[0].permit, now + ms(30));
    assert_eq!(moves.granted.len(), 2);
    assert!(moves.granted.iter().any(|granted| granted.ticket == other));
}

#[test]
fn suspect_does_not_hold_the_slots_for_long() {
    let (mut gate, now) = gate(4);
    run(&mut gate, Class::Interactive, now);
    let AdmissionDecision::Wait(suspect) = gate.offer(&alone(now), now) else {
        panic!("must wait");
    };
    let other = wait(&mut gate, Class::Interactive, now);
    assert_eq!(gate.next_expiry(), Some(now + SECOND));
    let granted = gate.expire(now + SECOND).granted;
    let tickets: Vec<_> = granted.iter().map(|granted| granted.ticket).collect();
    assert_eq!(tickets, [suspect, other]);
}

#[test]
fn only_one_suspect_runs_at_a_time() {
    let (mut gate, now) = gate(4);
    let AdmissionDecision::Run(first) = gate.offer(&alone(now), now) else {
        panic!("must run");
    };
    assert!(matches!(
        gate.offer(&alone(now), now),
        AdmissionDecision::Wait(_)
    ));
    assert!(gate.expire(now + 5 * SECOND).granted.is_empty());
    assert_eq!(gate.release(first, now + 5 * SECOND).granted.len(), 1);
}

#[test]
fn first_class_does_not_wait_for_the_slots_to_empty() {
    let (mut gate, now) = gate(4);
    run(&mut gate, Class::Interactive, now);
    assert!(matches!(
        gate.offer(&alone(now), now),
        AdmissionDecision::Wait(_)
    ));
    wait(&mut gate, Class::Interactive, now);
    run(&mut gate, Class::Critical, now);
}

#[test]
fn lost_backend_server_does_not_leave_the_slots_held() {
    let (mut gate, now) = gate(4);
    let permit = run(&mut gate, Class::Interactive, now);
    assert!(matches!(
        gate.offer(&alone(now), now),
        AdmissionDecision::Wait(_)
    ));
    assert_eq!(gate.drop_waiting(RefusalReason::NoBackendServer).len(), 1);
    gate.release(permit, now);
    run(&mut gate, Class::Interactive, now);
}

#[test]
fn one_caller_takes_at_most_half_of_a_line() {
    let (mut gate, now) = gate(2);
    let from = |name: &str| AdmissionRequest {
        caller: Some(name.parse().unwrap()),
        ..request(Class::Interactive, now + 10 * SECOND)
    };
    let permit = run(&mut gate, Class::Interactive, now);
    run(&mut gate, Class::Interactive, now);
    for _ in 0..2 {
        assert!(matches!(
            gate.offer(&from("greedy"), now),
            AdmissionDecision::Wait(_)
        ));
    }
    assert!(matches!(
        gate.offer(&from("greedy"), now),
        AdmissionDecision::Refuse(_)
    ));
    assert!(matches!(
        gate.offer(&from("modest"), now),
        AdmissionDecision::Wait(_)
    ));
    // A place that is free again may be taken again.
    gate.release(permit, now + ms(1));
    assert!(matches!(
        gate.offer(&from("greedy"), now + ms(1)),
        AdmissionDecision::Wait(_)
    ));
}
