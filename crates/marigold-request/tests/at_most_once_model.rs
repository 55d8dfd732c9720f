//! Exhaustive exploration of a small model: at most once holds in every interleaving. See
//! docs/design/at-most-once.md.

mod model;

use model::{Bounds, explore};

macro_rules! explores {
    ($($name:ident: $bounds:expr;)*) => {$(
        #[test]
        fn $name() {
            let coverage = explore($bounds);
            println!("{coverage:?}");
            // Fails if the exploration never reaches one of the outcomes.
            assert!(coverage.not_run > 0 && coverage.unknown > 0, "{coverage:?}");
            assert!(coverage.ran > 0 && coverage.answered > 0, "{coverage:?}");
        }
    )*};
}

const NO_FAULTS: Bounds = Bounds {
    sends: [1, 1],
    repeats: 0,
    executor_crashes: 0,
    witness_crashes: 0,
    ticks: 0,
    table_keys: 2,
    is_full: false,
};

explores! {
    two_ingresses: NO_FAULTS;
    resend_through_another: Bounds { sends: [2, 1], ..NO_FAULTS };
    executor_crash: Bounds { executor_crashes: 1, ..NO_FAULTS };
    witness_crash: Bounds { witness_crashes: 1, ..NO_FAULTS };
    both_crash: Bounds { executor_crashes: 1, witness_crashes: 1, ..NO_FAULTS };
    repeats: Bounds { sends: [1, 1], repeats: 1, ..NO_FAULTS };
    delay_past_expiry: Bounds { ticks: 2, ..NO_FAULTS };
    repeats_past_expiry: Bounds { sends: [1, 1], repeats: 1, ticks: 2, ..NO_FAULTS };
    crash_past_expiry: Bounds { executor_crashes: 1, ticks: 2, ..NO_FAULTS };
    full_table: Bounds { table_keys: 1, is_full: true, repeats: 1, ..NO_FAULTS };
}
