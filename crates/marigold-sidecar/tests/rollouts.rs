//! Tests of the daemons that decide on a roll-out, with a store that fails.

mod common;
#[path = "rollouts/fixture.rs"]
mod fixture;

use std::time::Duration;

use marigold_dispatch::RolloutState::{self, Canary, Completed, RolledBack};

use self::fixture::{Fault, Fixture};

/// Each test has the fixture of a daemon that decides on a roll-out of 12 seconds.
macro_rules! rollout_tests {
    ($($name:ident |$fixture:ident| $body:block)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            tokio::task::LocalSet::new().run_until(async {
                let mut $fixture = Fixture::new();
                $body
            }).await;
        }
    )*};
}

const SECOND: Duration = Duration::from_secs(1);

rollout_tests! {
    good_version_is_completed |fixture| {
        fixture.order("v2", "12");
        fixture.play(12 * SECOND, 0.0).await;
        fixture.expect_final(Completed);
    }

    bad_version_is_rolled_back |fixture| {
        fixture.order("v2", "12");
        fixture.play(4 * SECOND, 0.5).await;
        fixture.expect_final(RolledBack);
        fixture.play(8 * SECOND, 0.0).await;
        fixture.expect_final(RolledBack);
    }

    version_without_servers_is_rolled_back |fixture| {
        fixture.order("v9", "12");
        fixture.play(12 * SECOND, 0.0).await;
        fixture.expect_final(RolledBack);
    }

    lost_answers_of_the_store_change_no_decision |fixture| {
        fixture.store.fault.set(Fault::LoseAnswers);
        fixture.order("v2", "12");
        fixture.play(4 * SECOND, 0.5).await;
        fixture.expect_final(RolledBack);
    }

    // Guards against a decision that operators no longer find, and that daemons which start take for open.
    final_state_stays_lost_after_a_drill |fixture| {
        fixture.order("v2", "12");
        fixture.play(12 * SECOND, 0.0).await;
        fixture.expect_final(Completed);
        fixture.store.come_back(1);
        fixture.reread_order(7);
        fixture.play(2 * SECOND, 0.0).await;
        fixture.expect_final(Completed);
        assert_eq!(fixture.store.written(), 2, "it is written once");
    }

    // Guards against a second roll-out, which moves traffic that has already been moved.
    order_that_is_written_again_after_a_drill_is_rolled_out_again |fixture| {
        fixture.order("v2", "12");
        fixture.play(12 * SECOND, 0.0).await;
        fixture.store.come_back(0);
        fixture.reread_order(3);
        fixture.play(12 * SECOND, 0.9).await;
        assert_eq!(fixture.store.written(), 1, "nothing is decided again");
        assert!(fixture.store.last_status().starts_with("completed v2 3 "), "{}", fixture.store.last_status());
    }

    running_roll_out_ends_in_a_drill |fixture| {
        fixture.order("v2", "12");
        fixture.play(2 * SECOND, 0.0).await;
        assert_eq!(fixture.store.state(), Some(Canary));
        fixture.store.come_back(0);
        fixture.reread_order(2);
        fixture.play(10 * SECOND, 0.0).await;
        assert!(fixture.store.last_status().starts_with("completed v2 2 "), "{}", fixture.store.last_status());
    }

    drill_that_loses_nothing_writes_a_state_again |fixture| {
        fixture.order("v2", "12");
        fixture.play(12 * SECOND, 0.0).await;
        let written = fixture.store.written();
        for _ in 0..3 {
            fixture.store.come_back(written);
            fixture.reread_order(7);
            fixture.play(2 * SECOND, 0.0).await;
        }
        assert_eq!(fixture.store.written(), written);
    }

    // Guards against an order that another daemon has from a later history of the store, at a lower offset.
    order_with_a_lower_number_is_passed_over |fixture| {
        fixture.order("v2", "12");
        fixture.hear_of_order(7);
        assert!(!fixture.is_in_doubt());
        fixture.hear_of_order(3);
        assert!(fixture.is_in_doubt(), "the store is read");
        fixture.reread_order(3);
        assert!(!fixture.is_in_doubt());
        fixture.hear_of_order(7);
        assert!(fixture.is_in_doubt(), "the other daemon may be behind");
    }

    decision_waits_for_the_store |fixture| {
        fixture.order("v2", "12");
        fixture.play(SECOND, 0.0).await;
        fixture.store.fault.set(Fault::Away);
        fixture.play(3 * SECOND, 0.5).await;
        assert_eq!(fixture.store.state(), Some(Canary));
        fixture.store.fault.set(Fault::None);
        fixture.play(3 * SECOND, 0.5).await;
        fixture.expect_final(RolledBack);
    }

    successor_decides_if_decider_dies_before_writing |fixture| {
        fixture.order("v2", "12");
        fixture.play(SECOND, 0.5).await;
        fixture.store.fault.set(Fault::Away);
        fixture.play(3 * SECOND, 0.5).await;
        fixture.store.fault.set(Fault::None);
        fixture.restart();
        fixture.play(2 * SECOND, 0.5).await;
        fixture.expect_final(RolledBack);
    }

    two_deciders_write_one_final_state |fixture| {
        fixture.add_decider();
        fixture.add_decider();
        fixture.order("v2", "12");
        fixture.play(12 * SECOND, 0.0).await;
        fixture.expect_final(Completed);
        fixture.renew_servers();
        fixture.order("v2", "12");
        fixture.play(12 * SECOND, 0.5).await;
        fixture.expect_final(RolledBack);
    }

    successor_knows_the_deadline |fixture| {
        fixture.order("v2", "12");
        fixture.play(2 * SECOND, 0.0).await;
        fixture.store.set_began(13 * SECOND);
        fixture.restart();
        fixture.play(2 * SECOND, 0.0).await;
        fixture.expect_final(RolledBack);
    }

    final_status_of_another_writer_stands |fixture| {
        fixture.order("v2", "12");
        fixture.play(SECOND, 0.0).await;
        fixture.store.write_status("completed v2 -");
        fixture.play(10 * SECOND, 0.5).await;
        fixture.expect_final(Completed);
    }

    unreadable_status_is_replaced |fixture| {
        fixture.store.write_status("?");
        fixture.order("v2", "12");
        fixture.play(SECOND, 0.0).await;
        assert_eq!(fixture.store.state(), Some(Canary));
    }

    unreadable_order_is_left_alone |fixture| {
        fixture.order("v2", "soon");
        fixture.play(SECOND, 0.0).await;
        assert_eq!(fixture.store.state(), None::<RolloutState>);
    }

    later_order_replaces_an_open_one |fixture| {
        fixture.order("v9", "12");
        fixture.play(SECOND, 0.0).await;
        fixture.order("v2", "12");
        fixture.play(12 * SECOND, 0.0).await;
        fixture.expect_final(Completed);
        assert!(fixture.store.last_status().contains("v2"));
    }

    later_order_of_the_same_version_is_decided_anew |fixture| {
        fixture.order("v2", "12");
        fixture.play(4 * SECOND, 0.5).await;
        fixture.expect_final(RolledBack);
        fixture.renew_servers();
        fixture.order("v2", "12");
        fixture.play(SECOND, 0.0).await;
        assert_eq!(fixture.store.state(), Some(Canary));
    }
}
