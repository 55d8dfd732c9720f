//! Route lookup, traffic splitting, retry budgets and shutdown.

mod common;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use common::{kind, ms, service};
use marigold_dispatch::{
    CallerLimits, NewRun, OpenWork, Rank, RequestOrigin, RetryBudget, RetryRequest, RoutePolicy,
    RouteTable, Shutdown, ShutdownStage, Target, WeightedRoundRobin,
};
use marigold_types::Version;
use quickcheck::quickcheck;
use tokio::time::Instant;

fn route(name: &str, host: &str, prefix: &str) -> RoutePolicy {
    RoutePolicy {
        kind: kind(name),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        idempotent: true,
        timeout: ms(1_000),
        objective: ms(200),
        rank: Rank(1),
        attempts: 2,
        is_open: false,
        targets: targets(&[1]),
    }
}

fn targets(weights: &[u32]) -> Vec<Target> {
    let target = |weight: &u32| Target {
        service: service("desk"),
        weight: *weight,
    };
    weights.iter().map(target).collect()
}

fn table() -> RouteTable {
    let routes = vec![
        route("short", "git.example", "/a/"),
        route("long", "git.example", "/a/b/"),
        route("root", "other.example", "/"),
    ];
    let limits = CallerLimits::default();
    RouteTable::new(Version(3), routes, HashMap::new(), limits)
}

/// Each test looks up a host and a path and checks the route found.
macro_rules! route_tests {
    ($($name:ident: $host:literal, $path:literal => $route:expr;)*) => {$(
        #[test]
        fn $name() {
            let table = table();
            let found = table.find($host, $path).map(|route| route.kind.to_string());
            assert_eq!(found.as_deref(), $route);
        }
    )*};
}

route_tests! {
    matching_prefix: "git.example", "/a/x" => Some("short");
    longest_prefix: "git.example", "/a/b/x" => Some("long");
    path_equal_to_prefix: "git.example", "/a/b/" => Some("long");
    prefix_without_trailing_slash: "git.example", "/a/b" => Some("short");
    prefix_of_a_segment_does_not_match: "git.example", "/ab/x" => None;
    query_is_ignored: "git.example", "/a/x?from=/a/b/c" => Some("short");
    port_is_ignored: "git.example:8080", "/a/x" => Some("short");
    host_is_case_insensitive: "GIT.example", "/a/x" => Some("short");
    unknown_host: "no.example", "/a/x" => None;
    root_prefix: "other.example", "/anything" => Some("root");
}

quickcheck! {
    /// After any number of requests, each target is off its exact share by less than one request.
    fn shares_are_exact_within_one_request(first: u8, second: u8, count: u8) -> bool {
        let weights = [u32::from(first) + 1, u32::from(second) + 1];
        let targets = targets(&weights);
        let mut balancer = WeightedRoundRobin::default();
        let mut got = [0_f64; 2];
        for _ in 0..count {
            if let Some(index) = balancer.next(&targets) {
                got[index] += 1.0;
            }
        }
        let total: u32 = weights.iter().sum();
        let due = f64::from(count) * f64::from(weights[0]) / f64::from(total);
        (got[0] - due).abs() < 1.0
    }
}

#[test]
fn single_target_gets_all_requests() {
    assert_eq!(WeightedRoundRobin::default().next(&targets(&[0])), Some(0));
    assert_eq!(WeightedRoundRobin::default().next(&[]), None);
}

/// Every request fails once: the retries of ten daemons stay below their shared limit.
#[tokio::test(start_paused = true)]
async fn retries_stay_below_the_shared_limit() {
    const DAEMONS: usize = 10;
    const SLACK: f64 = 60.0;
    const RATIO: f64 = 0.2;
    let window = Duration::from_secs(10);
    let mut budgets = vec![RetryBudget::new(window, RATIO); DAEMONS];
    let mut times = Vec::new();
    for step in 0..3_000_u32 {
        let now = Instant::now();
        let index = usize::try_from(step).expect("fits") % DAEMONS;
        budgets[index].record_request(RequestOrigin::Caller, now);
        #[expect(clippy::cast_precision_loss, reason = "a small number")]
        let slack = SLACK / DAEMONS as f64;
        let request = RetryRequest {
            rank: Rank(1),
            returns: 0,
        };
        if budgets[index].try_spend(slack, request, now) {
            times.push(now);
        }
        tokio::time::advance(ms(10)).await;
    }
    // There are 1,000 requests in any window.
    let limit = RATIO * 1_000.0 + SLACK;
    for (first, from) in times.iter().enumerate() {
        let count = times[first..]
            .iter()
            .take_while(|at| **at < *from + window)
            .count();
        assert!(f64::from(u32::try_from(count).expect("fits")) <= limit);
    }
    assert!(!times.is_empty());
}

/// Returns `open` requests in flight, `early` of them accepted while every request was.
fn work(early: usize, open: usize, changed_at: Instant) -> OpenWork {
    let mut work = OpenWork::default();
    for number in 0..open {
        work.start(number < early, ms(500), changed_at);
    }
    if open == 0 {
        work.start(true, ms(500), changed_at);
        work.end(true, changed_at);
    }
    work
}

/// Each test gives the time since the signal in milliseconds, the number of requests in flight and those of them that were
/// accepted early, the time since the last one was accepted in milliseconds, and the expected stage.
macro_rules! shutdown_tests {
    ($($name:ident: $elapsed:literal, $in_flight:literal ($early:literal early), $quiet:literal => $stage:ident;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let begin = Instant::now() + ms(100_000);
            let now = begin + ms($elapsed);
            let mut shutdown = Shutdown::default();
            shutdown.begin(begin);
            shutdown.close(begin + ms(3_000));
            let stage = shutdown.stage(ms(6_000), work($early, $in_flight, now - ms($quiet)), now);
            assert_eq!(stage, ShutdownStage::$stage);
        }
    )*};
}

shutdown_tests! {
    accepts_requests_at_first: 100, 0 (0 early), 100 => Draining;
    keeps_draining_before_half_of_the_grace_period: 2_900, 0 (0 early), 2_000 => Draining;
    refuses_after_half_of_the_grace_period: 3_100, 1 (0 early), 10 => Refusing;
    ends_after_the_quiet_period: 3_400, 0 (0 early), 400 => Ended;
    waits_for_requests_in_flight: 5_000, 2 (0 early), 3_000 => Refusing;
    stays_for_requests_accepted_early: 5_000, 2 (1 early), 3_000 => Finishing;
    stays_after_the_last_request_has_ended: 3_400, 0 (0 early), 200 => Refusing;
    concludes_requests_in_flight_while_responses_can_be_sent: 5_200, 2 (2 early), 3_000 => Concluding;
    ends_before_the_grace_period_is_over: 5_750, 2 (2 early), 0 => Ended;
}

#[tokio::test(start_paused = true)]
async fn requests_are_accepted_for_half_of_a_long_grace_period() {
    let begin = Instant::now();
    let mut shutdown = Shutdown::default();
    shutdown.begin(begin);
    let now = begin + ms(3_100);
    assert_eq!(
        shutdown.stage(ms(20_000), work(0, 1, now), now),
        ShutdownStage::Refusing
    );
}

#[tokio::test(start_paused = true)]
async fn serving_without_a_signal() {
    let now = Instant::now();
    assert_eq!(
        Shutdown::default().stage(ms(6_000), OpenWork::default(), now),
        ShutdownStage::Serving
    );
}

/// Each test gives the time since the signal and the longest run time of the kind in milliseconds, whether it is
/// idempotent, and whether a daemon that waits for an early request accepts it.
macro_rules! new_run_tests {
    ($($name:ident: $elapsed:literal, $longest:expr, $idempotent:literal => $admitted:literal;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let begin = Instant::now();
            let mut shutdown = Shutdown::default();
            shutdown.begin(begin);
            let now = begin + ms($elapsed);
            let run = NewRun {
                expected: ms(500),
                longest: $longest.map(ms),
                idempotent: $idempotent,
            };
            let mut early = OpenWork::default();
            early.start(true, ms(8_000), begin);
            assert_eq!(shutdown.admits(ms(10_000), early, run, now), $admitted);
            // Without an early request, there is nothing to stay for.
            let mut late = OpenWork::default();
            late.start(false, ms(8_000), begin);
            assert!(!shutdown.admits(ms(10_000), late, run, now) || $elapsed < 3_000);
        }
    )*};
}

new_run_tests! {
    accepts_any_run_at_first: 2_900, None, false => true;
    accepts_a_short_run_while_it_stays: 3_100, Some(2_500), true => true;
    refuses_a_run_that_may_outlast_the_grace_period: 3_100, Some(3_100), true => false;
    refuses_a_short_run_late: 7_000, Some(1_100), true => false;
    accepts_a_short_run_that_may_run_once: 3_100, Some(1_700), false => true;
    refuses_a_run_that_may_run_once_and_has_less_margin: 3_100, Some(2_500), false => false;
    refuses_a_run_of_unknown_length: 3_100, None, true => false;
    refuses_every_run_once_requests_are_concluded: 9_200, Some(0), true => false;
}

#[tokio::test(start_paused = true)]
async fn refuses_a_run_that_outlasts_what_the_daemon_stays_for() {
    let begin = Instant::now();
    let mut shutdown = Shutdown::default();
    shutdown.begin(begin);
    let mut work = OpenWork::default();
    work.start(true, ms(3_400), begin);
    let now = begin + ms(3_100);
    let admits = |expected| {
        let run = NewRun {
            expected: ms(expected),
            longest: Some(ms(600)),
            idempotent: true,
        };
        shutdown.admits(ms(10_000), work, run, now)
    };
    assert!(admits(250));
    assert!(!admits(350));
}

#[tokio::test(start_paused = true)]
async fn exits_only_after_other_daemons_have_heard_that_calls_are_refused() {
    let begin = Instant::now();
    let mut shutdown = Shutdown::default();
    shutdown.begin(begin);
    let work = OpenWork::default();
    let stage = |shutdown: &Shutdown, at| shutdown.stage(ms(6_000), work, begin + ms(at));
    assert_eq!(stage(&shutdown, 3_500), ShutdownStage::Refusing);
    shutdown.close(begin + ms(3_050));
    assert_eq!(stage(&shutdown, 3_300), ShutdownStage::Refusing);
    assert_eq!(stage(&shutdown, 3_350), ShutdownStage::Ended);
}

/// Each test tells a daemon to stop at the given times in milliseconds, and checks that the first signal decides when
/// requests in flight are concluded, when they have second attempts and when the process exits.
macro_rules! signal_tests {
    ($($name:ident: $grace:literal, [$($signal:literal),*];)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let grace = ms($grace);
            let begin = Instant::now();
            let mut shutdown = Shutdown::default();
            for signal in [$($signal),*] {
                shutdown.begin(begin + ms(signal));
            }
            let concludes_at = shutdown.concludes_at(grace).expect("a shutdown");
            // The platform ends the process when the grace period after the first signal is over.
            let time_left = begin + grace - concludes_at;
            assert!(time_left > Duration::ZERO && time_left <= ms(900), "{time_left:?}");
            let second_at = shutdown.second_attempt_at(grace, ms(1_000)).expect("a shutdown");
            assert_eq!(concludes_at - second_at, ms(2_000));
            let open = work(1, 1, begin);
            let stage = |at| shutdown.stage(grace, open, at);
            assert_eq!(stage(concludes_at - ms(1)), ShutdownStage::Finishing);
            assert_eq!(stage(concludes_at), ShutdownStage::Concluding);
            assert_eq!(stage(begin + grace), ShutdownStage::Ended);
        }
    )*};
}

signal_tests! {
    one_signal: 10_000, [0];
    second_signal_shortly_after_the_first: 10_000, [0, 20];
    second_signal_while_responses_are_awaited: 10_000, [0, 6_300];
    second_signal_as_requests_are_concluded: 10_000, [0, 9_200];
    three_signals: 10_000, [0, 3_100, 9_000];
    three_signals_in_a_short_grace_period: 6_000, [0, 2_900, 5_000];
}

#[tokio::test(start_paused = true)]
async fn long_run_has_its_second_attempt_at_the_signal() {
    let begin = Instant::now();
    let mut shutdown = Shutdown::default();
    assert_eq!(shutdown.second_attempt_at(ms(6_000), ms(1)), None);
    shutdown.begin(begin);
    assert_eq!(
        shutdown.second_attempt_at(ms(6_000), ms(9_000)),
        Some(begin)
    );
}

/// Each test gives the time since the signal and the mean run time of what is in flight in milliseconds, and when a daemon
/// with a grace period of 10 s is expected back.
macro_rules! back_after_tests {
    ($($name:ident: $elapsed:literal, $run:literal => $back:literal;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let begin = Instant::now();
            let mut shutdown = Shutdown::default();
            shutdown.begin(begin);
            let now = begin + ms($elapsed);
            let mut work = OpenWork::default();
            work.start(true, ms($run), now);
            assert_eq!(shutdown.back_after(ms(10_000), work, now), ms($back));
        }
    )*};
}

back_after_tests! {
    daemon_without_work_is_back_after_its_restart: 3_000, 0 => 1_500;
    daemon_is_back_after_the_last_of_its_runs: 3_000, 2_000 => 4_500;
    daemon_is_back_after_the_grace_period_at_the_latest: 3_000, 20_000 => 8_200;
}
