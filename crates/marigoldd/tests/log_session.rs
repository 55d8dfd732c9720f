//! Tests of plans and confirmations over a log that loses responses, is slow, or is unavailable.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{FakeLog, Fault, TIME};
use marigold_auth::{MeshKey, OperatorKey};
use marigold_config::{
    Config, Confirm, ConfirmOutcome, Intent, Plan, PlanId, Reason, SignedConfirm, SignedPlan,
    State, Trust,
};
use marigold_types::{LogOffset, RecordTime, Version};
use marigoldd::admin::{AppendOutcome, LogSession, SessionError};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
const OPERATION_TIMEOUT: Duration = Duration::from_secs(10);
const MINUTE_MILLIS: u64 = 60_000;

struct Fixture {
    log: FakeLog,
    root: OperatorKey,
    trust: Trust,
    nonce: u128,
}

impl Fixture {
    fn new() -> Self {
        let root = OperatorKey::generate("root".parse().unwrap()).unwrap();
        let mesh = MeshKey::new([7; 32]);
        Self {
            log: FakeLog::default(),
            trust: Trust::new(root.operator().clone(), root.public(), &mesh),
            root,
            nonce: 0,
        }
    }

    /// Returns the session of a daemon that has just started.
    fn daemon(&self) -> LogSession {
        LogSession::new(
            Arc::new(self.log.clone()),
            self.trust.clone(),
            ATTEMPT_TIMEOUT,
        )
    }

    fn plan(&self, base: &Config, intent: &str) -> SignedPlan {
        let target = Intent::parse("mesh.ini", intent)
            .unwrap()
            .to_config(base.version);
        let expires = RecordTime(TIME.0 + 60 * MINUTE_MILLIS);
        let changes = base.changes_to(&target);
        let plan = Plan::new(base, self.root.operator().clone(), expires, changes);
        SignedPlan::sign(plan, &self.root)
    }

    fn confirm(&mut self, plan: PlanId) -> SignedConfirm {
        self.nonce += 1;
        let confirm = Confirm {
            plan,
            operator: self.root.operator().clone(),
            nonce: Uuid::from_u128(self.nonce),
            expires: RecordTime(TIME.0 + 10 * MINUTE_MILLIS),
        };
        SignedConfirm::sign(confirm, &self.root)
    }

    /// Stores a plan through `daemon`.
    async fn store(&self, daemon: &LogSession, intent: &str) -> PlanId {
        let base = daemon.refresh(deadline()).await.unwrap().config();
        let plan = self.plan(&base, intent);
        let outcome = daemon.store_plan(plan, TIME, deadline()).await.unwrap();
        match outcome {
            AppendOutcome::Known(stored) => stored.unwrap(),
            AppendOutcome::Unknown { text, .. } => panic!("{text}"),
        }
    }

    async fn state(&self) -> State {
        self.daemon().refresh(deadline()).await.unwrap()
    }
}

fn deadline() -> Instant {
    Instant::now() + OPERATION_TIMEOUT
}

fn accepted(outcome: &AppendOutcome<(ConfirmOutcome, bool)>) -> Option<(Version, bool)> {
    match outcome {
        AppendOutcome::Known((ConfirmOutcome::Accepted { version }, repeated)) => {
            Some((*version, *repeated))
        }
        _ => None,
    }
}

const DESK: &str = "[service desk]\n";
const LEDGER: &str = "[service ledger]\n";

macro_rules! confirms {
    ($($name:ident: $faults:expr => appends $appends:literal;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let mut fixture = Fixture::new();
            let daemon = fixture.daemon();
            let plan = fixture.store(&daemon, DESK).await;
            let before = fixture.log.append_count();
            fixture.log.with(|log| log.appends.extend::<Vec<Fault>>($faults.into()));
            let confirm = fixture.confirm(plan);
            let outcome = daemon.confirm(confirm, deadline()).await.unwrap();
            let (version, repeated) = accepted(&outcome).unwrap();
            assert!(!repeated);
            assert_eq!(fixture.log.append_count() - before, $appends);
            sleep(OPERATION_TIMEOUT).await;
            let state = fixture.state().await;
            assert_eq!(state.config().version, version);
            assert_eq!(state.config().declarations().len(), 1);
        }
    )*};
}

confirms! {
    without_faults: [] => appends 1;
    response_lost_after_write: [Fault::ResponseLost] => appends 1;
    response_lost_without_write: [Fault::RequestLost] => appends 2;
    response_lost_and_written_late: [Fault::WrittenLate(Duration::from_millis(700))] => appends 2;
    several_responses_lost: [Fault::RequestLost, Fault::ResponseLost] => appends 2;
    unavailable_at_first: [Fault::Unavailable, Fault::Unavailable] => appends 3;
    slow_append: [Fault::Slow(Duration::from_millis(800))] => appends 1;
    append_slower_than_attempt_timeout: [Fault::Slow(Duration::from_secs(5))] => appends 1;
}

#[tokio::test(start_paused = true)]
async fn repeated_confirmation_appends_nothing() {
    let mut fixture = Fixture::new();
    let daemon = fixture.daemon();
    let plan = fixture.store(&daemon, DESK).await;
    let first = daemon
        .confirm(fixture.confirm(plan), deadline())
        .await
        .unwrap();
    let (version, _) = accepted(&first).unwrap();
    let len = fixture.log.len();
    let again = daemon
        .confirm(fixture.confirm(plan), deadline())
        .await
        .unwrap();
    assert_eq!(accepted(&again), Some((version, true)));
    assert_eq!(fixture.log.len(), len);
}

/// When the log is unavailable before anything is written, the error says that nothing was written.
#[tokio::test(start_paused = true)]
async fn log_unavailable_before_write() {
    let mut fixture = Fixture::new();
    let daemon = fixture.daemon();
    let plan = fixture.store(&daemon, DESK).await;
    fixture.log.with(|log| log.unavailable = true);
    let started = Instant::now();
    let error = daemon
        .confirm(fixture.confirm(plan), deadline())
        .await
        .unwrap_err();
    assert!(error.to_string().contains("nothing was written"), "{error}");
    assert!(started.elapsed() <= OPERATION_TIMEOUT);
}

/// When the log becomes unavailable after a possible write, the outcome is unknown. Repeating the
/// command once the log is available again returns the outcome.
#[tokio::test(start_paused = true)]
async fn log_unavailable_after_possible_write() {
    for fault in [Fault::ResponseLost, Fault::RequestLost] {
        let mut fixture = Fixture::new();
        let daemon = fixture.daemon();
        let plan = fixture.store(&daemon, DESK).await;
        fixture.log.with(|log| {
            log.appends.push_back(fault);
            log.reads.push_back(Fault::Slow(Duration::ZERO));
            log.reads.extend([Fault::Unavailable; 100]);
            log.appends.extend([Fault::Unavailable; 100]);
        });
        let started = Instant::now();
        let outcome = daemon
            .confirm(fixture.confirm(plan), deadline())
            .await
            .unwrap();
        assert!(
            matches!(outcome, AppendOutcome::Unknown { .. }),
            "{outcome:?}"
        );
        assert!(started.elapsed() <= OPERATION_TIMEOUT + ATTEMPT_TIMEOUT);

        fixture.log.with(|log| {
            log.reads.clear();
            log.appends.clear();
        });
        let again = daemon
            .confirm(fixture.confirm(plan), deadline())
            .await
            .unwrap();
        assert!(accepted(&again).is_some(), "{again:?}");
        assert_eq!(fixture.state().await.history().entries().count(), 1);
    }
}

/// When the log accepts the record but then cannot be read, the offset is known and the outcome is
/// not.
#[tokio::test(start_paused = true)]
async fn accepted_record_cannot_be_read_back() {
    let mut fixture = Fixture::new();
    let daemon = fixture.daemon();
    let plan = fixture.store(&daemon, DESK).await;
    fixture.log.with(|log| {
        log.reads.push_back(Fault::Slow(Duration::ZERO));
        log.reads.extend([Fault::Unavailable; 100]);
    });
    let outcome = daemon
        .confirm(fixture.confirm(plan), deadline())
        .await
        .unwrap();
    let expected_offset = Some(LogOffset(1));
    assert!(matches!(outcome, AppendOutcome::Unknown { offset, .. } if offset == expected_offset));
}

/// The daemon crashes during the request, and the operator retries at another daemon.
#[tokio::test(start_paused = true)]
async fn daemon_crashes_during_confirmation() {
    for fault in [
        Fault::ResponseLost,
        Fault::RequestLost,
        Fault::WrittenLate(Duration::from_secs(3)),
    ] {
        let mut fixture = Fixture::new();
        let daemon = fixture.daemon();
        let plan = fixture.store(&daemon, DESK).await;
        fixture.log.with(|log| {
            log.appends.push_back(fault);
            log.reads.push_back(Fault::Slow(Duration::ZERO));
            log.reads.push_back(Fault::Slow(OPERATION_TIMEOUT));
        });
        let interrupted = daemon.confirm(fixture.confirm(plan), deadline());
        let cut = tokio::time::timeout(Duration::from_millis(200), interrupted).await;
        assert!(cut.is_err());
        drop(daemon);
        fixture.log.with(|log| log.reads.clear());

        let other = fixture.daemon();
        let outcome = other
            .confirm(fixture.confirm(plan), deadline())
            .await
            .unwrap();
        let (version, _) = accepted(&outcome).unwrap();
        sleep(OPERATION_TIMEOUT).await;
        assert_eq!(fixture.state().await.config().version, version);
    }
}

#[tokio::test(start_paused = true)]
async fn only_one_of_two_concurrent_confirmations_is_accepted() {
    let mut fixture = Fixture::new();
    let (one, other) = (fixture.daemon(), fixture.daemon());
    let first = fixture.store(&one, DESK).await;
    let second = fixture.store(&other, &format!("{DESK}slots = 3\n")).await;
    let (a, b) = (fixture.confirm(first), fixture.confirm(second));
    let (a, b) = tokio::join!(one.confirm(a, deadline()), other.confirm(b, deadline()));
    let wins = [&a, &b].map(|outcome| {
        outcome
            .as_ref()
            .is_ok_and(|outcome| accepted(outcome).is_some())
    });
    assert_eq!(wins.iter().filter(|won| **won).count(), 1, "{a:?} {b:?}");
    let refusal = if wins[0] { b } else { a };
    let text = format!("{refusal:?}");
    assert!(text.contains("Overtaken"), "{text}");
}

#[tokio::test(start_paused = true)]
async fn stale_plan_is_refused_before_it_is_written() {
    let mut fixture = Fixture::new();
    let daemon = fixture.daemon();
    let base = Config::default();
    let stale = fixture.plan(&base, &format!("{DESK}slots = 3\n"));
    let plan = fixture.store(&daemon, DESK).await;
    daemon
        .confirm(fixture.confirm(plan), deadline())
        .await
        .unwrap();
    let len = fixture.log.len();
    let error = daemon
        .store_plan(stale, TIME, deadline())
        .await
        .unwrap_err();
    assert!(matches!(
        error,
        SessionError::Rejected(Reason::Overtaken { .. })
    ));
    assert_eq!(fixture.log.len(), len);
}

#[tokio::test(start_paused = true)]
async fn confirming_an_unknown_plan_fails() {
    let mut fixture = Fixture::new();
    let daemon = fixture.daemon();
    let plan = fixture.plan(&Config::default(), DESK).plan.id();
    let error = daemon
        .confirm(fixture.confirm(plan), deadline())
        .await
        .unwrap_err();
    assert_eq!(error, SessionError::UnknownPlan);
}

#[tokio::test(start_paused = true)]
async fn storing_a_plan_twice_appends_it_once() {
    let fixture = Fixture::new();
    let daemon = fixture.daemon();
    let plan = fixture.plan(&Config::default(), DESK);
    fixture
        .log
        .with(|log| log.appends.push_back(Fault::ResponseLost));
    for _ in 0..2 {
        let outcome = daemon
            .store_plan(plan.clone(), TIME, deadline())
            .await
            .unwrap();
        assert_eq!(outcome, AppendOutcome::Known(Ok(plan.plan.id())));
    }
    assert_eq!(fixture.log.len(), 1);
}

/// Guards against answers from an incomplete log: a daemon that starts after records were trimmed
/// has not read them.
#[tokio::test(start_paused = true)]
async fn trimmed_log_without_checkpoint() {
    let mut fixture = Fixture::new();
    let daemon = fixture.daemon();
    let plan = fixture.store(&daemon, DESK).await;
    daemon
        .confirm(fixture.confirm(plan), deadline())
        .await
        .unwrap();
    let held = daemon.refresh(deadline()).await.unwrap().config();
    let second = fixture.store(&daemon, &format!("{DESK}{LEDGER}")).await;
    let late_daemon = fixture.daemon();
    fixture.log.with(|log| log.earliest = 2);
    let error = late_daemon
        .confirm(fixture.confirm(second), deadline())
        .await
        .unwrap_err();
    assert_eq!(error, SessionError::MissingBase);
    // A daemon that read the records before they were trimmed can still confirm.
    let outcome = daemon
        .confirm(fixture.confirm(second), deadline())
        .await
        .unwrap();
    assert!(accepted(&outcome).unwrap().0 > held.version);
}

/// Requests that wait for each other all end by their deadlines.
#[tokio::test(start_paused = true)]
async fn waiting_requests_keep_their_deadlines() {
    let fixture = Fixture::new();
    let daemon = Arc::new(fixture.daemon());
    fixture
        .log
        .with(|log| log.reads.extend([Fault::Slow(OPERATION_TIMEOUT); 100]));
    let started = Instant::now();
    let waiting = (0..4).map(|_| daemon.refresh(deadline()));
    let answers = futures_util::future::join_all(waiting).await;
    assert!(answers.iter().all(Result::is_err));
    assert!(started.elapsed() <= OPERATION_TIMEOUT + ATTEMPT_TIMEOUT);
}
