//! Runs requests on the backend server beside the daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use http_body_util::BodyExt;
use marigold_request::admission::AdmitRequest;
use marigold_request::deadline::Deadline;
use marigold_request::once::{Begin, EntryKey, Finish, RequestKey, Start, StoredAnswer};
use marigold_request::{CallHead, LoadReport, Refusal, RefusalReason, WitnessRequest};
use marigold_types::Digest;
use tokio::time::{Instant, timeout_at};

use super::backend_call::BackendCall;
use super::backend_pool::{BackendConnection, BackendPool};
use super::collect::{Collected, collect};
use super::in_flight::{Counted, InFlight};
use super::once::{ANSWER_BYTES, Once};
use super::slots::{Slot, Slots};
use super::witnesses::Witnesses;
use super::{Answer, AnswerBody, RETRY_DELAY, Ran, RequestBody};
use crate::peer::CutError;
use crate::{BackendServer, Shared};

/// The backend server that has announced itself.
pub(super) struct Target {
    pub(super) server: BackendServer,
    pub(super) pool: Arc<BackendPool>,
}

/// What a request holds while it runs.
struct Admitted {
    slot: Slot,
    pool: Arc<BackendPool>,
    connection: BackendConnection,
    counted: Counted,
}

/// The only way to the backend server beside the daemon.
pub struct LocalExecutor {
    pub(super) shared: Arc<Shared>,
    pub(super) slots: Arc<Slots>,
    pub(super) once: Arc<Once>,
    pub(super) witnesses: Arc<Witnesses>,
    pub(super) target: ArcSwapOption<Target>,
    in_flight: Arc<InFlight>,
    /// Milliseconds from `start` to the last answer, plus one; zero while there was none.
    answered: AtomicU64,
    start: Instant,
}

impl LocalExecutor {
    /// Builds the executor of a daemon whose backend server has not announced itself yet.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        witnesses: Arc<Witnesses>,
        in_flight: Arc<InFlight>,
    ) -> Arc<Self> {
        let request = &shared.settings.request;
        Arc::new(Self {
            slots: Slots::new(request.queue),
            once: Arc::new(Once::new(shared.local, request.keys)),
            witnesses,
            target: ArcSwapOption::empty(),
            in_flight,
            answered: AtomicU64::new(0),
            start: Instant::now(),
            shared,
        })
    }

    /// Returns how busy the backend server is.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.slots.load()
    }

    /// Returns when the backend server last answered a request.
    #[must_use]
    pub fn answered_at(&self) -> Option<Instant> {
        let millis = self.answered.load(Ordering::Relaxed).checked_sub(1)?;
        Some(self.start + Duration::from_millis(millis))
    }

    fn note_answer(&self) {
        let millis = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX - 1);
        self.answered.store(millis + 1, Ordering::Relaxed);
    }

    /// Runs a request; dropping the future cancels it, unless it has a key.
    pub async fn run(self: &Arc<Self>, head: CallHead, body: RequestBody) -> Ran {
        let deadline = Deadline::after(head.left, Instant::now());
        match head.key.clone() {
            None => self.run_plain(&head, body, deadline).await,
            Some(key) => self.run_keyed(head, &key, body, deadline).await,
        }
    }

    async fn run_plain(&self, head: &CallHead, body: RequestBody, deadline: Deadline) -> Ran {
        match self.admit(head, deadline).await {
            Ok(admitted) => self.hand_on(admitted, head, body, deadline).await,
            Err(refusal) => Ran::NotRun(refusal),
        }
    }

    /// Runs a request at most once; what has begun goes on without its caller, so that a repeat
    /// gets the answer.
    async fn run_keyed(
        self: &Arc<Self>,
        head: CallHead,
        key: &Arc<str>,
        body: RequestBody,
        deadline: Deadline,
    ) -> Ran {
        let opened = RequestKey::open_for(key, &head.service, &self.shared.mesh_key);
        let Ok(opened) = opened else {
            return Ran::NotRun(Refusal::last(RefusalReason::KeyInvalid));
        };
        let begin = self.once.begin(&opened, digest(&head), deadline.0).await;
        let id = match begin {
            Some(Begin::Run(id)) => id,
            Some(Begin::Stored(answer)) => return Ran::Answered(stored(&answer)),
            Some(Begin::NotRun(refusal)) => return Ran::NotRun(refusal),
            Some(Begin::Unknown(step)) => return Ran::unknown(step),
            Some(Begin::Wait(_)) | None => return Ran::unknown("deadline during an earlier run"),
        };
        let executor = self.clone();
        let key = key.clone();
        let run = async move {
            executor
                .run_new(id, &head, opened, key, body, deadline)
                .await
        };
        let joined = tokio::spawn(run).await;
        joined.unwrap_or_else(|_| Ran::unknown("executor"))
    }

    /// Runs a request whose key is new here.
    async fn run_new(
        &self,
        id: EntryKey,
        head: &CallHead,
        key: RequestKey,
        text: Arc<str>,
        body: RequestBody,
        deadline: Deadline,
    ) -> Ran {
        let admitted = match self.admit(head, deadline).await {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(id, refusal),
        };
        let request = WitnessRequest::Start { key: text };
        let witness = key.witness.address;
        let answer = self.witnesses.ask(witness, request, deadline.0).await;
        if deadline.has_passed(Instant::now()) {
            return self.refuse(id, Refusal::last(RefusalReason::Deadline));
        }
        match self.once.start(id, answer.as_ref()) {
            Start::Run => {}
            Start::NotRun(refusal) => return Ran::NotRun(refusal),
            Start::Ignore => return Ran::unknown("the run of the key has ended already"),
        }
        let ran = self.hand_on(admitted, head, body, deadline).await;
        self.keep(id, ran, deadline).await
    }

    /// Says that a request with a key did not run, if the table agrees.
    fn refuse(&self, id: EntryKey, refusal: Refusal) -> Ran {
        if self.once.refuse(id, refusal) {
            Ran::NotRun(refusal)
        } else {
            Ran::unknown("the run of the key has begun already")
        }
    }

    /// Keeps the answer for repeats, as far as it is small enough.
    async fn keep(&self, id: EntryKey, ran: Ran, deadline: Deadline) -> Ran {
        let Ran::Answered(answer) = ran else {
            self.once.finish(id, Finish::Lost);
            // The key was started: nothing after that is proof that it did not run.
            return match ran {
                Ran::NotRun(_) => Ran::unknown("connection to the backend server"),
                other => other,
            };
        };
        let limit = usize::try_from(ANSWER_BYTES.0).unwrap_or(usize::MAX);
        let collected = timeout_at(deadline.0, collect(answer.body, limit)).await;
        match collected.unwrap_or_else(|_| Err(CutError::new(&"deadline"))) {
            Ok(Collected::Whole(bytes)) => {
                let kept = StoredAnswer {
                    status: answer.status,
                    headers: answer.fields.clone(),
                    body: Arc::from(bytes.as_ref()),
                };
                self.once.finish(id, Finish::Answered(kept));
                Ran::Answered(Answer {
                    body: AnswerBody::Whole(bytes),
                    ..answer
                })
            }
            Ok(Collected::More(body)) => {
                self.once.finish(id, Finish::TooLarge);
                Ran::Answered(Answer {
                    body: AnswerBody::Stream(body),
                    ..answer
                })
            }
            Err(_) => {
                self.once.finish(id, Finish::Lost);
                Ran::unknown("answer of the backend server cut off")
            }
        }
    }

    /// Takes everything that a request needs before it is handed on.
    async fn admit(&self, head: &CallHead, deadline: Deadline) -> Result<Admitted, Refusal> {
        let refuse = |reason| Err(Refusal::after(reason, RETRY_DELAY));
        let Some(counted) = self.in_flight.start() else {
            return refuse(RefusalReason::Draining);
        };
        if !self.shared.view.load().serving {
            return refuse(RefusalReason::NotServing);
        }
        // Another backend server of the service may well take it.
        let Some(target) = self.target.load_full() else {
            return refuse(RefusalReason::NotServing);
        };
        if target.server.service != head.service || !*self.shared.healthy.borrow() {
            return refuse(RefusalReason::NotServing);
        }
        let request = AdmitRequest {
            class: head.class,
            deadline: deadline.0,
            caller: head.caller.clone(),
            alone: false,
        };
        let slot = self.slots.acquire(&request).await?;
        let opened = target.pool.acquire(head.idempotent, deadline.0).await;
        let Ok(connection) = opened else {
            return refuse(RefusalReason::NoConnection);
        };
        if deadline.has_passed(Instant::now()) {
            return Err(Refusal::last(RefusalReason::Deadline));
        }
        Ok(Admitted {
            slot,
            pool: target.pool.clone(),
            connection,
            counted,
        })
    }

    /// Hands an admitted request on; the slot is free again when the whole answer has gone out.
    async fn hand_on(
        &self,
        admitted: Admitted,
        head: &CallHead,
        body: RequestBody,
        deadline: Deadline,
    ) -> Ran {
        let Admitted {
            slot,
            pool,
            connection,
            counted,
        } = admitted;
        let call = BackendCall {
            pool,
            connection,
            deadline,
        };
        match call.run(head, body).await {
            Ran::Answered(answer) => {
                self.note_answer();
                let body = match answer.body {
                    AnswerBody::Stream(body) => AnswerBody::Stream(hold(body, (slot, counted))),
                    whole @ AnswerBody::Whole(_) => whole,
                };
                Ran::Answered(Answer { body, ..answer })
            }
            other => other,
        }
    }
}

/// Keeps `guards` until `body` has ended or is dropped.
fn hold(body: RequestBody, guards: impl Send + 'static) -> RequestBody {
    let mut guards = Some(guards);
    body.map_frame(move |frame| {
        let _ = &mut guards;
        frame
    })
    .boxed_unsync()
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
