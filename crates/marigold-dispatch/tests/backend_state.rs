//! Tracking of the instances of the backend server beside the daemon.

mod common;

use common::{announcement, ms};
use marigold_dispatch::{Announcement, AnnouncementOutcome, BackendState, ServingState};
use tokio::time::Instant;

fn draining(identity: &str, started_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        state: ServingState::Draining,
        ..announcement(identity, started_ms, sequence)
    }
}

/// Each test applies announcements, then checks the outcome of the last one and the serving instance.
macro_rules! announcement_tests {
    ($($name:ident: [$($announcement:expr),*] => $outcome:ident, $serving:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let mut state = BackendState::default();
            let mut outcome = AnnouncementOutcome::Stale;
            for announcement in [$($announcement),*] {
                outcome = state.apply_announcement(&announcement, Instant::now());
                tokio::time::advance(ms(10)).await;
            }
            let serving = state.serving().map(|instance| (&*instance.identity, instance.started_ms));
            assert_eq!((outcome, serving), (AnnouncementOutcome::$outcome, $serving));
        }
    )*};
}

announcement_tests! {
    first_announcement: [announcement("a", 1, 1)] => NewInstance, Some(("a", Some(1)));
    next_announcement: [announcement("a", 1, 1), announcement("a", 1, 2)] => Unchanged, Some(("a", Some(1)));
    repeated_announcement: [announcement("a", 1, 2), announcement("a", 1, 2)] => Stale, Some(("a", Some(1)));
    draining_instance: [announcement("a", 1, 1), draining("a", 1, 2)] => Draining, None;
    delayed_ready_does_not_undo_draining:
        [announcement("a", 1, 1), draining("a", 1, 3), announcement("a", 1, 2)] => Stale, None;
    ready_after_draining_does_not_undo_draining:
        [draining("a", 1, 3), announcement("a", 1, 4)] => Unchanged, None;
    restart_with_same_identity:
        [announcement("a", 1, 9), announcement("a", 2, 1)] => NewInstance, Some(("a", Some(2)));
    restart_after_draining:
        [draining("a", 1, 9), announcement("a", 2, 1)] => NewInstance, Some(("a", Some(2)));
    delayed_announcement_of_an_older_instance:
        [announcement("b", 5, 1), announcement("a", 1, 7)] => Stale, Some(("b", Some(5)));
    older_instance_with_same_identity:
        [announcement("a", 5, 1), announcement("a", 1, 7)] => Stale, Some(("a", Some(5)));
    replaced_instance_is_not_revived:
        [announcement("a", 1, 1), announcement("b", 2, 1), announcement("a", 1, 2)]
        => Stale, Some(("b", Some(2)));
    discovered_before_first_announcement:
        [Announcement { started_ms: None, ..announcement("a", 1, 0) }, announcement("a", 1, 7)]
        => Unchanged, Some(("a", Some(1)));
    first_announcement_is_draining: [draining("a", 1, 4)] => Draining, None;
}

#[tokio::test(start_paused = true)]
async fn departure_without_announcement_is_final() {
    let mut state = BackendState::default();
    state.apply_announcement(&announcement("a", 1, 1), Instant::now());
    assert_eq!(
        state.mark_departed("a", Instant::now()),
        AnnouncementOutcome::Draining
    );
    let outcome = state.apply_announcement(&announcement("a", 1, 2), Instant::now());
    assert_eq!(outcome, AnnouncementOutcome::Stale);
    assert!(state.serving().is_none());
}

/// A daemon that has just started may receive the departure of an instance before its announcement.
#[tokio::test(start_paused = true)]
async fn departure_of_an_unknown_instance_is_remembered() {
    let mut state = BackendState::default();
    state.mark_departed("a", Instant::now());
    let outcome = state.apply_announcement(&announcement("a", 1, 1), Instant::now());
    assert_eq!(outcome, AnnouncementOutcome::Stale);
    assert!(state.serving().is_none());
    // The record of the daemon tells the next run of it.
    let leaving = state.leaving().expect("a departure");
    assert_eq!(&*leaving.identity, "a");
    state.apply_announcement(&announcement("b", 2, 1), Instant::now());
    assert_eq!(state.leaving(), None);
}

/// Applies announcements `a` 1, then `b`, and then those of `a` with these numbers, each after `pause`. Returns the identity that
/// serves at the end; `b` goes on as well if `is_alive`.
async fn serving_after(pause: u64, is_alive: bool, numbers: &[u64]) -> String {
    let mut state = BackendState::default();
    let unborn = |identity, sequence| Announcement {
        started_ms: None,
        ..announcement(identity, 0, sequence)
    };
    state.apply_announcement(&unborn("a", 1), Instant::now());
    state.apply_announcement(&unborn("b", 1), Instant::now());
    for number in numbers {
        tokio::time::advance(ms(pause)).await;
        if is_alive {
            state.apply_announcement(&unborn("b", number + 1), Instant::now());
        }
        state.apply_announcement(&unborn("a", *number), Instant::now());
    }
    let serving = state.serving().expect("a serving instance");
    serving.identity.to_string()
}

// Guards against a worker that stays out of use, since a delayed announcement of another instance has replaced it.
#[tokio::test(start_paused = true)]
async fn announcement_of_a_gone_instance_replaces_the_real_one_for_good() {
    assert_eq!(serving_after(2_000, false, &[2, 3, 4]).await, "a");
    assert_eq!(serving_after(2_000, false, &[2, 3]).await, "b");
    assert_eq!(serving_after(2_000, true, &[2, 3, 4, 5]).await, "b");
    // A late announcement is older than the last one before the replacement.
    assert_eq!(serving_after(8_000, false, &[1]).await, "b");
}

#[tokio::test(start_paused = true)]
async fn instance_that_has_left_outlives_its_replacement() {
    let mut state = BackendState::default();
    state.apply_announcement(&announcement("a", 1, 1), Instant::now());
    state.mark_departed("a", Instant::now());
    state.apply_announcement(&announcement("b", 2, 1), Instant::now());
    tokio::time::advance(ms(20_000)).await;
    let outcome = state.apply_announcement(&announcement("a", 1, 9), Instant::now());
    assert_eq!(outcome, AnnouncementOutcome::Stale);
}
