//! Which executor a request goes to.

mod common;

use std::net::SocketAddr;

use common::{address, data_centre, kind, ms, report, service, site};
use marigold_dispatch::{Directory, Placement, Wanted};
use marigold_request::router::Sign;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// Two executors here, two there; all heard, none busy.
struct World {
    directory: Directory,
    placement: Placement,
    rng: ChaCha8Rng,
    now: Instant,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            directory: Directory::default(),
            placement: Placement::new(data_centre("here"), ms(60)),
            rng: ChaCha8Rng::seed_from_u64(7),
            now: Instant::now(),
        };
        for (number, place) in [(1, "here"), (2, "here"), (3, "there"), (4, "there")] {
            world.directory.put(site(number, place));
            world.heard(number, 0, 0);
            world.ran(number, 50, 100);
        }
        world
    }

    fn heard(&mut self, number: u8, busy: u32, queued: u32) {
        let track = self.placement.track(address(number), self.now);
        track.reported(report(busy, queued), self.now);
    }

    fn ran(&mut self, number: u8, run: u64, bytes: usize) {
        self.placement
            .ran(address(number), &kind("read"), ms(run), bytes, self.now);
    }

    fn choose(&mut self, bytes: u64, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let wanted = Wanted {
            service: &service("desk"),
            kind: &kind("read"),
            bytes,
            tried,
        };
        self.placement
            .choose(&self.directory, &wanted, &mut self.rng, self.now)
            .map(|choice| choice.address)
    }

    /// Returns how often each executor is chosen in 100 choices.
    fn spread(&mut self) -> [usize; 4] {
        let mut counts = [0; 4];
        for _ in 0..100 {
            if let Some(chosen) = self.choose(0, &[]) {
                let place = (1..=4).position(|number| address(number) == chosen);
                counts[place.expect("a known executor")] += 1;
            }
        }
        counts
    }
}

#[tokio::test(start_paused = true)]
async fn stays_in_its_data_centre() {
    let counts = World::new().spread();
    assert_eq!(counts[2] + counts[3], 0, "{counts:?}");
    assert!(counts[0] > 20 && counts[1] > 20, "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn leaves_its_data_centre_when_the_line_costs_more_than_the_bytes() {
    let mut world = World::new();
    world.heard(1, 4, 16);
    world.heard(2, 4, 16);
    let counts = world.spread();
    assert_eq!(counts[0] + counts[1], 0, "{counts:?}");
}

/// A burst in one data centre: large answers stay where small ones leave.
#[tokio::test(start_paused = true)]
async fn large_answers_stay_longer() {
    let mut world = World::new();
    world.heard(1, 4, 8);
    world.heard(2, 4, 8);
    assert!(world.choose(0, &[]) >= Some(address(3)));
    for _ in 0..200 {
        world.ran(1, 50, 20_000);
    }
    assert!(world.choose(0, &[]) <= Some(address(2)));
}

#[tokio::test(start_paused = true)]
async fn prefers_the_faster_of_two() {
    let mut world = World::new();
    for _ in 0..40 {
        world.ran(1, 120, 100);
        world.ran(2, 50, 100);
    }
    let counts = world.spread();
    assert!(counts[1] > 80, "{counts:?}");
}

#[tokio::test(start_paused = true)]
async fn passes_over_what_was_tried() {
    let mut world = World::new();
    let tried = [address(1), address(2), address(3)];
    assert_eq!(world.choose(0, &tried), Some(address(4)));
}

/// The final fault of a day: executors that are gone for good still have their records.
#[tokio::test(start_paused = true)]
async fn a_refusal_does_not_lead_to_an_unreachable_executor() {
    let mut world = World::new();
    for number in 1..=4 {
        world
            .placement
            .track(address(number), world.now)
            .unreachable();
    }
    // Without any better one, an unreachable one is tried.
    assert!(world.choose(0, &[]).is_some());
    assert_eq!(world.choose(0, &[address(1)]), None);
}

#[tokio::test(start_paused = true)]
async fn an_executor_that_was_never_heard_gets_no_work_beside_others() {
    let mut world = World::new();
    world.directory.put(site(5, "here"));
    for _ in 0..100 {
        assert_ne!(world.choose(0, &[]), Some(address(5)));
    }
}

#[tokio::test(start_paused = true)]
async fn a_failing_executor_is_left_out() {
    let mut world = World::new();
    for _ in 0..5 {
        world
            .placement
            .judge(&world.directory, address(1), Sign::Bad, world.now);
    }
    let counts = world.spread();
    assert_eq!(counts[0], 0, "{counts:?}");
}

/// All servers of a service fail a part of their requests: half of them at least stay in use.
#[tokio::test(start_paused = true)]
async fn half_of_a_service_stays_in_use() {
    let mut world = World::new();
    for _ in 0..20 {
        for number in 1..=4 {
            world
                .placement
                .judge(&world.directory, address(number), Sign::Bad, world.now);
        }
    }
    let takes = (1..=4)
        .filter(|number| {
            let track = world.placement.track(address(*number), world.now);
            track.takes_calls(world.now)
        })
        .count();
    assert_eq!(takes, 2);
}

#[tokio::test(start_paused = true)]
async fn an_executor_with_another_service_gets_nothing() {
    let mut world = World::new();
    let mut other = report(0, 0);
    other.service = Some(service("ledger"));
    let track = world.placement.track(address(1), world.now);
    track.reported(other, world.now);
    let counts = world.spread();
    assert_eq!(counts[0], 0, "{counts:?}");
}
