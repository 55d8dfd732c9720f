//! Random trims and restarts: no reader returns to an older version, and all agree in the end.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::Mesh;
use marigold_config::{Config, LogReader};
use marigold_types::{LogOffset, Version};
use quickcheck::{Arbitrary, Gen};

const SEEDS: std::ops::Range<u64> = 0..60;
const STEPS: usize = 80;
const GEN_SIZE: usize = 64;
const READERS: usize = 4;
/// The rounds of reading and exchange after which all readers must agree.
const SETTLE_ROUNDS: usize = 6;

/// A mesh whose readers occasionally exchange their configurations.
struct Readers {
    mesh: Mesh,
    list: Vec<LogReader>,
    /// The last version of each reader.
    seen: [Version; READERS],
    restored: u32,
    /// Every configuration that any reader has returned, by version.
    shown: BTreeMap<Version, Arc<Config>>,
    /// Whether two readers returned different configurations of one version.
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
            7 => self.exchange(one, other),
            8 => self.trim(amount),
            9 => self.checkpoint(one),
            10 => self.restore(one),
            _ => self.restart(one),
        }
        self.check(one);
    }

    /// Confirms a change, planned with a reader that has caught up.
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

    /// Performs up to `times` reads of the log.
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

    fn exchange(&mut self, one: usize, other: usize) {
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

    /// Replaces a daemon by a new one, which receives the configuration of a peer before it reads.
    fn restart(&mut self, one: usize) {
        let peer = (one + 1) % READERS;
        self.list[one] = LogReader::new(self.mesh.trust.clone());
        self.exchange(one, peer);
        self.seen[one] = self.list[one].config().version;
    }

    fn check(&mut self, one: usize) {
        let config = self.list[one].config();
        assert!(
            config.version >= self.seen[one],
            "returned to an older version"
        );
        assert!(config.is_complete());
        self.seen[one] = config.version;
        let version = config.version;
        let first = self.shown.entry(version).or_insert_with(|| config.clone());
        self.forked |= *first != config;
    }

    /// Lets all readers read, exchange and restore until they should agree.
    fn settle(&mut self) {
        for _ in 0..SETTLE_ROUNDS {
            for one in 0..READERS {
                self.read(one, 200);
                for other in 0..READERS {
                    self.exchange(one, other);
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
    let mut g = Gen::from_size_and_seed(GEN_SIZE, seed);
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
fn readers_agree_after_restorations() {
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

        // A further change reaches all readers.
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
