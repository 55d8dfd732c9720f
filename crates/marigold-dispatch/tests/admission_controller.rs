//! Who waits for a slot, in which order, and who is refused.

mod common;

use common::{kind, ms, work};
use marigold_dispatch::{Admission, AdmissionController, Permit, SlotRequest, Ticket};
use marigold_types::SlotCount;
use tokio::time::Instant;

/// A gate in which each named kind has run once for so many milliseconds.
fn gate(slots: u32, runs: &[(&str, u8, u64)], now: Instant) -> AdmissionController {
    let mut gate = AdmissionController::new(SlotCount(slots));
    for (name, rank, run) in runs {
        let permit = run_now(&mut gate, work(name, *rank, 3 * run, 20_000, now), now);
        gate.release(permit, true, now + ms(*run));
    }
    gate
}

fn run_now(gate: &mut AdmissionController, work: SlotRequest, now: Instant) -> Permit {
    match gate.admit(work, now) {
        Admission::Run(permit) => permit,
        other => panic!("wanted a slot, got {other:?}"),
    }
}

fn wait(gate: &mut AdmissionController, work: SlotRequest, now: Instant) -> Ticket {
    match gate.admit(work, now) {
        Admission::Wait(ticket) => ticket,
        other => panic!("wanted a place, got {other:?}"),
    }
}

/// Names two kinds with rank and run time that wait for one slot, and which of them runs first.
macro_rules! goes_first {
    ($($name:ident: $one:expr, $two:expr => $first:literal;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let now = Instant::now();
            let kinds = [("one", $one.0, $one.1), ("two", $two.0, $two.1)];
            let mut gate = gate(1, &kinds, now);
            let slot = run_now(&mut gate, work("one", 0, 9_000, 9_000, now), now);
            let one = wait(&mut gate, work("one", $one.0, 9_000, 9_000, now), now);
            let two = wait(&mut gate, work("two", $two.0, 9_000, 9_000, now), now);
            gate.release(slot, false, now);
            let (granted, _) = gate.grant(now).expect("a slot is free");
            let first = if granted == one { "one" } else { "two" };
            assert!(granted == one || granted == two);
            assert_eq!(first, $first);
        }
    )*};
}

goes_first! {
    more_urgent_of_equal_length: (2, 60), (1, 60) => "two";
    shorter_of_equal_rank: (1, 200), (1, 60) => "two";
    short_call_before_work_of_the_next_rank: (0, 42), (1, 15) => "two";
    urgent_work_before_work_a_little_shorter: (0, 62), (1, 42) => "one";
    urgent_work_before_short_work_two_ranks_below: (0, 42), (2, 15) => "one";
}

#[tokio::test(start_paused = true)]
async fn refuses_at_once_what_cannot_end_in_time() {
    let now = Instant::now();
    let mut gate = gate(1, &[("read", 1, 100)], now);
    run_now(&mut gate, work("read", 1, 9_000, 9_000, now), now);
    let refused = gate.admit(work("read", 1, 150, 150, now), now);
    assert!(matches!(refused, Admission::Refuse(_)), "{refused:?}");
    assert_eq!(gate.queued(), 0);
}

#[tokio::test(start_paused = true)]
async fn refuses_all_without_slots() {
    let now = Instant::now();
    let mut gate = AdmissionController::new(SlotCount(0));
    let refused = gate.admit(work("read", 1, 9_000, 9_000, now), now);
    assert!(matches!(refused, Admission::Refuse(_)), "{refused:?}");
}

/// The load of a burst: late work has no place before work that can still be in time.
#[tokio::test(start_paused = true)]
async fn late_work_yields() {
    let now = Instant::now();
    let mut gate = gate(1, &[("read", 1, 100)], now);
    let slot = run_now(&mut gate, work("read", 1, 9_000, 9_000, now), now);
    let late = wait(&mut gate, work("read", 1, 50, 9_000, now), now);
    let in_time = wait(&mut gate, work("read", 1, 9_000, 9_000, now), now);
    gate.release(slot, false, now);
    let (first, permit) = gate.grant(now).expect("a slot is free");
    assert_eq!(first, in_time);
    gate.release(permit, true, now + ms(100));
    let (second, _) = gate.grant(now + ms(100)).expect("a slot is free");
    assert_eq!(second, late);
}

#[tokio::test(start_paused = true)]
async fn work_that_became_late_in_the_line_yields() {
    let now = Instant::now();
    let mut gate = gate(1, &[("read", 1, 100)], now);
    let slot = run_now(&mut gate, work("read", 1, 9_000, 9_000, now), now);
    let first = wait(&mut gate, work("read", 1, 400, 9_000, now), now);
    let second = wait(&mut gate, work("read", 1, 9_000, 9_000, now), now);
    let later = now + ms(350);
    gate.release(slot, false, later);
    let (granted, _) = gate.grant(later).expect("a slot is free");
    assert_eq!(granted, second);
    assert_ne!(granted, first);
}

/// Overload of a service that others call while they hold slots: a short call that is late still goes
/// before long work in time.
#[tokio::test(start_paused = true)]
async fn a_late_call_goes_before_long_work() {
    let now = Instant::now();
    let mut gate = gate(1, &[("call", 1, 20), ("archive", 2, 360)], now);
    let slot = run_now(&mut gate, work("call", 1, 9_000, 9_000, now), now);
    wait(&mut gate, work("archive", 2, 9_000, 9_000, now), now);
    let call = wait(&mut gate, work("call", 1, 10, 900, now), now);
    gate.release(slot, false, now);
    assert_eq!(gate.grant(now).map(|(ticket, _)| ticket), Some(call));
}

#[tokio::test(start_paused = true)]
async fn sweeps_out_what_is_lost() {
    let now = Instant::now();
    let mut gate = gate(1, &[("read", 1, 100)], now);
    run_now(&mut gate, work("read", 1, 9_000, 9_000, now), now);
    let ticket = wait(&mut gate, work("read", 1, 300, 600, now), now);
    assert!(gate.remove_expired(now + ms(500)).is_empty());
    let swept = gate.remove_expired(now + ms(560));
    assert_eq!(swept.len(), 1);
    assert_eq!(swept[0].0, ticket);
    assert_eq!(gate.queued(), 0);
}

/// Sustained overload by urgent work: the least urgent still gets a turn.
#[tokio::test(start_paused = true)]
async fn nobody_starves() {
    let mut now = Instant::now();
    let mut gate = gate(1, &[("urgent", 0, 10), ("slow", 2, 100)], now);
    let mut slot = run_now(&mut gate, work("urgent", 0, 90_000, 90_000, now), now);
    let patient = wait(&mut gate, work("slow", 2, 90_000, 90_000, now), now);
    for _ in 0..32 {
        wait(&mut gate, work("urgent", 0, 90_000, 90_000, now), now);
        now += ms(10);
        gate.release(slot, true, now);
        let (ticket, permit) = gate.grant(now).expect("a slot is free");
        if ticket == patient {
            return;
        }
        slot = permit;
    }
    panic!("the slow request never ran");
}

/// Overload: what is late already gets no fair turn, which would cost a slot that others still need.
#[tokio::test(start_paused = true)]
async fn late_work_has_no_fair_turn() {
    let mut now = Instant::now();
    let mut gate = gate(1, &[("read", 1, 10)], now);
    let mut slot = run_now(&mut gate, work("read", 1, 90_000, 90_000, now), now);
    let late = wait(&mut gate, work("read", 1, 5, 90_000, now), now);
    for _ in 0..64 {
        wait(&mut gate, work("read", 1, 90_000, 90_000, now), now);
        now += ms(10);
        gate.release(slot, true, now);
        let (ticket, permit) = gate.grant(now).expect("a slot is free");
        assert_ne!(ticket, late);
        slot = permit;
    }
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_place_is_free() {
    let now = Instant::now();
    let mut gate = gate(1, &[("read", 1, 100)], now);
    let slot = run_now(&mut gate, work("read", 1, 9_000, 9_000, now), now);
    let gone = wait(&mut gate, work("read", 1, 9_000, 9_000, now), now);
    let stays = wait(&mut gate, work("read", 1, 9_000, 9_000, now), now);
    gate.cancel(gone);
    gate.release(slot, true, now);
    assert_eq!(gate.grant(now).map(|(ticket, _)| ticket), Some(stays));
    assert_eq!(gate.queued(), 0);
}

#[tokio::test(start_paused = true)]
async fn fewer_slots_leave_running_work_alone() {
    let now = Instant::now();
    let mut gate = gate(2, &[("read", 1, 100)], now);
    let one = run_now(&mut gate, work("read", 1, 9_000, 9_000, now), now);
    let two = run_now(&mut gate, work("read", 1, 9_000, 9_000, now), now);
    wait(&mut gate, work("read", 1, 9_000, 9_000, now), now);
    gate.set_slots(SlotCount(1));
    gate.release(one, true, now);
    assert!(gate.grant(now).is_none());
    gate.release(two, true, now);
    assert!(gate.grant(now).is_some());
}

/// A day of steady overload on one server, twice what it can run: what is served is in time, and the
/// slots never stand idle.
#[tokio::test(start_paused = true)]
async fn overload_keeps_what_it_serves_in_time() {
    const STEP: u64 = 5;
    const RUN: u64 = 60;
    let mut now = Instant::now();
    let mut gate = gate(6, &[("read", 2, RUN)], now);
    let mut running = Vec::new();
    let mut waiting = std::collections::HashMap::new();
    let (mut served, mut in_time, mut offered) = (0, 0, 0);
    for _ in 0..2_000 {
        now += ms(STEP);
        running.retain(|&(permit, ends, objective): &(Permit, Instant, Instant)| {
            if ends > now {
                return true;
            }
            gate.release(permit, true, now);
            served += 1;
            in_time += u32::from(now <= objective);
            false
        });
        gate.remove_expired(now);
        while let Some((ticket, permit)) = gate.grant(now) {
            let objective = waiting[&ticket];
            running.push((permit, now + ms(RUN), objective));
        }
        offered += 1;
        let work = work("read", 2, 200, 1_200, now);
        let objective = work.objective;
        match gate.admit(work, now) {
            Admission::Run(permit) => running.push((permit, now + ms(RUN), objective)),
            Admission::Wait(ticket) => {
                waiting.insert(ticket, objective);
            }
            Admission::Refuse(_) => {}
        }
    }
    // 6 slots of 60 ms each serve 100 of the 200 that come in a second.
    assert!(served * 100 >= offered * 49, "{served} of {offered}");
    assert!(in_time * 100 >= served * 90, "{in_time} of {served}");
}

#[test]
fn kinds_are_named() {
    assert_eq!(kind("read").to_string(), "read");
    assert!("".parse::<marigold_dispatch::CallKind>().is_err());
}
