//! Tests of the retry policy and of retry amplification. See docs/design/retries.md.

use marigold_request::retry::{Attempt, Decision, RetryPolicy};
use marigold_request::{Refusal, RefusalReason};
use marigold_types::{Interval, Outcome};

const HOPS: usize = 7;
const MAX_ATTEMPTS: u8 = 3;
const CALLS: u64 = 1_000;

fn lost() -> Attempt {
    Attempt {
        number: 0,
        inherited: 0,
        outcome: Outcome::Unknown,
        refusal: None,
        idempotent: true,
        keyed: false,
        left: Interval::from_millis(1_000),
    }
}

fn refused(reason: RefusalReason) -> Attempt {
    Attempt {
        outcome: Outcome::NotRun,
        refusal: Some(Refusal::permanent(reason)),
        idempotent: false,
        ..lost()
    }
}

macro_rules! decides {
    ($($name:ident: $attempt:expr => $decision:ident;)*) => {$(
        #[test]
        fn $name() {
            let decision = RetryPolicy::new(10, MAX_ATTEMPTS).decide(&$attempt);
            assert_eq!(decision, Decision::$decision);
        }
    )*};
}

decides! {
    unknown_idempotent: lost() => Retry;
    unknown_not_idempotent: Attempt { idempotent: false, ..lost() } => GiveUp;
    unknown_retry_by_an_earlier_hop: Attempt { inherited: 1, ..lost() } => GiveUp;
    unknown_keyed: Attempt { keyed: true, ..lost() } => GiveUp;
    answered: Attempt { outcome: Outcome::Answered, ..lost() } => GiveUp;
    last_attempt: Attempt { number: MAX_ATTEMPTS - 1, ..lost() } => GiveUp;
    no_time_left: Attempt { left: Interval::from_millis(1), ..lost() } => GiveUp;
    overloaded: refused(RefusalReason::Overloaded) => Retry;
    draining: refused(RefusalReason::Draining) => Retry;
    unreachable: refused(RefusalReason::Unreachable) => Retry;
    overloaded_retry_by_an_earlier_hop: Attempt { inherited: 1, ..refused(RefusalReason::Overloaded) } => Retry;
    limited: refused(RefusalReason::Limited) => GiveUp;
    quarantined: refused(RefusalReason::Quarantined) => GiveUp;
    keyed_refusal: Attempt { keyed: true, ..refused(RefusalReason::Draining) } => GiveUp;
}

#[test]
fn budget_of_zero_percent_allows_no_retry() {
    assert_eq!(
        RetryPolicy::new(0, MAX_ATTEMPTS).decide(&lost()),
        Decision::GiveUp
    );
}

/// How requests are retried at each hop.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// Each hop retries independently.
    Naive,
    /// Only the budget applies: a retry by an earlier hop counts as a first attempt.
    Budget,
    /// The full policy applies.
    Policy,
}

/// Runs one call through the hops from `hop` on, all of which fail, and counts the runs at the last
/// one.
///
/// This is the worst case: a failure at each hop looks like a lost answer to the previous one.
fn run(hop: usize, inherited: u8, rule: Rule, policies: &mut [RetryPolicy]) -> u64 {
    if hop == HOPS {
        return 1;
    }
    let visible = if rule == Rule::Policy { inherited } else { 0 };
    policies[hop].started(visible);
    let mut runs = 0;
    for number in 0..MAX_ATTEMPTS {
        let forwarded = inherited.max(number);
        runs += run(hop + 1, forwarded, rule, policies);
        let attempt = Attempt {
            number,
            inherited: visible,
            ..lost()
        };
        let is_last = number + 1 == MAX_ATTEMPTS;
        let retries = match rule {
            Rule::Naive => !is_last,
            Rule::Budget | Rule::Policy => policies[hop].decide(&attempt) == Decision::Retry,
        };
        if !retries {
            break;
        }
    }
    runs
}

/// Returns the runs at the last hop per hundred calls, with every run failing.
fn amplification(rule: Rule) -> u64 {
    let mut policies = [RetryPolicy::new(10, MAX_ATTEMPTS); HOPS];
    let runs: u64 = (0..CALLS).map(|_| run(0, 0, rule, &mut policies)).sum();
    runs * 100 / CALLS
}

#[test]
fn retries_are_not_multiplied_over_seven_hops() {
    let naive = amplification(Rule::Naive);
    let budget = amplification(Rule::Budget);
    let policy = amplification(Rule::Policy);
    println!("runs per hundred calls: naive {naive}, budget {budget}, policy {policy}");
    assert_eq!(naive, 100 * u64::from(MAX_ATTEMPTS).pow(7));
    // One retry at one hop, for a tenth of the traffic at each; never a product over the hops.
    assert!(policy <= 100 + 7 * 10 + 10, "{policy}");
    assert!(policy < budget, "{policy} {budget}");
}
