//! What the attempts of a request come to together.

use std::time::Duration;

use marigold_dispatch::{Conclusion, Progress};

const SOON: Duration = Duration::from_millis(20);
const LATER: Duration = Duration::from_millis(200);

fn refused(progress: &mut Progress) {
    progress.refused(LATER);
}

fn rejected(progress: &mut Progress) {
    progress.rejected(SOON);
}

fn ran(progress: &mut Progress) {
    progress.may_have_run();
}

/// Names a series of outcomes, the conclusion, and the arrivals at backend servers.
macro_rules! concludes {
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

concludes! {
    nothing: [] => Conclusion::NotRun(None), 0;
    refused_once: [refused] => Conclusion::NotRun(Some(LATER)), 0;
    the_soonest_time_counts: [refused, rejected, refused] => Conclusion::NotRun(Some(SOON)), 1;
    may_have_run: [ran] => Conclusion::Unknown, 1;
    a_refusal_after_a_run_hides_nothing: [ran, refused] => Conclusion::Unknown, 1;
    a_rejection_after_a_run_hides_nothing: [ran, rejected] => Conclusion::Unknown, 2;
    a_run_after_a_refusal: [refused, ran] => Conclusion::Unknown, 1;
}
