//! Tests of routing. See docs/design/routing.md.

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

/// Creates a view of backend servers 1 to `hosts`, in one data centre and after their warm-up.
fn warm_view(hosts: u16, now: Instant) -> View {
    let list = (1..=hosts)
        .map(|host| endpoint(host, "depot", long_ago(now)))
        .collect();
    view(list, config(vec![]))
}

/// Fails all calls to the first backend server.
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

/// Makes `times` calls in sequence, each with the result of `outcome`, and counts them by address.
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

/// Returns a join time after which every warm-up has ended.
fn long_ago(now: Instant) -> Instant {
    now.checked_sub(60 * SECOND).unwrap()
}

#[test]
fn own_data_centre_is_preferred() {
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
fn requests_spill_to_the_own_region_when_the_data_centre_is_full() {
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
fn draining_gets_no_calls_and_suspect_only_without_alternatives() {
    let now = Instant::now();
    let with = |states: [EndpointState; 2]| {
        let hosts = states.into_iter().zip([1, 2]);
        let list = hosts.map(|(state, host)| Endpoint {
            state,
            ..endpoint(host, "depot", long_ago(now))
        });
        view(list.collect(), config(vec![]))
    };
    let one_ready = with([EndpointState::Suspect, EndpointState::Ready]);
    let counts = call(&mut router(1), &one_ready, 50, now, |_| Outcome::Answered);
    assert_eq!(counts, BTreeMap::from([(address(2), 50)]));
    let one_suspect = with([EndpointState::Suspect, EndpointState::Draining]);
    let counts = call(&mut router(1), &one_suspect, 50, now, |_| Outcome::Answered);
    assert_eq!(counts, BTreeMap::from([(address(1), 50)]));
    let none = with([EndpointState::Draining; 2]);
    let refusal = router(1).pick(&none, &service(), &[], now).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::NoBackendServer);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn excluded_backend_server_is_not_chosen() {
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
fn backend_server_in_warm_up_gets_fewer_calls() {
    let now = Instant::now();
    let list = vec![
        endpoint(1, "depot", long_ago(now)),
        endpoint(2, "depot", now.checked_sub(SECOND).unwrap()),
    ];
    let view = view(list, config(vec![]));
    let mut router = router(3);
    // During warm-up, a backend server with one request in flight counts as full.
    let mut counts = BTreeMap::new();
    for _ in 0..5 {
        let chosen = pick(&mut router, &view, now).unwrap();
        router.started(&chosen, now);
        *counts.entry(chosen.instance.address).or_insert(0) += 1;
    }
    assert!(counts[&address(1)] >= 4, "{counts:?}");
}

#[test]
fn failing_calls_override_the_health_endpoint() {
    let now = Instant::now();
    let view = warm_view(4, now);
    let mut router = router(5);
    let counts = call(&mut router, &view, 400, now, fails_at_first);
    assert_eq!(counts[&address(1)], 5, "{counts:?}");
    // After the ejection, one trial call fails, and the next ejection lasts twice as long.
    let later = now + 6 * SECOND;
    let counts = call(&mut router, &view, 400, later, fails_at_first);
    assert_eq!(counts[&address(1)], 1, "{counts:?}");
    let counts = call(&mut router, &view, 400, later + 6 * SECOND, fails_at_first);
    assert_eq!(counts.get(&address(1)), None, "{counts:?}");
    // A successful trial call ends the ejection.
    let counts = call(&mut router, &view, 400, later + 11 * SECOND, |_| {
        Outcome::Answered
    });
    assert!(counts[&address(1)] > 50, "{counts:?}");
}

#[test]
fn only_one_trial_call_runs_at_a_time() {
    let now = Instant::now();
    let view = warm_view(2, now);
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
fn at_most_half_of_the_backend_servers_are_ejected() {
    let now = Instant::now();
    let view = warm_view(5, now);
    let mut router = router(7);
    call(&mut router, &view, 500, now, |_| Outcome::Unknown);
    let counts = call(&mut router, &view, 500, now, |_| Outcome::Unknown);
    assert_eq!(counts.len(), 3, "{counts:?}");
}

#[test]
fn the_only_backend_server_is_never_ejected() {
    let now = Instant::now();
    let view = view(vec![endpoint(1, "depot", long_ago(now))], config(vec![]));
    let counts = call(&mut router(1), &view, 100, now, |_| Outcome::Unknown);
    assert_eq!(counts[&address(1)], 100);
}

#[test]
fn refusals_because_of_overload_do_not_eject() {
    let now = Instant::now();
    let view = warm_view(4, now);
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
fn restart_discards_the_ejection() {
    let now = Instant::now();
    let list = |incarnation| {
        let mut first = endpoint(1, "depot", long_ago(now));
        first.instance = common::instance(1, incarnation);
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
    let view = warm_view(4, now);
    let (centre, region) = ("depot".parse().unwrap(), "dyfed".parse().unwrap());
    let rng = ChaCha8Rng::seed_from_u64(1);
    let mut router = Router::new(centre, region, Box::new(RoundRobin::default()), rng);
    let counts = call(&mut router, &view, 40, now, |_| Outcome::Answered);
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

macro_rules! refusal_signal {
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

refusal_signal! {
    draining_counts_as_failure: Draining => Failure;
    not_serving_counts_as_failure: NotServing => Failure;
    missing_backend_server_counts_as_failure: NoBackendServer => Failure;
    unreachable_counts_as_failure: Unreachable => Failure;
    overload_is_neutral: Overloaded => Neutral;
    passed_deadline_is_neutral: Deadline => Neutral;
}
