//! Runs requests on the backend server beside the daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use http_body_util::BodyExt;
use marigold_request::admission::AdmitRequest;
use marigold_request::deadline::Deadline;
use marigold_request::once::{Begin, EntryKey, Finish, RequestKey, Start, StoredAnswer};
use marigold_request::quarantine::{Fingerprint, Standing};
use marigold_request::{CallHead, LoadReport, Refusal, RefusalReason, WitnessRequest};
use marigold_types::Digest;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use super::backend_call::BackendCall;
use super::backend_pool::{BackendConnection, BackendPool};
use super::collect::{Collected, collect};
use super::in_flight::{Counted, InFlight};
use super::once::{ANSWER_BYTES, Once};
use super::peek::peek;
use super::slots::{Slot, Slots};
use super::witnesses::Witnesses;
use super::{Answer, AnswerBody, CRASH_STEP, CrashWatch, RETRY_DELAY, Ran, RequestBody};
use crate::peer::{CutError, QuicPeers};
use crate::{BackendServer, Shared};

/// How long the other executors of a service may take to hear of a crash before its caller does.
const TELL_TIMEOUT: Duration = Duration::from_millis(100);

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
    address: SocketAddr,
    print: Fingerprint,
}

/// A request under a key that is new here.
struct NewRun {
    id: EntryKey,
    key: RequestKey,
    text: Arc<str>,
    print: Fingerprint,
}

/// The only way to the backend server beside the daemon.
pub struct LocalExecutor {
    pub(super) shared: Arc<Shared>,
    pub(super) slots: Arc<Slots>,
    pub(super) once: Arc<Once>,
    pub(super) witnesses: Arc<Witnesses>,
    pub(super) target: ArcSwapOption<Target>,
    pub(super) peers: Arc<QuicPeers>,
    pub(super) crashes: Arc<CrashWatch>,
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
        peers: Arc<QuicPeers>,
        witnesses: Arc<Witnesses>,
        in_flight: Arc<InFlight>,
    ) -> Arc<Self> {
        let request = &shared.settings.request;
        Arc::new(Self {
            slots: Slots::new(request.queue),
            once: Arc::new(Once::new(shared.local, request.keys)),
            witnesses,
            target: ArcSwapOption::empty(),
            crashes: CrashWatch::new(shared.local, request.quarantine),
            peers,
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
        let (start, body) = peek(body).await;
        let print = Fingerprint::of(&head, &start);
        match head.key.clone() {
            None => self.run_plain(&head, print, body, deadline).await,
            Some(key) => self.run_keyed(head, &key, print, body, deadline).await,
        }
    }

    async fn run_plain(
        &self,
        head: &CallHead,
        print: Fingerprint,
        body: RequestBody,
        deadline: Deadline,
    ) -> Ran {
        match self.admit(head, print, deadline).await {
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
        print: Fingerprint,
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
        let new = NewRun {
            id,
            key: opened,
            text: key.clone(),
            print,
        };
        let run = async move { executor.run_new(new, &head, body, deadline).await };
        let joined = tokio::spawn(run).await;
        joined.unwrap_or_else(|_| Ran::unknown("executor"))
    }

    /// Runs a request whose key is new here.
    async fn run_new(
        &self,
        new: NewRun,
        head: &CallHead,
        body: RequestBody,
        deadline: Deadline,
    ) -> Ran {
        let id = new.id;
        let admitted = match self.admit(head, new.print, deadline).await {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(id, refusal),
        };
        let request = WitnessRequest::Start { key: new.text };
        let witness = new.key.witness.address;
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
        let answer = match ran {
            Ran::Answered(answer) => answer,
            Ran::NotRun(refusal) => {
                // Nobody else may run the key, and the table remembers that this one did not.
                self.once.finish(id, Finish::NotRun(refusal));
                return Ran::NotRun(refusal);
            }
            Ran::Unknown(step) => {
                self.once.finish(id, Finish::Lost);
                return Ran::Unknown(step);
            }
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
    async fn admit(
        &self,
        head: &CallHead,
        print: Fingerprint,
        deadline: Deadline,
    ) -> Result<Admitted, Refusal> {
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
        let alone = match self.crashes.standing(&print) {
            Standing::Free => false,
            Standing::Suspect => true,
            Standing::Refused(refusal) => return Err(refusal),
        };
        let request = AdmitRequest {
            class: head.class,
            deadline: deadline.0,
            caller: head.caller.clone(),
            alone,
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
            address: target.server.address,
            pool: target.pool.clone(),
            connection,
            counted,
            print,
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
            address,
            print,
        } = admitted;
        let watched = self.crashes.start(print);
        let idle = pool.clone();
        let call = BackendCall {
            pool,
            connection,
            deadline,
        };
        match call.run(head, body).await {
            Ran::Answered(answer) => {
                self.note_answer();
                watched.answered();
                let body = match answer.body {
                    AnswerBody::Stream(body) => AnswerBody::Stream(hold(body, (slot, counted))),
                    whole @ AnswerBody::Whole(_) => whole,
                };
                Ran::Answered(Answer { body, ..answer })
            }
            // A request whose backend server died with it is not sent again by the mesh.
            Ran::Unknown(_) if has_crashed(address, &idle).await => {
                self.crashes.crashed();
                self.shared.healthy.send_replace(false);
                // The caller may send it again at once, to any of the others.
                let _ = timeout(TELL_TIMEOUT, self.tell_crashes()).await;
                Ran::unknown(CRASH_STEP)
            }
            other => other,
        }
    }
}

/// Returns whether the process behind a lost connection is gone: it takes no new connection, or all
/// of its idle ones were closed at once.
async fn has_crashed(address: SocketAddr, pool: &BackendPool) -> bool {
    if pool.lost_all() {
        return true;
    }
    matches!(
        TcpStream::connect(address).await,
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused
    )
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
