//! Membership and liveness as seen by each daemon.

mod common;

use common::{Fixture, SECOND, address};
use marigold_control::{ControlOptions, EndpointState, Event, Liveness};

fn liveness(
    fixture: &Fixture,
    at: marigold_types::Address,
    of: marigold_types::Address,
) -> Liveness {
    let state = fixture.mesh.plane(at).state();
    state.members.get(of).expect("a member").member.liveness
}

#[test]
fn every_daemon_lists_every_backend_server() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[5, 5, 5], 1);
    fixture.publish_route(1);
    fixture.mesh.advance(5 * SECOND);
    assert!(fixture.all_serve());
    for plane in fixture.mesh.planes() {
        let own = plane.view().local.address;
        assert_eq!(fixture.count(own, EndpointState::Ready), 15, "at {own}");
    }
}

#[test]
fn draining_server_is_listed_as_draining() {
    let mut fixture = Fixture::new(ControlOptions::bytes(), &[20, 20], 2);
    fixture.publish_route(1);
    fixture.mesh.advance(15 * SECOND);
    fixture.mesh.handle(address(0, 3), &Event::Draining);
    fixture.mesh.advance(2 * SECOND);
    for plane in fixture.mesh.planes() {
        let own = plane.view().local.address;
        assert_eq!(fixture.count(own, EndpointState::Ready), 39, "at {own}");
        assert_eq!(fixture.count(own, EndpointState::Draining), 1, "at {own}");
    }
}

#[test]
fn crashed_server_is_removed_from_every_view() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[10, 10], 3);
    fixture.publish_route(1);
    fixture.mesh.advance(5 * SECOND);
    fixture.mesh.crash(address(0, 4));
    fixture.mesh.advance(11 * SECOND);
    for plane in fixture.mesh.planes() {
        let own = plane.view().local.address;
        assert_eq!(fixture.count(own, EndpointState::Ready), 19, "at {own}");
        assert_eq!(fixture.count(own, EndpointState::Suspect), 0, "at {own}");
    }
}

#[test]
fn lossy_links_cause_no_false_deaths() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[12, 12], 4);
    fixture.publish_route(1);
    fixture.mesh.lost_per_million = 50_000;
    for _ in 0..120 {
        fixture.mesh.advance(SECOND);
        for plane in fixture.mesh.planes() {
            let dead = plane.state().members.iter();
            let dead = dead.filter(|entry| entry.member.liveness == Liveness::Dead);
            assert_eq!(dead.count(), 0);
        }
    }
    assert_eq!(fixture.versions().len(), 1);
}

#[test]
fn mass_failure_keeps_servers_as_suspects() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[10, 10], 5);
    fixture.publish_route(1);
    fixture.mesh.advance(5 * SECOND);
    for number in 0..6 {
        fixture.mesh.crash(address(0, number));
    }
    fixture.mesh.advance(60 * SECOND);
    // They stay suspected and are probed further, since the daemon itself may be the isolated one.
    assert_eq!(fixture.count(address(0, 9), EndpointState::Suspect), 6);
    assert_eq!(fixture.count(address(1, 0), EndpointState::Suspect), 6);
    assert_eq!(fixture.count(address(1, 0), EndpointState::Ready), 14);

    for number in 0..6 {
        fixture.restart(address(0, number));
    }
    fixture.mesh.advance(20 * SECOND);
    assert_eq!(fixture.count(address(0, 9), EndpointState::Ready), 20);
    assert!(fixture.all_serve());
}

#[test]
fn mass_failure_expires_after_the_hold_time() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[10], 6);
    fixture.publish_route(1);
    fixture.mesh.advance(5 * SECOND);
    for number in 0..5 {
        fixture.mesh.crash(address(0, number));
    }
    fixture
        .mesh
        .advance(fixture.mesh.options.hold + 30 * SECOND);
    assert_eq!(fixture.count(address(0, 9), EndpointState::Suspect), 0);
    assert_eq!(fixture.count(address(0, 9), EndpointState::Ready), 5);
}

#[test]
fn last_server_of_a_service_stays_listed_as_suspect() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[4], 7);
    fixture.publish_route(1);
    for number in 1..4 {
        fixture.announce(address(0, number), "other", true);
    }
    fixture.mesh.advance(5 * SECOND);
    fixture.mesh.crash(address(0, 0));
    fixture.mesh.advance(20 * SECOND);
    assert_eq!(
        liveness(&fixture, address(0, 1), address(0, 0)),
        Liveness::Dead
    );
    assert_eq!(fixture.count(address(0, 1), EndpointState::Suspect), 1);
    let view = fixture.mesh.plane(address(0, 1)).view();
    assert!(view.route_for("/r1/load").is_some());
}

#[test]
fn restart_at_the_same_address_is_a_new_incarnation() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[8], 8);
    fixture.publish_route(1);
    fixture.mesh.advance(5 * SECOND);
    fixture.mesh.crash(address(0, 2));
    fixture.restart(address(0, 2));
    fixture.mesh.advance(10 * SECOND);
    for plane in fixture.mesh.planes() {
        let entry = plane.state().members.get(address(0, 2)).expect("a member");
        assert_eq!(entry.member.instance.incarnation.0, 2);
        assert_eq!(entry.member.liveness, Liveness::Alive);
    }
}

#[test]
fn paused_process_does_not_serve_until_refreshed() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[8], 9);
    fixture.publish_route(1);
    fixture.mesh.advance(5 * SECOND);
    let paused = address(0, 2);
    fixture.mesh.pause(paused);
    fixture.mesh.advance(30 * SECOND);
    assert_eq!(liveness(&fixture, address(0, 1), paused), Liveness::Dead);
    let newer = fixture.publish_route(2);
    fixture.mesh.advance(5 * SECOND);
    fixture.mesh.resume(paused);
    assert!(!fixture.mesh.plane(paused).view().serving);
    fixture.mesh.advance(5 * SECOND);
    assert!(fixture.mesh.plane(paused).view().serving);
    assert_eq!(fixture.mesh.plane(paused).config().version, newer);
    assert_eq!(liveness(&fixture, address(0, 1), paused), Liveness::Alive);
    // It has not mistaken its own pause for a failure of the others.
    assert_eq!(fixture.count(paused, EndpointState::Ready), 8);
}

#[test]
fn isolated_region_keeps_serving_and_recovers() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[4, 4, 4, 4], 10);
    let first = fixture.publish_route(1);
    fixture.mesh.advance(5 * SECOND);
    let isolated = [
        "dc2".parse().expect("a name"),
        "dc3".parse().expect("a name"),
    ];
    fixture.mesh.data_centre_partitions = vec![isolated.into_iter().collect()];
    fixture.mesh.advance(60 * SECOND);
    assert!(fixture.all_serve());
    assert_eq!(fixture.count(address(0, 0), EndpointState::Ready), 8);
    assert_eq!(fixture.count(address(0, 0), EndpointState::Suspect), 8);
    // All daemons known to the other side are restarted while they cannot announce it.
    for centre in 2..4 {
        for number in 0..4 {
            fixture.restart(address(centre, number));
        }
    }
    fixture.mesh.advance(3_540 * SECOND);
    assert!(fixture.versions().contains(&first));
    fixture.mesh.data_centre_partitions.clear();
    fixture.mesh.advance(60 * SECOND);
    for plane in fixture.mesh.planes() {
        let own = plane.view().local.address;
        assert_eq!(fixture.count(own, EndpointState::Ready), 16, "at {own}");
    }
    assert_eq!(fixture.versions().len(), 1);
}

#[test]
fn clock_stepping_back_yields_a_later_incarnation() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[6], 11);
    fixture.mesh.crash(address(0, 3));
    let node = fixture.mesh.nodes.get_mut(&address(0, 3)).expect("a node");
    node.start_count = 8;
    fixture.restart(address(0, 3));
    fixture.mesh.advance(5 * SECOND);
    fixture.mesh.crash(address(0, 3));
    fixture
        .mesh
        .nodes
        .get_mut(&address(0, 3))
        .expect("a node")
        .start_count = 4;
    fixture.restart(address(0, 3));
    fixture.mesh.advance(10 * SECOND);
    let own = fixture.mesh.plane(address(0, 3)).view().local;
    assert!(own.incarnation.0 > 9, "{own}");
    let seen = fixture.mesh.plane(address(0, 1)).state();
    assert_eq!(
        seen.members
            .get(own.address)
            .expect("a member")
            .member
            .instance,
        own
    );
}

#[test]
fn split_data_centre_merges_without_log_or_seeds() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[10], 12);
    fixture.publish_route(1);
    fixture.mesh.advance(5 * SECOND);
    fixture.mesh.log.down = true;
    // The seeds, which are contacted periodically, are all on one side of the split.
    let isolated = (6..10).map(|number| address(0, number));
    fixture.mesh.daemon_partitions = vec![isolated.collect()];
    fixture.mesh.advance(300 * SECOND);
    fixture.mesh.daemon_partitions.clear();
    fixture.mesh.advance(8 * SECOND);
    for plane in fixture.mesh.planes() {
        let own = plane.view().local.address;
        assert_eq!(fixture.count(own, EndpointState::Ready), 10, "at {own}");
    }
}

#[test]
fn restarted_daemons_are_not_suspected_for_earlier_silence() {
    let mut fixture = Fixture::new(ControlOptions::time(), &[30, 30], 13);
    fixture.publish_route(1);
    fixture.mesh.advance(5 * SECOND);
    for number in 0..15 {
        fixture.mesh.crash(address(0, number));
    }
    fixture.mesh.advance(30 * SECOND);
    for number in 0..15 {
        fixture.restart(address(0, number));
    }
    for _ in 0..200 {
        fixture.mesh.advance(SECOND / 10);
        for plane in fixture.mesh.planes() {
            for entry in plane.state().members.iter() {
                let member = &entry.member;
                let is_restarted = member.instance.incarnation.0 == 2;
                assert!(
                    !is_restarted || member.liveness == Liveness::Alive,
                    "{member:?}"
                );
            }
        }
    }
}
