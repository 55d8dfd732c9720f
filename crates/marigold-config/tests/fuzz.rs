//! Damaged input: a clear error or a counted reason, never a panic.

mod common;

use common::Mesh;
use marigold_config::{Config, Decision, Intent, Pattern, Record, Share, State, Window};
use marigold_log::StoredRecord;
use quickcheck::{Arbitrary, Gen};

const ROUNDS: u64 = 2_000;
const SIZE: usize = 48;

/// Changes, drops, doubles or inserts a few bytes of `text`.
fn damage(text: &str, seed: u64) -> String {
    let mut g = Gen::from_size_and_seed(SIZE, seed);
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..=usize::arbitrary(&mut g) % 4 {
        let at = usize::arbitrary(&mut g) % bytes.len().max(1);
        match u8::arbitrary(&mut g) % 4 {
            0 => bytes.truncate(at),
            1 => bytes.insert(at, u8::arbitrary(&mut g)),
            2 if at < bytes.len() => bytes[at] = b"[]=:{}\",-0 9%\n"[at % 14],
            _ => bytes.extend_from_within(at..),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn damaged_intents() {
    let mesh = Mesh::new();
    let text = mesh.base_intent(
        "[limit l]\nservice = desk\nrate = 3/s\n[objective desk]\navailability = 99.9%\n",
    );
    for seed in 0..ROUNDS {
        match Intent::parse("mesh.ini", &damage(&text, seed)) {
            Ok(intent) => assert!(intent.to_config(Config::default().version).is_complete()),
            Err(faults) => assert!(!faults.list().is_empty()),
        }
    }
}

#[test]
fn damaged_records() {
    let mut mesh = Mesh::started();
    let checkpoint = mesh.reader(10).to_checkpoint().to_string();
    mesh.append(checkpoint);
    let records: Vec<String> = mesh.log.iter().map(|record| record.data.clone()).collect();
    let mut state = State::new(mesh.trust.clone());
    for seed in 0..ROUNDS {
        let data = damage(
            &records[usize::try_from(seed).unwrap() % records.len()],
            seed,
        );
        // A change that only doubles or drops blanks may leave a record what it was.
        let unharmed =
            Record::parse(&data).is_ok_and(|record| records.contains(&record.to_string()));
        let decision = state.apply(&StoredRecord {
            offset: state.next(),
            time: state.time(),
            data,
        });
        let counted = matches!(
            decision,
            Decision::Accepted { .. } | Decision::Adopted { .. }
        );
        assert!(unharmed || !counted, "seed {seed}: {decision:?}");
    }
}

#[test]
fn stray_texts() {
    let mut g = Gen::from_size_and_seed(SIZE, 1);
    for _ in 0..ROUNDS {
        let text = String::arbitrary(&mut g);
        let _ = Intent::parse("mesh.ini", &text);
        assert!(Record::parse(&text).is_err());
        let _ = text.parse::<Pattern>();
        if let Ok(window) = text.parse::<Window>() {
            assert_eq!(window.to_string().parse(), Ok(window));
        }
        if let Ok(share) = text.parse::<Share>() {
            assert!(share <= Share::ALL);
        }
    }
}
