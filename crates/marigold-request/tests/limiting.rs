//! Limits shared by all daemons. See docs/design/admission.md.

mod common;

use std::time::Duration;

use common::{SECOND, address, config, endpoint, limit, ms, service, view};
use marigold_control::View;
use marigold_request::RefusalReason;
use marigold_request::limits::{Demand, Grant, LimitAllocator, Limiter, MilliRate, TokenBucket};
use marigold_types::{Address, CallerName};
use tokio::time::Instant;

const RATE: u64 = 200;

/// Some daemons that exchange their messages at once, unless they are cut off.
struct Mesh {
    now: Instant,
    limiters: Vec<Limiter>,
    /// The side of each daemon; different sides do not reach each other.
    sides: Vec<u8>,
}

impl Mesh {
    fn new(daemons: u16, view: &View, now: Instant) -> Self {
        let make = |host| {
            let mut limiter = Limiter::new(address(host), now);
            limiter.refresh(view, now);
            limiter
        };
        let limiters: Vec<_> = (1..=daemons).map(make).collect();
        Self {
            now,
            sides: vec![0; limiters.len()],
            limiters,
        }
    }

    fn place(at: Address) -> usize {
        let std::net::IpAddr::V4(ip) = at.0.ip() else {
            panic!("{at}")
        };
        usize::from(u16::from_be_bytes([ip.octets()[2], ip.octets()[3]])) - 1
    }

    fn exchange(&mut self) {
        for place in 0..self.limiters.len() {
            let from = address(u16::try_from(place + 1).unwrap());
            for (to, demands) in self.limiters[place].tick(self.now) {
                let keeper = Self::place(to);
                if self.sides[keeper] == self.sides[place] {
                    let grants = self.limiters[keeper].on_demand(from, &demands, self.now);
                    self.limiters[place].on_grants(&grants, self.now);
                }
            }
        }
    }

    /// Asks for `calls` in each ten milliseconds at each daemon, and returns what each passed.
    fn run(&mut self, time: Duration, calls: &[u32]) -> Vec<u64> {
        let mut passed = vec![0; calls.len()];
        let end = self.now + time;
        while self.now < end {
            self.exchange();
            for (place, calls) in calls.iter().enumerate() {
                for _ in 0..*calls {
                    let allowed = self.limiters[place].allow(&service(), None, self.now);
                    passed[place] += u64::from(allowed.is_ok());
                }
            }
            self.now += ms(10);
        }
        passed
    }
}

fn mesh(daemons: u16) -> (Mesh, View) {
    let now = Instant::now();
    let list = (1..=daemons)
        .map(|host| endpoint(host, "depot", now))
        .collect();
    let view = view(list, config(vec![limit("desk", None, RATE)]));
    (Mesh::new(daemons, &view, now), view)
}

/// The most calls that a limit lets pass in `time`: the rate and one burst at each daemon.
fn most(time: Duration, daemons: u64) -> u64 {
    RATE * time.as_secs() + RATE / 10 + daemons
}

#[test]
fn shares_follow_the_demand() {
    let (mut mesh, _) = mesh(5);
    mesh.run(20 * SECOND, &[10, 2, 0, 0, 0]);
    let passed = mesh.run(20 * SECOND, &[10, 2, 0, 0, 0]);
    let all: u64 = passed.iter().sum();
    assert!(all <= most(20 * SECOND, 5), "{passed:?}");
    assert!(all >= RATE * 20 * 85 / 100, "{passed:?}");
    assert!(passed[0] > 3 * passed[1], "{passed:?}");
}

#[test]
fn never_more_than_the_limit_from_the_first_second() {
    for daemons in [1_u16, 3, 20] {
        let (mut mesh, _) = mesh(daemons);
        let calls = vec![10; usize::from(daemons)];
        for second in 1..30 {
            let passed: u64 = mesh.run(SECOND, &calls).iter().sum();
            assert!(
                passed <= most(SECOND, daemons.into()),
                "second {second}: {passed}"
            );
        }
    }
}

#[test]
fn small_demand_is_not_refused() {
    let (mut mesh, _) = mesh(5);
    mesh.run(20 * SECOND, &[0, 1, 0, 0, 0]);
    let passed = mesh.run(10 * SECOND, &[0, 1, 0, 0, 0]);
    assert_eq!(passed[1], 1_000);
}

#[test]
fn partition_does_not_double_the_limit() {
    let (mut mesh, whole) = mesh(6);
    let calls = [5; 6];
    mesh.run(20 * SECOND, &calls);
    // Each side forgets the other, finds a keeper of its own, and goes on for half an hour.
    mesh.sides = vec![0, 0, 0, 1, 1, 1];
    let list = whole.endpoints_of(&service()).to_vec();
    for place in 0..6 {
        let side = if place < 3 {
            list[..3].to_vec()
        } else {
            list[3..].to_vec()
        };
        let seen = view(side, config(vec![limit("desk", None, RATE)]));
        mesh.limiters[place].refresh(&seen, mesh.now);
    }
    for second in 1..60 {
        let passed: u64 = mesh.run(SECOND, &calls).iter().sum();
        assert!(passed <= most(SECOND, 6), "second {second}: {passed}");
    }
    let passed: u64 = mesh.run(20 * SECOND, &calls).iter().sum();
    assert!(passed >= RATE * 20 / 2, "{passed}");
}

#[test]
fn unreachable_keeper_leaves_the_floor() {
    let (mut mesh, _) = mesh(4);
    mesh.sides = vec![0, 1, 2, 3];
    let passed = mesh.run(20 * SECOND, &[5, 5, 5, 5]);
    // Only the keeper itself has a share; the others pass their part of the floor.
    let least = RATE / 10 / 4 * 20;
    assert!(passed.iter().all(|passed| *passed >= least), "{passed:?}");
    assert!(
        passed.iter().sum::<u64>() <= most(20 * SECOND, 4),
        "{passed:?}"
    );
}

#[test]
fn callers_are_told_apart() {
    let now = Instant::now();
    let declared = config(vec![limit("clerks", Some("clerk"), 10)]);
    let view = view(vec![endpoint(1, "depot", now)], declared);
    let mut limiter = Limiter::new(address(1), now);
    limiter.refresh(&view, now);
    let clerk: CallerName = "clerk".parse().unwrap();
    let driver: CallerName = "driver".parse().unwrap();
    let mut allow = |caller: Option<&CallerName>| limiter.allow(&service(), caller, now);
    assert!(allow(Some(&clerk)).is_ok());
    let refusal = allow(Some(&clerk)).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Limited);
    assert!(refusal.retry_after.is_some());
    for _ in 0..100 {
        assert!(allow(Some(&driver)).is_ok());
        assert!(allow(None).is_ok());
    }
}

#[test]
fn removed_limit_limits_nothing() {
    let now = Instant::now();
    let list = vec![endpoint(1, "depot", now)];
    let mut limiter = Limiter::new(address(1), now);
    limiter.refresh(
        &view(list.clone(), config(vec![limit("desk", None, 1)])),
        now,
    );
    assert!(limiter.allow(&service(), None, now).is_ok());
    assert!(limiter.allow(&service(), None, now).is_err());
    let mut without = config(vec![]);
    without.version = marigold_types::Version(2);
    limiter.refresh(&view(list, without), now);
    assert!(limiter.allow(&service(), None, now).is_ok());
    assert!(limiter.tick(now).is_empty());
}

#[test]
fn keeper_never_has_more_out_than_the_limit() {
    let start = Instant::now();
    let mut keeper = LimitAllocator::new(start, 13);
    let total = MilliRate(10_000);
    assert_eq!(
        keeper.grant(address(1), total, total, start).rate,
        MilliRate(0)
    );
    let mut now = start + LimitAllocator::lease(13);
    for step in 0..1_000_u64 {
        let host = u16::try_from(step * 7 % 13).unwrap();
        let demand = MilliRate(step * 977 % 9_000);
        keeper.grant(address(host), demand, total, now);
        assert!(keeper.granted() <= total, "{}", keeper.granted());
        now += ms(step % 400);
    }
    assert!(keeper.is_idle(now + LimitAllocator::lease(13)));
}

#[test]
fn bucket_passes_its_rate() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(MilliRate(2_500), start);
    let passed = (0..10_000)
        .filter(|step| bucket.take(start + ms(*step)).is_ok())
        .count();
    assert_eq!(passed, 25);
    let mut stopped = TokenBucket::new(MilliRate(0), start);
    assert!(stopped.take(start).is_ok());
    assert_eq!(stopped.take(start + 9 * SECOND), Err(None));
}

/// The control bytes that a daemon may spend in a second.
const CONTROL_BYTES: u128 = 26 * 1024;

#[test]
fn keeper_of_the_whole_mesh_stays_within_the_control_bytes() {
    let start = Instant::now();
    let mut keeper = LimitAllocator::new(start, 3_200);
    let now = start + LimitAllocator::lease(3_200);
    let total = MilliRate(3_200_000);
    let mut lease = Duration::ZERO;
    for host in 0..3_200 {
        lease = keeper
            .grant(address(host), MilliRate(2_000), total, now)
            .lease;
    }
    assert!(keeper.granted() <= total);
    let demand = Demand {
        limit: "desk-of-drivers".into(),
        rate: MilliRate(2_000),
    };
    let limit = demand.limit.clone();
    let grant = Grant {
        limit,
        rate: MilliRate(2_000),
        lease: common::interval(60_000),
    };
    let bytes = postcard::to_allocvec(&vec![demand]).unwrap().len()
        + postcard::to_allocvec(&vec![grant]).unwrap().len();
    // Each asks again after a third of its lease.
    let each_second = 3_200 * bytes as u128 * 3_000 / lease.as_millis();
    println!("{bytes} bytes a question, {each_second} bytes a second");
    assert!(each_second <= CONTROL_BYTES, "{each_second}");
}

#[test]
fn silent_keeper_is_not_asked_ever_faster() {
    let now = Instant::now();
    let list = vec![endpoint(1, "depot", now), endpoint(2, "depot", now)];
    let declared = config(vec![limit("desk", None, 10)]);
    let mut limiter = Limiter::new(address(1), now);
    limiter.refresh(&view(list, declared), now);
    let mut questions = 0;
    for step in 0..600 {
        let now = now + ms(step * 100);
        for _ in 0..5 {
            let _ = limiter.allow(&service(), None, now);
        }
        questions += limiter.tick(now).len();
    }
    // A minute of questions, one each two seconds and a few in the first hurry.
    assert!((25..=40).contains(&questions), "{questions}");
}
