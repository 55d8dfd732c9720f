//! The topology, at the largest size that the design supports.

mod common;

use std::collections::BTreeSet;

use common::{address, centre, count_links, table, topologies};
use marigold_control::{ControlOptions, Topology};
use marigold_types::Address;

/// The expected number of daemons in two years.
const DAEMONS: usize = 3_200;
const DATA_CENTRES: usize = 9;
/// Sixty-four connections of about 50 KB each are a fortieth of the 128 MB of memory of a daemon.
const MAX_LINKS: usize = 64;

#[test]
fn connections_are_bounded_at_full_size() {
    let table = table(DAEMONS, DATA_CENTRES);
    let options = ControlOptions::time();
    let links = count_links(&table, &options);
    let most = links.into_iter().max();
    assert!(most <= Some(MAX_LINKS), "{most:?} links");
}

macro_rules! fan_out_tree_reaches_every_daemon_once {
    ($($name:ident: $daemons:literal, $fanout:literal;)*) => {$(
        #[test]
        fn $name() {
            let table = table($daemons, 1);
            let options = ControlOptions { fanout: $fanout, ..ControlOptions::time() };
            let topologies = topologies(&table, &options);
            let mut reached = BTreeSet::new();
            for (at, topology) in &topologies {
                assert!(topology.children.len() <= $fanout);
                assert_eq!(topology.parent.is_none(), topology.is_follower);
                for child in &topology.children {
                    assert!(reached.insert(*child), "{child} is sent to twice");
                    assert_eq!(topologies[child].parent, Some(*at));
                }
            }
            let followers = topologies.values().filter(|t| t.is_follower).count();
            assert_eq!(reached.len() + followers, $daemons);
        }
    )*};
}

fan_out_tree_reaches_every_daemon_once! {
    one_daemon: 1, 20;
    only_followers: 3, 20;
    one_below_the_followers: 4, 20;
    one_level: 60, 20;
    two_levels: 356, 20;
    small_fanout: 200, 2;
}

#[test]
fn gossip_reaches_every_daemon_within_nine_hops() {
    let table = table(356, 1);
    let topologies = topologies(&table, &ControlOptions::time());
    let first = *topologies.keys().next().expect("a daemon");
    let mut reached = BTreeSet::from([first]);
    let mut hops = 0;
    while reached.len() < topologies.len() {
        let next = reached.iter().flat_map(|at| &topologies[at].fingers);
        let next: Vec<Address> = next.copied().collect();
        reached.extend(next);
        hops += 1;
        assert!(
            hops <= 9,
            "{} of {} reached",
            reached.len(),
            topologies.len()
        );
    }
}

#[test]
fn followers_are_stable_when_a_daemon_joins() {
    let options = ControlOptions::time();
    let small = table(100, 1);
    let large = table(101, 1);
    let at = address(0, 0);
    let before = Topology::new(&small, at, &centre(0), &options).followers;
    let after = Topology::new(&large, at, &centre(0), &options).followers;
    let kept = before.iter().filter(|follower| after.contains(follower));
    assert!(kept.count() >= before.len() - 1);
}
