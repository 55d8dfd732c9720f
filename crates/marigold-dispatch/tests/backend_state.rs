//! The lives of the backend server beside the daemon.

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

/// Names a series of announcements, what the last one is taken as, and who takes work after it.
macro_rules! lives {
    ($($name:ident: [$($news:expr),*] => $heard:ident, $serving:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let mut state = BackendState::default();
            let mut heard = AnnouncementOutcome::Stale;
            for news in [$($news),*] {
                heard = state.apply_announcement(&news, Instant::now());
                tokio::time::advance(ms(10)).await;
            }
            let serving = state.serving().map(|life| (&*life.identity, life.started_ms));
            assert_eq!((heard, serving), (AnnouncementOutcome::$heard, $serving));
        }
    )*};
}

lives! {
    first: [announcement("a", 1, 1)] => NewInstance, Some(("a", Some(1)));
    next: [announcement("a", 1, 1), announcement("a", 1, 2)] => Unchanged, Some(("a", Some(1)));
    repeated: [announcement("a", 1, 2), announcement("a", 1, 2)] => Stale, Some(("a", Some(1)));
    leaving: [announcement("a", 1, 1), draining("a", 1, 2)] => Draining, None;
    ready_of_before_undoes_no_leaving:
        [announcement("a", 1, 1), draining("a", 1, 3), announcement("a", 1, 2)] => Stale, None;
    ready_after_leaving_undoes_no_leaving:
        [draining("a", 1, 3), announcement("a", 1, 4)] => Unchanged, None;
    same_identity_started_again:
        [announcement("a", 1, 9), announcement("a", 2, 1)] => NewInstance, Some(("a", Some(2)));
    started_again_after_leaving:
        [draining("a", 1, 9), announcement("a", 2, 1)] => NewInstance, Some(("a", Some(2)));
    delayed_announcement_of_an_older_life:
        [announcement("b", 5, 1), announcement("a", 1, 7)] => Stale, Some(("b", Some(5)));
    older_life_under_the_same_identity:
        [announcement("a", 5, 1), announcement("a", 1, 7)] => Stale, Some(("a", Some(5)));
    replaced_life_does_not_come_back:
        [announcement("a", 1, 1), announcement("b", 2, 1), announcement("a", 1, 2)]
        => Stale, Some(("b", Some(2)));
    found_before_its_announcement:
        [Announcement { started_ms: None, ..announcement("a", 1, 0) }, announcement("a", 1, 7)]
        => Unchanged, Some(("a", Some(1)));
    first_seen_while_leaving: [draining("a", 1, 4)] => Draining, None;
}

#[tokio::test(start_paused = true)]
async fn leaving_without_notice_is_final() {
    let mut state = BackendState::default();
    state.apply_announcement(&announcement("a", 1, 1), Instant::now());
    assert_eq!(
        state.mark_departed("a", Instant::now()),
        AnnouncementOutcome::Draining
    );
    let heard = state.apply_announcement(&announcement("a", 1, 2), Instant::now());
    assert_eq!(heard, AnnouncementOutcome::Stale);
    assert!(state.serving().is_none());
}

/// A daemon that was just started hears of a leaving before it hears of the life.
#[tokio::test(start_paused = true)]
async fn leaving_of_an_unknown_life_is_remembered() {
    let mut state = BackendState::default();
    state.mark_departed("a", Instant::now());
    let heard = state.apply_announcement(&announcement("a", 1, 1), Instant::now());
    assert_eq!(heard, AnnouncementOutcome::Stale);
    assert!(state.serving().is_none());
}
