//! Requests that crash backend servers. See docs/design/crashing-requests.md.

mod common;

use std::collections::BTreeSet;

use common::{SECOND, instance, interval, ms};
use marigold_request::RefusalReason;
use marigold_request::quarantine::{Crash, Fingerprint, Quarantine, Sentence, Standing};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

const TERM_MS: u64 = 300_000;

fn print(number: u8) -> Fingerprint {
    Fingerprint([number; 16])
}

fn quarantine(host: u16) -> Quarantine {
    Quarantine::new(instance(host, 1), interval(TERM_MS))
}

fn share(from: &mut Quarantine, to: &mut Quarantine, now: Instant) {
    let news = from.take_news(now);
    to.receive(&news, now);
}

#[test]
fn one_request_costs_two_backend_servers() {
    let now = Instant::now();
    let mut daemons: Vec<_> = (1..=5).map(quarantine).collect();
    let (killer, innocent) = (print(1), print(2));
    let mut crashes = 0;
    // Its caller sends it again and again, through one daemon after another.
    for turn in 0..20 {
        let at = turn % 5;
        match daemons[at].standing(&killer, now) {
            Standing::Refused(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::Quarantined);
                assert!(refusal.retry_after.is_some());
                continue;
            }
            Standing::Free => drop(daemons[at].started(innocent)),
            Standing::Suspect => {}
        }
        let _ = daemons[at].started(killer);
        daemons[at].crashed(now);
        crashes += 1;
        let news = daemons[at].take_news(now);
        for daemon in &mut daemons {
            daemon.receive(&news, now);
        }
    }
    assert_eq!(crashes, 2);
    // The one beside it at the first crash runs alone and is cleared everywhere.
    assert_eq!(daemons[3].standing(&innocent, now), Standing::Suspect);
    let run = daemons[3].started(innocent);
    daemons[3].answered(run, now);
    let news = daemons[3].take_news(now);
    for daemon in &mut daemons {
        daemon.receive(&news, now);
        assert_eq!(daemon.standing(&innocent, now), Standing::Free);
        assert!(matches!(
            daemon.standing(&killer, now),
            Standing::Refused(_)
        ));
    }
}

#[test]
fn refusal_expires() {
    let now = Instant::now();
    let mut daemon = quarantine(1);
    for _ in 0..2 {
        let _ = daemon.started(print(1));
        daemon.crashed(now);
    }
    assert!(matches!(
        daemon.standing(&print(1), now + 299 * SECOND),
        Standing::Refused(_)
    ));
    assert_eq!(
        daemon.standing(&print(1), now + 300 * SECOND),
        Standing::Free
    );
    assert!(daemon.is_empty());
}

#[test]
fn one_crash_reported_by_many_counts_once() {
    let now = Instant::now();
    let (mut one, mut other) = (quarantine(1), quarantine(2));
    one.lost(instance(9, 1), &[print(1)], now);
    other.lost(instance(9, 1), &[print(1)], now);
    other.lost(instance(9, 1), &[print(1)], now);
    share(&mut one, &mut other, now);
    assert_eq!(other.standing(&print(1), now), Standing::Suspect);
    other.lost(instance(9, 2), &[print(1)], now);
    assert!(matches!(
        other.standing(&print(1), now),
        Standing::Refused(_)
    ));
}

#[test]
fn another_crash_outweighs_a_clearance() {
    let now = Instant::now();
    let mut daemon = quarantine(1);
    let _ = daemon.started(print(1));
    daemon.crashed(now);
    let run = daemon.started(print(1));
    daemon.answered(run, now);
    assert_eq!(daemon.standing(&print(1), now), Standing::Free);
    let _ = daemon.started(print(1));
    daemon.crashed(now);
    assert!(matches!(
        daemon.standing(&print(1), now),
        Standing::Refused(_)
    ));
}

#[test]
fn only_what_was_in_flight_is_suspected() {
    let now = Instant::now();
    let mut daemon = quarantine(1);
    let runs = [1, 2, 3].map(|number| daemon.started(print(number)));
    daemon.ended(runs[0]);
    daemon.answered(runs[1], now);
    daemon.crashed(now);
    let standings = [1, 2, 3].map(|number| daemon.standing(&print(number), now));
    assert_eq!(
        standings,
        [Standing::Free, Standing::Free, Standing::Suspect]
    );
}

#[test]
fn memory_is_bounded_and_refusals_outlive_suspicions() {
    let now = Instant::now();
    let mut daemon = quarantine(1);
    for _ in 0..2 {
        let _ = daemon.started(print(0));
        daemon.crashed(now);
    }
    for number in 0..5_000_u128 {
        let _ = daemon.started(Fingerprint((number + 1).to_be_bytes()));
        daemon.crashed(now + ms(1));
    }
    assert!(daemon.len() <= 1_024, "{}", daemon.len());
    assert!(matches!(
        daemon.standing(&print(0), now + ms(2)),
        Standing::Refused(_)
    ));
    assert!(daemon.take_news(now).len() <= 1_024);
}

#[test]
fn late_news_does_not_extend_a_term() {
    let now = Instant::now();
    let (mut one, mut other) = (quarantine(1), quarantine(2));
    let _ = one.started(print(1));
    one.crashed(now);
    let old = one.take_news(now);
    other.receive(&old, now);
    // The same news comes again, long delayed, and changes nothing.
    other.receive(&old, now + 200 * SECOND);
    assert_eq!(
        other.standing(&print(1), now + 301 * SECOND),
        Standing::Free
    );
}

/// Daemons that hear the same news in any order, each any number of times, agree.
#[test]
fn order_of_news_does_not_matter() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..500 {
        let sentence = |rng: &mut ChaCha8Rng| {
            let crash = |number| Crash {
                instance: instance(1, 1),
                number,
            };
            let crashes: BTreeSet<_> = (0..rng.random_range(1..3))
                .map(|_| crash(rng.random_range(0..3)))
                .collect();
            let cleared = rng.random_bool(0.3);
            Sentence {
                fingerprint: print(1),
                crashes,
                cleared,
                left: interval(1_000),
            }
        };
        let mut news: Vec<_> = (0..4).map(|_| sentence(&mut rng)).collect();
        let fold = |news: &[Sentence]| {
            let mut joined = news[0].clone();
            for sentence in news {
                joined.merge(sentence);
            }
            joined
        };
        let first = fold(&news);
        news.shuffle(&mut rng);
        let second = fold(&news);
        assert_eq!(first.is_refused(), second.is_refused(), "{news:?}");
        assert_eq!(first.crashes, second.crashes, "{news:?}");
    }
}

#[test]
fn late_end_of_an_earlier_life_is_not_taken_for_another_run() {
    let now = Instant::now();
    let mut daemon = quarantine(1);
    let first = daemon.started(print(1));
    daemon.crashed(now);
    let _ = daemon.started(print(1));
    daemon.ended(first);
    daemon.crashed(now);
    assert!(matches!(
        daemon.standing(&print(1), now),
        Standing::Refused(_)
    ));
}
