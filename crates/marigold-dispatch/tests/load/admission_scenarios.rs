//! Load scenarios with servers of uneven speed that are slow for moments or reject requests.

use std::time::Duration;

use super::request_class::RequestClass;
use super::scenario::{CallerBehaviour, Change, Scenario, Server, TIMEOUT_SPREAD};
use super::scenarios::check;
use super::simulation::Simulation;

/// The time for which a server is slow.
const SPELL: Duration = Duration::from_millis(600);
/// The run times of a slow server, relative to its usual ones.
const SPELL_FACTOR: f64 = 2.5;

/// The fraction of the requests that differences between timeouts may cost.
const MAX_SPREAD_LOSS: f64 = 0.02;

/// Servers of two speeds, most of whose slots are used, and two classes of requests of different rank.
fn uneven_servers() -> Scenario {
    let slowness = [0.7, 0.7, 1.6];
    let servers = (0..18).map(|number| Server {
        service: "members",
        data_centre: number / 3 % 3,
        slots: 5,
        slowness: slowness[number % slowness.len()],
    });
    Scenario {
        classes: vec![
            RequestClass::new("view", "members", 750.0, 76, (300, 2_000)),
            RequestClass::new("credit", "members", 330.0, 100, (400, 2_500)).urgent(1, 2.0),
        ],
        servers: servers.collect(),
        data_centres: 3,
        callers: CallerBehaviour {
            max_retries: 2,
            immediate_retry_ratio: 0.0,
            timeout_spread: TIMEOUT_SPREAD,
        },
        changes: Vec::new(),
        duration: Duration::from_secs(10),
        byte_cost: 0.01,
    }
}

/// Some servers, not always the same ones, are slower for a spell each.
fn slow_spells() -> Scenario {
    let mut scenario = uneven_servers();
    let mut at = Duration::ZERO;
    for spell in 0.. {
        if at >= scenario.duration {
            break;
        }
        for (number, server) in scenario.servers.iter().enumerate() {
            // Three of 18, other ones in each spell.
            let is_slow = (number * 5 + spell * 7) % 18 < 3;
            let factor = if is_slow { SPELL_FACTOR } else { 1.0 };
            let change = Change::Slow(number, server.slowness * factor);
            scenario.changes.push((at, change));
        }
        at += SPELL;
    }
    scenario
}

/// The load starts at its top, above what the slots can process, and falls.
fn top_of_the_wave() -> Scenario {
    let mut scenario = slow_spells();
    for (at, load) in [
        (0, 1.15),
        (1, 1.1),
        (2, 1.05),
        (3, 0.95),
        (4, 0.8),
        (5, 0.6),
    ] {
        for data_centre in 0..scenario.data_centres {
            let change = Change::Load(data_centre, load);
            scenario.changes.push((Duration::from_secs(at), change));
        }
    }
    scenario
}

/// All servers reject 55 in 100 of what reaches them for some seconds.
fn rejecting_servers() -> Scenario {
    let mut scenario = slow_spells();
    for server in 0..scenario.servers.len() {
        for (at, ratio) in [(3, 0.55), (6, 0.0)] {
            let change = Change::Reject(server, ratio);
            scenario.changes.push((Duration::from_secs(at), change));
        }
    }
    scenario
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
    uneven_servers_with_slow_spells: slow_spells();
    start_at_the_top_of_the_wave: top_of_the_wave();
    uneven_servers_reject_more_than_half: rejecting_servers();
}

/// Under a load beyond the capacity, callers whose timeouts differ are served in time as often as callers who all have
/// the mean of these timeouts.
#[tokio::test(start_paused = true)]
async fn callers_with_different_timeouts_are_served_in_time() {
    let mut scenario = uneven_servers();
    for data_centre in 0..scenario.data_centres {
        let change = Change::Load(data_centre, 1.25);
        scenario.changes.push((Duration::from_secs(2), change));
    }
    for seed in [21, 22] {
        let on_time = |timeout_spread: f64| {
            let mut scenario = scenario.clone();
            let mean_ratio = 1.0 - (TIMEOUT_SPREAD - timeout_spread) / 2.0;
            scenario.callers.timeout_spread = timeout_spread;
            for class in &mut scenario.classes {
                class.timeout = class.timeout.mul_f64(mean_ratio);
            }
            let stats = Simulation::simulate(&scenario, seed).stats;
            let requests: u32 = stats.iter().map(|stats| stats.requests).sum();
            let on_time: u32 = stats.iter().map(|stats| stats.on_time).sum();
            f64::from(on_time) / f64::from(requests)
        };
        let (alike, different) = (on_time(0.0), on_time(TIMEOUT_SPREAD));
        println!("seed {seed}: on time {alike:.3} if alike, {different:.3} if different");
        assert!(
            different >= alike - MAX_SPREAD_LOSS,
            "{different} of {alike}"
        );
    }
}
