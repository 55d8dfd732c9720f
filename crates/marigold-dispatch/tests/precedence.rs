//! Precedence of workspaces, and their even parts of the slot time.

mod common;

use std::collections::BTreeMap;

use common::{ms, slot_request};
use marigold_dispatch::{AdmissionController, AdmissionDecision, Precedence, SlotRequest, Ticket};
use marigold_types::SlotCount;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// The run time of all requests here, in milliseconds.
const RUN_MS: u64 = 100;

/// Returns the request of a workspace with plenty of time.
fn request(workspace: &str, precedence: u8, rank: u8, now: Instant) -> SlotRequest {
    SlotRequest {
        workspace: Some(workspace.parse().expect("valid workspace name")),
        precedence: Precedence(precedence),
        ..slot_request("read", rank, 60_000, 60_000, now)
    }
}

/// Returns a controller with one slot, which `busy` holds, and a known run time.
fn busy_controller(
    busy: SlotRequest,
    now: Instant,
) -> (AdmissionController, marigold_dispatch::Permit) {
    let mut controller = AdmissionController::new(SlotCount(1));
    let first = slot_request("read", 1, 3 * RUN_MS, 60_000, now);
    let AdmissionDecision::Run(permit) = controller.admit(first, now) else {
        panic!("a slot is free");
    };
    controller.release(permit, true, now + ms(RUN_MS));
    let AdmissionDecision::Run(permit) = controller.admit(busy, now) else {
        panic!("a slot is free");
    };
    (controller, permit)
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

/// Each test lets "one" hold the slot, queues two requests, given as workspace, precedence and rank, and checks which
/// is granted first.
macro_rules! grant_order_tests {
    ($($name:ident: $one:expr, $two:expr => $first:literal;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let now = Instant::now();
            let (mut controller, slot) = busy_controller(request("one", 1, 1, now), now);
            let first = admit_waiting(&mut controller, request($one.0, $one.1, $one.2, now), now);
            let later = now + ms(1);
            let second = admit_waiting(&mut controller, request($two.0, $two.1, $two.2, later), later);
            controller.release(slot, true, now + ms(RUN_MS));
            let (granted, _) = controller.grant(now + ms(RUN_MS)).expect("a slot is free");
            assert_eq!(granted, [first, second][$first]);
        }
    )*};
}

grant_order_tests! {
    lower_precedence_goes_first: ("two", 2, 1), ("three", 1, 1) => 1;
    precedence_goes_before_rank: ("two", 2, 0), ("three", 1, 5) => 1;
    precedence_goes_before_even_parts: ("two", 2, 1), ("one", 1, 1) => 1;
    unserved_workspace_goes_before_served_one: ("one", 1, 1), ("two", 1, 1) => 1;
    workspaces_with_equal_parts_go_by_arrival: ("two", 1, 1), ("three", 1, 1) => 0;
    arrival_does_not_depend_on_names: ("three", 1, 1), ("two", 1, 1) => 0;
}

/// A full queue makes room for the workspace that has less than its part, and for a lower precedence.
#[tokio::test(start_paused = true)]
async fn last_request_of_a_full_queue_makes_room() {
    let now = Instant::now();
    let (mut controller, _slot) = busy_controller(request("heavy", 1, 1, now), now);
    let mut heavy = Vec::new();
    while let AdmissionDecision::Wait(ticket) = controller.admit(request("heavy", 1, 1, now), now) {
        heavy.push(ticket);
    }
    assert!(controller.take_displaced().is_empty());
    for other in [request("light", 1, 1, now), request("first", 0, 1, now)] {
        admit_waiting(&mut controller, other, now);
        let displaced = controller.take_displaced().pop().expect("one is displaced");
        assert_eq!(Some(displaced.0), heavy.pop());
    }
    assert!(controller.take_displaced().is_empty());
}

/// A request that others overtake is refused as soon as it can't complete by its deadline, not when that has passed.
#[tokio::test(start_paused = true)]
async fn overtaken_request_is_refused_at_once() {
    let now = Instant::now();
    let (mut controller, _slot) = busy_controller(request("heavy", 1, 1, now), now);
    let overtaken = SlotRequest {
        objective: now + ms(400),
        deadline: now + ms(800),
        ..request("heavy", 1, 1, now)
    };
    let overtaken = admit_waiting(&mut controller, overtaken, now);
    for _ in 0..10 {
        admit_waiting(&mut controller, request("light", 1, 1, now), now);
    }
    let removed = controller.remove_expired(now);
    assert_eq!(removed.len(), 1);
    assert_eq!(removed[0].0, overtaken);
}

/// Requests per second of each workspace that are asked for and run, with six slots for `RUN_MS` each.
fn run_workspaces(rates: &BTreeMap<&str, u64>, seed: u64) -> BTreeMap<String, (u32, u32)> {
    const STEPS: u64 = 20_000;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Instant::now();
    let mut controller = AdmissionController::new(SlotCount(6));
    let mut running = Vec::new();
    let mut waiting = BTreeMap::new();
    let mut counts: BTreeMap<String, (u32, u32)> = BTreeMap::new();
    for step in 0..STEPS {
        now += ms(1);
        running.retain(|(permit, ends)| {
            if *ends <= now {
                controller.release(*permit, true, now);
            }
            *ends > now
        });
        if step % 20 == 0 {
            for (ticket, _) in controller.remove_expired(now) {
                waiting.remove(&ticket);
            }
        }
        let mut started = Vec::new();
        while let Some((ticket, permit)) = controller.grant(now) {
            started.push((waiting.remove(&ticket).expect("it waits"), permit));
        }
        for (name, rate) in rates {
            if rng.random_range(0..1_000) >= *rate {
                continue;
            }
            counts.entry((*name).to_owned()).or_default().0 += 1;
            let request = SlotRequest {
                objective: now + ms(400),
                deadline: now + ms(1_500),
                ..request(name, 1, 1, now)
            };
            match controller.admit(request, now) {
                AdmissionDecision::Run(permit) => started.push(((*name).to_owned(), permit)),
                AdmissionDecision::Wait(ticket) => {
                    waiting.insert(ticket, (*name).to_owned());
                }
                AdmissionDecision::Refuse(_) => {}
            }
            for (ticket, _) in controller.take_displaced() {
                waiting.remove(&ticket);
            }
        }
        for (name, permit) in started {
            counts.entry(name).or_default().1 += 1;
            let run = rng.random_range(RUN_MS / 2..RUN_MS * 3 / 2);
            running.push((permit, now + ms(run)));
        }
    }
    counts
}

/// Returns the rate for each of `count` workspaces with usual load, and that of one that sends more.
fn rates(count: usize, usual: u64, heavy: u64) -> BTreeMap<&'static str, u64> {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    let mut rates: BTreeMap<_, _> = names[..count].iter().map(|name| (*name, usual)).collect();
    rates.insert("e", heavy);
    rates
}

/// 60 requests a second can be run.
const PART_RATIO: f64 = 0.9;

#[tokio::test(start_paused = true)]
async fn surge_of_one_workspace_takes_nothing_from_the_others() {
    let rates = rates(10, 4, 80);
    for (name, (asked, ran)) in run_workspaces(&rates, 3) {
        let served = f64::from(ran) / f64::from(asked);
        // The heavy one gets what is left: 60 - 36 a second of 80.
        let least = if name == "e" { 24.0 / 80.0 } else { 1.0 };
        assert!(served >= PART_RATIO * least, "{name}: {ran} of {asked}");
    }
}

#[tokio::test(start_paused = true)]
async fn workspaces_under_twice_the_load_are_served_alike() {
    let rates = rates(12, 10, 10);
    let counts = run_workspaces(&rates, 4);
    let asked: u32 = counts.values().map(|(asked, _)| asked).sum();
    let ran: u32 = counts.values().map(|(_, ran)| ran).sum();
    let mean = f64::from(ran) / f64::from(asked);
    for (name, (asked, ran)) in counts {
        let served = f64::from(ran) / f64::from(asked);
        assert!(served >= PART_RATIO * mean, "{name}: {served} of {mean}");
    }
}

/// The decisions on a seeded sequence without workspaces; the digest covers the order of grants and the retry delays.
#[tokio::test(start_paused = true)]
async fn decisions_without_workspaces_do_not_change() {
    let counts = run_without_workspaces();
    assert_eq!(counts, [157, 1086, 986, 12, 131_472]);
}

/// Returns the requests that ran at once, waited, were refused, were removed, and a digest of the grants.
fn run_without_workspaces() -> [u64; 5] {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut now = Instant::now();
    let mut controller = AdmissionController::new(SlotCount(5));
    let mut running = Vec::new();
    let mut waiting: Vec<Ticket> = Vec::new();
    let mut counts = [0; 5];
    let kinds = [
        ("short", 0, 20, 120),
        ("usual", 1, 60, 250),
        ("long", 2, 200, 900),
    ];
    for _ in 0..20_000 {
        now += ms(1);
        running.retain(|(permit, ends)| {
            if *ends <= now {
                controller.release(*permit, true, now);
            }
            *ends > now
        });
        counts[3] += controller.remove_expired(now).len() as u64;
        while let Some((ticket, permit)) = controller.grant(now) {
            let place = waiting.iter().position(|other| *other == ticket);
            counts[4] = (counts[4] * 31 + place.map_or(0, |place| place as u64)) % 1_000_003;
            running.push((permit, now + ms(rng.random_range(10..150))));
        }
        if !rng.random_bool(0.11) {
            continue;
        }
        let (name, rank, _, objective) = kinds[rng.random_range(0..kinds.len())];
        let objective = objective * rng.random_range(1..=4) / 4;
        match controller.admit(slot_request(name, rank, objective, objective * 4, now), now) {
            AdmissionDecision::Run(permit) => {
                counts[0] += 1;
                running.push((permit, now + ms(rng.random_range(10..150))));
            }
            AdmissionDecision::Wait(ticket) => {
                counts[1] += 1;
                waiting.push(ticket);
            }
            AdmissionDecision::Refuse(after) => {
                counts[2] += 1;
                counts[4] = (counts[4] * 31 + u64::from(after.subsec_micros())) % 1_000_003;
            }
        }
    }
    counts
}
