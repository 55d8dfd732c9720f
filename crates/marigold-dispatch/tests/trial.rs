//! Selection of the executor for a suspected request.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use marigold_dispatch::{Directory, LinkRate, Site, select_trial_executor};
use marigold_request::quarantine::Fingerprint;
use marigold_types::{ServiceName, SlotCount};

fn service(name: &str) -> ServiceName {
    name.parse().expect("a service")
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7000))
}

fn directory(hosts: impl IntoIterator<Item = u8>) -> Directory {
    let mut directory = Directory::default();
    for host in hosts {
        directory.put(Site {
            address: address(host),
            data_centre: "here".parse().expect("a name"),
            service: service(if host % 2 == 0 { "desk" } else { "ledger" }),
            version: None,
            slots: SlotCount(2),
            link: LinkRate(100),
            leaving: None,
        });
    }
    directory
}

#[test]
fn daemons_that_learned_of_executors_in_another_order_choose_the_same() {
    let (one, other) = (directory(1..=20), directory((1..=20).rev()));
    for number in 0..100 {
        let print = Fingerprint([number; 16]);
        let choose = |directory: &Directory| {
            select_trial_executor(directory, &service("desk"), &print, |_| true)
        };
        assert_eq!(choose(&one), choose(&other));
    }
}

#[test]
fn requests_are_spread_over_the_executors_of_the_service() {
    let directory = directory(1..=20);
    let chosen: BTreeSet<_> = (0..100)
        .filter_map(|number| {
            let print = Fingerprint([number; 16]);
            select_trial_executor(&directory, &service("desk"), &print, |_| true)
        })
        .collect();
    let desks: BTreeSet<_> = (1..=10).map(|number| address(2 * number)).collect();
    assert_eq!(chosen, desks);
}

#[test]
fn ineligible_executor_is_replaced_by_the_next() {
    let directory = directory(1..=4);
    let print = Fingerprint([1; 16]);
    let choose = |is_eligible: &dyn Fn(SocketAddr) -> bool| {
        select_trial_executor(&directory, &service("desk"), &print, is_eligible)
    };
    let first = choose(&|_| true).expect("an executor");
    let second = choose(&|address| address != first).expect("another executor");
    assert_ne!(first, second);
    assert_eq!(choose(&|_| false), None);
}
