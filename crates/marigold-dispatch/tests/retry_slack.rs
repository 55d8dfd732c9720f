//! The shared limit of retries while daemons start again, are paused, and know only some of the others.

use std::time::Duration;

use marigold_dispatch::{Rank, RequestOrigin, RetryBudget, RetryRequest, SlackShare};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

const DAEMONS: usize = 6;
const SLACK: f64 = 50.0;
const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(50);
const RUN_TIME: Duration = Duration::from_mins(1);
/// The longest time for which a daemon that has started knows only some of the others.
const MAX_LEARNING_STEPS: u32 = 10;
/// Seeds of each test, so that it gives the same verdict each time.
const SEEDS: std::ops::Range<u64> = 0..60;

/// What happens to the daemons, apart from the failure of every request.
#[derive(Debug, Clone, Copy)]
struct Disturbance {
    /// Probability per step that all daemons are killed.
    kill_all: f64,
    /// Probability per step and daemon that it is killed.
    kill: f64,
    /// Probability per step and daemon that it is paused.
    pause: f64,
    /// Probability per step and daemon that it loses the records of others.
    forget: f64,
}

/// One run of a daemon's process.
struct Daemon {
    budget: RetryBudget,
    share: SlackShare,
    /// Time for which the process was paused, which its clock does not count.
    paused: Duration,
    paused_steps: u32,
    /// Steps until it knows all daemons.
    learning_steps: u32,
}

impl Daemon {
    fn start(rng: &mut ChaCha8Rng) -> Self {
        Self {
            budget: RetryBudget::new(WINDOW, RATIO),
            share: SlackShare::new(WINDOW),
            paused: Duration::ZERO,
            paused_steps: 0,
            learning_steps: rng.random_range(0..MAX_LEARNING_STEPS),
        }
    }

    /// Handles one failing request; returns whether it is retried.
    fn serve(&mut self, now: Instant) -> bool {
        if self.paused_steps > 0 {
            self.paused_steps -= 1;
            self.paused += STEP;
            return false;
        }
        let now = now - self.paused;
        // A daemon that has just started knows no other one, then all of them.
        let known = if self.learning_steps > 0 { 1 } else { DAEMONS };
        self.learning_steps = self.learning_steps.saturating_sub(1);
        self.share.record_daemons(known, now);
        self.budget.record_request(RequestOrigin::Unknown, now);
        let slack = self.share.of(SLACK, now);
        let request = RetryRequest {
            rank: Rank(1),
            returns: 0,
        };
        self.budget.try_spend(slack, request, now)
    }
}

/// Returns the largest number of retries in a window, and the limit in that window.
fn worst_window(retries: &[Instant], requests: &[Instant]) -> (f64, f64) {
    let within = |times: &[Instant], from: Instant| {
        let first = times.partition_point(|at| *at < from);
        let end = times.partition_point(|at| *at < from + WINDOW);
        f64::from(u32::try_from(end - first).expect("few"))
    };
    let excess = |from: &Instant| {
        let limit = RATIO * within(requests, *from) + SLACK;
        (within(retries, *from), limit)
    };
    let windows = retries.iter().map(excess);
    windows
        .max_by(|a, b| (a.0 - a.1).total_cmp(&(b.0 - b.1)))
        .unwrap_or_default()
}

fn check(seed: u64, disturbance: Disturbance) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now() + WINDOW;
    let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|_| Daemon::start(&mut rng)).collect();
    let (mut retries, mut requests) = (Vec::new(), Vec::new());
    let mut elapsed = Duration::ZERO;
    while elapsed < RUN_TIME {
        let now = start + elapsed;
        let kills_all = rng.random_bool(disturbance.kill_all);
        for daemon in &mut daemons {
            if kills_all || rng.random_bool(disturbance.kill) {
                *daemon = Daemon::start(&mut rng);
            }
            if rng.random_bool(disturbance.pause) {
                daemon.paused_steps = rng.random_range(1..60);
            }
            if rng.random_bool(disturbance.forget) {
                daemon.learning_steps = rng.random_range(0..MAX_LEARNING_STEPS);
            }
            requests.push(now);
            if daemon.serve(now) {
                retries.push(now);
            }
        }
        elapsed += STEP;
    }
    let (most, limit) = worst_window(&retries, &requests);
    assert!(
        most <= limit,
        "seed {seed}: {most} retries in a window, allowed {limit}"
    );
    assert!(!retries.is_empty(), "seed {seed}: no retries at all");
}

/// Names each test after the failure that it guards against.
macro_rules! disturbance_tests {
    ($($name:ident: $kill_all:literal, $kill:literal, $pause:literal, $forget:literal;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let disturbance = Disturbance {
                kill_all: $kill_all,
                kill: $kill,
                pause: $pause,
                forget: $forget,
            };
            for seed in SEEDS {
                check(seed, disturbance);
            }
        }
    )*};
}

disturbance_tests! {
    retries_pile_up_without_a_disturbance: 0.0, 0.0, 0.0, 0.0;
    retries_pile_up_while_all_daemons_are_killed_in_series: 0.02, 0.0, 0.0, 0.0;
    retries_pile_up_while_daemons_are_killed_one_by_one: 0.0, 0.02, 0.0, 0.0;
    retries_pile_up_while_daemons_are_paused: 0.0, 0.0, 0.01, 0.0;
    retries_pile_up_while_daemons_lose_their_records: 0.0, 0.0, 0.0, 0.02;
    retries_pile_up_under_everything_at_once: 0.01, 0.01, 0.01, 0.01;
}
