//! What a daemon waits for after its start.

mod common;

use common::ms;
use marigold_dispatch::FirstContact;
use tokio::time::Instant;

/// Each test reads the records of daemons at some times in milliseconds, which leaves some others known, and then asks
/// whether to wait: the time, the others known, whether one of them has been reached.
macro_rules! first_contact_tests {
    ($($name:ident: [$(($read:literal, $known:literal)),*], $at:literal, $others:literal, $link:literal => $waits:literal;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let start = Instant::now();
            #[allow(unused_mut, reason = "one test reads nothing")]
            let mut contact = FirstContact::default();
            $(contact.record_read($known, start + ms($read));)*
            assert_eq!(contact.is_waiting($others, $link, start + ms($at)), $waits);
        }
    )*};
}

first_contact_tests! {
    first_read_is_delayed: [], 0, 0, false => false;
    all_daemons_follow_the_store_while_none_knows_the_others: [(0, 0)], 500, 0, false => true;
    lone_daemon_never_reads_again: [(0, 0)], 2_100, 0, false => false;
    lone_daemon_waits_again_after_each_read: [(0, 0), (2_100, 0)], 2_200, 0, false => false;
    daemon_reads_for_itself_before_its_links_are_up: [(0, 3)], 100, 3, false => true;
    daemon_with_a_link_waits_on: [(0, 3)], 100, 3, true => false;
    daemon_without_links_never_reads: [(0, 3)], 400, 3, false => false;
    records_from_another_daemon_are_ignored: [(0, 0)], 500, 3, true => false;
}
