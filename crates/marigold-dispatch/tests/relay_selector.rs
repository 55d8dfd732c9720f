//! Who reads the store for a data centre.

mod common;

use std::net::SocketAddr;

use common::{address, data_centre, ms, site};
use marigold_dispatch::{Directory, LinkRate, RelaySelector, Site, UpdateSource};
use tokio::time::Instant;

/// Four daemons here, the third with the widest link, and one with a wider one elsewhere.
fn directory() -> Directory {
    let mut directory = Directory::default();
    for (number, place, link) in [
        (1, "here", 5),
        (2, "here", 5),
        (3, "here", 100),
        (4, "here", 5),
        (5, "there", 1_000),
    ] {
        directory.put(Site {
            link: LinkRate(link),
            ..site(number, place)
        });
    }
    directory
}

fn choose(own: u8, up: &[u8], passed_over: &[u8]) -> UpdateSource {
    let mut choice = RelaySelector::new(address(own), data_centre("here"));
    let now = Instant::now();
    for number in passed_over {
        choice.exclude(address(*number), now);
    }
    let is_up = |at: SocketAddr| up.iter().any(|number| address(*number) == at);
    choice.choose(&directory(), is_up, now)
}

/// Names a daemon, whom it reaches, whom it passes over, and the reader that it chooses, none for itself.
macro_rules! chooses {
    ($($name:ident: $own:literal, [$($up:literal),*], [$($over:literal),*] => $reader:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let reader: Option<u8> = $reader;
            let wanted = reader.map_or(UpdateSource::Store, |number| {
                UpdateSource::Daemon(address(number))
            });
            assert_eq!(choose($own, &[$($up),*], &[$($over),*]), wanted);
        }
    )*};
}

chooses! {
    the_widest_link: 1, [2, 3, 4, 5], [] => Some(3);
    itself_with_the_widest_link: 3, [1, 2, 4, 5], [] => None;
    the_next_if_it_cannot_be_reached: 4, [1, 2, 5], [] => Some(1);
    the_next_if_it_fell_behind: 4, [1, 2, 3, 5], [3] => Some(1);
    itself_if_it_is_the_next: 1, [2, 4, 5], [] => None;
    itself_if_nobody_can_be_reached: 4, [], [] => None;
    nobody_in_another_data_centre: 2, [5], [] => None;
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_fell_behind_is_chosen_again_later() {
    let mut choice = RelaySelector::new(address(1), data_centre("here"));
    choice.exclude(address(3), Instant::now());
    tokio::time::advance(ms(3_001)).await;
    let chosen = choice.choose(&directory(), |_| true, Instant::now());
    assert_eq!(chosen, UpdateSource::Daemon(address(3)));
}
