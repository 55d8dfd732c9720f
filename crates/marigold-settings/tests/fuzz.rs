//! Fuzz test: no settings file makes the parser panic.

use marigold_settings::Settings;
use quickcheck::{Arbitrary, Gen};

const SEED: u64 = 17;
const CASES: usize = 2_000;
const SIZE: usize = 200;

/// Fragments of valid syntax, which get further into the parser than random text does.
const FRAGMENTS: [&str; 12] = [
    "[daemon]",
    "[control]\n",
    "address",
    " = ",
    "127.0.0.1:1",
    "\n",
    "[",
    "]",
    "tick = 5ms\n",
    "fanout=\u{0}",
    "99999999999999999999d",
    "\u{feff}",
];

fn arbitrary_text(g: &mut Gen) -> String {
    let mut text = String::new();
    for _ in 0..usize::arbitrary(g) % SIZE {
        match g.choose(&FRAGMENTS) {
            Some(fragment) if bool::arbitrary(g) => text.push_str(fragment),
            _ => text.push_str(&String::arbitrary(g)),
        }
    }
    text
}

#[test]
fn arbitrary_text_is_rejected_without_panic() {
    let mut g = Gen::from_size_and_seed(SIZE, SEED);
    let mut rejected = 0;
    for _ in 0..CASES {
        if let Err(faults) = Settings::parse("d.ini", &arbitrary_text(&mut g)) {
            assert!(!faults.list().is_empty());
            rejected += 1;
        }
    }
    assert_eq!(
        rejected, CASES,
        "random text was accepted as a settings file"
    );
}
