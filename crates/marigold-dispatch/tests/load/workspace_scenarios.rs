//! Load scenarios with workspaces: one that sends several times its usual, and precedence under overload.

use std::collections::BTreeMap;
use std::time::Duration;

use super::class_stats::ClassStats;
use super::request_class::RequestClass;
use super::scenario::{CallerBehaviour, Change, Scenario, Server, TIMEOUT_SPREAD};
use super::simulation::Simulation;

const SEEDS: [u64; 2] = [21, 22];
/// The served fraction of a workspace within its part, relative to that of all.
const MIN_SERVED_RATIO: f64 = 0.9;
/// The served fraction of callers that come back when told to, relative to that of all.
const MIN_CAME_BACK_RATIO: f64 = 0.25;
const SHORT_SURGE: Duration = Duration::from_millis(400);
const WORKSPACES: usize = 24;
/// Requests per second that the slots can process, by the run times of the classes.
const CAPACITY: f64 = 620.0;

/// Twelve servers in three data centres, and workspaces of which the first sends a quarter of all requests. `load` is
/// relative to what the slots can process; `precedence` returns that of each workspace.
fn workspaces(load: f64, precedence: impl Fn(usize) -> u8) -> Scenario {
    let slowness = [0.7, 0.7, 1.6];
    let servers = (0..12).map(|number| Server {
        service: "profiles",
        data_centre: number / 3 % 3,
        slots: 6,
        slowness: slowness[number % slowness.len()],
    });
    let fetch = RequestClass::new("fetch", "profiles", 0.65 * CAPACITY, 120, (800, 2_000));
    let publish = RequestClass::new("publish", "profiles", 0.35 * CAPACITY, 160, (1_000, 2_500))
        .urgent(1, 2.0);
    let classes = (0..WORKSPACES).flat_map(|number| {
        let name = format!("workspace-{number}");
        let share = match number {
            0 => 0.25,
            _ => 0.75 / 23.0,
        };
        let of = |class: &RequestClass| (class.clone()).of(&name, precedence(number), load * share);
        [of(&fetch), of(&publish)]
    });
    Scenario {
        classes: classes.collect(),
        servers: servers.collect(),
        data_centres: 3,
        callers: CallerBehaviour {
            max_retries: 1,
            immediate_retry_ratio: 0.0,
            timeout_spread: TIMEOUT_SPREAD,
        },
        changes: Vec::new(),
        duration: Duration::from_secs(12),
        byte_cost: 0.01,
    }
}

/// Changes the load of the first workspace from `start` on for `time`.
fn surge(mut scenario: Scenario, factor: f64, start: Duration, time: Duration) -> Scenario {
    for class in 0..2 {
        for (at, factor) in [(start, factor), (start + time, 1.0)] {
            scenario.changes.push((at, Change::Surge(class, factor)));
        }
    }
    scenario
}

/// Returns the counts of each workspace, the first one first.
fn simulate(scenario: &Scenario, seed: u64) -> Vec<ClassStats> {
    let results = Simulation::simulate(scenario, seed);
    let mut sums: BTreeMap<usize, ClassStats> = BTreeMap::new();
    for (class, stats) in results.stats.iter().enumerate() {
        let sum = sums.entry(class / 2).or_default();
        sum.requests += stats.requests;
        sum.on_time += stats.on_time;
        sum.late += stats.late;
        sum.refused += stats.refused;
        sum.came_back += stats.came_back;
        sum.refused_again += stats.refused_again;
    }
    sums.into_values().collect()
}

fn sum_of(stats: &[ClassStats], count: impl Fn(&ClassStats) -> u32) -> f64 {
    stats.iter().map(|stats| f64::from(count(stats))).sum()
}

fn on_time(stats: &[ClassStats]) -> f64 {
    sum_of(stats, |stats| stats.on_time) / sum_of(stats, |stats| stats.requests)
}

fn served(stats: &[ClassStats]) -> f64 {
    sum_of(stats, |stats| stats.on_time + stats.late) / sum_of(stats, |stats| stats.requests)
}

/// One workspace sends five times its usual; the others are served on time as if it did not.
#[tokio::test(start_paused = true)]
async fn surge_of_a_large_workspace_costs_the_others_nothing() {
    let usual = workspaces(0.7, |_| 1);
    let surge = surge(
        usual.clone(),
        5.0,
        Duration::from_secs(3),
        Duration::from_secs(6),
    );
    for seed in SEEDS {
        let without = simulate(&usual, seed);
        let with = simulate(&surge, seed);
        println!(
            "others on time: {:.3} of {:.3}, large one served {:.3}",
            on_time(&with[1..]),
            on_time(&without[1..]),
            served(&with[..1]),
        );
        assert!(on_time(&with[1..]) >= MIN_SERVED_RATIO * on_time(&without[1..]));
        for (number, stats) in with.iter().enumerate().skip(1) {
            let served = stats.served();
            assert!(served >= MIN_SERVED_RATIO, "{number}: {stats}");
        }
    }
}

/// All ask for twice what the slots can process; small ones are served, and the large one gets no less than them.
#[tokio::test(start_paused = true)]
async fn no_workspace_starves_under_overload() {
    let scenario = workspaces(1.6, |_| 1);
    for seed in SEEDS {
        let stats = simulate(&scenario, seed);
        let all = served(&stats);
        println!("all {all:.3}, large one {:.3}", served(&stats[..1]));
        for (number, stats) in stats.iter().enumerate().skip(1) {
            assert!(
                stats.served() >= MIN_SERVED_RATIO * all,
                "{number}: {stats}"
            );
        }
        let large = f64::from(stats[0].on_time + stats[0].late);
        let others = sum_of(&stats[1..], |stats| stats.on_time + stats.late) / 23.0;
        assert!(large >= MIN_SERVED_RATIO * others);
    }
}

/// The first half has precedence and asks for less than the slots can process; it is served as if there were no others.
#[tokio::test(start_paused = true)]
async fn workspaces_with_precedence_are_served_under_overload() {
    let scenario = workspaces(1.5, |number| u8::from(number >= WORKSPACES / 2));
    let mut alone = scenario.clone();
    for class in &mut alone.classes[WORKSPACES..] {
        class.rate = 0.0;
    }
    for seed in SEEDS {
        let stats = simulate(&scenario, seed);
        let (first, last) = stats.split_at(WORKSPACES / 2);
        let alone = on_time(&simulate(&alone, seed)[..WORKSPACES / 2]);
        println!(
            "first on time {:.3} of {alone:.3}, last served {:.3}",
            on_time(first),
            served(last)
        );
        assert!(on_time(first) >= MIN_SERVED_RATIO * alone);
    }
}

/// Callers refused in short surges come back when told to, and find room.
#[tokio::test(start_paused = true)]
async fn callers_that_come_back_are_served() {
    let mut scenario = workspaces(0.5, |_| 1);
    for number in 0..6_u32 {
        let from = Duration::from_secs(1) * (2 * number + 1);
        scenario = surge(scenario, 20.0, from, SHORT_SURGE);
    }
    let mut stats = Vec::new();
    for seed in SEEDS {
        stats.extend(simulate(&scenario, seed));
    }
    let came_back = sum_of(&stats, |stats| stats.came_back);
    let refused = sum_of(&stats, |stats| stats.refused_again);
    println!("{refused} of {came_back} refused again");
    let least = MIN_CAME_BACK_RATIO * served(&stats);
    assert!(came_back - refused >= least * came_back);
}
