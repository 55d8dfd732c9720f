//! Every interleaving of a small mesh keeps at most once. See docs/design/at-most-once.md.

mod walk;

use walk::{Bounds, walk};

macro_rules! walks {
    ($($name:ident: $bounds:expr;)*) => {$(
        #[test]
        fn $name() {
            let seen = walk($bounds);
            println!("{seen:?}");
            // A walk that never reaches a case would prove nothing of it.
            assert!(seen.not_run > 0 && seen.unknown > 0, "{seen:?}");
            assert!(seen.ran > 0 && seen.answered > 0, "{seen:?}");
        }
    )*};
}

const QUIET: Bounds = Bounds {
    sends: [1, 1],
    repeats: 0,
    executor_crashes: 0,
    witness_crashes: 0,
    ticks: 0,
    table: 2,
    is_full: false,
};

walks! {
    two_ingresses: QUIET;
    resend_through_another: Bounds { sends: [2, 1], ..QUIET };
    executor_crash: Bounds { executor_crashes: 1, ..QUIET };
    witness_crash: Bounds { witness_crashes: 1, ..QUIET };
    both_crash: Bounds { executor_crashes: 1, witness_crashes: 1, ..QUIET };
    repeats: Bounds { sends: [1, 1], repeats: 1, ..QUIET };
    pause_past_expiry: Bounds { ticks: 2, ..QUIET };
    repeats_past_expiry: Bounds { sends: [1, 1], repeats: 1, ticks: 2, ..QUIET };
    crash_past_expiry: Bounds { executor_crashes: 1, ticks: 2, ..QUIET };
    full_table: Bounds { table: 1, is_full: true, repeats: 1, ..QUIET };
}
