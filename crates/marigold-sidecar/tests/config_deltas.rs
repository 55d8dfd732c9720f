//! Deltas of the configuration between daemons.

use bytes::Bytes;
use marigold_log::{StoreEra, StorePosition};
use marigold_sidecar::control::ConfigHistory;
use marigold_types::{LogOffset, Version};
use quickcheck::quickcheck;
use std::time::Duration;
use tokio::time::{Instant, advance};

fn position(era: u64, offset: u64) -> StorePosition {
    StorePosition {
        era: Some(StoreEra(era)),
        offset: LogOffset(offset),
    }
}

fn history(versions: &[(u64, &str)]) -> ConfigHistory {
    let mut history = ConfigHistory::default();
    history.set_position(position(1, 9), Instant::now());
    for (version, text) in versions {
        history.push(Version(*version), Bytes::from((*text).to_owned()));
    }
    history
}

/// Each case lists the versions of the sender, those of the follower, and whether the follower can apply
/// the sender's change and thereby has the newest configuration.
macro_rules! delta_tests {
    ($($name:ident: [$($sent:expr),*], [$($held:expr),*] => $applied:literal;)*) => {$(
        #[test]
        fn $name() {
            let (sender, follower) = (history(&[$($sent),*]), history(&[$($held),*]));
            let result = sender
                .change_since(follower.version())
                .and_then(|(change, delta)| follower.apply(&change, &delta));
            assert_eq!(result.is_some(), $applied);
            if let Some(bytes) = result {
                assert_eq!(&*bytes, b"new");
            }
        }
    )*};
}

delta_tests! {
    next_version: [(1, "old"), (2, "new")], [(1, "old")] => true;
    first_version: [(2, "new")], [] => true;
    base_not_in_history: [(2, "new")], [(1, "old")] => true;
    same_version: [(2, "new")], [(2, "new")] => false;
    several_versions_behind: [(1, "old"), (2, "mid"), (3, "new")], [(1, "old")] => true;
    sender_has_no_config: [], [(1, "old")] => false;
    first_version_with_longer_history: [(1, "older and other"), (2, "new")], [] => true;
}

#[test]
fn corrupt_deltas_are_rejected() {
    let sender = history(&[(1, "old"), (2, "new")]);
    let follower = history(&[(1, "old")]);
    let (mut change, delta) = sender.change_since(Some(Version(1))).expect("a change");
    assert!(follower.apply(&change, &delta[..delta.len() - 1]).is_none());
    assert!(follower.apply(&change, b"other bytes").is_none());
    change.digest = marigold_types::Digest::of(b"another");
    assert!(follower.apply(&change, &delta).is_none());
}

/// Returns where a daemon reads on that has read offset 9 and is then told of offset 12 by one that read `after` later.
async fn adopted(era: u64, after: Duration) -> StorePosition {
    let mut follower = history(&[(1, "old")]);
    advance(Duration::from_mins(1)).await;
    follower.set_position(position(era, 9), Instant::now());
    advance(after).await;
    follower.adopt_offset(LogOffset(12), Some(Instant::now()));
    follower.position().expect("a position")
}

#[tokio::test(start_paused = true)]
async fn offset_of_another_daemon_is_not_taken_over() {
    assert_eq!(adopted(1, Duration::ZERO).await, position(1, 12));
    assert_eq!(adopted(2, Duration::from_secs(5)).await, position(2, 12));
}

// Guards against CONFIG: the offset may be of a history that the other daemon has not noticed the end of.
#[tokio::test(start_paused = true)]
async fn offset_of_an_earlier_history_is_taken_over() {
    assert_eq!(adopted(2, Duration::from_secs(1)).await, position(2, 9));
    let mut unread = ConfigHistory::default();
    unread.adopt_offset(LogOffset(12), Some(Instant::now()));
    assert_eq!(unread.position(), None);
}

#[tokio::test(start_paused = true)]
async fn daemon_that_does_not_read_states_its_offset() {
    let sender = history(&[(1, "new")]);
    let stated = || sender.change_since(None).expect("a change").0.next;
    assert_eq!(stated(), LogOffset(9));
    advance(Duration::from_secs(5)).await;
    assert_eq!(stated(), LogOffset(0));
}

quickcheck! {
    fn delta_of_any_two_configs_applies(old: String, new: String) -> bool {
        let sender = history(&[(1, &old), (2, &new)]);
        let follower = history(&[(1, &old)]);
        let (change, delta) = sender.change_since(Some(Version(1))).expect("a change");
        follower.apply(&change, &delta).is_some_and(|bytes| *bytes == *new.as_bytes())
    }
}
