//! Which requests are sent again, and how often in all. See docs/design/retries.md.

use marigold_request::retry::{Attempt, Decision, RetryPolicy};
use marigold_request::{Refusal, RefusalReason};
use marigold_types::{Interval, Outcome};

const DEPTH: usize = 7;
const ATTEMPTS: u8 = 3;
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
            let decision = RetryPolicy::new(10, ATTEMPTS).decide(&$attempt);
            assert_eq!(decision, Decision::$decision);
        }
    )*};
}

decides! {
    unknown_idempotent: lost() => Retry;
    unknown_not_idempotent: Attempt { idempotent: false, ..lost() } => GiveUp;
    unknown_retry_from_above: Attempt { inherited: 1, ..lost() } => GiveUp;
    unknown_keyed: Attempt { keyed: true, ..lost() } => GiveUp;
    answered: Attempt { outcome: Outcome::Answered, ..lost() } => GiveUp;
    last_attempt: Attempt { number: ATTEMPTS - 1, ..lost() } => GiveUp;
    no_time_left: Attempt { left: Interval::from_millis(1), ..lost() } => GiveUp;
    overloaded: refused(RefusalReason::Overloaded) => Retry;
    draining: refused(RefusalReason::Draining) => Retry;
    unreachable: refused(RefusalReason::Unreachable) => Retry;
    overloaded_below_a_retry: Attempt { inherited: 1, ..refused(RefusalReason::Overloaded) } => Retry;
    limited: refused(RefusalReason::Limited) => GiveUp;
    quarantined: refused(RefusalReason::Quarantined) => GiveUp;
    keyed_refusal: Attempt { keyed: true, ..refused(RefusalReason::Draining) } => GiveUp;
}

#[test]
fn no_percentage_allows_no_retry() {
    assert_eq!(
        RetryPolicy::new(0, ATTEMPTS).decide(&lost()),
        Decision::GiveUp
    );
}

/// How requests are retried at each level.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// Each level retries on its own.
    Naive,
    /// The policy's budget only: a retry from above looks like a first attempt.
    Budget,
    /// The whole policy.
    Policy,
}

/// Runs one call through the levels below `level`, all of which fail, and counts the runs at the
/// last one: the worst case, in which each level's failure looks like a lost answer to the next.
fn run(level: usize, inherited: u8, rule: Rule, policies: &mut [RetryPolicy]) -> u64 {
    if level == DEPTH {
        return 1;
    }
    let seen = if rule == Rule::Policy { inherited } else { 0 };
    policies[level].started(seen);
    let mut runs = 0;
    for number in 0..ATTEMPTS {
        let handed = inherited.max(number);
        runs += run(level + 1, handed, rule, policies);
        let attempt = Attempt {
            number,
            inherited: seen,
            ..lost()
        };
        let is_last = number + 1 == ATTEMPTS;
        let retries = match rule {
            Rule::Naive => !is_last,
            Rule::Budget | Rule::Policy => policies[level].decide(&attempt) == Decision::Retry,
        };
        if !retries {
            break;
        }
    }
    runs
}

/// Returns the runs at the last level for each hundred calls, with every run failing.
fn amplification(rule: Rule) -> u64 {
    let mut policies = [RetryPolicy::new(10, ATTEMPTS); DEPTH];
    let runs: u64 = (0..CALLS).map(|_| run(0, 0, rule, &mut policies)).sum();
    runs * 100 / CALLS
}

#[test]
fn retries_are_not_multiplied_at_depth_seven() {
    let naive = amplification(Rule::Naive);
    let budget = amplification(Rule::Budget);
    let policy = amplification(Rule::Policy);
    println!("runs for each hundred calls: naive {naive}, budget {budget}, policy {policy}");
    assert_eq!(naive, 100 * u64::from(ATTEMPTS).pow(7));
    // One retry at one hop, from a tenth of the traffic at each: never a product of the levels.
    assert!(policy <= 100 + 7 * 10 + 10, "{policy}");
    assert!(policy < budget, "{policy} {budget}");
}
