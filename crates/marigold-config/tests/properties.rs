//! What holds for every log: versions only rise, every version is whole, and readers agree.

mod common;

use std::collections::BTreeMap;

use common::Mesh;
use marigold_config::{Config, Decision, LogReader, SignedPlan, State};
use marigold_types::{LogOffset, Version};
use quickcheck::{Arbitrary, Gen};

const SEEDS: std::ops::Range<u64> = 0..30;
const EARLIEST_STEP: usize = 4;
const STEPS: usize = 40;
const SIZE: usize = 64;

/// What happens next to the log.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An operator plans against the version in force or an older one.
    Plan { operator: u8, lag: u8, edit: u8 },
    /// One of the plans is confirmed.
    Confirm { plan: u8, operator: u8 },
    /// An earlier record is appended again.
    Copy(u8),
    /// A daemon that has read everything, or an older copy of one, writes a checkpoint.
    Checkpoint { lag: u8 },
    /// A stray record.
    Noise,
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
            11 | 12 => Self::Copy(byte()),
            13 => Self::Checkpoint { lag: byte() % 8 },
            14 => Self::Noise,
            _ => Self::Wait(byte() % 8),
        }
    }
}

/// Returns the intent that differs from the first one in what `edit` says.
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
    let mut state = mesh.fold().0;
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
            Step::Copy(at) => {
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
            Step::Noise => {
                mesh.append("noise".to_owned());
            }
            Step::Wait(quarters) => mesh.time += u64::from(quarters) * common::HOUR / 4,
        }
        for record in &mesh.log[usize::try_from(state.next().0).unwrap()..] {
            state.apply(record);
        }
        configs.push(state.config());
    }
}

/// Builds the log that `seed` stands for.
fn mesh_of(seed: u64) -> Mesh {
    let mut gen_steps = Gen::from_size_and_seed(SIZE, seed);
    let steps: Vec<Step> = (0..STEPS)
        .map(|_| Step::arbitrary(&mut gen_steps))
        .collect();
    let mut mesh = Mesh::started();
    run(&mut mesh, &steps);
    mesh
}

#[test]
fn versions_rise_and_are_whole() {
    let mut accepted = 0;
    let mut rejected = 0;
    for seed in SEEDS {
        let mesh = mesh_of(seed);
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
    // The property says something only if both happen often.
    assert!(accepted > 100 && rejected > 100, "{accepted} {rejected}");
}

#[test]
fn readers_agree_from_every_start() {
    let mut restored = 0;
    for seed in SEEDS {
        let mut mesh = mesh_of(seed);
        let want = mesh.reader(1_000).state().checkpoint();
        let mut steady = LogReader::new(mesh.trust.clone());
        for earliest in (0..mesh.log.len() as u64).step_by(EARLIEST_STEP) {
            let limit = 1 + usize::try_from((seed + earliest) % 7).unwrap();
            mesh.read(&mut steady, limit);
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
        assert_eq!(steady.state().checkpoint(), want, "seed {seed}");
    }
    assert!(restored > 100, "{restored}");
}

/// The same plans, confirmed in any order: each plan has one verdict, and a plan that is accepted
/// is in force as a whole.
#[test]
fn each_plan_counts_once() {
    for seed in SEEDS {
        let mesh = mesh_of(seed);
        let mut counts: BTreeMap<_, u32> = BTreeMap::new();
        let (_, decisions) = mesh.fold();
        for plan in decisions.iter().filter_map(common::accepted) {
            *counts.entry(plan).or_default() += 1;
        }
        assert!(counts.values().all(|count| *count == 1), "seed {seed}");
    }
}
