//! Faults at any moment, together and twice, drawn from fixed seeds.
//!
//! The watch of the runner checks after every event that nothing that may not be repeated runs
//! twice, that nothing called not run has run or runs later, and that answers are not crossed.

use marigold_scenarios::request::RequestRunner;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DAEMONS: usize = 5;
const STEPS: usize = 60;
const SEEDS: u64 = 60;
/// The one error that a step may give: its daemon is not there to take a connection.
const NO_CONNECTION: &str = "takes no connection";

/// Draws the steps of one scenario.
struct Draw {
    rng: ChaCha8Rng,
    keys: usize,
    calls: usize,
}

impl Draw {
    fn daemon(&mut self) -> String {
        format!("d{}", self.rng.random_range(1..=DAEMONS))
    }

    fn call(&mut self) -> String {
        self.calls += 1;
        let (name, at) = (self.calls, self.daemon());
        if self.keys > 0 && self.rng.random_bool(0.7) {
            // Often a key of late, so that repeats meet what goes on.
            let newest = self.keys.saturating_sub(3).max(1);
            let key = self.rng.random_range(newest..=self.keys);
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
        self.keys += 1;
        format!(
            "key k{} at={at} executor={executor} witness={witness}",
            self.keys
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

/// Runs one step and returns whether it was taken.
fn run(runner: &mut RequestRunner, step: &str) -> Result<bool, String> {
    match goldenscript::generate(runner, &format!("{step}\n---\n")) {
        Ok(_) => Ok(true),
        Err(error) if error.to_string().contains(NO_CONNECTION) => Ok(false),
        Err(error) => Err(error.to_string()),
    }
}

#[test]
fn promises_hold_under_any_faults() {
    let start = [
        "start d1 d2 d3 dc=depot",
        "start d4 d5 dc=yard",
        "route orders class=interactive idempotent=false deadline=4s",
        "route lookups class=interactive idempotent=true deadline=4s",
        "key k1 at=d1 executor=d2 witness=d3",
    ];
    let mut taken = 0;
    for seed in 0..SEEDS {
        let mut runner = RequestRunner::new();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = Draw {
            rng,
            keys: 1,
            calls: 0,
        };
        let mut script: Vec<String> = start.map(str::to_owned).into();
        for _ in 0..STEPS {
            script.push(draw.step());
        }
        script.push("advance 10s".to_owned());
        for (number, step) in script.iter().enumerate() {
            match run(&mut runner, step) {
                Ok(was_taken) => taken += usize::from(was_taken),
                Err(error) => panic!("seed {seed}: {error}\n{}", script[..=number].join("\n")),
            }
        }
    }
    // A run in which most steps fall away would prove little.
    assert!(
        taken * 10 >= usize::try_from(SEEDS).unwrap() * STEPS * 8,
        "{taken}"
    );
}
