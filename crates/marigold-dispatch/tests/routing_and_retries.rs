//! Route lookup, traffic splitting, retry budgets and shutdown.

mod common;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use common::{kind, ms, service};
use marigold_dispatch::{
    CallerLimits, Rank, RequestOrigin, RetryBudget, RetryRequest, RoutePolicy, RouteTable,
    Shutdown, ShutdownStage, Target, WeightedRoundRobin,
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

/// Each test gives the time since the signal in milliseconds, the number of requests in flight, the time since the
/// last request in milliseconds, and the expected stage.
macro_rules! shutdown_tests {
    ($($name:ident: $elapsed:literal, $in_flight:literal, $quiet:literal => $stage:ident;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let begin = Instant::now() + ms(100_000);
            let now = begin + ms($elapsed);
            let mut shutdown = Shutdown::default();
            shutdown.begin(begin);
            let stage = shutdown.stage(ms(6_000), $in_flight, now - ms($quiet), now);
            assert_eq!(stage, ShutdownStage::$stage);
        }
    )*};
}

shutdown_tests! {
    accepts_requests_at_first: 100, 0, 100 => Draining;
    keeps_draining_before_half_of_the_grace_period: 2_900, 0, 2_000 => Draining;
    refuses_after_half_of_the_grace_period: 3_100, 1, 10 => Refusing;
    ends_after_the_quiet_period: 3_400, 0, 400 => Ended;
    waits_for_requests_in_flight: 5_000, 2, 3_000 => Refusing;
    concludes_requests_in_flight_while_responses_can_be_sent: 5_200, 2, 3_000 => Concluding;
    ends_before_the_grace_period_is_over: 5_750, 2, 0 => Ended;
}

#[tokio::test(start_paused = true)]
async fn requests_are_accepted_for_half_of_a_long_grace_period() {
    let begin = Instant::now();
    let mut shutdown = Shutdown::default();
    shutdown.begin(begin);
    let now = begin + ms(3_100);
    assert_eq!(
        shutdown.stage(ms(20_000), 1, now, now),
        ShutdownStage::Refusing
    );
}

#[tokio::test(start_paused = true)]
async fn serving_without_a_signal() {
    let now = Instant::now();
    assert_eq!(
        Shutdown::default().stage(ms(6_000), 0, now, now),
        ShutdownStage::Serving
    );
}
