//! Tests of rate limits shared by all daemons. See docs/design/admission.md.

mod common;

use std::time::Duration;

use common::{SECOND, address, config, endpoint, limit, ms, service, view};
use marigold_control::View;
use marigold_request::RefusalReason;
use marigold_request::limits::{Demand, Grant, LimitAllocator, Limiter, MilliRate, TokenBucket};
use marigold_types::{Address, CallerName};
use tokio::time::Instant;

const RATE: u64 = 200;

/// Daemons that exchange messages without delay, unless they are partitioned.
struct Mesh {
    now: Instant,
    limiters: Vec<Limiter>,
    /// The network partition of each daemon; daemons reach only those in the same one.
    partitions: Vec<u8>,
}

impl Mesh {
    fn new(daemons: u16, view: &View, now: Instant) -> Self {
        let create = |host| {
            let mut limiter = Limiter::new(address(host), now);
            limiter.refresh(view, now);
            limiter
        };
        let limiters: Vec<_> = (1..=daemons).map(create).collect();
        Self {
            now,
            partitions: vec![0; limiters.len()],
            limiters,
        }
    }

    fn index_of(address: Address) -> usize {
        let std::net::IpAddr::V4(ip) = address.0.ip() else {
            panic!("{address}")
        };
        usize::from(u16::from_be_bytes([ip.octets()[2], ip.octets()[3]])) - 1
    }

    fn exchange(&mut self) {
        for index in 0..self.limiters.len() {
            let from = address(u16::try_from(index + 1).unwrap());
            for (to, demands) in self.limiters[index].tick(self.now) {
                let allocator = Self::index_of(to);
                if self.partitions[allocator] == self.partitions[index] {
                    let grants = self.limiters[allocator].on_demand(from, &demands, self.now);
                    self.limiters[index].on_grants(&grants, self.now);
                }
            }
        }
    }

    /// Makes `calls` every 10 ms at each daemon, and returns the number that each passed.
    fn run(&mut self, duration: Duration, calls: &[u32]) -> Vec<u64> {
        let mut passed = vec![0; calls.len()];
        let end = self.now + duration;
        while self.now < end {
            self.exchange();
            for (index, calls) in calls.iter().enumerate() {
                for _ in 0..*calls {
                    let allowed = self.limiters[index].allow(&service(), None, self.now);
                    passed[index] += u64::from(allowed.is_ok());
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

/// The maximum number of calls that a limit passes in `duration`, with one burst at each daemon.
fn max_passed(duration: Duration, daemons: u64) -> u64 {
    RATE * duration.as_secs() + RATE / 10 + daemons
}

#[test]
fn shares_are_proportional_to_demand() {
    let (mut mesh, _) = mesh(5);
    mesh.run(20 * SECOND, &[10, 2, 0, 0, 0]);
    let passed = mesh.run(20 * SECOND, &[10, 2, 0, 0, 0]);
    let total: u64 = passed.iter().sum();
    assert!(total <= max_passed(20 * SECOND, 5), "{passed:?}");
    assert!(total >= RATE * 20 * 85 / 100, "{passed:?}");
    assert!(passed[0] > 3 * passed[1], "{passed:?}");
}

#[test]
fn limit_is_never_exceeded_from_the_first_second() {
    for daemons in [1_u16, 3, 20] {
        let (mut mesh, _) = mesh(daemons);
        let calls = vec![10; usize::from(daemons)];
        for second in 1..30 {
            let passed: u64 = mesh.run(SECOND, &calls).iter().sum();
            assert!(
                passed <= max_passed(SECOND, daemons.into()),
                "second {second}: {passed}"
            );
        }
    }
}

#[test]
fn demand_below_the_limit_is_not_refused() {
    let (mut mesh, _) = mesh(5);
    mesh.run(20 * SECOND, &[0, 1, 0, 0, 0]);
    let passed = mesh.run(10 * SECOND, &[0, 1, 0, 0, 0]);
    assert_eq!(passed[1], 1_000);
}

#[test]
fn partition_does_not_double_the_limit() {
    let (mut mesh, full_view) = mesh(6);
    let calls = [5; 6];
    mesh.run(20 * SECOND, &calls);
    // Each partition removes the other from its view and chooses its own allocator.
    mesh.partitions = vec![0, 0, 0, 1, 1, 1];
    let list = full_view.endpoints_of(&service()).to_vec();
    for index in 0..6 {
        let visible = if index < 3 {
            list[..3].to_vec()
        } else {
            list[3..].to_vec()
        };
        let partial_view = view(visible, config(vec![limit("desk", None, RATE)]));
        mesh.limiters[index].refresh(&partial_view, mesh.now);
    }
    for second in 1..60 {
        let passed: u64 = mesh.run(SECOND, &calls).iter().sum();
        assert!(passed <= max_passed(SECOND, 6), "second {second}: {passed}");
    }
    let passed: u64 = mesh.run(20 * SECOND, &calls).iter().sum();
    assert!(passed >= RATE * 20 / 2, "{passed}");
}

#[test]
fn floor_is_passed_while_the_allocator_is_unreachable() {
    let (mut mesh, _) = mesh(4);
    mesh.partitions = vec![0, 1, 2, 3];
    let passed = mesh.run(20 * SECOND, &[5, 5, 5, 5]);
    // Only the allocating daemon itself has a share; the others pass their part of the floor.
    let least = RATE / 10 / 4 * 20;
    assert!(passed.iter().all(|passed| *passed >= least), "{passed:?}");
    assert!(
        passed.iter().sum::<u64>() <= max_passed(20 * SECOND, 4),
        "{passed:?}"
    );
}

#[test]
fn limit_of_one_caller_does_not_affect_others() {
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
fn removed_limit_is_not_enforced() {
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
fn leased_shares_never_exceed_the_limit() {
    let start = Instant::now();
    let mut allocator = LimitAllocator::new(start, 13);
    let total = MilliRate(10_000);
    assert_eq!(
        allocator.grant(address(1), total, total, start).rate,
        MilliRate(0)
    );
    let mut now = start + LimitAllocator::lease(13);
    for step in 0..1_000_u64 {
        let host = u16::try_from(step * 7 % 13).unwrap();
        let demand = MilliRate(step * 977 % 9_000);
        allocator.grant(address(host), demand, total, now);
        assert!(allocator.granted() <= total, "{}", allocator.granted());
        now += ms(step % 400);
    }
    assert!(allocator.is_idle(now + LimitAllocator::lease(13)));
}

#[test]
fn bucket_passes_calls_at_its_rate() {
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

/// The bandwidth of a daemon for control traffic, in bytes per second.
const MAX_CONTROL_BYTES_PER_SECOND: u128 = 26 * 1024;

#[test]
fn allocator_for_the_whole_mesh_stays_within_the_control_bandwidth() {
    let start = Instant::now();
    let mut allocator = LimitAllocator::new(start, 3_200);
    let now = start + LimitAllocator::lease(3_200);
    let total = MilliRate(3_200_000);
    let mut lease = Duration::ZERO;
    for host in 0..3_200 {
        lease = allocator
            .grant(address(host), MilliRate(2_000), total, now)
            .lease;
    }
    assert!(allocator.granted() <= total);
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
    // Each daemon renews its share after a third of the lease.
    let bytes_per_second = 3_200 * bytes as u128 * 3_000 / lease.as_millis();
    println!("{bytes} bytes per exchange, {bytes_per_second} bytes per second");
    assert!(
        bytes_per_second <= MAX_CONTROL_BYTES_PER_SECOND,
        "{bytes_per_second}"
    );
}

#[test]
fn demands_to_an_unresponsive_allocator_are_backed_off() {
    let now = Instant::now();
    let list = vec![endpoint(1, "depot", now), endpoint(2, "depot", now)];
    let declared = config(vec![limit("desk", None, 10)]);
    let mut limiter = Limiter::new(address(1), now);
    limiter.refresh(&view(list, declared), now);
    let mut demands = 0;
    for step in 0..600 {
        let now = now + ms(step * 100);
        for _ in 0..5 {
            let _ = limiter.allow(&service(), None, now);
        }
        demands += limiter.tick(now).len();
    }
    // One demand every two seconds for a minute, and a few at shorter intervals at the start.
    assert!((25..=40).contains(&demands), "{demands}");
}
