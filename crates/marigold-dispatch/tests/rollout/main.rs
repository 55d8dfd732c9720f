//! Tests of roll-outs: verdicts in a modelled service, and the share of requests that reach a new version.

#[path = "../common/mod.rs"]
mod common;
mod gate;
mod model;

use std::time::Duration;

use marigold_dispatch::RolloutState;

use self::common::ms;
use self::model::{DESK, Fault, LEDGER, Model};

const SEEDS: u64 = 12;
/// What operators accept: a share of all requests, and this many in addition.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

/// Plays a fault with many seeds, and expects the final state in each.
macro_rules! verdict_tests {
    ($($name:ident: $kinds:expr, $fault:expr, $seconds:expr => $expected:ident;)*) => {$(
        #[test]
        fn $name() {
            let wrong: Vec<_> = (0..SEEDS).filter_map(|seed| {
                let mut model = Model::new(&$kinds, $fault, Duration::from_secs($seconds), seed);
                let state = model.play();
                let limit = EXPOSURE_SHARE * f64::from(model.total) + EXPOSURE_SLACK;
                let is_exposed = RolloutState::$expected == RolloutState::RolledBack
                    && f64::from(model.exposed) > limit;
                let is_wrong = state != Some(RolloutState::$expected) || is_exposed;
                is_wrong.then_some((seed, state, model.exposed, model.total))
            }).collect();
            assert!(wrong.is_empty(), "{wrong:?}");
        }
    )*};
}

verdict_tests! {
    good: DESK, Fault::None, 12 => Completed;
    good_of_rare_kinds: LEDGER, Fault::None, 15 => Completed;
    good_in_short_time: LEDGER, Fault::None, 10 => Completed;
    good_with_a_grey_server: DESK, Fault::GreyServers(2, 0.4), 12 => Completed;
    good_with_slow_servers: DESK, Fault::SlowServers(3, 4.0), 12 => Completed;
    good_with_crashing_servers: DESK, Fault::Crash(5), 12 => Completed;
    good_while_all_servers_fail: DESK, Fault::Everywhere(0.4), 12 => Completed;
    failing_at_once: DESK, Fault::Failing(0.5, Duration::ZERO), 12 => RolledBack;
    failing_a_little: DESK, Fault::Failing(0.2, Duration::ZERO), 12 => RolledBack;
    failing_at_once_rare_kinds: LEDGER, Fault::Failing(0.5, Duration::ZERO), 12 => RolledBack;
    failing_late: DESK, Fault::Failing(0.5, ms(3_000)), 12 => RolledBack;
    failing_late_rare_kinds: LEDGER, Fault::Failing(0.5, ms(3_000)), 12 => RolledBack;
    failing_during_takeover: DESK, Fault::Failing(0.5, ms(6_000)), 12 => RolledBack;
    failing_under_load: DESK, Fault::UnderLoad(0.5, 6), 12 => RolledBack;
    failing_under_load_rare_kinds: LEDGER, Fault::UnderLoad(0.5, 6), 12 => RolledBack;
    failing_on_one_kind: DESK, Fault::FailingKind(0.5), 12 => RolledBack;
    failing_on_one_rare_kind: LEDGER, Fault::FailingKind(0.5), 12 => RolledBack;
    slow_at_once: DESK, Fault::Slow(4.0, Duration::ZERO), 12 => RolledBack;
    slow_late: DESK, Fault::Slow(8.0, ms(3_000)), 12 => RolledBack;
    slow_with_long_runs: LEDGER, Fault::Slow(8.0, Duration::ZERO), 12 => RolledBack;
}

/// Plays a service with few servers, and expects the final state soon enough.
macro_rules! small_service_tests {
    ($($name:ident: $targets:expr, $fault:expr => $expected:ident;)*) => {$(
        #[test]
        fn $name() {
            let wrong: Vec<_> = (0..SEEDS).filter_map(|seed| {
                let mut model = Model::small($targets, $fault, Duration::from_secs(16), seed);
                let state = model.play();
                let is_late = RolloutState::$expected == RolloutState::RolledBack && model.late > 0;
                let is_wrong = state != Some(RolloutState::$expected) || is_late;
                is_wrong.then_some((seed, state, model.late, model.exposed))
            }).collect();
            assert!(wrong.is_empty(), "{wrong:?}");
        }
    )*};
}

small_service_tests! {
    slow_among_two_servers: 2, Fault::Slow(5.0, Duration::ZERO) => RolledBack;
    slow_among_three_servers: 3, Fault::Slow(5.0, Duration::ZERO) => RolledBack;
    slow_among_four_servers: 4, Fault::Slow(5.0, Duration::ZERO) => RolledBack;
    slow_among_eight_servers: 8, Fault::Slow(5.0, Duration::ZERO) => RolledBack;
    slow_late_among_four_servers: 4, Fault::Slow(5.0, ms(5_000)) => RolledBack;
    good_on_slower_machines_among_two_servers: 2, Fault::Slow(1.5, Duration::ZERO) => Completed;
    good_on_slower_machines_among_four_servers: 4, Fault::Slow(1.5, Duration::ZERO) => Completed;
    good_on_slower_machines_among_eight_servers: 8, Fault::Slow(1.5, Duration::ZERO) => Completed;
}
