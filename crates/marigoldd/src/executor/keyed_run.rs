//! A request that runs at most once here. See docs/design/at-most-once.md.

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
use super::key_table::ANSWER_BYTES;
use super::local_executor::LocalExecutor;
use super::{Answer, AnswerBody, RequestBody, RunResult};
use crate::peer::BodyError;

/// A request under a key that is new here.
struct NewRun {
    id: EntryKey,
    key: RequestKey,
    text: Arc<str>,
    print: Fingerprint,
}

impl LocalExecutor {
    /// Runs a request at most once; what has begun goes on without its caller, so that a repeat
    /// gets the answer.
    pub(super) async fn run_keyed(
        self: &Arc<Self>,
        head: CallHead,
        key: &Arc<str>,
        print: Fingerprint,
        body: RequestBody,
        deadline: Deadline,
    ) -> RunResult {
        let opened = RequestKey::decode_for(key, &head.service, &self.shared.mesh_key);
        let Ok(opened) = opened else {
            return RunResult::NotRun(Refusal::permanent(RefusalReason::KeyInvalid));
        };
        let begin = self.once.begin(&opened, digest(&head), deadline.0).await;
        let id = match begin {
            Some(BeginDecision::Run(id)) => id,
            Some(BeginDecision::Stored(answer)) => {
                return RunResult::Answered(stored(&answer));
            }
            Some(BeginDecision::NotRun(refusal)) => return RunResult::NotRun(refusal),
            Some(BeginDecision::Unknown(step)) => return RunResult::unknown(step),
            Some(BeginDecision::Wait(_)) | None => {
                return RunResult::unknown("deadline during an earlier run");
            }
        };
        let executor = self.clone();
        let new = NewRun {
            id,
            key: opened,
            text: key.clone(),
            print,
        };
        let run = async move { executor.run_new(new, &head, body, deadline).await };
        let joined = tokio::spawn(run).await;
        joined.unwrap_or_else(|_| RunResult::unknown("executor"))
    }

    /// Runs a request whose key is new here.
    async fn run_new(
        &self,
        new: NewRun,
        head: &CallHead,
        body: RequestBody,
        deadline: Deadline,
    ) -> RunResult {
        let id = new.id;
        let admitted = match self.admit(head, new.print, deadline).await {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(id, refusal),
        };
        let request = WitnessRequest::Start { key: new.text };
        let witness = new.key.witness.address;
        let answer = self.witnesses.ask(witness, request, deadline.0).await;
        if deadline.has_passed(Instant::now()) {
            return self.refuse(id, Refusal::permanent(RefusalReason::Deadline));
        }
        match self.once.start(id, answer.as_ref()) {
            StartDecision::Run => {}
            StartDecision::NotRun(refusal) => return RunResult::NotRun(refusal),
            StartDecision::Ignore => {
                return RunResult::unknown("the run of the key has ended already");
            }
        }
        let ran = self.forward(admitted, head, body, deadline).await;
        self.keep(id, ran, deadline).await
    }

    /// Says that a request with a key did not run, if the table agrees.
    fn refuse(&self, id: EntryKey, refusal: Refusal) -> RunResult {
        if self.once.refuse(id, refusal) {
            RunResult::NotRun(refusal)
        } else {
            RunResult::unknown("the run of the key has begun already")
        }
    }

    /// Keeps the answer for repeats, as far as it is small enough.
    async fn keep(&self, id: EntryKey, ran: RunResult, deadline: Deadline) -> RunResult {
        let answer = match ran {
            RunResult::Answered(answer) => answer,
            RunResult::NotRun(refusal) => {
                // Nobody else may run the key, and the table remembers that this one did not.
                self.once.finish(id, RunOutcome::NotRun(refusal));
                return RunResult::NotRun(refusal);
            }
            RunResult::Unknown(step) => {
                self.once.finish(id, RunOutcome::Lost);
                return RunResult::Unknown(step);
            }
        };
        let limit = usize::try_from(ANSWER_BYTES.0).unwrap_or(usize::MAX);
        let collected = timeout_at(deadline.0, collect_up_to(answer.body, limit)).await;
        match collected.unwrap_or_else(|_| Err(BodyError::new(&"deadline"))) {
            Ok(Collected::Whole(bytes)) => {
                let kept = StoredAnswer {
                    status: answer.status,
                    headers: answer.fields.clone(),
                    body: Arc::from(bytes.as_ref()),
                };
                self.once.finish(id, RunOutcome::Answered(kept));
                RunResult::Answered(Answer {
                    body: AnswerBody::Whole(bytes),
                    ..answer
                })
            }
            Ok(Collected::OverLimit(body)) => {
                self.once.finish(id, RunOutcome::TooLarge);
                RunResult::Answered(Answer {
                    body: AnswerBody::Stream(body),
                    ..answer
                })
            }
            Err(_) => {
                self.once.finish(id, RunOutcome::Lost);
                RunResult::unknown("answer of the backend server cut off")
            }
        }
    }
}

fn stored(answer: &StoredAnswer) -> Answer {
    Answer {
        status: answer.status,
        fields: answer.headers.clone(),
        stored: true,
        body: AnswerBody::Whole(bytes::Bytes::copy_from_slice(&answer.body)),
    }
}

/// Tells requests apart that carry one key; bodies are told apart by their length and type.
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
