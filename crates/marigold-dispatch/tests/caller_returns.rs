//! Matching of requests with earlier refusals, and the order in which a budget grants retries.

mod common;

use std::time::Duration;

use common::{kind, ms};
use marigold_dispatch::{CallerReturns, Rank, RequestOrigin, RetryBudget, RetryRequest};
use tokio::time::{Instant, advance};

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;

fn request(rank: u8, returns: u8) -> RetryRequest {
    RetryRequest {
        rank: Rank(rank),
        returns,
    }
}

/// Each test gives how far the deadline of the second request is from that of a refused one, in milliseconds, and how
/// often its caller is found to have come back.
macro_rules! match_tests {
    ($($name:ident: $off:literal => $returns:literal;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let mut callers = CallerReturns::default();
            let deadline = Instant::now() + ms(1_000);
            callers.record_refusal(&kind("read"), deadline, 1);
            let returns = callers.record_return(&kind("read"), deadline + ms($off));
            assert_eq!(returns, $returns);
            // A refusal is matched once.
            assert_eq!(callers.record_return(&kind("read"), deadline), 2 - $returns);
        }
    )*};
}

match_tests! {
    same_deadline_is_a_return: 0 => 2;
    deadline_within_network_variation_is_a_return: 9 => 2;
    other_deadline_is_no_return: 30 => 0;
}

#[tokio::test(start_paused = true)]
async fn callers_and_backend_servers_are_told_apart() {
    let mut callers = CallerReturns::default();
    assert_eq!(callers.origin(&kind("read")), RequestOrigin::Unknown);
    for number in 0..20 {
        let deadline = Instant::now() + ms(1_000 + 50 * number);
        callers.record_refusal(&kind("read"), deadline, 0);
        callers.record_refusal(&kind("call"), deadline, 0);
        callers.record_return(&kind("read"), deadline);
    }
    assert_eq!(callers.origin(&kind("read")), RequestOrigin::Caller);
    assert_eq!(callers.origin(&kind("call")), RequestOrigin::BackendServer);
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
