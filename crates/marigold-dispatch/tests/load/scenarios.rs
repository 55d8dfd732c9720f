//! Load scenarios and the properties that must hold in each.

use std::time::Duration;

use super::class_stats::ClassStats;
use super::request_class::RequestClass;
use super::scenario::{CallerBehaviour, Change, Scenario, Server, TIMEOUT_SPREAD};
use super::simulation::Simulation;
use super::{fluid_bound, ingress, simulation};

const SEEDS: [u64; 2] = [11, 12];
/// Nearly zero, since the credit bound does not include traffic costs.
const LOW_BYTE_COST: f64 = 0.01;
/// Traffic that costs more than an answer of the least urgent rank is worth.
const HIGH_BYTE_COST: f64 = 0.25;
/// The fraction of the maximum credit that must be earned.
pub const MIN_CREDIT_RATIO: f64 = 0.9;
/// The maximum amount by which the served fraction of a class may be below that of a less urgent class of its
/// service.
const MAX_INVERSION: f64 = 0.05;
/// The minimum served fraction of a class, relative to that of all classes.
const MIN_SERVED_RATIO: f64 = 0.25;

fn sec(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Three data centres, two services, and servers of 0.6 to 1.6 times the average speed; two thirds of the slots
/// are in use.
fn steady() -> Scenario {
    let slowness = [0.7, 1.0, 1.3, 0.8, 1.1, 1.5];
    let servers = (0..12).map(|number| Server {
        service: if number % 2 == 0 { "desk" } else { "ledger" },
        data_centre: number / 2 % 3,
        slots: 6,
        slowness: slowness[number / 2 % slowness.len()],
    });
    Scenario {
        classes: vec![
            RequestClass::new("look-up", "desk", 260.0, 62, (200, 1_200)).calling(4, 0.3),
            RequestClass::new("order", "desk", 80.0, 81, (250, 1_500)).urgent(1, 2.0),
            RequestClass::new("ticket", "ledger", 80.0, 44, (150, 1_000))
                .urgent(0, 3.0)
                .calling(4, 0.3),
            RequestClass::new("history", "ledger", 50.0, 250, (800, 4_000)),
            RequestClass::new("probe", "ledger", 0.0, 15, (60, 200)).internal(1),
        ],
        servers: servers.collect(),
        data_centres: 3,
        callers: CallerBehaviour {
            max_retries: 1,
            immediate_retry_ratio: 0.0,
            timeout_spread: TIMEOUT_SPREAD,
        },
        changes: Vec::new(),
        duration: sec(20),
        byte_cost: LOW_BYTE_COST,
    }
}

fn at(seconds: u64, change: Change) -> (Duration, Change) {
    (sec(seconds), change)
}

/// The request rate doubles in all data centres for some seconds.
fn burst() -> Scenario {
    let mut scenario = steady();
    for data_centre in 0..3 {
        scenario.changes.push(at(5, Change::Load(data_centre, 2.0)));
        scenario
            .changes
            .push(at(13, Change::Load(data_centre, 1.0)));
    }
    scenario
}

/// Load shifts to one data centre.
fn load_shift() -> Scenario {
    let mut scenario = steady();
    for (data_centre, factor) in [(0, 2.2), (1, 0.4), (2, 0.4)] {
        scenario
            .changes
            .push(at(4, Change::Load(data_centre, factor)));
    }
    scenario
}

/// A third of the servers of one service are removed.
fn server_loss() -> Scenario {
    let mut scenario = steady();
    scenario.changes.push(at(4, Change::Leave(2)));
    scenario.changes.push(at(6, Change::Leave(6)));
    scenario
}

/// A third of the servers of one service become four times slower.
fn slow_servers() -> Scenario {
    let mut scenario = steady();
    scenario.changes.push(at(4, Change::Slow(0, 2.8)));
    scenario.changes.push(at(4, Change::Slow(4, 5.2)));
    scenario
}

/// All servers of a service reject half of their requests.
fn rejecting_servers() -> Scenario {
    let mut scenario = steady();
    for server in [0, 2, 4, 6, 8, 10] {
        scenario.changes.push(at(4, Change::Reject(server, 0.5)));
        scenario.changes.push(at(12, Change::Reject(server, 0.0)));
    }
    scenario
}

/// A third of the servers of a service fail two in five requests.
fn partially_failing_servers() -> Scenario {
    let mut scenario = steady();
    for server in [0, 6] {
        scenario.changes.push(at(4, Change::Fail(server, 0.4)));
    }
    scenario
}

/// A burst in which half of the callers retry immediately, up to four times.
fn immediate_retries() -> Scenario {
    Scenario {
        callers: CallerBehaviour {
            max_retries: 4,
            immediate_retry_ratio: 0.5,
            timeout_spread: TIMEOUT_SPREAD,
        },
        ..burst()
    }
}

/// A burst of short and long requests of the same rank for one service.
fn short_and_long_requests() -> Scenario {
    let mut scenario = burst();
    scenario.classes.push(RequestClass::new(
        "archive",
        "desk",
        60.0,
        250,
        (600, 4_000),
    ));
    scenario
}

/// Many small servers, where each ingress receives a small fraction of the load.
fn many_small_servers() -> Scenario {
    let scenario = steady();
    let slowness = [0.7, 1.0, 1.3, 0.8, 1.1, 1.5, 0.9];
    let servers = (0..64).map(|number| Server {
        service: if number % 2 == 0 { "desk" } else { "ledger" },
        data_centre: number / 2 % 4,
        slots: 5,
        slowness: slowness[number / 2 % slowness.len()],
    });
    let scale = |class: &RequestClass| RequestClass {
        rate: class.rate * 4.4,
        ..class.clone()
    };
    Scenario {
        classes: scenario.classes.iter().map(scale).collect(),
        servers: servers.collect(),
        data_centres: 4,
        duration: sec(6),
        ..scenario
    }
}

fn many_small_servers_burst() -> Scenario {
    let mut scenario = many_small_servers();
    for data_centre in 0..4 {
        scenario.changes.push(at(1, Change::Load(data_centre, 1.8)));
        scenario.changes.push(at(4, Change::Load(data_centre, 1.0)));
    }
    scenario
}

/// A burst while some servers are removed and others become slow.
fn burst_with_server_faults() -> Scenario {
    let mut scenario = burst();
    scenario.changes.extend(server_loss().changes);
    scenario.changes.push(at(8, Change::Slow(8, 3.0)));
    scenario.changes.push(at(9, Change::Slow(3, 3.0)));
    scenario
}

/// Simulates a scenario with each seed and checks the properties that must hold in every scenario.
pub fn check(name: &str, scenario: &Scenario) {
    let bound = fluid_bound::max_credit(scenario);
    for seed in SEEDS {
        let results = Simulation::simulate(scenario, seed);
        let credit = credit(scenario, &results.stats);
        println!("{name}, seed {seed}: credit {credit:.3} of {bound:.3}");
        for (class, stats) in scenario.classes.iter().zip(&results.stats) {
            if class.rate > 0.0 {
                println!("  {}: {stats}", class.kind);
            }
        }
        assert!(
            credit >= MIN_CREDIT_RATIO * bound,
            "{name}, seed {seed}: {credit} of {bound}"
        );
        check_classes(scenario, &results.stats);
        let requests = f64::from(results.requests);
        let allowed = ingress::RETRY_RATIO * requests + simulation::RETRY_SLACK;
        assert!(
            f64::from(results.retries) <= allowed,
            "{} retries",
            results.retries
        );
    }
}

pub fn credit(scenario: &Scenario, stats: &[ClassStats]) -> f64 {
    let mut earned = 0.0;
    let mut possible = 0.0;
    for (class, stats) in scenario.classes.iter().zip(stats) {
        earned += class.value * f64::from(stats.on_time);
        earned += class.late_value * f64::from(stats.late);
        possible += class.value * f64::from(stats.requests);
    }
    earned / possible
}

/// Checks that no class starves, and that none is served less than a less urgent class of its service.
fn check_classes(scenario: &Scenario, stats: &[ClassStats]) {
    let external: Vec<_> = scenario
        .classes
        .iter()
        .zip(stats)
        .filter(|(class, _)| class.rate > 0.0)
        .collect();
    let requests: u32 = external.iter().map(|(_, stats)| stats.requests).sum();
    let served: u32 = external
        .iter()
        .map(|(_, stats)| stats.on_time + stats.late)
        .sum();
    let overall = f64::from(served) / f64::from(requests);
    for (class, stats) in &external {
        assert!(
            stats.served() >= MIN_SERVED_RATIO * overall,
            "{} is starved",
            class.kind
        );
        for (other, others) in &external {
            let is_less_urgent = other.service == class.service && other.rank > class.rank;
            assert!(
                !is_less_urgent || stats.served() + MAX_INVERSION >= others.served(),
                "{} is served less than {}",
                class.kind,
                other.kind
            );
        }
    }
}

/// Each test simulates one scenario; all check the same properties.
macro_rules! scenario_tests {
    ($($name:ident: $scenario:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            check(stringify!($name), &$scenario);
        }
    )*};
}

scenario_tests! {
    steady_load: steady();
    burst_in_all_data_centres: burst();
    load_shift_to_one_data_centre: load_shift();
    third_of_the_servers_leave: server_loss();
    third_of_the_servers_slow: slow_servers();
    all_servers_reject_half: rejecting_servers();
    third_of_the_servers_fail_partially: partially_failing_servers();
    burst_with_immediate_retries: immediate_retries();
    burst_while_servers_leave: burst_with_server_faults();
    short_and_long_requests_of_one_rank: short_and_long_requests();
    many_small_servers_at_steady_load: many_small_servers();
    burst_on_many_small_servers: many_small_servers_burst();
}

/// When all data centres are full, few requests are sent to a remote one that would refuse them.
#[tokio::test(start_paused = true)]
async fn few_requests_go_to_remote_data_centres_when_all_are_full() {
    let scenario = Scenario {
        byte_cost: HIGH_BYTE_COST,
        ..burst()
    };
    for seed in SEEDS {
        let results = Simulation::simulate(&scenario, seed);
        let cross_data_centre: u32 = results
            .stats
            .iter()
            .map(|stats| stats.cross_data_centre)
            .sum();
        let requests: u32 = results.stats.iter().map(|stats| stats.requests).sum();
        assert!(
            cross_data_centre * 10 <= requests,
            "{cross_data_centre} of {requests}"
        );
    }
}
