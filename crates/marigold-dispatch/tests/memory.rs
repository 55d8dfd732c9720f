//! Whose bytes are given up when memory runs out.

use std::time::Duration;

use marigold_dispatch::{
    Claimant, Holding, HoldingKind, SMALL_BODY, STALL_TIME, longest_still, select_victim,
};
use marigold_types::ByteSize;
use tokio::time::Instant;

const SMALL: ByteSize = ByteSize(1 << 10);
const LARGE: ByteSize = ByteSize(SMALL_BODY.0 * 8);
/// Shorter than [`STALL_TIME`].
const SHORT: Duration = Duration::from_millis(100);

struct Scene {
    now: Instant,
    holdings: Vec<(u32, Holding)>,
}

impl Scene {
    fn new() -> Self {
        Self {
            now: Instant::now() + 10 * STALL_TIME,
            holdings: Vec::new(),
        }
    }

    /// Adds a holding that began and last moved so long ago.
    fn add(
        mut self,
        key: u32,
        kind: HoldingKind,
        size: ByteSize,
        ages: (Duration, Duration),
    ) -> Self {
        let holding = Holding {
            kind,
            size,
            began_at: self.now.checked_sub(ages.0).expect("a later time"),
            moved_at: self.now.checked_sub(ages.1).expect("a later time"),
            expires_at: None,
        };
        self.holdings.push((key, holding));
        self
    }

    fn request(self, key: u32, size: ByteSize, ages: (Duration, Duration)) -> Self {
        self.add(key, HoldingKind::Request, size, ages)
    }

    fn response(self, key: u32, size: ByteSize, ages: (Duration, Duration)) -> Self {
        self.add(key, HoldingKind::Response, size, ages)
    }

    fn idle(self, key: u32, age: Duration) -> Self {
        self.add(key, HoldingKind::Idle, ByteSize(0), (age, age))
    }

    /// Lets the caller of the last holding stop waiting now.
    fn expired(mut self) -> Self {
        let now = self.now;
        if let Some((_, holding)) = self.holdings.last_mut() {
            holding.expires_at = Some(now);
        }
        self
    }

    fn victim_for(&self, claimant: Claimant<u32>) -> Option<u32> {
        select_victim(self.holdings.iter().copied(), claimant, self.now)
    }
}

fn caller(key: u32, size: ByteSize) -> Claimant<u32> {
    Claimant::Caller { key, size }
}

/// Each case lists the holdings, the claimant and the holding that is given up.
macro_rules! victim_tests {
    ($($name:ident: $scene:expr, $claimant:expr => $victim:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!($scene.victim_for($claimant), $victim);
        }
    )*};
}

victim_tests! {
    nothing_is_held: Scene::new(), Claimant::Transit => None;
    longest_stalled_goes_first: Scene::new()
        .request(1, LARGE, (5 * STALL_TIME, 2 * STALL_TIME))
        .request(2, SMALL, (5 * STALL_TIME, 3 * STALL_TIME))
        .request(3, LARGE, (SHORT, SHORT)),
        caller(3, LARGE) => Some(2);
    unread_response_counts_as_stalled: Scene::new()
        .response(1, LARGE, (2 * STALL_TIME, STALL_TIME))
        .request(2, LARGE, (SHORT, SHORT)),
        caller(2, LARGE) => Some(1);
    caller_that_no_longer_waits_counts_as_stalled: Scene::new()
        .request(1, LARGE, (2 * STALL_TIME, Duration::ZERO)).expired()
        .request(2, LARGE, (SHORT, SHORT)),
        caller(2, LARGE) => Some(1);
    claimant_does_not_stall: Scene::new()
        .request(1, LARGE, (5 * STALL_TIME, 2 * STALL_TIME))
        .request(2, LARGE, (4 * STALL_TIME, SHORT)),
        caller(1, LARGE) => Some(2);
    newest_large_request_goes: Scene::new()
        .request(1, LARGE, (3 * SHORT, SHORT))
        .request(2, LARGE, (SHORT, Duration::ZERO))
        .request(3, LARGE, (2 * SHORT, SHORT)),
        caller(1, LARGE) => Some(2);
    newest_large_request_may_be_the_claimant: Scene::new()
        .request(1, LARGE, (2 * SHORT, SHORT))
        .request(2, LARGE, (SHORT, SHORT)),
        caller(2, LARGE) => Some(2);
    small_request_takes_from_a_large_one: Scene::new()
        .request(1, LARGE, (2 * SHORT, SHORT))
        .request(2, SMALL, (SHORT, SHORT)),
        caller(2, SMALL) => Some(1);
    small_request_takes_from_a_small_one: Scene::new()
        .request(1, SMALL, (2 * SHORT, SHORT))
        .request(2, SMALL, (SHORT, Duration::ZERO)),
        caller(2, SMALL) => Some(1);
    large_request_does_not_take_from_small_ones: Scene::new()
        .request(1, SMALL, (2 * SHORT, SHORT))
        .request(2, LARGE, (3 * SHORT, SHORT)),
        caller(2, LARGE) => Some(2);
    reply_takes_from_a_large_request: Scene::new()
        .request(1, LARGE, (SHORT, SHORT))
        .response(2, LARGE, (2 * SHORT, 2 * SHORT)),
        Claimant::Transit => Some(1);
    reply_takes_from_the_stillest_reader: Scene::new()
        .response(1, LARGE, (3 * SHORT, SHORT))
        .response(2, LARGE, (2 * SHORT, 2 * SHORT)),
        Claimant::Transit => Some(2);
    reply_takes_nothing_from_small_ones: Scene::new()
        .request(1, SMALL, (SHORT, SHORT)),
        Claimant::Transit => None;
    idle_connection_has_nothing_to_give: Scene::new()
        .idle(1, 5 * STALL_TIME),
        Claimant::Transit => None;
}

#[test]
fn connection_that_was_still_for_longest_is_closed() {
    let scene = Scene::new()
        .request(1, LARGE, (3 * SHORT, SHORT))
        .idle(2, 3 * SHORT)
        .idle(3, 2 * SHORT);
    assert_eq!(longest_still(scene.holdings.into_iter()), Some(2));
}
