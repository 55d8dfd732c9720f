//! The combined outcome of a request's attempts.

use std::time::Duration;

use marigold_dispatch::{Conclusion, Progress};

const SHORT_DELAY: Duration = Duration::from_millis(20);
const LONG_DELAY: Duration = Duration::from_millis(200);

fn refused(progress: &mut Progress) {
    progress.refused(LONG_DELAY);
}

fn rejected(progress: &mut Progress) {
    progress.rejected(SHORT_DELAY);
}

fn may_have_run(progress: &mut Progress) {
    progress.may_have_run();
}

/// Each test applies attempt outcomes, then checks the conclusion and the number of arrivals at backend servers.
macro_rules! conclusion_tests {
    ($($name:ident: [$($step:ident),*] => $conclusion:expr, $arrivals:literal;)*) => {$(
        #[test]
        fn $name() {
            let steps: &[fn(&mut Progress)] = &[$($step),*];
            let mut progress = Progress::default();
            for step in steps {
                step(&mut progress);
            }
            assert_eq!(progress.conclusion(), $conclusion);
            assert_eq!(progress.arrivals(), $arrivals);
        }
    )*};
}

conclusion_tests! {
    no_attempts: [] => Conclusion::NotRun(None), 0;
    refused_once: [refused] => Conclusion::NotRun(Some(LONG_DELAY)), 0;
    shortest_retry_delay_is_kept: [refused, rejected, refused] => Conclusion::NotRun(Some(SHORT_DELAY)), 1;
    possible_run: [may_have_run] => Conclusion::Unknown, 1;
    refusal_after_a_possible_run_is_unknown: [may_have_run, refused] => Conclusion::Unknown, 1;
    rejection_after_a_possible_run_is_unknown: [may_have_run, rejected] => Conclusion::Unknown, 2;
    possible_run_after_a_refusal: [refused, may_have_run] => Conclusion::Unknown, 1;
}
