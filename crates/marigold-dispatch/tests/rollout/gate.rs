//! Tests of the versions that may run requests of an ingress.

use std::time::Duration;

use marigold_dispatch::{
    Directory, RolloutOrder, RolloutState, RolloutStatus, VersionGate, VersionRule,
};
use marigold_types::LogOffset;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::common::{ms, service, site};
use crate::model::version;

struct Fixture {
    gate: VersionGate,
    directory: Directory,
    rng: ChaCha8Rng,
    now: Instant,
}

impl Fixture {
    /// Returns a gate that has known servers of `v1` for long.
    fn new() -> Self {
        let mut fixture = Self {
            gate: VersionGate::default(),
            directory: Directory::default(),
            rng: ChaCha8Rng::seed_from_u64(4),
            now: Instant::now(),
        };
        fixture.add(1, "v1");
        fixture.now += Duration::from_secs(10);
        fixture
    }

    fn add(&mut self, number: u8, text: &str) {
        let mut record = site(number, "here");
        record.version = Some(version(text));
        self.directory.put(record);
        self.gate.observe(&self.directory, self.now);
    }

    fn remove(&mut self, number: u8) {
        self.directory.remove(crate::common::address(number));
        self.gate.observe(&self.directory, self.now);
    }

    fn order(&mut self, id: u64, target: &str, state: Option<RolloutState>) {
        let order = RolloutOrder {
            id: LogOffset(id),
            service: service("desk"),
            target: version(target),
            duration: Duration::from_secs(12),
        };
        let status = state.map(|state| RolloutStatus {
            state,
            target: order.target.clone(),
            order: Some(order.id),
            began_ms: None,
        });
        let ordered_at = self.now - ms(2_000);
        let now = self.now;
        self.gate
            .update(&order, ordered_at, status.as_ref(), Some(now), now);
    }

    /// Returns how many of 1000 requests may run on a server of `text`.
    fn admitted(&mut self, text: &str, is_first: bool) -> usize {
        let desk = service("desk");
        let wanted = version(text);
        (0..1_000)
            .filter(|_| {
                match self
                    .gate
                    .rule(&desk, is_first, true, &mut self.rng, self.now)
                {
                    VersionRule::Canary { target, .. } => target == wanted,
                    rule => rule.filter().admits(Some(&wanted)),
                }
            })
            .count()
    }
}

macro_rules! gate_tests {
    ($($name:ident |$gate:ident| $body:block)*) => {$(
        #[test]
        fn $name() {
            let mut $gate = Fixture::new();
            $body
        }
    )*};
}

const CANARY: std::ops::RangeInclusive<usize> = 20..=80;

gate_tests! {
    version_without_status_gets_nothing |gate| {
        gate.add(2, "v2");
        gate.order(1, "v2", None);
        assert_eq!((gate.admitted("v2", true), gate.admitted("v1", true)), (0, 1_000));
    }

    canary_gets_small_share |gate| {
        gate.add(2, "v2");
        gate.order(1, "v2", Some(RolloutState::Canary));
        assert!(CANARY.contains(&gate.admitted("v2", true)));
        assert_eq!(gate.admitted("v2", false), 0);
    }

    canary_gets_nothing_once_status_is_old |gate| {
        gate.add(2, "v2");
        gate.order(1, "v2", Some(RolloutState::Canary));
        gate.now += Duration::from_secs(3);
        assert_eq!(gate.admitted("v2", true), 0);
    }

    shifting_grows_to_all |gate| {
        gate.add(2, "v2");
        gate.order(1, "v2", Some(RolloutState::Shifting));
        assert!((100..300).contains(&gate.admitted("v2", true)));
        gate.now += Duration::from_secs(2);
        assert_eq!((gate.admitted("v2", true), gate.admitted("v1", true)), (1_000, 0));
    }

    completed_gets_all |gate| {
        gate.add(2, "v2");
        gate.order(1, "v2", Some(RolloutState::Completed));
        assert_eq!((gate.admitted("v2", false), gate.admitted("v1", true)), (1_000, 0));
    }

    later_versions_are_used_after_completed |gate| {
        gate.add(2, "v2");
        gate.order(1, "v2", Some(RolloutState::Completed));
        gate.now += Duration::from_secs(30);
        gate.add(3, "v3");
        gate.now += Duration::from_secs(4);
        assert_eq!(gate.admitted("v3", true), 1_000);
    }

    version_that_appears_after_a_roll_out_waits_for_its_order |gate| {
        for (id, state) in [(1, RolloutState::Completed), (2, RolloutState::RolledBack)] {
            gate.add(2, "v2");
            gate.order(id, "v2", Some(state));
            gate.now += Duration::from_secs(40);
            let text = format!("v{}", id + 2);
            gate.add(3, &text);
            assert_eq!((gate.admitted(&text, true), gate.admitted("v1", true)), (0, 1_000));
            gate.now += Duration::from_secs(4);
            assert_eq!(gate.admitted(&text, true), 1_000);
        }
    }

    rolled_back_gets_nothing_even_alone |gate| {
        gate.add(2, "v2");
        gate.order(1, "v2", Some(RolloutState::RolledBack));
        assert_eq!((gate.admitted("v2", true), gate.admitted("v1", true)), (0, 1_000));
        gate.remove(1);
        assert_eq!(gate.admitted("v2", true), 0);
    }

    version_alone_is_used_whatever_the_status |gate| {
        gate.add(2, "v2");
        gate.remove(1);
        gate.order(1, "v2", None);
        assert_eq!(gate.admitted("v2", true), 1_000);
    }

    new_version_without_order_gets_small_share_for_a_while |gate| {
        gate.add(2, "v2");
        assert!(CANARY.contains(&gate.admitted("v2", true)));
        assert_eq!(gate.admitted("v2", false), 0);
        gate.now += Duration::from_secs(4);
        assert_eq!(gate.admitted("v2", true), 1_000);
    }

    replaced_order_leaves_its_version_out |gate| {
        gate.add(2, "v2");
        gate.order(1, "v2", Some(RolloutState::Canary));
        gate.add(3, "v3");
        gate.order(2, "v3", Some(RolloutState::Canary));
        assert_eq!(gate.admitted("v2", true), 0);
        assert!(CANARY.contains(&gate.admitted("v3", true)));
    }

    status_of_earlier_order_is_unknown_for_a_later_one |gate| {
        gate.add(2, "v2");
        gate.order(1, "v2", Some(RolloutState::Completed));
        gate.order(2, "v2", None);
        assert_eq!(gate.admitted("v2", true), 0);
    }

    server_of_unknown_version_gets_nothing_while_rule_excludes_versions |gate| {
        gate.add(2, "v2");
        gate.order(1, "v2", None);
        let rule = gate.gate.rule(&service("desk"), true, true, &mut gate.rng, gate.now);
        assert!(!rule.filter().admits(None));
    }
}

/// Daemons that forget all, are paused, or lose the status do not raise the total.
#[test]
fn restarts_do_not_add_exposure() {
    for seed in 0..20 {
        let mut exposed = 0;
        let mut total = 0;
        for daemon in 0..80_u64 {
            let mut gate = Fixture::new();
            gate.rng = ChaCha8Rng::seed_from_u64(seed * 100 + daemon);
            gate.add(2, "v2");
            for request in 0..120_u64 {
                if request % 7 == daemon % 7 {
                    let rng = gate.rng.clone();
                    let now = gate.now;
                    gate = Fixture::new();
                    (gate.rng, gate.now) = (rng, now);
                    gate.add(2, "v2");
                }
                let state = (request % 5 != 0).then_some(RolloutState::Canary);
                gate.order(1, "v2", state);
                let rule = gate
                    .gate
                    .rule(&service("desk"), true, true, &mut gate.rng, gate.now);
                exposed += u32::from(matches!(rule, VersionRule::Canary { .. }));
                total += 1;
            }
        }
        assert!(exposed > 0);
        assert!(exposed * 10 < total, "{exposed} of {total}");
    }
}
