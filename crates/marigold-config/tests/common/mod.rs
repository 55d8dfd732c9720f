//! A test mesh with three operators and an in-memory log.

#![allow(dead_code, reason = "each test binary uses only some of these items")]

use marigold_auth::{MeshKey, OperatorKey};
use marigold_config::{
    Config, Confirm, ConfirmationRecord, DecidedRecord, Decision, Intent, LogReader, Plan, PlanId,
    Record, SignedConfirm, SignedPlan, State, Trust,
};
use marigold_log::{Batch, StoredRecord};
use marigold_types::{LogOffset, RecordTime};
use uuid::Uuid;

/// 2026-01-05 06:00 UTC, a Monday.
pub const MONDAY_MORNING: u64 = 1_767_571_200_000 + 6 * HOUR;
pub const HOUR: u64 = 3_600_000;

pub struct Mesh {
    pub root: OperatorKey,
    pub ann: OperatorKey,
    pub bob: OperatorKey,
    pub trust: Trust,
    pub log: Vec<StoredRecord>,
    pub earliest: u64,
    pub time: u64,
    nonce: u128,
}

impl Mesh {
    pub fn new() -> Self {
        let key = |name: &str| OperatorKey::generate(name.parse().unwrap()).unwrap();
        let root = key("root");
        let trust = Trust::new(
            root.operator().clone(),
            root.public(),
            &MeshKey::new([7; 32]),
        );
        Self {
            root,
            ann: key("ann"),
            bob: key("bob"),
            trust,
            log: Vec::new(),
            earliest: 0,
            time: MONDAY_MORNING,
            nonce: 0,
        }
    }

    /// Creates a mesh whose first version lets ann change routes, services and limits at any time,
    /// and bob routes during the day.
    pub fn started() -> Self {
        let mut mesh = Self::new();
        let intent = mesh.base_intent("");
        let plan = mesh.plan(&mesh.root, &Config::default(), &intent);
        mesh.store(&plan);
        mesh.confirm(&plan);
        mesh
    }

    /// Returns the intent of the first version, followed by the sections in `extra`.
    pub fn base_intent(&self, extra: &str) -> String {
        format!(
            "[operator ann]\nkey = {}\n[operator bob]\nkey = {}\n\
            [rule ann]\noperator = ann\nresources = route:*, service:*, limit:*\n\
            [rule bob]\noperator = bob\nresources = route:*\nwindow = mon-fri 06:00-18:00\n\
            [service desk]\n[service ledger]\n\
            [route orders]\npath = /orders\nservice = desk\n{extra}",
            self.ann.public(),
            self.bob.public()
        )
    }

    pub fn plan(&self, key: &OperatorKey, base: &Config, intent: &str) -> SignedPlan {
        let intent = Intent::parse("mesh.ini", intent).unwrap_or_else(|faults| panic!("{faults}"));
        let target = intent.to_config(base.version);
        let expires = RecordTime(self.time + HOUR);
        let changes = base.changes_to(&target);
        SignedPlan::sign(
            Plan::new(base, key.operator().clone(), expires, changes),
            key,
        )
    }

    pub fn append(&mut self, data: String) -> LogOffset {
        let offset = LogOffset(self.log.len() as u64);
        let time = RecordTime(self.time);
        self.log.push(StoredRecord { offset, time, data });
        offset
    }

    pub fn store(&mut self, plan: &SignedPlan) -> LogOffset {
        self.append(Record::Plan(plan.clone()).to_string())
    }

    /// Appends a confirmation by the plan's author.
    pub fn confirm(&mut self, plan: &SignedPlan) -> LogOffset {
        let record = self.confirmation(plan, &plan.plan.operator.to_string());
        self.append(record.to_string())
    }

    pub fn confirmation(&mut self, plan: &SignedPlan, operator: &str) -> Record {
        self.nonce += 1;
        let key = [&self.root, &self.ann, &self.bob]
            .into_iter()
            .find(|key| key.operator().as_str() == operator)
            .unwrap();
        let confirm = Confirm {
            plan: plan.plan.id(),
            operator: key.operator().clone(),
            nonce: Uuid::from_u128(self.nonce),
            expires: RecordTime(self.time + 10 * 60_000),
        };
        Record::Confirm(ConfirmationRecord {
            confirm: SignedConfirm::sign(confirm, key),
            plan: plan.clone(),
        })
    }

    pub fn batch(&self, from: LogOffset, limit: usize) -> Batch {
        let start = usize::try_from(from.0.max(self.earliest)).unwrap();
        Batch {
            records: self.log.iter().skip(start).take(limit).cloned().collect(),
            earliest: LogOffset(self.earliest),
            end: LogOffset(self.log.len() as u64),
        }
    }

    /// Applies the whole log to a new state.
    pub fn replay(&self) -> (State, Vec<Decision>) {
        let mut state = State::new(self.trust.clone());
        let decisions = self.log.iter().map(|record| state.apply(record)).collect();
        (state, decisions)
    }

    pub fn config(&self) -> Config {
        Config::clone(&self.replay().0.config())
    }

    /// Lets `reader` read until it has caught up, or has reached the end without a base.
    pub fn read(&self, reader: &mut LogReader, limit: usize) -> Vec<DecidedRecord> {
        let mut decided = Vec::new();
        for _ in 0..10_000 {
            if reader.next().0 < self.earliest {
                reader.apply_trim(LogOffset(self.earliest));
                continue;
            }
            decided.extend(reader.apply_batch(&self.batch(reader.next(), limit)));
            let done = reader.next().0 >= self.log.len() as u64;
            if done && (reader.is_caught_up() || reader.is_missing_base()) {
                return decided;
            }
        }
        panic!("the reader does not reach the end of the log");
    }

    pub fn reader(&self, limit: usize) -> LogReader {
        let mut reader = LogReader::new(self.trust.clone());
        self.read(&mut reader, limit);
        reader
    }
}

/// Returns the plan of an accepted confirmation.
pub fn accepted(decision: &Decision) -> Option<PlanId> {
    match decision {
        Decision::Accepted { plan, .. } => Some(*plan),
        _ => None,
    }
}

/// Returns the text of a rejection.
pub fn explain(decision: &Decision) -> String {
    match decision {
        Decision::Rejected { reason, .. } => reason.to_string(),
        other => panic!("not rejected: {other:?}"),
    }
}
