//! No settings file makes the reader panic, whatever its bytes.

use marigold_settings::Settings;
use quickcheck::{Arbitrary, Gen};

const SEED: u64 = 17;
const ROUNDS: usize = 2_000;
const SIZE: usize = 200;

/// Pieces that lead the reader deeper than random text does.
const PIECES: [&str; 12] = [
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

fn text(g: &mut Gen) -> String {
    let mut text = String::new();
    for _ in 0..usize::arbitrary(g) % SIZE {
        match g.choose(&PIECES) {
            Some(piece) if bool::arbitrary(g) => text.push_str(piece),
            _ => text.push_str(&String::arbitrary(g)),
        }
    }
    text
}

#[test]
fn any_text_is_read_or_refused() {
    let mut g = Gen::from_size_and_seed(SIZE, SEED);
    let mut refused = 0;
    for _ in 0..ROUNDS {
        if let Err(faults) = Settings::parse("d.ini", &text(&mut g)) {
            assert!(!faults.list().is_empty());
            refused += 1;
        }
    }
    assert_eq!(refused, ROUNDS, "no random text is a whole settings file");
}
