//! Error budgets and burn rates. See docs/design/burn.md.

mod common;

use std::time::Duration;

use common::{SECOND, config, interval, ms, objective, service};
use marigold_config::Config;
use marigold_request::RefusalReason;
use marigold_request::burn::{BurnCounters, BurnReport, CallEnd, Cause};
use marigold_types::{Class, Outcome};
use tokio::time::Instant;

const HOUR: Duration = Duration::from_hours(1);

/// Declares that 99% of calls are answered and 90% within 100 ms, over one day.
fn declared_config() -> Config {
    config(vec![objective(990_000, 900_000)])
}

fn counters(centre: &str, now: Instant) -> BurnCounters {
    let mut counters = BurnCounters::new(centre.parse().unwrap(), now);
    counters.set_config(&declared_config(), now);
    counters
}

fn answered(elapsed: u64) -> CallEnd {
    CallEnd {
        outcome: Outcome::Answered,
        status: Some(200),
        refusal: None,
        elapsed: ms(elapsed),
    }
}

fn not_run(reason: RefusalReason) -> CallEnd {
    CallEnd {
        outcome: Outcome::NotRun,
        status: None,
        refusal: Some(reason),
        elapsed: ms(1),
    }
}

fn count(counters: &mut BurnCounters, times: u32, end: CallEnd, now: Instant) {
    for _ in 0..times {
        counters.count(&service(), Class::Interactive, &end, now);
    }
}

fn near(actual: Option<f64>, expected: f64) -> bool {
    actual.is_some_and(|actual| (actual - expected).abs() < 1e-6)
}

#[test]
fn burn_rate_is_relative_to_the_budget() {
    let now = Instant::now();
    let mut counters = counters("depot", now);
    count(&mut counters, 980, answered(5), now);
    count(&mut counters, 20, not_run(RefusalReason::Overloaded), now);
    let report = counters.report(now);
    let burn = &report.services[0];
    assert!(near(
        burn.total.short.availability_rate(&burn.objective),
        2.0
    ));
    assert!(near(burn.availability_left(), -1.0));
    assert!(near(burn.latency_left(), 0.8));
    assert_eq!(
        burn.main_cause().unwrap().cause,
        Cause::NotRun(RefusalReason::Overloaded)
    );
}

macro_rules! counts {
    ($($name:ident: $end:expr => $calls:literal $bad:literal $slow:literal;)*) => {$(
        #[test]
        fn $name() {
            let now = Instant::now();
            let mut counters = counters("depot", now);
            count(&mut counters, 1, $end, now);
            let tally = counters.report(now).services[0].total.whole;
            assert_eq!((tally.calls, tally.bad, tally.slow), ($calls, $bad, $slow));
        }
    )*};
}

counts! {
    fast_answer: answered(100) => 1 0 0;
    slow_answer: answered(101) => 1 0 1;
    client_error: CallEnd { status: Some(404), ..answered(1) } => 1 0 0;
    failed_answer: CallEnd { status: Some(500), ..answered(1) } => 1 1 1;
    lost_answer: CallEnd { outcome: Outcome::Unknown, status: None, ..answered(1) } => 1 1 1;
    refused: not_run(RefusalReason::NoBackendServer) => 1 1 1;
    cancelled_by_caller: not_run(RefusalReason::Cancelled) => 0 0 0;
    invalid_key: not_run(RefusalReason::KeyInvalid) => 0 0 0;
}

#[test]
fn old_calls_leave_the_windows() {
    let now = Instant::now();
    let mut counters = counters("depot", now);
    count(&mut counters, 10, not_run(RefusalReason::Overloaded), now);
    let tallies = |counters: &mut BurnCounters, after: Duration| {
        let total = counters.report(now + after).services[0].total;
        (total.short.bad, total.long.bad, total.whole.bad)
    };
    assert_eq!(tallies(&mut counters, SECOND), (10, 10, 10));
    assert_eq!(tallies(&mut counters, 10 * 60 * SECOND), (0, 10, 10));
    assert_eq!(tallies(&mut counters, 2 * HOUR), (0, 0, 10));
    assert_eq!(tallies(&mut counters, 25 * HOUR), (0, 0, 0));
    // After a large clock jump the windows are empty and counting continues.
    let far = now + 1_000 * HOUR;
    count(&mut counters, 3, answered(1), far);
    assert_eq!(counters.report(far).services[0].total.short.calls, 3);
}

#[test]
fn budget_is_absent_without_traffic() {
    let now = Instant::now();
    let report = counters("depot", now).report(now + SECOND);
    let burn = &report.services[0];
    assert!(burn.has_no_traffic());
    assert_eq!(burn.availability_left(), None);
    assert_eq!(burn.latency_left(), None);
    assert_eq!(burn.worst_centre(), None);
}

#[test]
fn coverage_is_partial_after_a_restart() {
    let now = Instant::now();
    let mut counters = counters("depot", now);
    let report = counters.report(now + 60 * SECOND);
    assert!(report.services[0].is_partial());
    assert_eq!(report.services[0].covered, interval(60_000));
    assert_eq!(report.youngest, interval(60_000));
    let report = counters.report(now + 24 * HOUR);
    assert!(!report.services[0].is_partial());
}

#[test]
fn reports_of_daemons_are_added() {
    let now = Instant::now();
    let mut depot = counters("depot", now);
    let mut yard = counters("yard", now + HOUR);
    let later = now + 2 * HOUR;
    count(&mut depot, 900, answered(1), later);
    count(&mut yard, 80, answered(1), later);
    count(&mut yard, 20, not_run(RefusalReason::Draining), later);
    let mut all = BurnReport::default();
    all.merge(&depot.report(later));
    all.merge(&yard.report(later));
    all.add_missing();
    assert_eq!((all.daemons, all.missing), (2, 1));
    assert_eq!(all.youngest, interval(3_600_000));
    let burn = &all.services[0];
    assert_eq!(burn.total.whole.calls, 1_000);
    assert_eq!(burn.covered, interval(3_600_000));
    let (worst, rate) = burn.worst_centre().unwrap();
    assert_eq!(worst.as_str(), "yard");
    assert!(near(Some(rate), 20.0), "{rate}");
    assert_eq!(burn.classes[&Class::Interactive].whole.bad, 20);
}

#[test]
fn counts_for_different_objectives_stay_separate() {
    let now = Instant::now();
    let mut one = counters("depot", now);
    let mut other = BurnCounters::new("yard".parse().unwrap(), now);
    other.set_config(&config(vec![objective(999_000, 900_000)]), now);
    let mut all = one.report(now);
    all.merge(&other.report(now));
    assert_eq!(all.services.len(), 2);
}

#[test]
fn only_declared_services_are_counted() {
    let now = Instant::now();
    let mut counters = counters("depot", now);
    for number in 0..1_000 {
        let name = format!("stray-{number}").parse().unwrap();
        counters.count(&name, Class::Batch, &answered(1), now);
    }
    assert_eq!(counters.report(now).services.len(), 1);
    counters.set_config(&config(vec![]), now);
    assert!(counters.report(now).services.is_empty());
}

#[test]
fn report_round_trips_through_json() {
    let now = Instant::now();
    let mut counters = counters("depot", now);
    count(&mut counters, 2, not_run(RefusalReason::Overloaded), now);
    let report = counters.report(now);
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<BurnReport>(&text).unwrap(), report);
}
