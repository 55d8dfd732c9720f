//! Scenarios of the shifted work: long runs with rare much longer ones on servers of uneven speed, in a mesh so large that
//! each ingress sees few runs. See docs/design/shifted-work.md.

use std::time::Duration;

use marigold_dispatch::{Decisions, WaitSource};

use super::request_class::RequestClass;
use super::scenario::{CallerBehaviour, Scenario, Server, TIMEOUT_SPREAD};
use super::simulation::Simulation;

const SEEDS: [u64; 3] = [31, 32, 33];
/// The servers in each data centre, and the run times of every fourth, as multiples of the average.
const DESKS: [usize; 3] = [12, 14, 9];
const DESK_SLOWNESS: [f64; 4] = [2.0, 1.0, 1.0, 0.67];

/// Demand of `load` times the mean rate: lookups, and orders that may run once and go before them.
fn desks(load: f64) -> Scenario {
    let places = (0..3).flat_map(|place| vec![place; DESKS[place]]);
    let servers = places.enumerate().map(|(number, data_centre)| Server {
        service: "desk",
        data_centre,
        slots: 9,
        slowness: DESK_SLOWNESS[number % DESK_SLOWNESS.len()],
    });
    Scenario {
        classes: vec![
            RequestClass::new("lookup", "desk", 451.0 * load, 260, (600, 3_000)),
            RequestClass::new("order", "desk", 437.0 * load, 290, (800, 3_000)).urgent(1, 2.0),
        ],
        servers: servers.collect(),
        data_centres: 3,
        callers: CallerBehaviour {
            max_retries: 1,
            immediate_retry_ratio: 0.0,
            timeout_spread: TIMEOUT_SPREAD,
        },
        changes: Vec::new(),
        duration: Duration::from_secs(12),
        byte_cost: 0.03,
    }
}

/// Each test compares what the least urgent kind loses when waits are taken from the queue and when they are learnt.
macro_rules! wait_tests {
    ($($name:ident: $load:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let mut unserved = [0.0; 2];
            for seed in SEEDS {
                for (sum, wait) in unserved.iter_mut().zip([WaitSource::Queue, WaitSource::Learnt]) {
                    let decisions = Decisions { wait, ..Decisions::default() };
                    let results = Simulation::simulate_with(&desks($load), decisions, seed);
                    let [lookups, orders] = results.stats[..] else { panic!("two classes") };
                    println!("{}, {wait}, seed {seed}: {lookups}; {orders}", stringify!($name));
                    *sum += f64::from(lookups.late + lookups.refused);
                }
            }
            let [queue, learnt] = unserved;
            assert!(learnt < queue, "late or refused: {learnt} with learnt waits, {queue} by the queue");
        }
    )*};
}

wait_tests! {
    lookups_wait_behind_orders_at_moderate_load: 0.85;
    lookups_wait_behind_orders_at_full_load: 1.1;
}
