//! Daemons that are restarted in turn beside sound backend servers, faster than callers find another way in. See
//! docs/design/restarts.md.

use std::time::Duration;

use super::request_class::RequestClass;
use super::scenario::{CallerBehaviour, Change, Scenario, Server, TIMEOUT_SPREAD};
use super::simulation::Simulation;

const SEEDS: [u64; 2] = [41, 42];
/// The largest part of the requests that may be refused, as operators expect of planned work.
const MAX_REFUSED: f64 = 0.01;
const DATA_CENTRES: usize = 5;
/// The number of servers of each service in each data centre.
const DESKS: usize = 7;
const LEDGERS: usize = 6;
const SLOTS: u32 = 14;
const SLOWNESS: [f64; 4] = [2.0, 1.0, 1.0, 0.7];

/// A third of a mesh of 195 daemons, at half of its capacity.
fn calm_mesh(seconds: u64) -> Scenario {
    let mut servers = Vec::new();
    for (service, count) in [("desk", DESKS), ("ledger", LEDGERS)] {
        let places = (0..DATA_CENTRES).flat_map(|place| vec![place; count]);
        servers.extend(places.enumerate().map(|(number, data_centre)| Server {
            service,
            data_centre,
            slots: SLOTS,
            slowness: SLOWNESS[number % SLOWNESS.len()],
        }));
    }
    Scenario {
        classes: vec![
            RequestClass::new("lookup", "desk", 360.0, 510, (1_500, 6_000)),
            RequestClass::new("order", "desk", 113.0, 660, (2_000, 8_000)).urgent(1, 2.0),
            RequestClass::new("ticket", "ledger", 113.0, 360, (1_200, 4_000)).urgent(0, 3.0),
            RequestClass::new("history", "ledger", 80.0, 2_000, (6_000, 25_000)),
        ],
        servers,
        data_centres: DATA_CENTRES,
        callers: CallerBehaviour {
            max_retries: 1,
            immediate_retry_ratio: 0.0,
            timeout_spread: TIMEOUT_SPREAD,
        },
        changes: Vec::new(),
        duration: Duration::from_secs(seconds),
        byte_cost: 0.03,
    }
}

/// Restarts `share` of the daemons in turn, `at_once` at a time.
fn with_wave(
    mut scenario: Scenario,
    from: Duration,
    share: f64,
    at_once: usize,
    gap: Duration,
) -> Scenario {
    let count = scenario.servers.len();
    #[expect(clippy::cast_precision_loss, reason = "a handful")]
    let last = count as f64 * share;
    // A step that has no factor in common with the number of daemons visits each once.
    let order = (0..count).map(|number| number * 7 % count);
    for (number, daemon) in order.enumerate() {
        #[expect(clippy::cast_precision_loss, reason = "a handful")]
        if (number as f64) < last {
            let step = u32::try_from(number / at_once).expect("few");
            scenario
                .changes
                .push((from + gap * step, Change::Restart(daemon)));
        }
    }
    scenario.changes.sort_by_key(|(at, _)| *at);
    scenario
}

/// Each test restarts daemons and checks that few requests are refused and that none is cut off.
macro_rules! restart_tests {
    ($($name:ident: $scenario:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            check(stringify!($name), &$scenario);
        }
    )*};
}

fn check(name: &str, scenario: &Scenario) {
    for seed in SEEDS {
        let results = Simulation::simulate(scenario, seed);
        println!(
            "{name}, seed {seed}: {} stops, {:.2} s on average, {} cut off",
            results.stops,
            results.stop_time.as_secs_f64() / f64::from(results.stops.max(1)),
            results.cut
        );
        let (mut refused, mut asked) = (0, 0);
        for (class, stats) in scenario.classes.iter().zip(&results.stats) {
            println!("  {}: {stats}", class.kind);
            refused += stats.refused;
            asked += stats.requests;
        }
        assert!(results.stops > 0);
        let share = f64::from(refused) / f64::from(asked);
        println!("  {share:.4} are refused");
        assert!(
            share <= MAX_REFUSED,
            "{name}, seed {seed}: {share:.4} are refused"
        );
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

restart_tests! {
    one_daemon_after_another: with_wave(calm_mesh(12), ms(3_000), 0.15, 1, ms(1_000));
    half_of_the_daemons_in_six_seconds: with_wave(calm_mesh(12), ms(3_000), 0.5, 3, ms(600));
    most_daemons_in_six_seconds: with_wave(calm_mesh(12), ms(3_000), 0.7, 4, ms(500));
}
