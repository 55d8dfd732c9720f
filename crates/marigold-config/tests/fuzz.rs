//! Corrupted input must give an error or be ignored, and never cause a panic.

mod common;

use common::Mesh;
use marigold_config::{Config, Decision, Intent, Pattern, Record, Share, State, Window};
use marigold_log::StoredRecord;
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 2_000;
const GEN_SIZE: usize = 48;

/// Truncates `text`, or inserts, replaces or duplicates bytes, up to four times.
fn corrupt(text: &str, seed: u64) -> String {
    let mut g = Gen::from_size_and_seed(GEN_SIZE, seed);
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
fn corrupted_intents() {
    let mesh = Mesh::new();
    let text = mesh.base_intent(
        "[limit l]\nservice = desk\nrate = 3/s\n[objective desk]\navailability = 99.9%\n",
    );
    for seed in 0..CASES {
        match Intent::parse("mesh.ini", &corrupt(&text, seed)) {
            Ok(intent) => assert!(intent.to_config(Config::default().version).is_complete()),
            Err(faults) => assert!(!faults.list().is_empty()),
        }
    }
}

#[test]
fn corrupted_records() {
    let mut mesh = Mesh::started();
    let checkpoint = mesh.reader(10).to_checkpoint().to_string();
    mesh.append(checkpoint);
    let records: Vec<String> = mesh.log.iter().map(|record| record.data.clone()).collect();
    let mut state = State::new(mesh.trust.clone());
    for seed in 0..CASES {
        let data = corrupt(
            &records[usize::try_from(seed).unwrap() % records.len()],
            seed,
        );
        // A corruption that only changes white space can leave the record as it was.
        let unchanged =
            Record::parse(&data).is_ok_and(|record| records.contains(&record.to_string()));
        let decision = state.apply(&StoredRecord {
            offset: state.next(),
            time: state.time(),
            data,
        });
        let took_effect = matches!(
            decision,
            Decision::Accepted { .. } | Decision::Adopted { .. }
        );
        assert!(unchanged || !took_effect, "seed {seed}: {decision:?}");
    }
}

#[test]
fn random_texts() {
    let mut g = Gen::from_size_and_seed(GEN_SIZE, 1);
    for _ in 0..CASES {
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
