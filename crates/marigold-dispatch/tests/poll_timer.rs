//! The time between two confirmations of the configuration.

mod common;

use common::ms;
use marigold_dispatch::PollTimer;

/// Followers read the store themselves after 1.4 s and hear of the reader every 0.4 s.
const MAX_INTERVAL_MS: u64 = 1_000;

/// Each test gives the time that the store takes to respond and the pause before a read, in milliseconds.
macro_rules! poll_tests {
    ($($name:ident: $latency:literal, $pause:literal;)*) => {$(
        #[test]
        fn $name() {
            let (latency, pause) = (ms($latency), ms($pause));
            let mut timer = PollTimer::default();
            let first = timer.wait(pause);
            timer.record_unchanged(first + latency, first);
            let interval = pause + timer.wait(pause) + latency;
            assert!(interval <= ms(MAX_INTERVAL_MS), "{interval:?}");
        }
    )*};
}

poll_tests! {
    followers_read_the_store_while_it_is_idle: 4, 0;
    followers_read_the_store_after_each_change: 4, 250;
    followers_read_the_store_while_it_is_slow: 400, 0;
    followers_read_the_store_after_changes_while_it_is_slow: 400, 250;
}

#[test]
fn store_that_is_slower_than_the_interval_is_read_without_a_pause() {
    let mut timer = PollTimer::default();
    let wait = timer.wait(ms(0));
    timer.record_unchanged(wait + ms(5_000), wait);
    assert!(timer.wait(ms(0)) >= ms(100));
}
