//! Properties of random logs: versions only rise, every version is complete, and all readers agree.

mod common;

use std::collections::BTreeMap;

use common::Mesh;
use marigold_config::{Config, Decision, LogReader, SignedPlan, State};
use marigold_types::{LogOffset, Version};
use quickcheck::{Arbitrary, Gen};

const SEEDS: std::ops::Range<u64> = 0..30;
const EARLIEST_STEP: usize = 4;
const STEPS_PER_LOG: usize = 40;
const GEN_SIZE: usize = 64;

/// A random event.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An operator makes a plan against the version in force or an older one.
    Plan { operator: u8, lag: u8, edit: u8 },
    /// An operator confirms one of the last plans.
    Confirm { plan: u8, operator: u8 },
    /// An earlier record is appended again.
    Repeat(u8),
    /// A daemon that has read all records, or all but the last few, appends a checkpoint.
    Checkpoint { lag: u8 },
    /// An invalid record is appended.
    InvalidRecord,
    /// Time passes, in quarters of an hour.
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut byte = || u8::arbitrary(g);
        match byte() % 16 {
            0..=4 => Self::Plan {
                operator: byte(),
                lag: byte() % 3,
                edit: byte(),
            },
            5..=10 => Self::Confirm {
                plan: byte() % 4,
                operator: byte(),
            },
            11 | 12 => Self::Repeat(byte()),
            13 => Self::Checkpoint { lag: byte() % 8 },
            14 => Self::InvalidRecord,
            _ => Self::Wait(byte() % 8),
        }
    }
}

/// Returns the base intent with the change that `edit` selects.
fn intent(mesh: &Mesh, edit: u8) -> String {
    let service = ["desk", "ledger"][usize::from(edit / 2 % 2)];
    let route = |name: &str| format!("[route {name}]\npath = /{name}\nservice = {service}\n");
    let base = mesh.base_intent("");
    match edit % 6 {
        0 => base,
        1 => base + &route("a"),
        2 => base + &route("b"),
        3 => base + &route("a") + &route("b"),
        4 => base.replace("[service ledger]", "[service ledger]\nslots = 3"),
        _ => base.replace("[service ledger]\n", ""),
    }
}

fn run(mesh: &mut Mesh, steps: &[Step]) {
    let mut plans: Vec<SignedPlan> = Vec::new();
    let mut state = mesh.replay().0;
    let mut configs = vec![state.config()];
    for step in steps {
        match *step {
            Step::Plan {
                operator,
                lag,
                edit,
            } => {
                let base = &configs[configs.len().saturating_sub(1 + usize::from(lag))];
                let key = [&mesh.root, &mesh.ann, &mesh.bob][usize::from(operator % 3)];
                let plan = mesh.plan(key, base, &intent(mesh, edit));
                mesh.store(&plan);
                plans.push(plan);
            }
            Step::Confirm { plan, operator } => {
                let at = plans.len().saturating_sub(1 + usize::from(plan));
                if let Some(plan) = plans.get(at).cloned() {
                    let operator = ["root", "ann", "bob"][usize::from(operator % 3)];
                    let record = mesh.confirmation(&plan, operator);
                    mesh.append(record.to_string());
                }
            }
            Step::Repeat(at) => {
                let data = mesh.log[usize::from(at) % mesh.log.len()].data.clone();
                mesh.append(data);
            }
            Step::Checkpoint { lag } => {
                let mut reader = LogReader::new(mesh.trust.clone());
                let upto = mesh.log.len().saturating_sub(usize::from(lag));
                let mut batch = mesh.batch(LogOffset(0), upto);
                batch.end = LogOffset(upto as u64);
                reader.apply_batch(&batch);
                mesh.append(reader.to_checkpoint().to_string());
            }
            Step::InvalidRecord => {
                mesh.append("not a record".to_owned());
            }
            Step::Wait(quarters) => mesh.time += u64::from(quarters) * common::HOUR / 4,
        }
        for record in &mesh.log[usize::try_from(state.next().0).unwrap()..] {
            state.apply(record);
        }
        configs.push(state.config());
    }
}

/// Creates a mesh with the random log of `seed`.
fn random_mesh(seed: u64) -> Mesh {
    let mut gen_steps = Gen::from_size_and_seed(GEN_SIZE, seed);
    let steps: Vec<Step> = (0..STEPS_PER_LOG)
        .map(|_| Step::arbitrary(&mut gen_steps))
        .collect();
    let mut mesh = Mesh::started();
    run(&mut mesh, &steps);
    mesh
}

#[test]
fn versions_rise_and_are_complete() {
    let mut accepted = 0;
    let mut rejected = 0;
    for seed in SEEDS {
        let mesh = random_mesh(seed);
        let mut state = State::new(mesh.trust.clone());
        let mut held = Config::default();
        for record in &mesh.log {
            let before = state.config();
            let decision = state.apply(record);
            let config = state.config();
            assert!(config.version >= before.version, "seed {seed}");
            assert!(config.is_complete(), "seed {seed}");
            match decision {
                Decision::Accepted { version, delta, .. } => {
                    accepted += 1;
                    assert_eq!(version, Version::at(record.offset), "seed {seed}");
                    held = held.apply(&delta).unwrap();
                }
                Decision::Rejected { reason, .. } => {
                    rejected += 1;
                    assert!(!reason.to_string().is_empty());
                    assert_eq!(config, before, "seed {seed}");
                }
                _ => assert_eq!(config, before, "seed {seed}"),
            }
            assert_eq!(held, *config, "seed {seed}");
        }
    }
    // The test is meaningful only if both outcomes are frequent.
    assert!(accepted > 100 && rejected > 100, "{accepted} {rejected}");
}

#[test]
fn readers_agree_from_every_start() {
    let mut restored = 0;
    for seed in SEEDS {
        let mut mesh = random_mesh(seed);
        let want = mesh.reader(1_000).state().checkpoint();
        let mut continuous = LogReader::new(mesh.trust.clone());
        for earliest in (0..mesh.log.len() as u64).step_by(EARLIEST_STEP) {
            let limit = 1 + usize::try_from((seed + earliest) % 7).unwrap();
            mesh.read(&mut continuous, limit);
            mesh.earliest = earliest;
            let reader = mesh.reader(limit);
            assert!(reader.config().version <= want.version, "seed {seed}");
            if reader.is_caught_up() {
                restored += u32::from(earliest > 0);
                assert_eq!(
                    reader.state().checkpoint(),
                    want,
                    "seed {seed} from {earliest}"
                );
            }
        }
        assert_eq!(continuous.state().checkpoint(), want, "seed {seed}");
    }
    assert!(restored > 100, "{restored}");
}

/// However often a plan is confirmed, it takes effect at most once.
#[test]
fn each_plan_takes_effect_at_most_once() {
    for seed in SEEDS {
        let mesh = random_mesh(seed);
        let mut counts: BTreeMap<_, u32> = BTreeMap::new();
        let (_, decisions) = mesh.replay();
        for plan in decisions.iter().filter_map(common::accepted) {
            *counts.entry(plan).or_default() += 1;
        }
        assert!(counts.values().all(|count| *count == 1), "seed {seed}");
    }
}
