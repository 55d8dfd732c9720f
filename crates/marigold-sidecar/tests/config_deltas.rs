//! Changes of the configuration from one daemon to another.

use bytes::Bytes;
use marigold_sidecar::control::ConfigHistory;
use marigold_types::{LogOffset, Version};
use quickcheck::quickcheck;

fn shelf(versions: &[(u64, &str)]) -> ConfigHistory {
    let mut shelf = ConfigHistory::default();
    shelf.set_next_offset(LogOffset(9));
    for (version, text) in versions {
        shelf.push(Version(*version), Bytes::from((*text).to_owned()));
    }
    shelf
}

/// Names what the sender holds, what the follower holds, and whether the follower gets to the newest.
macro_rules! arrives {
    ($($name:ident: [$($sent:expr),*], [$($held:expr),*] => $arrives:literal;)*) => {$(
        #[test]
        fn $name() {
            let (sender, follower) = (shelf(&[$($sent),*]), shelf(&[$($held),*]));
            let arrived = sender
                .change_since(follower.version())
                .and_then(|(change, delta)| follower.apply(&change, &delta));
            assert_eq!(arrived.is_some(), $arrives);
            if let Some(bytes) = arrived {
                assert_eq!(&*bytes, b"new");
            }
        }
    )*};
}

arrives! {
    the_next_version: [(1, "old"), (2, "new")], [(1, "old")] => true;
    the_first_version: [(2, "new")], [] => true;
    from_a_version_that_is_not_kept: [(2, "new")], [(1, "old")] => true;
    the_same_version: [(2, "new")], [(2, "new")] => false;
    over_several: [(1, "old"), (2, "mid"), (3, "new")], [(1, "old")] => true;
    nothing_is_known: [], [(1, "old")] => false;
    the_base_differs: [(1, "older and other"), (2, "new")], [] => true;
}

#[test]
fn what_was_spoilt_on_the_way_is_not_taken() {
    let sender = shelf(&[(1, "old"), (2, "new")]);
    let follower = shelf(&[(1, "old")]);
    let (mut change, delta) = sender.change_since(Some(Version(1))).expect("a change");
    assert!(follower.apply(&change, &delta[..delta.len() - 1]).is_none());
    assert!(follower.apply(&change, b"other bytes").is_none());
    change.digest = marigold_types::Digest::of(b"another");
    assert!(follower.apply(&change, &delta).is_none());
}

quickcheck! {
    fn any_change_arrives(old: String, new: String) -> bool {
        let sender = shelf(&[(1, &old), (2, &new)]);
        let follower = shelf(&[(1, &old)]);
        let (change, delta) = sender.change_since(Some(Version(1))).expect("a change");
        follower.apply(&change, &delta).is_some_and(|bytes| *bytes == *new.as_bytes())
    }
}
