//! Which executors an ingress keeps links to.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use common::{address, data_centre, site};
use marigold_dispatch::{Directory, LinkSelector};

const PLACES: [&str; 3] = ["here", "there", "elsewhere"];
/// Three data centres share them.
const DAEMONS: u8 = 120;

fn place(number: u8) -> &'static str {
    PLACES[usize::from(number) % PLACES.len()]
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    for number in 0..DAEMONS {
        directory.put(site(number, place(number)));
    }
    directory
}

fn neighbours(own: u8, lost: &[SocketAddr]) -> BTreeSet<SocketAddr> {
    LinkSelector::new(address(own), data_centre(place(own)))
        .choose(&directory(), |at| lost.contains(&at))
}

fn remote(own: u8, chosen: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
    let directory = directory();
    let home = data_centre(place(own));
    let is_remote = |at: &&SocketAddr| {
        let found = directory.get(**at);
        found.is_some_and(|site| site.data_centre != home)
    };
    chosen.iter().filter(is_remote).copied().collect()
}

#[test]
fn links_between_data_centres_do_not_grow_with_the_square_of_the_daemons() {
    for own in 0..DAEMONS {
        let chosen = neighbours(own, &[]);
        let there = remote(own, &chosen).len();
        assert!(
            (2..=8).contains(&there),
            "{own} has {there} links to other data centres"
        );
        let here = chosen.len() - there;
        assert_eq!(here, usize::from(DAEMONS) / PLACES.len(), "{own}");
    }
}

#[test]
fn executors_have_about_as_many_ingresses_each() {
    let mut ingresses: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for own in 0..DAEMONS {
        for at in remote(own, &neighbours(own, &[])) {
            *ingresses.entry(at).or_default() += 1;
        }
    }
    // The mean is eight; none is left out, and none has three times its part.
    assert_eq!(ingresses.len(), usize::from(DAEMONS));
    let most = ingresses.values().max().copied().unwrap_or_default();
    assert!(most <= 24, "one executor has {most} ingresses");
}

#[test]
fn a_lost_executor_is_replaced_and_the_others_stay() {
    let before = neighbours(0, &[]);
    let lost = remote(0, &before)[0];
    let after = neighbours(0, &[lost]);
    assert!(!after.contains(&lost));
    assert_eq!(after.len(), before.len());
    let kept = before.intersection(&after).count();
    assert_eq!(kept, before.len() - 1);
}

#[test]
fn a_small_mesh_is_linked_as_a_whole() {
    let mut directory = Directory::default();
    for number in 0..9 {
        directory.put(site(number, place(number)));
    }
    let choice = LinkSelector::new(address(0), data_centre("here"));
    assert_eq!(choice.choose(&directory, |_| false).len(), 9);
}
