//! Plans and confirmations over a log that loses answers, is slow, or is down.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{FakeLog, Fault, TIME};
use marigold_auth::{MeshKey, OperatorKey};
use marigold_config::{
    Config, Confirm, Intent, Plan, PlanId, Reason, SignedConfirm, SignedPlan, State, Trust, Verdict,
};
use marigold_types::{LogOffset, RecordTime, Version};
use marigoldd::admin::{Fate, LogSession, SessionError};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

const ATTEMPT: Duration = Duration::from_secs(1);
const OPERATION: Duration = Duration::from_secs(10);
const MINUTE: u64 = 60_000;

struct Bench {
    log: FakeLog,
    root: OperatorKey,
    trust: Trust,
    nonce: u128,
}

impl Bench {
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

    /// A daemon that has just started.
    fn daemon(&self) -> LogSession {
        LogSession::new(Arc::new(self.log.clone()), self.trust.clone(), ATTEMPT)
    }

    fn plan(&self, base: &Config, intent: &str) -> SignedPlan {
        let target = Intent::parse("mesh.ini", intent)
            .unwrap()
            .to_config(base.version);
        let expires = RecordTime(TIME.0 + 60 * MINUTE);
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
            expires: RecordTime(TIME.0 + 10 * MINUTE),
        };
        SignedConfirm::sign(confirm, &self.root)
    }

    /// Stores a plan through `daemon`.
    async fn store(&self, daemon: &LogSession, intent: &str) -> PlanId {
        let base = daemon.refresh(deadline()).await.unwrap().config();
        let plan = self.plan(&base, intent);
        let fate = daemon.store_plan(plan, TIME, deadline()).await.unwrap();
        match fate {
            Fate::Known(stored) => stored.unwrap(),
            Fate::NotYetKnown { text, .. } => panic!("{text}"),
        }
    }

    async fn state(&self) -> State {
        self.daemon().refresh(deadline()).await.unwrap()
    }
}

fn deadline() -> Instant {
    Instant::now() + OPERATION
}

fn accepted(fate: &Fate<(Verdict, bool)>) -> Option<(Version, bool)> {
    match fate {
        Fate::Known((Verdict::Accepted { version }, repeated)) => Some((*version, *repeated)),
        _ => None,
    }
}

const DESK: &str = "[service desk]\n";
const LEDGER: &str = "[service ledger]\n";

macro_rules! confirms {
    ($($name:ident: $faults:expr => appends $appends:literal;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let mut bench = Bench::new();
            let daemon = bench.daemon();
            let plan = bench.store(&daemon, DESK).await;
            let before = bench.log.append_count();
            bench.log.with(|log| log.appends.extend::<Vec<Fault>>($faults.into()));
            let confirm = bench.confirm(plan);
            let fate = daemon.confirm(confirm, deadline()).await.unwrap();
            let (version, repeated) = accepted(&fate).unwrap();
            assert!(!repeated);
            assert_eq!(bench.log.append_count() - before, $appends);
            sleep(OPERATION).await;
            let state = bench.state().await;
            assert_eq!(state.config().version, version);
            assert_eq!(state.config().declarations().len(), 1);
        }
    )*};
}

confirms! {
    plainly: [] => appends 1;
    answer_lost_after_write: [Fault::ResponseLost] => appends 1;
    answer_lost_without_write: [Fault::RequestLost] => appends 2;
    answer_lost_and_written_late: [Fault::WrittenLate(Duration::from_millis(700))] => appends 2;
    many_answers_lost: [Fault::RequestLost, Fault::ResponseLost] => appends 2;
    down_at_first: [Fault::Unavailable, Fault::Unavailable] => appends 3;
    slow: [Fault::Slow(Duration::from_millis(800))] => appends 1;
    slower_than_an_attempt: [Fault::Slow(Duration::from_secs(5))] => appends 1;
}

#[tokio::test(start_paused = true)]
async fn running_it_again_is_safe() {
    let mut bench = Bench::new();
    let daemon = bench.daemon();
    let plan = bench.store(&daemon, DESK).await;
    let first = daemon
        .confirm(bench.confirm(plan), deadline())
        .await
        .unwrap();
    let (version, _) = accepted(&first).unwrap();
    let len = bench.log.len();
    let again = daemon
        .confirm(bench.confirm(plan), deadline())
        .await
        .unwrap();
    assert_eq!(accepted(&again), Some((version, true)));
    assert_eq!(bench.log.len(), len);
}

/// The log is down before anything is written: that is what the operator is told.
#[tokio::test(start_paused = true)]
async fn down_before_the_write() {
    let mut bench = Bench::new();
    let daemon = bench.daemon();
    let plan = bench.store(&daemon, DESK).await;
    bench.log.with(|log| log.unavailable = true);
    let started = Instant::now();
    let error = daemon
        .confirm(bench.confirm(plan), deadline())
        .await
        .unwrap_err();
    assert!(error.to_string().contains("nothing was written"), "{error}");
    assert!(started.elapsed() <= OPERATION);
}

/// The write may have happened and the log goes down for good: not yet known, and the same command
/// tells once the log is back.
#[tokio::test(start_paused = true)]
async fn down_after_the_write() {
    for fault in [Fault::ResponseLost, Fault::RequestLost] {
        let mut bench = Bench::new();
        let daemon = bench.daemon();
        let plan = bench.store(&daemon, DESK).await;
        bench.log.with(|log| {
            log.appends.push_back(fault);
            log.reads.push_back(Fault::Slow(Duration::ZERO));
            log.reads.extend([Fault::Unavailable; 100]);
            log.appends.extend([Fault::Unavailable; 100]);
        });
        let started = Instant::now();
        let fate = daemon
            .confirm(bench.confirm(plan), deadline())
            .await
            .unwrap();
        assert!(matches!(fate, Fate::NotYetKnown { .. }), "{fate:?}");
        assert!(started.elapsed() <= OPERATION + ATTEMPT);

        bench.log.with(|log| {
            log.reads.clear();
            log.appends.clear();
        });
        let again = daemon
            .confirm(bench.confirm(plan), deadline())
            .await
            .unwrap();
        assert!(accepted(&again).is_some(), "{again:?}");
        assert_eq!(bench.state().await.history().entries().count(), 1);
    }
}

/// The log takes the record and then cannot be read: the place is known, the verdict is not.
#[tokio::test(start_paused = true)]
async fn not_read_back() {
    let mut bench = Bench::new();
    let daemon = bench.daemon();
    let plan = bench.store(&daemon, DESK).await;
    bench.log.with(|log| {
        log.reads.push_back(Fault::Slow(Duration::ZERO));
        log.reads.extend([Fault::Unavailable; 100]);
    });
    let fate = daemon
        .confirm(bench.confirm(plan), deadline())
        .await
        .unwrap();
    let place = Some(LogOffset(1));
    assert!(matches!(fate, Fate::NotYetKnown { offset, .. } if offset == place));
}

/// The daemon dies with the request under way; the operator asks another daemon.
#[tokio::test(start_paused = true)]
async fn daemon_dies_half_way() {
    for fault in [
        Fault::ResponseLost,
        Fault::RequestLost,
        Fault::WrittenLate(Duration::from_secs(3)),
    ] {
        let mut bench = Bench::new();
        let daemon = bench.daemon();
        let plan = bench.store(&daemon, DESK).await;
        bench.log.with(|log| {
            log.appends.push_back(fault);
            log.reads.push_back(Fault::Slow(Duration::ZERO));
            log.reads.push_back(Fault::Slow(OPERATION));
        });
        let dying = daemon.confirm(bench.confirm(plan), deadline());
        let cut = tokio::time::timeout(Duration::from_millis(200), dying).await;
        assert!(cut.is_err());
        drop(daemon);
        bench.log.with(|log| log.reads.clear());

        let other = bench.daemon();
        let fate = other
            .confirm(bench.confirm(plan), deadline())
            .await
            .unwrap();
        let (version, _) = accepted(&fate).unwrap();
        sleep(OPERATION).await;
        assert_eq!(bench.state().await.config().version, version);
    }
}

#[tokio::test(start_paused = true)]
async fn racing_operators_at_two_daemons() {
    let mut bench = Bench::new();
    let (one, other) = (bench.daemon(), bench.daemon());
    let first = bench.store(&one, DESK).await;
    let second = bench.store(&other, &format!("{DESK}slots = 3\n")).await;
    let (a, b) = (bench.confirm(first), bench.confirm(second));
    let (a, b) = tokio::join!(one.confirm(a, deadline()), other.confirm(b, deadline()));
    let wins = [&a, &b].map(|fate| fate.as_ref().is_ok_and(|fate| accepted(fate).is_some()));
    assert_eq!(wins.iter().filter(|won| **won).count(), 1, "{a:?} {b:?}");
    let refusal = if wins[0] { b } else { a };
    let text = format!("{refusal:?}");
    assert!(text.contains("Overtaken"), "{text}");
}

#[tokio::test(start_paused = true)]
async fn stale_plan_is_refused_before_it_is_written() {
    let mut bench = Bench::new();
    let daemon = bench.daemon();
    let base = Config::default();
    let stale = bench.plan(&base, &format!("{DESK}slots = 3\n"));
    let plan = bench.store(&daemon, DESK).await;
    daemon
        .confirm(bench.confirm(plan), deadline())
        .await
        .unwrap();
    let len = bench.log.len();
    let error = daemon
        .store_plan(stale, TIME, deadline())
        .await
        .unwrap_err();
    assert!(matches!(
        error,
        SessionError::Rejected(Reason::Overtaken { .. })
    ));
    assert_eq!(bench.log.len(), len);
}

#[tokio::test(start_paused = true)]
async fn unknown_plan() {
    let mut bench = Bench::new();
    let daemon = bench.daemon();
    let plan = bench.plan(&Config::default(), DESK).plan.id();
    let error = daemon
        .confirm(bench.confirm(plan), deadline())
        .await
        .unwrap_err();
    assert_eq!(error, SessionError::NoPlan);
}

#[tokio::test(start_paused = true)]
async fn storing_a_plan_twice() {
    let bench = Bench::new();
    let daemon = bench.daemon();
    let plan = bench.plan(&Config::default(), DESK);
    bench
        .log
        .with(|log| log.appends.push_back(Fault::ResponseLost));
    for _ in 0..2 {
        let fate = daemon
            .store_plan(plan.clone(), TIME, deadline())
            .await
            .unwrap();
        assert_eq!(fate, Fate::Known(Ok(plan.plan.id())));
    }
    assert_eq!(bench.log.len(), 1);
}

/// Records are gone while a daemon was away: it does not answer from half a log.
#[tokio::test(start_paused = true)]
async fn trimmed_log_without_base() {
    let mut bench = Bench::new();
    let daemon = bench.daemon();
    let plan = bench.store(&daemon, DESK).await;
    daemon
        .confirm(bench.confirm(plan), deadline())
        .await
        .unwrap();
    let held = daemon.refresh(deadline()).await.unwrap().config();
    let second = bench.store(&daemon, &format!("{DESK}{LEDGER}")).await;
    let newcomer = bench.daemon();
    bench.log.with(|log| log.earliest = 2);
    let error = newcomer
        .confirm(bench.confirm(second), deadline())
        .await
        .unwrap_err();
    assert_eq!(error, SessionError::Lost);
    // A daemon that read on in time still can.
    let fate = daemon
        .confirm(bench.confirm(second), deadline())
        .await
        .unwrap();
    assert!(accepted(&fate).unwrap().0 > held.version);
}

/// Several requests wait for one another and each gets its answer or its deadline.
#[tokio::test(start_paused = true)]
async fn waiting_requests_keep_their_deadlines() {
    let bench = Bench::new();
    let daemon = Arc::new(bench.daemon());
    bench
        .log
        .with(|log| log.reads.extend([Fault::Slow(OPERATION); 100]));
    let started = Instant::now();
    let waiting = (0..4).map(|_| daemon.refresh(deadline()));
    let answers = futures_util::future::join_all(waiting).await;
    assert!(answers.iter().all(Result::is_err));
    assert!(started.elapsed() <= OPERATION + ATTEMPT);
}
