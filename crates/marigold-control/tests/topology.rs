//! Who talks to whom, at the size that decides the design.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::address;
use marigold_control::{ControlOptions, Member, MemberTable, Standing, Topology};
use marigold_types::{Address, DataCentre, Incarnation, InstanceId, SlotCount};
use tokio::time::Instant;

/// The size in two years.
const DAEMONS: usize = 3_200;
const CENTRES: usize = 9;
/// Sixty-four connections of some 50 KB are a fortieth of a daemon's 128 MB.
const MAX_LINKS: usize = 64;

fn centre(number: usize) -> DataCentre {
    format!("dc{number}").parse().expect("a name")
}

fn table(daemons: usize, centres: usize) -> MemberTable {
    let mut table = MemberTable::new();
    let now = Instant::now();
    for number in 0..daemons {
        let at = number % centres;
        let member = Member {
            instance: InstanceId {
                address: address(at, number / centres),
                incarnation: Incarnation(1),
            },
            revision: 0,
            standing: Standing::Alive,
            data_centre: centre(at),
            region: "region0".parse().expect("a name"),
            service: None,
            slots: SlotCount(4),
            healthy: true,
            draining: false,
            cut: Vec::new(),
        };
        table.merge(&member, now);
    }
    table
}

/// Returns the topology of every daemon of the first data centre.
fn topologies(table: &MemberTable, options: &ControlOptions) -> BTreeMap<Address, Topology> {
    let home = centre(0);
    let daemons = table.local(&home).map(|entry| entry.member.address());
    daemons
        .map(|at| (at, Topology::new(table, at, &home, options)))
        .collect()
}

#[test]
fn connections_stay_few_at_full_size() {
    let table = table(DAEMONS, CENTRES);
    let options = ControlOptions::time();
    let mut links: BTreeMap<Address, BTreeSet<Address>> = BTreeMap::new();
    for (at, topology) in topologies(&table, &options) {
        let mut out = topology.peers();
        out.extend(&topology.children);
        if topology.is_follower {
            // One link to each other data centre, and one from each.
            out.extend(topology.remote.values().filter_map(|list| list.first()));
        }
        for peer in out {
            links.entry(at).or_default().insert(peer);
            links.entry(peer).or_default().insert(at);
        }
    }
    let most = links.values().map(BTreeSet::len).max();
    assert!(most <= Some(MAX_LINKS), "{most:?} links");
}

macro_rules! tree_reaches_all {
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

tree_reaches_all! {
    one_daemon: 1, 20;
    only_followers: 3, 20;
    one_below: 4, 20;
    one_level: 60, 20;
    two_levels: 356, 20;
    narrow: 200, 2;
}

#[test]
fn gossip_reaches_all_in_few_hops() {
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
fn follower_stays_one_while_others_come_and_go() {
    let options = ControlOptions::time();
    let small = table(100, 1);
    let large = table(101, 1);
    let at = address(0, 0);
    let before = Topology::new(&small, at, &centre(0), &options).followers;
    let after = Topology::new(&large, at, &centre(0), &options).followers;
    let kept = before.iter().filter(|follower| after.contains(follower));
    assert!(kept.count() >= before.len() - 1);
}
