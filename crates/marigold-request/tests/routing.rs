//! Where requests go. See docs/design/routing.md.

mod common;

use std::collections::BTreeMap;

use common::{SECOND, address, config, endpoint, ms, service, view};
use marigold_control::{Endpoint, EndpointState, View};
use marigold_request::balance::{RoundRobin, TwoChoices};
use marigold_request::router::{CallReport, HealthSignal, Router};
use marigold_request::{LoadReport, RefusalReason};
use marigold_types::{Address, Outcome, SlotCount};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

fn router(seed: u64) -> Router {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let (centre, region) = ("depot".parse().unwrap(), "dyfed".parse().unwrap());
    Router::new(centre, region, Box::new(TwoChoices), rng)
}

fn report(outcome: Outcome, busy: u32) -> CallReport {
    let load = LoadReport {
        busy: SlotCount(busy),
        queued: SlotCount(0),
        slots: SlotCount(4),
    };
    CallReport {
        outcome,
        status: (outcome == Outcome::Answered).then_some(200),
        refusal: None,
        load: Some(load),
        elapsed: ms(5),
    }
}

/// Shows backend servers 1 to `hosts`, all of one data centre and long past their cold start.
fn depot(hosts: u16, now: Instant) -> View {
    let list = (1..=hosts)
        .map(|host| endpoint(host, "depot", long_ago(now)))
        .collect();
    view(list, config(vec![]))
}

/// Fails every call at the first backend server.
fn fails_at_first(at: Address) -> Outcome {
    if at == address(1) {
        Outcome::Unknown
    } else {
        Outcome::Answered
    }
}

fn pick(router: &mut Router, view: &View, now: Instant) -> Option<Endpoint> {
    router.pick(view, &service(), &[], now).ok()
}

/// Calls `times` in turn, each ending with what `outcome` says, and counts by address.
fn call(
    router: &mut Router,
    view: &View,
    times: usize,
    now: Instant,
    outcome: impl Fn(Address) -> Outcome,
) -> BTreeMap<Address, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..times {
        let chosen = pick(router, view, now).unwrap();
        let address = chosen.instance.address;
        router.started(&chosen, now);
        router.finished(address, &report(outcome(address), 0), now);
        *counts.entry(address).or_default() += 1;
    }
    counts
}

fn long_ago(now: Instant) -> Instant {
    now.checked_sub(60 * SECOND).unwrap()
}

#[test]
fn stays_in_own_data_centre() {
    let now = Instant::now();
    let list = vec![
        endpoint(1, "depot", long_ago(now)),
        endpoint(2, "yard", long_ago(now)),
    ];
    let view = view(list, config(vec![]));
    let counts = call(&mut router(1), &view, 100, now, |_| Outcome::Answered);
    assert_eq!(counts, BTreeMap::from([(address(1), 100)]));
}

#[test]
fn spills_to_own_region_when_own_centre_is_full() {
    let now = Instant::now();
    let list = vec![
        endpoint(1, "depot", long_ago(now)),
        endpoint(2, "yard", long_ago(now)),
        endpoint(3, "far-away", long_ago(now)),
    ];
    let view = view(list, config(vec![]));
    let mut router = router(1);
    let chosen: Vec<_> = (0..8)
        .map(|_| {
            let chosen = pick(&mut router, &view, now).unwrap();
            router.started(&chosen, now);
            chosen.instance.address
        })
        .collect();
    assert_eq!(chosen[..4], [address(1); 4]);
    assert!(chosen[4..].contains(&address(2)), "{chosen:?}");
    assert!(!chosen.contains(&address(3)), "{chosen:?}");
}

#[test]
fn draining_gets_nothing_and_suspect_only_when_alone() {
    let now = Instant::now();
    let with = |states: [EndpointState; 2]| {
        let hosts = states.into_iter().zip([1, 2]);
        let list = hosts.map(|(state, host)| Endpoint {
            state,
            ..endpoint(host, "depot", long_ago(now))
        });
        view(list.collect(), config(vec![]))
    };
    let beside = with([EndpointState::Suspect, EndpointState::Ready]);
    let counts = call(&mut router(1), &beside, 50, now, |_| Outcome::Answered);
    assert_eq!(counts, BTreeMap::from([(address(2), 50)]));
    let last = with([EndpointState::Suspect, EndpointState::Draining]);
    let counts = call(&mut router(1), &last, 50, now, |_| Outcome::Answered);
    assert_eq!(counts, BTreeMap::from([(address(1), 50)]));
    let none = with([EndpointState::Draining; 2]);
    let refusal = router(1).pick(&none, &service(), &[], now).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::NoBackendServer);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn excluded_is_not_chosen_again() {
    let now = Instant::now();
    let list = vec![
        endpoint(1, "depot", long_ago(now)),
        endpoint(2, "depot", long_ago(now)),
    ];
    let view = view(list, config(vec![]));
    for seed in 0..20 {
        let chosen = router(seed)
            .pick(&view, &service(), &[address(1)], now)
            .unwrap();
        assert_eq!(chosen.instance.address, address(2));
    }
    let both = [address(1), address(2)];
    assert!(router(1).pick(&view, &service(), &both, now).is_err());
}

#[test]
fn cold_start_gets_less() {
    let now = Instant::now();
    let list = vec![
        endpoint(1, "depot", long_ago(now)),
        endpoint(2, "depot", now.checked_sub(SECOND).unwrap()),
    ];
    let view = view(list, config(vec![]));
    let mut router = router(3);
    // Requests in flight show the ramp: a cold one with one request counts as full.
    let mut counts = BTreeMap::new();
    for _ in 0..5 {
        let chosen = pick(&mut router, &view, now).unwrap();
        router.started(&chosen, now);
        *counts.entry(chosen.instance.address).or_insert(0) += 1;
    }
    assert!(counts[&address(1)] >= 4, "{counts:?}");
}

#[test]
fn failing_calls_outrank_the_health_endpoint() {
    let now = Instant::now();
    let view = depot(4, now);
    let mut router = router(5);
    let counts = call(&mut router, &view, 400, now, fails_at_first);
    assert_eq!(counts[&address(1)], 5, "{counts:?}");
    // After its term one trial call goes to it, fails, and it is out for twice as long.
    let later = now + 6 * SECOND;
    let counts = call(&mut router, &view, 400, later, fails_at_first);
    assert_eq!(counts[&address(1)], 1, "{counts:?}");
    let counts = call(&mut router, &view, 400, later + 6 * SECOND, fails_at_first);
    assert_eq!(counts.get(&address(1)), None, "{counts:?}");
    // A trial call that goes well opens it.
    let counts = call(&mut router, &view, 400, later + 11 * SECOND, |_| {
        Outcome::Answered
    });
    assert!(counts[&address(1)] > 50, "{counts:?}");
}

#[test]
fn only_one_trial_call_is_out_at_a_time() {
    let now = Instant::now();
    let view = depot(2, now);
    let mut router = router(5);
    call(&mut router, &view, 100, now, fails_at_first);
    let later = now + 6 * SECOND;
    let mut trials = 0;
    for _ in 0..100 {
        let chosen = pick(&mut router, &view, later).unwrap();
        router.started(&chosen, later);
        trials += usize::from(chosen.instance.address == address(1));
    }
    assert_eq!(trials, 1);
}

#[test]
fn all_failing_ejects_at_most_half() {
    let now = Instant::now();
    let view = depot(5, now);
    let mut router = router(7);
    call(&mut router, &view, 500, now, |_| Outcome::Unknown);
    let counts = call(&mut router, &view, 500, now, |_| Outcome::Unknown);
    assert_eq!(counts.len(), 3, "{counts:?}");
}

#[test]
fn the_only_one_is_never_ejected() {
    let now = Instant::now();
    let view = view(vec![endpoint(1, "depot", long_ago(now))], config(vec![]));
    let counts = call(&mut router(1), &view, 100, now, |_| Outcome::Unknown);
    assert_eq!(counts[&address(1)], 100);
}

#[test]
fn refusals_for_want_of_room_do_not_eject() {
    let now = Instant::now();
    let view = depot(4, now);
    let mut router = router(9);
    for _ in 0..200 {
        let chosen = pick(&mut router, &view, now).unwrap();
        router.started(&chosen, now);
        let mut report = report(Outcome::NotRun, 0);
        report.refusal = Some(RefusalReason::Overloaded);
        router.finished(chosen.instance.address, &report, now);
    }
    let counts = call(&mut router, &view, 200, now, |_| Outcome::Answered);
    assert_eq!(counts.len(), 4);
}

#[test]
fn a_restart_starts_anew() {
    let now = Instant::now();
    let list = |life| {
        let mut first = endpoint(1, "depot", long_ago(now));
        first.instance = common::instance(1, life);
        view(
            vec![first, endpoint(2, "depot", long_ago(now))],
            config(vec![]),
        )
    };
    let mut router = router(11);
    call(&mut router, &list(1), 100, now, fails_at_first);
    let counts = call(&mut router, &list(2), 100, now, |_| Outcome::Answered);
    assert!(counts[&address(1)] > 20, "{counts:?}");
}

#[test]
fn round_robin_takes_turns() {
    let now = Instant::now();
    let view = depot(4, now);
    let (centre, region) = ("depot".parse().unwrap(), "dyfed".parse().unwrap());
    let rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = Router::new(centre, region, Box::new(RoundRobin::default()), rng);
    let counts = call(&mut router, &view, 40, now, |_| Outcome::Answered);
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

macro_rules! refusal_sign {
    ($($name:ident: $reason:ident => $signal:ident;)*) => {$(
        #[test]
        fn $name() {
            let report = CallReport {
                refusal: Some(RefusalReason::$reason),
                ..report(Outcome::NotRun, 0)
            };
            assert_eq!(report.health_signal(), HealthSignal::$signal);
        }
    )*};
}

refusal_sign! {
    leaving_daemon_is_turned_away_from: Draining => Failure;
    daemon_that_may_not_serve_is_turned_away_from: NotServing => Failure;
    daemon_without_its_server_is_turned_away_from: NoBackendServer => Failure;
    unreachable_daemon_is_turned_away_from: Unreachable => Failure;
    full_daemon_is_no_failure: Overloaded => Neutral;
    late_request_is_no_failure: Deadline => Neutral;
}
