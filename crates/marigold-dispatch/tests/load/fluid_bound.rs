//! An upper bound on the credit that a scenario allows, from a fluid model.

use std::time::Duration;

use super::request_class::RequestClass;
use super::scenario::{Change, Scenario};

/// The time step within which load and capacity are assumed constant.
const TIME_STEP: Duration = Duration::from_millis(500);

/// Returns the fraction of the total credit that could be earned if requests were divisible, no request waited
/// and no attempt were wasted: the classes with the highest value per run time are served first, on any server
/// with capacity.
pub fn max_credit(scenario: &Scenario) -> f64 {
    let mut loads = vec![1.0; scenario.data_centres];
    let mut surges = vec![1.0; scenario.classes.len()];
    let mut slowness: Vec<f64> = scenario
        .servers
        .iter()
        .map(|server| server.slowness)
        .collect();
    let mut usable = vec![1.0; scenario.servers.len()];
    let mut earned = 0.0;
    let mut possible = 0.0;
    let mut at = Duration::ZERO;
    while at < scenario.duration {
        for (when, change) in &scenario.changes {
            if *when >= at && *when < at + TIME_STEP {
                match *change {
                    Change::Load(data_centre, factor) => loads[data_centre] = factor,
                    Change::Surge(class, factor) => surges[class] = factor,
                    Change::Slow(server, factor) => slowness[server] = factor,
                    Change::Leave(server) => usable[server] = 0.0,
                    Change::Fail(server, ratio) => usable[server] = 1.0 - ratio,
                    Change::Reject(..) | Change::Restart(_) => {}
                }
            }
        }
        let (step_earned, step_possible) = step(scenario, &loads, &surges, &slowness, &usable);
        earned += step_earned;
        possible += step_possible;
        at += TIME_STEP;
    }
    earned / possible
}

fn step(
    scenario: &Scenario,
    loads: &[f64],
    surges: &[f64],
    slowness: &[f64],
    usable: &[f64],
) -> (f64, f64) {
    #[expect(clippy::cast_precision_loss, reason = "a handful")]
    let load: f64 = loads.iter().sum::<f64>() / scenario.data_centres as f64;
    let mut earned = 0.0;
    let mut possible = 0.0;
    let mut services: Vec<_> = scenario
        .classes
        .iter()
        .map(|class| &class.service)
        .collect();
    services.sort_unstable();
    services.dedup();
    for service in services {
        let mut capacity: f64 = (0..scenario.servers.len())
            .filter(|number| scenario.servers[*number].service == service.as_str())
            .map(|number| {
                f64::from(scenario.servers[number].slots) * usable[number] / slowness[number]
            })
            .sum();
        let mut classes: Vec<_> = scenario
            .classes
            .iter()
            .zip(surges)
            .filter(|(class, _)| class.service == *service && class.rate > 0.0)
            .map(|(class, surge)| (slot_time(scenario, class), class, class.rate * surge))
            .collect();
        classes.sort_by(|a, b| (b.1.value / b.0).total_cmp(&(a.1.value / a.0)));
        for (slot_time, class, rate) in classes {
            let rate = rate * load;
            let used = (rate * slot_time).min(capacity);
            capacity -= used;
            earned += class.value * used / slot_time;
            possible += class.value * rate;
        }
    }
    (earned, possible)
}

/// Returns the time in seconds that a request of a class holds its slot: its own run, and the runs of the calls
/// it waits for.
fn slot_time(scenario: &Scenario, class: &RequestClass) -> f64 {
    let called = class.calls.map_or(0.0, |(called, share)| {
        share * scenario.classes[called].run.as_secs_f64()
    });
    class.run.as_secs_f64() + called
}
