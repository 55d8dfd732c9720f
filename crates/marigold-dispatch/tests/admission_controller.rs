//! Admission control: queueing order, refusals and expiry.

mod common;

use common::{kind, ms, slot_request};
use marigold_dispatch::{AdmissionController, AdmissionDecision, Permit, SlotRequest, Ticket};
use marigold_types::SlotCount;
use tokio::time::Instant;

/// Returns a controller in which each kind has run once; run times are in milliseconds.
fn controller(slots: u32, runs: &[(&str, u8, u64)], now: Instant) -> AdmissionController {
    let mut controller = AdmissionController::new(SlotCount(slots));
    for (name, rank, run) in runs {
        let permit = admit_running(
            &mut controller,
            slot_request(name, *rank, 3 * run, 20_000, now),
            now,
        );
        controller.release(permit, true, now + ms(*run));
    }
    controller
}

fn admit_running(
    controller: &mut AdmissionController,
    request: SlotRequest,
    now: Instant,
) -> Permit {
    match controller.admit(request, now) {
        AdmissionDecision::Run(permit) => permit,
        other => panic!("expected Run, got {other:?}"),
    }
}

fn admit_waiting(
    controller: &mut AdmissionController,
    request: SlotRequest,
    now: Instant,
) -> Ticket {
    match controller.admit(request, now) {
        AdmissionDecision::Wait(ticket) => ticket,
        other => panic!("expected Wait, got {other:?}"),
    }
}

/// Each test queues two kinds, given as rank and run time in milliseconds, and checks which is granted first.
macro_rules! grant_order_tests {
    ($($name:ident: $one:expr, $two:expr => $first:literal;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let now = Instant::now();
            let kinds = [("one", $one.0, $one.1), ("two", $two.0, $two.1)];
            let mut controller = controller(1, &kinds, now);
            let slot = admit_running(&mut controller, slot_request("one", 0, 9_000, 9_000, now), now);
            let one = admit_waiting(&mut controller, slot_request("one", $one.0, 9_000, 9_000, now), now);
            let two = admit_waiting(&mut controller, slot_request("two", $two.0, 9_000, 9_000, now), now);
            controller.release(slot, false, now);
            let (granted, _) = controller.grant(now).expect("a slot is free");
            let first = if granted == one { "one" } else { "two" };
            assert!(granted == one || granted == two);
            assert_eq!(first, $first);
        }
    )*};
}

grant_order_tests! {
    higher_priority_before_equal_run_time: (2, 60), (1, 60) => "two";
    shorter_before_longer_of_equal_rank: (1, 200), (1, 60) => "two";
    shorter_of_next_rank_before_longer: (0, 42), (1, 15) => "two";
    higher_priority_before_slightly_shorter: (0, 62), (1, 42) => "one";
    higher_priority_before_shorter_two_ranks_below: (0, 42), (2, 15) => "one";
}

#[tokio::test(start_paused = true)]
async fn request_that_cannot_meet_its_deadline_is_refused() {
    let now = Instant::now();
    let mut controller = controller(1, &[("read", 1, 100)], now);
    admit_running(
        &mut controller,
        slot_request("read", 1, 9_000, 9_000, now),
        now,
    );
    let refused = controller.admit(slot_request("read", 1, 150, 150, now), now);
    assert!(
        matches!(refused, AdmissionDecision::Refuse(_)),
        "{refused:?}"
    );
    assert_eq!(controller.queued(), 0);
}

#[tokio::test(start_paused = true)]
async fn all_requests_are_refused_without_slots() {
    let now = Instant::now();
    let mut controller = AdmissionController::new(SlotCount(0));
    let refused = controller.admit(slot_request("read", 1, 9_000, 9_000, now), now);
    assert!(
        matches!(refused, AdmissionDecision::Refuse(_)),
        "{refused:?}"
    );
}

/// During a burst, a late request is granted after one that can still meet its objective.
#[tokio::test(start_paused = true)]
async fn late_request_is_granted_last() {
    let now = Instant::now();
    let mut controller = controller(1, &[("read", 1, 100)], now);
    let slot = admit_running(
        &mut controller,
        slot_request("read", 1, 9_000, 9_000, now),
        now,
    );
    let late = admit_waiting(
        &mut controller,
        slot_request("read", 1, 50, 9_000, now),
        now,
    );
    let on_time = admit_waiting(
        &mut controller,
        slot_request("read", 1, 9_000, 9_000, now),
        now,
    );
    controller.release(slot, false, now);
    let (first, permit) = controller.grant(now).expect("a slot is free");
    assert_eq!(first, on_time);
    controller.release(permit, true, now + ms(100));
    let (second, _) = controller.grant(now + ms(100)).expect("a slot is free");
    assert_eq!(second, late);
}

#[tokio::test(start_paused = true)]
async fn request_that_became_late_in_the_queue_is_granted_last() {
    let now = Instant::now();
    let mut controller = controller(1, &[("read", 1, 100)], now);
    let slot = admit_running(
        &mut controller,
        slot_request("read", 1, 9_000, 9_000, now),
        now,
    );
    let first = admit_waiting(
        &mut controller,
        slot_request("read", 1, 400, 9_000, now),
        now,
    );
    let second = admit_waiting(
        &mut controller,
        slot_request("read", 1, 9_000, 9_000, now),
        now,
    );
    let later = now + ms(350);
    controller.release(slot, false, later);
    let (granted, _) = controller.grant(later).expect("a slot is free");
    assert_eq!(granted, second);
    assert_ne!(granted, first);
}

/// Under overload of a service that others call while they hold slots, a short late call is still granted
/// before a long request that is on time.
#[tokio::test(start_paused = true)]
async fn short_late_call_is_granted_before_long_request() {
    let now = Instant::now();
    let mut controller = controller(1, &[("call", 1, 20), ("archive", 2, 360)], now);
    let slot = admit_running(
        &mut controller,
        slot_request("call", 1, 9_000, 9_000, now),
        now,
    );
    admit_waiting(
        &mut controller,
        slot_request("archive", 2, 9_000, 9_000, now),
        now,
    );
    let call = admit_waiting(&mut controller, slot_request("call", 1, 10, 900, now), now);
    controller.release(slot, false, now);
    assert_eq!(controller.grant(now).map(|(ticket, _)| ticket), Some(call));
}

#[tokio::test(start_paused = true)]
async fn expired_requests_are_removed() {
    let now = Instant::now();
    let mut controller = controller(1, &[("read", 1, 100)], now);
    admit_running(
        &mut controller,
        slot_request("read", 1, 9_000, 9_000, now),
        now,
    );
    let ticket = admit_waiting(&mut controller, slot_request("read", 1, 300, 600, now), now);
    assert!(controller.remove_expired(now + ms(500)).is_empty());
    let removed = controller.remove_expired(now + ms(560));
    assert_eq!(removed.len(), 1);
    assert_eq!(removed[0].0, ticket);
    assert_eq!(controller.queued(), 0);
}

/// Under sustained overload by urgent requests, the least urgent request is still granted a slot.
#[tokio::test(start_paused = true)]
async fn least_urgent_request_does_not_starve() {
    let mut now = Instant::now();
    let mut controller = controller(1, &[("urgent", 0, 10), ("slow", 2, 100)], now);
    let mut slot = admit_running(
        &mut controller,
        slot_request("urgent", 0, 90_000, 90_000, now),
        now,
    );
    let patient = admit_waiting(
        &mut controller,
        slot_request("slow", 2, 90_000, 90_000, now),
        now,
    );
    for _ in 0..32 {
        admit_waiting(
            &mut controller,
            slot_request("urgent", 0, 90_000, 90_000, now),
            now,
        );
        now += ms(10);
        controller.release(slot, true, now);
        let (ticket, permit) = controller.grant(now).expect("a slot is free");
        if ticket == patient {
            return;
        }
        slot = permit;
    }
    panic!("the slow request never ran");
}

/// Under overload, the grants reserved for the least urgent requests do not go to late ones, since requests that
/// are still on time need the slot.
#[tokio::test(start_paused = true)]
async fn late_requests_get_no_fair_grants() {
    let mut now = Instant::now();
    let mut controller = controller(1, &[("read", 1, 10)], now);
    let mut slot = admit_running(
        &mut controller,
        slot_request("read", 1, 90_000, 90_000, now),
        now,
    );
    let late = admit_waiting(
        &mut controller,
        slot_request("read", 1, 5, 90_000, now),
        now,
    );
    for _ in 0..64 {
        admit_waiting(
            &mut controller,
            slot_request("read", 1, 90_000, 90_000, now),
            now,
        );
        now += ms(10);
        controller.release(slot, true, now);
        let (ticket, permit) = controller.grant(now).expect("a slot is free");
        assert_ne!(ticket, late);
        slot = permit;
    }
}

#[tokio::test(start_paused = true)]
async fn cancelled_request_is_not_granted() {
    let now = Instant::now();
    let mut controller = controller(1, &[("read", 1, 100)], now);
    let slot = admit_running(
        &mut controller,
        slot_request("read", 1, 9_000, 9_000, now),
        now,
    );
    let cancelled = admit_waiting(
        &mut controller,
        slot_request("read", 1, 9_000, 9_000, now),
        now,
    );
    let remaining = admit_waiting(
        &mut controller,
        slot_request("read", 1, 9_000, 9_000, now),
        now,
    );
    controller.cancel(cancelled);
    controller.release(slot, true, now);
    assert_eq!(
        controller.grant(now).map(|(ticket, _)| ticket),
        Some(remaining)
    );
    assert_eq!(controller.queued(), 0);
}

#[tokio::test(start_paused = true)]
async fn running_requests_keep_their_slots_when_slots_are_reduced() {
    let now = Instant::now();
    let mut controller = controller(2, &[("read", 1, 100)], now);
    let one = admit_running(
        &mut controller,
        slot_request("read", 1, 9_000, 9_000, now),
        now,
    );
    let two = admit_running(
        &mut controller,
        slot_request("read", 1, 9_000, 9_000, now),
        now,
    );
    admit_waiting(
        &mut controller,
        slot_request("read", 1, 9_000, 9_000, now),
        now,
    );
    controller.set_slots(SlotCount(1));
    controller.release(one, true, now);
    assert!(controller.grant(now).is_none());
    controller.release(two, true, now);
    assert!(controller.grant(now).is_some());
}

/// Under steady overload of twice a server's capacity, the slots stay in use and the requests that are served
/// meet their objective.
#[tokio::test(start_paused = true)]
async fn served_requests_meet_their_objective_under_overload() {
    const STEP_MS: u64 = 5;
    const RUN_MS: u64 = 60;
    let mut now = Instant::now();
    let mut controller = controller(6, &[("read", 2, RUN_MS)], now);
    let mut running = Vec::new();
    let mut waiting = std::collections::HashMap::new();
    let (mut served, mut in_time, mut offered) = (0, 0, 0);
    for _ in 0..2_000 {
        now += ms(STEP_MS);
        running.retain(|&(permit, ends, objective): &(Permit, Instant, Instant)| {
            if ends > now {
                return true;
            }
            controller.release(permit, true, now);
            served += 1;
            in_time += u32::from(now <= objective);
            false
        });
        controller.remove_expired(now);
        while let Some((ticket, permit)) = controller.grant(now) {
            let objective = waiting[&ticket];
            running.push((permit, now + ms(RUN_MS), objective));
        }
        offered += 1;
        let request = slot_request("read", 2, 200, 1_200, now);
        let objective = request.objective;
        match controller.admit(request, now) {
            AdmissionDecision::Run(permit) => running.push((permit, now + ms(RUN_MS), objective)),
            AdmissionDecision::Wait(ticket) => {
                waiting.insert(ticket, objective);
            }
            AdmissionDecision::Refuse(_) => {}
        }
    }
    // 6 slots with 60 ms runs serve 100 of the 200 requests per second.
    assert!(served * 100 >= offered * 49, "{served} of {offered}");
    assert!(in_time * 100 >= served * 90, "{in_time} of {served}");
}

#[test]
fn kind_is_displayed_and_validated() {
    assert_eq!(kind("read").to_string(), "read");
    assert!("".parse::<marigold_dispatch::CallKind>().is_err());
}
