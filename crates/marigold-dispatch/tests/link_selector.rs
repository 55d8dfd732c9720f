//! Selection of the executors that an ingress keeps links to.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use common::{address, data_centre, site};
use marigold_dispatch::{Directory, LinkSelector};

const DATA_CENTRES: [&str; 3] = ["here", "there", "elsewhere"];
/// The number of daemons, spread evenly over the three data centres.
const DAEMONS: u8 = 120;

fn data_centre_of(number: u8) -> &'static str {
    DATA_CENTRES[usize::from(number) % DATA_CENTRES.len()]
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    for number in 0..DAEMONS {
        directory.put(site(number, data_centre_of(number)));
    }
    directory
}

fn linked(own: u8, unreachable: &[SocketAddr]) -> BTreeSet<SocketAddr> {
    LinkSelector::new(address(own), data_centre(data_centre_of(own)))
        .choose(&directory(), |at| unreachable.contains(&at))
}

fn remote(own: u8, chosen: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
    let directory = directory();
    let home = data_centre(data_centre_of(own));
    let is_remote = |at: &&SocketAddr| {
        let found = directory.get(**at);
        found.is_some_and(|site| site.data_centre != home)
    };
    chosen.iter().filter(is_remote).copied().collect()
}

#[test]
fn cross_data_centre_links_do_not_grow_with_the_square_of_daemons() {
    for own in 0..DAEMONS {
        let chosen = linked(own, &[]);
        let remote_count = remote(own, &chosen).len();
        assert!(
            (2..=8).contains(&remote_count),
            "{own} has {remote_count} links to other data centres"
        );
        let local_count = chosen.len() - remote_count;
        assert_eq!(
            local_count,
            usize::from(DAEMONS) / DATA_CENTRES.len(),
            "{own}"
        );
    }
}

#[test]
fn links_are_spread_evenly_over_executors() {
    let mut ingresses: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for own in 0..DAEMONS {
        for at in remote(own, &linked(own, &[])) {
            *ingresses.entry(at).or_default() += 1;
        }
    }
    // The average is 8 ingresses per executor; none has zero, and none has more than three times the average.
    assert_eq!(ingresses.len(), usize::from(DAEMONS));
    let most = ingresses.values().max().copied().unwrap_or_default();
    assert!(most <= 24, "one executor has {most} ingresses");
}

#[test]
fn unreachable_executor_is_replaced_and_other_links_stay() {
    let before = linked(0, &[]);
    let unreachable = remote(0, &before)[0];
    let after = linked(0, &[unreachable]);
    assert!(!after.contains(&unreachable));
    assert_eq!(after.len(), before.len());
    let kept = before.intersection(&after).count();
    assert_eq!(kept, before.len() - 1);
}

#[test]
fn small_mesh_is_fully_connected() {
    let mut directory = Directory::default();
    for number in 0..9 {
        directory.put(site(number, data_centre_of(number)));
    }
    let selector = LinkSelector::new(address(0), data_centre("here"));
    assert_eq!(selector.choose(&directory, |_| false).len(), 9);
}
