//! The load generator: its audit detects lost and duplicate runs, and its reports count every call.

use std::time::Duration;

use marigold_standin::backend::{BackendPlan, BackendStandin, RunReport};
use marigold_standin::load::{
    Audit, CallEnd, CallResult, Ledger, LoadPlan, LoadReport, LoadRoute, LoadRun,
};
use marigold_types::{Interval, Rate, SlotCount};

fn ledger(once: bool, end: Option<CallEnd>) -> Ledger {
    let mut ledger = Ledger::new("r-".to_owned());
    ledger.record_sent(7, once);
    if let Some(end) = end {
        ledger.record_refusal(&CallResult {
            number: 7,
            route: 0,
            end,
            reason: None,
            latency: Duration::ZERO,
            late: Duration::ZERO,
        });
    }
    ledger
}

/// Returns a report of a backend server that ran the call `runs` times.
fn run_report(runs: u32) -> RunReport {
    let mut report = RunReport::default();
    if runs > 0 {
        report.loads.insert("r-7".to_owned(), runs);
    }
    report
}

macro_rules! audits {
    ($($name:ident: $once:literal, $end:expr, [$($runs:literal),*] => $want:expr;)*) => {$(
        #[test]
        fn $name() {
            let audit = ledger($once, $end).audit(&[$(run_report($runs)),*]);
            assert_eq!(audit, Audit { calls: 1, ..$want });
        }
    )*};
}

audits! {
    answered_and_ran: true, Some(CallEnd::Answered(200)), [1] => Audit::default();
    answered_but_not_run: true, Some(CallEnd::Answered(200)), [0, 0]
        => Audit { answered_unrun: 1, ..Audit::default() };
    ran_twice_on_one_backend_server: true, Some(CallEnd::Answered(200)), [2]
        => Audit { doubled: 1, ..Audit::default() };
    ran_on_two_backend_servers: true, Some(CallEnd::Unknown), [1, 1]
        => Audit { doubled: 1, ..Audit::default() };
    reported_as_not_run_but_ran: true, Some(CallEnd::NotRun), [1]
        => Audit { false_not_run: 1, ..Audit::default() };
    refused_and_not_run: true, Some(CallEnd::NotRun), [0] => Audit::default();
    unknown_may_have_run: true, Some(CallEnd::Cut), [1] => Audit::default();
    unknown_may_not_have_run: true, Some(CallEnd::TimedOut), [0] => Audit::default();
    repeatable_call_ran_again: false, Some(CallEnd::Answered(200)), [2, 1]
        => Audit { reruns: 2, ..Audit::default() };
    answer_of_another_call: false, Some(CallEnd::Wrong), [1]
        => Audit { wrong_answers: 1, ..Audit::default() };
    call_without_recorded_end: false, None, [1] => Audit { unfinished: 1, ..Audit::default() };
}

#[test]
fn audit_with_overflow_is_not_clean() {
    let report = RunReport {
        overflow: 1,
        ..run_report(1)
    };
    let audit = ledger(true, Some(CallEnd::Answered(200))).audit(&[report]);
    assert!(!audit.is_clean());
}

async fn run_direct(plan: BackendPlan, path: &str) -> (LoadReport, Audit) {
    let standin = BackendStandin::start(plan).await.unwrap();
    let load = LoadPlan {
        direct: true,
        ..LoadPlan::new(
            vec![standin.address()],
            vec![path.parse().unwrap()],
            Rate(1_000),
            Interval::from_millis(100),
        )
    };
    let (report, ledger) = LoadRun::new(load).unwrap().run().await;
    let audit = ledger.audit(&[standin.state().report(ledger.prefix())]);
    (report, audit)
}

fn backend() -> BackendPlan {
    BackendPlan {
        slots: SlotCount(1_000),
        connections: 1_000,
        ..BackendPlan::new("classgit".parse().unwrap())
    }
}

macro_rules! answered_completely {
    ($($name:ident: $path:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (report, audit) = run_direct(backend(), $path).await;
            assert_eq!(report.answered(), 100, "{report:?}");
            assert_eq!(report.routes[0].failed, 0);
            assert!(audit.is_clean(), "{audit:?}");
        }
    )*};
}

answered_completely! {
    echo_of_id: "/classgit/refs";
    streamed_blob: "/classgit/blob/70001";
    pushed_body: "/classgit/push,body=70001B";
}

#[tokio::test]
async fn shed_calls_did_not_run() {
    let no_slots = BackendPlan {
        slots: SlotCount(0),
        ..backend()
    };
    let (report, audit) = run_direct(no_slots, "/classgit/refs").await;
    assert_eq!(report.not_run(), 100, "{report:?}");
    assert!(audit.is_clean(), "{audit:?}");
}

#[tokio::test]
async fn closed_port_counts_as_unreached() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let target = listener.local_addr().unwrap();
    drop(listener);
    let plan = LoadPlan::new(
        vec![target],
        vec![LoadRoute::repeatable("/x")],
        Rate(1_000),
        Interval::from_millis(10),
    );
    let (report, _) = LoadRun::new(plan).unwrap().run().await;
    assert_eq!((report.sent, report.unreached), (10, 10));
}

#[tokio::test]
async fn answer_without_outcome_is_wrong() {
    let standin = BackendStandin::start(backend()).await.unwrap();
    let plan = LoadPlan::new(
        vec![standin.address()],
        vec![LoadRoute::repeatable("/x")],
        Rate(1_000),
        Interval::from_millis(10),
    );
    let (report, _) = LoadRun::new(plan).unwrap().run().await;
    assert_eq!(report.routes[0].wrong, 10);
}

macro_rules! invalid_routes {
    ($($name:ident: $text:literal;)*) => {$(
        #[test]
        fn $name() {
            let error = $text.parse::<LoadRoute>().unwrap_err().to_string();
            assert!(error.contains("weight=N"), "{error}");
        }
    )*};
}

invalid_routes! {
    relative_path: "orders";
    zero_weight: "/orders,weight=0";
    invalid_service_name: "/orders,once=No";
    unknown_property: "/orders,speed=3";
    body_above_max_size: "/orders,body=1GB";
}
