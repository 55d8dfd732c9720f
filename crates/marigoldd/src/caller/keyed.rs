//! Runs requests with a key at most once. See docs/design/at-most-once.md.

use std::sync::Arc;
use std::time::Duration;

use marigold_control::View;
use marigold_request::at_most_once::{ExecutorReply, KeyError, RequestKey, Resolution};
use marigold_request::{Refusal, RefusalReason, WitnessAnswer, WitnessRequest};
use marigold_types::Outcome;
use tokio::time::Instant;

use super::attempt_record::AttemptRecord;
use super::ingress::{Call, CallResult, Ingress};
use crate::executor::RunResult;

/// How long a witness may take to seal a key.
const SEAL_TIMEOUT: Duration = Duration::from_secs(1);

impl Ingress {
    /// Sends a request with a key to the key's executor, and to no other.
    pub(super) async fn run_keyed(
        &self,
        view: &View,
        mut call: Call,
    ) -> Result<CallResult, KeyError> {
        let text = call.head.key.clone().unwrap_or_default();
        let key = RequestKey::decode_for(&text, &call.head.service, &self.shared.mesh_key)?;
        let address = key.executor.address;
        let endpoint = view
            .endpoints_of(&key.service)
            .iter()
            .find(|endpoint| endpoint.instance == key.executor);
        let mut record = endpoint.map(|endpoint| {
            self.state.record_attempt_start(endpoint);
            AttemptRecord::new(self.state.clone(), address)
        });
        self.metrics.count_attempt(0);
        let body = call.body.attempt();
        // Part of the deadline is reserved for the witness, in case the executor does not reply.
        let caller_deadline = call.deadline;
        call.deadline = caller_deadline.with_reserve(SEAL_TIMEOUT, Instant::now());
        call.head.left = call.deadline.left(Instant::now());
        let attempt_result = self.attempt(address, &mut call, body).await;
        call.deadline = caller_deadline;
        if let Some(record) = &mut record {
            record.load = attempt_result.load;
        }
        let reply = match &attempt_result.result {
            RunResult::Answered(answer) => {
                if let Some(record) = &mut record {
                    record.status = Some(answer.status);
                }
                return Ok(CallResult {
                    result: attempt_result.result,
                    attempt: record,
                });
            }
            // A result without load was produced by this daemon, not by the executor.
            RunResult::NotRun(refusal) if attempt_result.load.is_some() => {
                ExecutorReply::NotRun(*refusal)
            }
            RunResult::NotRun(refusal) => ExecutorReply::Missing(refusal.reason),
            RunResult::Unknown(_) if attempt_result.load.is_some() => ExecutorReply::Unknown,
            RunResult::Unknown(_) => ExecutorReply::Missing(RefusalReason::Unreachable),
        };
        if let Some(record) = record {
            let (outcome, reason) = match &attempt_result.result {
                RunResult::NotRun(refusal) => (Outcome::NotRun, Some(refusal.reason)),
                _ => (Outcome::Unknown, None),
            };
            record.finish(outcome, reason);
        }
        Ok(CallResult::without_attempt(
            self.resolve(&call, &key, reply, attempt_result.result)
                .await,
        ))
    }

    /// Refuses a request at this daemon, before its executor is contacted.
    ///
    /// A request with a key may already have run through another daemon, which only the witness of
    /// the key can rule out.
    pub(super) async fn refuse(&self, key: Option<&Arc<str>>, refusal: Refusal) -> RunResult {
        let text = key.cloned().unwrap_or_default();
        let Ok(key) = RequestKey::decode(&text, &self.shared.mesh_key) else {
            return RunResult::NotRun(refusal);
        };
        let request = WitnessRequest::Seal { key: text };
        let until = Instant::now() + SEAL_TIMEOUT;
        let answer = self.witnesses.ask(key.witness.address, request, until);
        match Resolution::from_seal_answer(answer.await.as_ref(), refusal.reason) {
            Resolution::NotRun(_) => RunResult::NotRun(refusal),
            _ => RunResult::unknown("refused by this daemon, and it may have run before"),
        }
    }

    /// Decides the outcome, with the witness of the key if the executor did not reply conclusively.
    async fn resolve(
        &self,
        call: &Call,
        key: &RequestKey,
        reply: ExecutorReply,
        result: RunResult,
    ) -> RunResult {
        let reason = match Resolution::from_executor_reply(reply) {
            Resolution::AskWitness(reason) => reason,
            Resolution::NotRun(refusal) => return RunResult::NotRun(refusal),
            Resolution::Answered | Resolution::Unknown => return result,
        };
        let text = call.head.key.clone().unwrap_or_default();
        let request = WitnessRequest::Seal { key: text };
        let until = call.deadline.0.min(Instant::now() + SEAL_TIMEOUT);
        let answer = self
            .witnesses
            .ask(key.witness.address, request, until)
            .await;
        match (
            Resolution::from_seal_answer(answer.as_ref(), reason),
            result,
        ) {
            (Resolution::NotRun(refusal), _) => RunResult::NotRun(refusal),
            (_, RunResult::Unknown(step)) => RunResult::Unknown(step),
            _ => RunResult::unknown(unknown_reason(answer.as_ref())),
        }
    }
}

/// Returns why it is unknown whether the request ran at an unreachable executor.
fn unknown_reason(answer: Option<&WitnessAnswer>) -> &'static str {
    match answer {
        Some(WitnessAnswer::MayHaveRun) => "the executor of the key is gone and had begun",
        Some(WitnessAnswer::Expired) => "the executor of the key is gone and the key has expired",
        Some(_) => "the executor and the witness of the key are gone",
        None => "neither the executor nor the witness of the key gave a word",
    }
}
