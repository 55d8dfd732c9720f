//! Request handling under random sequences of faults and calls, generated from fixed seeds.
//!
//! The runner checks throughout that no non-idempotent request runs twice, that no request reported
//! as not run has run or runs later, and that every caller gets the answer to its own request.

use marigold_scenarios::request::RequestRunner;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DAEMON_COUNT: usize = 5;
const STEPS_PER_SEED: usize = 60;
const SEED_COUNT: u64 = 60;
/// The only error that a step may return: its daemon is down or paused and accepts no connection.
const REFUSED_CONNECTION: &str = "takes no connection";

/// Generates the steps of one scenario.
struct StepGenerator {
    rng: ChaCha8Rng,
    key_count: usize,
    call_count: usize,
}

impl StepGenerator {
    fn daemon(&mut self) -> String {
        format!("d{}", self.rng.random_range(1..=DAEMON_COUNT))
    }

    fn call(&mut self) -> String {
        self.call_count += 1;
        let (name, at) = (self.call_count, self.daemon());
        if self.key_count > 0 && self.rng.random_bool(0.7) {
            // Prefer one of the latest keys, so that retries arrive during the first attempt.
            let oldest = self.key_count.saturating_sub(3).max(1);
            let key = self.rng.random_range(oldest..=self.key_count);
            return format!("call c{name} route=orders at={at} key=k{key}");
        }
        let route = ["orders", "lookups"].choose(&mut self.rng).unwrap();
        let body = if self.rng.random_bool(0.05) {
            " body=poison"
        } else {
            ""
        };
        format!("call c{name} route={route} at={at}{body}")
    }

    fn key(&mut self) -> String {
        let (at, executor, witness) = (self.daemon(), self.daemon(), self.daemon());
        self.key_count += 1;
        format!(
            "key k{} at={at} executor={executor} witness={witness}",
            self.key_count
        )
    }

    fn fault(&mut self) -> String {
        let (one, other) = (self.daemon(), self.daemon());
        match self.rng.random_range(0..12) {
            0 => format!("crash {one}"),
            1 | 2 => format!("restart {one}"),
            3 => format!("pause {one}"),
            4 | 5 => format!("resume {one}"),
            6 => format!("cut {one} {other}"),
            7 => "heal".to_owned(),
            8 => format!("mute {one} {other}"),
            9 => format!("repeat call {one} {other}"),
            10 => format!("repeat start {one} {other}"),
            _ => {
                let mode = ["works", "fails", "cut"].choose(&mut self.rng).unwrap();
                format!("server {one} mode={mode} time=80ms")
            }
        }
    }

    fn step(&mut self) -> String {
        match self.rng.random_range(0..10) {
            0 => self.key(),
            1..=4 => self.call(),
            5 | 6 => self.fault(),
            7 => format!("advance {}s", self.rng.random_range(1..5)),
            8 if self.rng.random_bool(0.1) => "advance 150s".to_owned(),
            _ => format!("advance {}ms", self.rng.random_range(1..120)),
        }
    }
}

/// Runs one step and returns whether the daemon accepted it.
fn run_step(runner: &mut RequestRunner, step: &str) -> Result<bool, String> {
    match goldenscript::generate(runner, &format!("{step}\n---\n")) {
        Ok(_) => Ok(true),
        Err(error) if error.to_string().contains(REFUSED_CONNECTION) => Ok(false),
        Err(error) => Err(error.to_string()),
    }
}

#[test]
fn invariants_hold_under_random_faults() {
    let start = [
        "start d1 d2 d3 dc=depot",
        "start d4 d5 dc=yard",
        "route orders class=interactive idempotent=false deadline=4s",
        "route lookups class=interactive idempotent=true deadline=4s",
        "key k1 at=d1 executor=d2 witness=d3",
    ];
    let mut accepted = 0;
    for seed in 0..SEED_COUNT {
        let mut runner = RequestRunner::new();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut generator = StepGenerator {
            rng,
            key_count: 1,
            call_count: 0,
        };
        let mut script: Vec<String> = start.map(str::to_owned).into();
        for _ in 0..STEPS_PER_SEED {
            script.push(generator.step());
        }
        script.push("advance 10s".to_owned());
        for (number, step) in script.iter().enumerate() {
            match run_step(&mut runner, step) {
                Ok(was_accepted) => accepted += usize::from(was_accepted),
                Err(error) => panic!("seed {seed}: {error}\n{}", script[..=number].join("\n")),
            }
        }
    }
    // The test proves little if many steps are rejected.
    assert!(
        accepted * 10 >= usize::try_from(SEED_COUNT).unwrap() * STEPS_PER_SEED * 8,
        "{accepted}"
    );
}
