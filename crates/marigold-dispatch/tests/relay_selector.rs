//! Selection of the daemon that reads the store for a data centre.

mod common;

use std::net::SocketAddr;

use common::{address, data_centre, ms, site};
use marigold_dispatch::{Directory, LinkRate, RelaySelector, Site, UpdateSource};
use tokio::time::Instant;

/// Four local daemons, the third with the highest bandwidth, and a remote one with a higher bandwidth.
fn directory() -> Directory {
    let mut directory = Directory::default();
    for (number, data_centre_name, link) in [
        (1, "here", 5),
        (2, "here", 5),
        (3, "here", 100),
        (4, "here", 5),
        (5, "there", 1_000),
    ] {
        directory.put(Site {
            link: LinkRate(link),
            leaving: None,
            ..site(number, data_centre_name)
        });
    }
    directory
}

fn choose(own: u8, up: &[u8], excluded: &[u8]) -> UpdateSource {
    let mut selector = RelaySelector::new(address(own), data_centre("here"));
    let now = Instant::now();
    for number in excluded {
        selector.exclude(address(*number), now);
    }
    let is_up = |at: SocketAddr| up.iter().any(|number| address(*number) == at);
    selector.choose(&directory(), is_up, now)
}

/// Each test gives a daemon, the daemons reachable from it, those that it excludes, and the selected reader, or
/// `None` for itself.
macro_rules! selection_tests {
    ($($name:ident: $own:literal, [$($up:literal),*], [$($excluded:literal),*] => $reader:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let reader: Option<u8> = $reader;
            let expected = reader.map_or(UpdateSource::Store, |number| {
                UpdateSource::Daemon(address(number))
            });
            assert_eq!(choose($own, &[$($up),*], &[$($excluded),*]), expected);
        }
    )*};
}

selection_tests! {
    highest_bandwidth: 1, [2, 3, 4, 5], [] => Some(3);
    itself_with_highest_bandwidth: 3, [1, 2, 4, 5], [] => None;
    next_if_first_is_unreachable: 4, [1, 2, 5], [] => Some(1);
    next_if_first_is_excluded: 4, [1, 2, 3, 5], [3] => Some(1);
    itself_if_next: 1, [2, 4, 5], [] => None;
    itself_if_none_is_reachable: 4, [], [] => None;
    remote_daemons_are_ignored: 2, [5], [] => None;
}

#[tokio::test(start_paused = true)]
async fn exclusion_expires() {
    let mut selector = RelaySelector::new(address(1), data_centre("here"));
    selector.exclude(address(3), Instant::now());
    tokio::time::advance(ms(3_001)).await;
    let chosen = selector.choose(&directory(), |_| true, Instant::now());
    assert_eq!(chosen, UpdateSource::Daemon(address(3)));
}
