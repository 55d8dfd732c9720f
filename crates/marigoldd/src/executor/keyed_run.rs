//! Runs requests that carry a key at most once. See docs/design/at-most-once.md.

use std::sync::Arc;

use marigold_request::at_most_once::{
    BeginDecision, EntryKey, RequestKey, RunOutcome, StartDecision, StoredAnswer,
};
use marigold_request::deadline::Deadline;
use marigold_request::quarantine::Fingerprint;
use marigold_request::{CallHead, Refusal, RefusalReason, WitnessRequest};
use marigold_types::Digest;
use tokio::time::{Instant, timeout_at};

use super::collect::{Collected, collect_up_to};
use super::key_table::MAX_ANSWER_BYTES;
use super::local_executor::LocalExecutor;
use super::{Answer, AnswerBody, RequestBody, RunResult};
use crate::peer::BodyError;

/// A request whose key is new to this executor.
struct NewRun {
    id: EntryKey,
    key: RequestKey,
    encoded_key: Arc<str>,
    fingerprint: Fingerprint,
}

impl LocalExecutor {
    /// Runs a request at most once.
    ///
    /// The run continues in its own task if the caller disconnects, so that a retry gets the
    /// answer.
    pub(super) async fn run_keyed(
        self: &Arc<Self>,
        head: CallHead,
        key: &Arc<str>,
        fingerprint: Fingerprint,
        body: RequestBody,
        deadline: Deadline,
    ) -> RunResult {
        let decoded = RequestKey::decode_for(key, &head.service, &self.shared.mesh_key);
        let Ok(decoded) = decoded else {
            return RunResult::NotRun(Refusal::permanent(RefusalReason::KeyInvalid));
        };
        let begin = self
            .key_table
            .begin(&decoded, digest(&head), deadline.0)
            .await;
        let id = match begin {
            Some(BeginDecision::Run(id)) => id,
            Some(BeginDecision::Stored(answer)) => {
                return RunResult::Answered(from_stored(&answer));
            }
            Some(BeginDecision::NotRun(refusal)) => return RunResult::NotRun(refusal),
            Some(BeginDecision::Unknown(step)) => return RunResult::unknown(step),
            Some(BeginDecision::Wait(_)) | None => {
                return RunResult::unknown("deadline during an earlier run");
            }
        };
        let executor = self.clone();
        let new_run = NewRun {
            id,
            key: decoded,
            encoded_key: key.clone(),
            fingerprint,
        };
        let run = async move { executor.run_new(new_run, &head, body, deadline).await };
        let joined = tokio::spawn(run).await;
        joined.unwrap_or_else(|_| RunResult::unknown("executor"))
    }

    /// Runs a request whose key is new to this executor.
    async fn run_new(
        &self,
        new_run: NewRun,
        head: &CallHead,
        body: RequestBody,
        deadline: Deadline,
    ) -> RunResult {
        let id = new_run.id;
        let admitted = match self.admit(head, new_run.fingerprint, deadline).await {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(id, refusal),
        };
        let request = WitnessRequest::Start {
            key: new_run.encoded_key,
        };
        let witness = new_run.key.witness.address;
        let answer = self.witnesses.ask(witness, request, deadline.0).await;
        if deadline.has_passed(Instant::now()) {
            return self.refuse(id, Refusal::permanent(RefusalReason::Deadline));
        }
        match self.key_table.start(id, answer.as_ref()) {
            StartDecision::Run => {}
            StartDecision::NotRun(refusal) => return RunResult::NotRun(refusal),
            StartDecision::Ignore => {
                return RunResult::unknown("the run of the key has ended already");
            }
        }
        let result = self.forward(admitted, head, body, deadline).await;
        self.record_result(id, result, deadline).await
    }

    /// Refuses a request, as *not run* if the table confirms that it has not started.
    fn refuse(&self, id: EntryKey, refusal: Refusal) -> RunResult {
        if self.key_table.refuse(id, refusal) {
            RunResult::NotRun(refusal)
        } else {
            RunResult::unknown("the run of the key has begun already")
        }
    }

    /// Records the result of a run, and stores the answer for retries if it is small enough.
    async fn record_result(
        &self,
        id: EntryKey,
        result: RunResult,
        deadline: Deadline,
    ) -> RunResult {
        let answer = match result {
            RunResult::Answered(answer) => answer,
            RunResult::NotRun(refusal) => {
                // No other executor may run the key, and the table records that this one did not.
                self.key_table.finish(id, RunOutcome::NotRun(refusal));
                return RunResult::NotRun(refusal);
            }
            RunResult::Unknown(step) => {
                self.key_table.finish(id, RunOutcome::Lost);
                return RunResult::Unknown(step);
            }
        };
        let limit = usize::try_from(MAX_ANSWER_BYTES.0).unwrap_or(usize::MAX);
        let collected = timeout_at(deadline.0, collect_up_to(answer.body, limit)).await;
        match collected.unwrap_or_else(|_| Err(BodyError::new(&"deadline"))) {
            Ok(Collected::Whole(bytes)) => {
                let stored = StoredAnswer {
                    status: answer.status,
                    headers: answer.fields.clone(),
                    body: Arc::from(bytes.as_ref()),
                };
                self.key_table.finish(id, RunOutcome::Answered(stored));
                RunResult::Answered(Answer {
                    body: AnswerBody::Whole(bytes),
                    ..answer
                })
            }
            Ok(Collected::OverLimit(body)) => {
                self.key_table.finish(id, RunOutcome::TooLarge);
                RunResult::Answered(Answer {
                    body: AnswerBody::Stream(body),
                    ..answer
                })
            }
            Err(_) => {
                self.key_table.finish(id, RunOutcome::Lost);
                RunResult::unknown("answer of the backend server cut off")
            }
        }
    }
}

fn from_stored(answer: &StoredAnswer) -> Answer {
    Answer {
        status: answer.status,
        fields: answer.headers.clone(),
        stored: true,
        body: AnswerBody::Whole(bytes::Bytes::copy_from_slice(&answer.body)),
    }
}

/// Returns the digest that detects a key reused for another request.
///
/// Of the body, it covers only the length and the type.
fn digest(head: &CallHead) -> Digest {
    let mut text = format!("{} {}\n", head.method, head.target).into_bytes();
    for (name, value) in &head.headers {
        if matches!(&**name, "content-length" | "content-type") {
            text.extend_from_slice(name.as_bytes());
            text.push(b':');
            text.extend_from_slice(value);
            text.push(b'\n');
        }
    }
    Digest::of(&text)
}
