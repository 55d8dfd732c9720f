//! Matching of requests with earlier attempts of their callers, and the order in which a budget grants retries.

mod common;

use std::time::Duration;

use common::{kind, ms};
use marigold_dispatch::{
    CallerReturn, CallerReturns, CallerTimeouts, Rank, RefusedAttempt, RequestMark, RequestOrigin,
    RetryBudget, RetryRequest,
};
use tokio::time::{Instant, advance};

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;

fn request(rank: u8, returns: u8) -> RetryRequest {
    RetryRequest {
        rank: Rank(rank),
        returns,
    }
}

fn mark(number: u64) -> RequestMark {
    RequestMark::new("GET", &format!("/read/{number}"), 0)
}

fn refused(number: u64, deadline: Instant) -> RefusedAttempt {
    RefusedAttempt {
        mark: mark(number),
        first_at: Instant::now(),
        deadline,
        returns: 1,
    }
}

/// Each test gives the number and how far the deadline of the second request is from that of a refused one with number
/// 7, in milliseconds, and whether it is found to be the same request.
macro_rules! match_tests {
    ($($name:ident: $number:literal, $off:literal => $is_return:literal;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let mut callers = CallerReturns::default();
            let first_at = Instant::now();
            let deadline = first_at + ms(1_000);
            callers.record_refusal(&kind("read"), refused(7, deadline));
            advance(ms(80)).await;
            let found = callers.take_return(&kind("read"), mark($number), deadline + ms($off));
            let expected = CallerReturn { first_at, returns: 2 };
            assert_eq!(found, $is_return.then_some(expected));
            // An attempt is matched once.
            let again = callers.take_return(&kind("read"), mark(7), deadline);
            assert_eq!(again.is_some(), !$is_return);
        }
    )*};
}

match_tests! {
    same_deadline_is_a_return: 7, 0 => true;
    deadline_within_network_variation_is_a_return: 7, 200 => true;
    other_deadline_is_no_return: 7, 300 => false;
    other_request_with_the_same_deadline_is_no_return: 8, 0 => false;
}

#[tokio::test(start_paused = true)]
async fn callers_and_backend_servers_are_told_apart() {
    let mut callers = CallerReturns::default();
    assert_eq!(callers.origin(&kind("read")), RequestOrigin::Unknown);
    for number in 0..20 {
        let deadline = Instant::now() + ms(1_000 + 50 * number);
        callers.record_refusal(&kind("read"), refused(number, deadline));
        callers.record_refusal(&kind("call"), refused(number, deadline));
        callers.take_return(&kind("read"), mark(number), deadline);
    }
    assert_eq!(callers.origin(&kind("read")), RequestOrigin::Caller);
    assert_eq!(callers.origin(&kind("call")), RequestOrigin::BackendServer);
}

/// Each test gives the timeouts of callers of a kind, of which the last is looked at, and how long that caller is found
/// to have waited, in milliseconds.
macro_rules! timeout_tests {
    ($($name:ident: $timeouts:expr => $waited:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut timeouts = CallerTimeouts::default();
            let waited = $timeouts
                .into_iter()
                .map(|timeout| timeouts.already_waited(&kind("read"), ms(timeout)));
            assert_eq!(waited.last(), Some(ms($waited)));
        }
    )*};
}

timeout_tests! {
    first_caller_has_not_waited: [900] => 0;
    timeouts_that_differ_a_little_say_nothing: [2_000, 1_700, 1_850, 1_720] => 0;
    much_shorter_timeout_shows_a_wait: [2_000, 1_000] => 1_000;
    exceptionally_long_timeout_is_forgotten: std::iter::once(10_000).chain([2_000; 300]) => 0;
}

/// Of two that ask equally often for more than there is, the more urgent gets nearly all it asks for.
async fn granted(first: RetryRequest, second: RetryRequest) -> (u32, u32) {
    let mut budget = RetryBudget::new(WINDOW, RATIO);
    let mut counts = (0, 0);
    for _ in 0..800 {
        let now = Instant::now();
        for _ in 0..10 {
            budget.record_request(RequestOrigin::Caller, now);
        }
        counts.1 += u32::from(budget.try_spend(0.0, second, now));
        counts.0 += u32::from(budget.try_spend(0.0, first, now));
        advance(ms(10)).await;
    }
    counts
}

#[tokio::test(start_paused = true)]
async fn urgent_requests_get_retries_first() {
    let (urgent, minor) = granted(request(0, 0), request(2, 0)).await;
    assert!(urgent > 600 && minor < urgent / 2, "{urgent}, {minor}");
}

#[tokio::test(start_paused = true)]
async fn returning_callers_get_retries_first() {
    let (returning, new) = granted(request(2, 2), request(2, 0)).await;
    assert!(returning > 600 && new < returning / 2, "{returning}, {new}");
}

/// Calls of backend servers earn nothing, whoever asks.
#[tokio::test(start_paused = true)]
async fn calls_of_backend_servers_earn_no_retries() {
    let mut budget = RetryBudget::new(WINDOW, RATIO);
    for _ in 0..1_000 {
        budget.record_request(RequestOrigin::BackendServer, Instant::now());
    }
    assert!(!budget.try_spend(0.9, request(0, 2), Instant::now()));
}
