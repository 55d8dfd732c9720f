//! Readers that come and go over a log that loses its records: none goes back, and all agree again.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::Mesh;
use marigold_config::{Config, LogReader};
use marigold_types::{LogOffset, Version};
use quickcheck::{Arbitrary, Gen};

const SEEDS: std::ops::Range<u64> = 0..60;
const STEPS: usize = 80;
const SIZE: usize = 64;
const READERS: usize = 4;
/// Rounds of reading and talking after which every reader has to agree.
const ROUNDS: usize = 6;

/// A mesh whose readers hear from one another now and then.
struct Readers {
    mesh: Mesh,
    list: Vec<LogReader>,
    seen: [Version; READERS],
    restored: u32,
    /// Every configuration that a reader has shown, by its version.
    shown: BTreeMap<Version, Arc<Config>>,
    forked: bool,
}

impl Readers {
    fn new() -> Self {
        let mesh = Mesh::started();
        let list = (0..READERS).map(|_| LogReader::new(mesh.trust.clone()));
        Self {
            list: list.collect(),
            mesh,
            seen: [Version(0); READERS],
            restored: 0,
            shown: BTreeMap::new(),
            forked: false,
        }
    }

    fn step(&mut self, kind: u8, one: usize, other: usize, amount: u8) {
        match kind % 12 {
            0..=2 => self.publish(one, u32::from(amount)),
            3..=6 => self.read(one, usize::from(amount) % 5 + 1),
            7 => self.talk(one, other),
            8 => self.trim(amount),
            9 => self.checkpoint(one),
            10 => self.restore(one),
            _ => self.restart(one),
        }
        self.check(one);
    }

    /// Publishes a change through a reader that has read everything.
    fn publish(&mut self, one: usize, amount: u32) {
        self.read(one, 50);
        if !self.list[one].is_caught_up() {
            return;
        }
        let base = self.list[one].state().config();
        let extra = format!("[route extra]\npath = /extra{amount}\nservice = ledger\n");
        let plan = self
            .mesh
            .plan(&self.mesh.root, &base, &self.mesh.base_intent(&extra));
        if !plan.plan.changes.is_empty() {
            self.mesh.confirm(&plan);
        }
    }

    /// Reads a few times, as the log gives it.
    fn read(&mut self, one: usize, times: usize) {
        for _ in 0..times {
            let reader = &mut self.list[one];
            if reader.next().0 < self.mesh.earliest {
                reader.apply_trim(LogOffset(self.mesh.earliest));
            } else {
                reader.apply_batch(&self.mesh.batch(reader.next(), 5));
            }
        }
    }

    fn talk(&mut self, one: usize, other: usize) {
        let config = self.list[other].config();
        self.list[one].observe_config(&config);
    }

    fn trim(&mut self, amount: u8) {
        let end = self.mesh.log.len() as u64;
        let keep = u64::from(amount % 4);
        self.mesh.earliest = self.mesh.earliest.max(end.saturating_sub(keep));
    }

    fn checkpoint(&mut self, one: usize) {
        if self.list[one].checkpoint_due().is_some() {
            let record = self.list[one].to_checkpoint().to_string();
            self.mesh.append(record);
        }
    }

    fn restore(&mut self, one: usize) {
        if let Some(record) = self.list[one].to_restoration() {
            assert!(self.list[one].restoration_due());
            self.mesh.append(record.to_string());
            self.restored += 1;
        }
    }

    /// A daemon is replaced; it hears from a peer before it reads.
    fn restart(&mut self, one: usize) {
        let peer = (one + 1) % READERS;
        self.list[one] = LogReader::new(self.mesh.trust.clone());
        self.talk(one, peer);
        self.seen[one] = self.list[one].config().version;
    }

    fn check(&mut self, one: usize) {
        let config = self.list[one].config();
        assert!(config.version >= self.seen[one], "went back");
        assert!(config.is_complete());
        self.seen[one] = config.version;
        let version = config.version;
        let first = self.shown.entry(version).or_insert_with(|| config.clone());
        self.forked |= *first != config;
    }

    /// Lets everyone read, talk and write back until nothing is left to do.
    fn settle(&mut self) {
        for _ in 0..ROUNDS {
            for one in 0..READERS {
                self.read(one, 200);
                for other in 0..READERS {
                    self.talk(one, other);
                }
                self.check(one);
            }
            if let Some(one) = (0..READERS).find(|one| self.list[*one].restoration_due()) {
                self.restore(one);
            }
        }
    }
}

fn run(seed: u64) -> Readers {
    let mut g = Gen::from_size_and_seed(SIZE, seed);
    let mut readers = Readers::new();
    for _ in 0..STEPS {
        let one = usize::arbitrary(&mut g) % READERS;
        let other = usize::arbitrary(&mut g) % READERS;
        readers.step(u8::arbitrary(&mut g), one, other, u8::arbitrary(&mut g));
    }
    readers.settle();
    readers
}

#[test]
fn readers_agree_again() {
    let mut restored = 0;
    for seed in SEEDS {
        let mut readers = run(seed);
        restored += readers.restored;
        let want = readers.list[0].state().config();
        for reader in &readers.list {
            assert!(reader.is_caught_up(), "seed {seed}");
            assert_eq!(reader.state().config(), want, "seed {seed}");
            assert_eq!(reader.config(), want, "seed {seed}");
        }
        assert!(
            !readers.forked,
            "seed {seed}: one version with two contents"
        );

        // And they go on together.
        let end = readers.mesh.log.len() as u64;
        readers.publish(0, 1_000);
        readers.settle();
        let version = Version(end + 1);
        for reader in &readers.list {
            assert_eq!(reader.config().version, version, "seed {seed}");
        }
    }
    assert!(restored > 50, "{restored}");
}
