//! Tests of request deadlines. See docs/design/retries.md.

mod common;

use common::{interval, ms};
use marigold_request::deadline::Deadline;
use marigold_types::Interval;
use tokio::time::Instant;

#[test]
fn time_left_decreases_with_each_attempt() {
    let now = Instant::now();
    let deadline = Deadline::new(interval(1_000), None, now);
    assert_eq!(deadline.left(now), interval(1_000));
    assert_eq!(deadline.left(now + ms(400)), interval(600));
    assert_eq!(deadline.to_header(now + ms(999)), "1");
    assert!(!deadline.has_passed(now + ms(999)));
    assert!(deadline.has_passed(now + ms(1_000)));
    assert_eq!(deadline.left(now + ms(5_000)), Interval::default());
}

#[test]
fn caller_can_shorten_but_not_extend_the_deadline() {
    let now = Instant::now();
    let left = |caller| Deadline::new(interval(500), Some(interval(caller)), now).left(now);
    assert_eq!(left(200), interval(200));
    assert_eq!(left(9_000), interval(500));
}

#[test]
fn deadline_from_a_peer_is_bounded() {
    let now = Instant::now();
    let left = Deadline::after(interval(u64::MAX), now).left(now);
    assert_eq!(left, interval(86_400_000));
}

macro_rules! rejects_header {
    ($($name:ident: $text:expr;)*) => {$(
        #[test]
        fn $name() {
            let error = Deadline::parse_header($text).unwrap_err();
            assert!(error.to_string().contains("milliseconds"), "{error}");
        }
    )*};
}

rejects_header! {
    empty: "";
    zero: "0";
    negative: "-5";
    unit: "5s";
    too_long: "86400001";
    overflow: "99999999999999999999";
}

#[test]
fn parses_header() {
    assert_eq!(Deadline::parse_header(" 250 ").unwrap(), interval(250));
}

#[test]
fn reserve_leaves_time_for_the_next_step() {
    let now = Instant::now();
    let left = |left, max_reserve| {
        let deadline = Deadline::after(interval(left), now);
        deadline.with_reserve(ms(max_reserve), now).left(now)
    };
    assert_eq!(left(4_000, 1_000), interval(3_000));
    assert_eq!(left(400, 1_000), interval(300));
    assert_eq!(left(40_000, 1_000), interval(39_000));
    assert_eq!(left(0, 1_000), interval(0));
}
