//! Reads and writes the configuration stream for operators.

use std::sync::Arc;
use std::time::Duration;

use marigold_config::{
    ConfirmationRecord, DecidedRecord, Decision, LogReader, PlanId, Reason, Record, SignedConfirm,
    SignedPlan, State, Trust, Verdict,
};
use marigold_log::{LogFailure, PlatformLog, StreamName};
use marigold_types::{LogOffset, RecordTime};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::SessionError;

/// The most records of one read.
const READ_LIMIT: usize = 500;
/// The first pause after a failed attempt; it doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// What became of an appended record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fate<T> {
    /// It was read back.
    Known(T),
    /// It may stand in the log or still come to stand there.
    NotYetKnown {
        /// Where it stands, when the log said so.
        offset: Option<LogOffset>,
        /// What stood in the way.
        text: Arc<str>,
    },
}

/// A reader of the log that catches up when an operator asks, so that any daemon can serve
/// operators, whether it follows the log or not.
pub struct LogSession {
    log: Arc<dyn PlatformLog>,
    attempt: Duration,
    reader: Mutex<LogReader>,
}

impl LogSession {
    /// Starts with nothing read; one request to the log takes at most `attempt`.
    #[must_use]
    pub fn new(log: Arc<dyn PlatformLog>, trust: Trust, attempt: Duration) -> Self {
        Self {
            log,
            attempt,
            reader: Mutex::new(LogReader::new(trust)),
        }
    }

    /// Reads the log to its end and returns the state there.
    ///
    /// # Errors
    ///
    /// When the log cannot be read until `deadline`.
    pub async fn refresh(&self, deadline: Instant) -> Result<State, SessionError> {
        let mut reader = self.lock("read", deadline).await?;
        self.catch_up(&mut reader, deadline).await?;
        Ok(reader.state().clone())
    }

    /// Returns the state as far as the log was read before.
    ///
    /// # Errors
    ///
    /// When other requests hold the reader until `deadline`.
    pub async fn peek(&self, deadline: Instant) -> Result<State, SessionError> {
        let reader = self.lock("read", deadline).await?;
        Ok(reader.state().clone())
    }

    /// Stores a plan, unless it would be rejected; `now` is the daemon's wall clock.
    ///
    /// # Errors
    ///
    /// When nothing was written.
    pub async fn store_plan(
        &self,
        plan: SignedPlan,
        now: RecordTime,
        deadline: Instant,
    ) -> Result<Fate<Result<PlanId, Reason>>, SessionError> {
        let mut reader = self.lock("store plan", deadline).await?;
        self.catch_up(&mut reader, deadline).await?;
        let id = plan.plan.id();
        if find_stored(reader.state(), &id).is_some() {
            return Ok(Fate::Known(Ok(id)));
        }
        let checked = reader.state().check_plan(&plan, now);
        checked.map_err(SessionError::Rejected)?;

        let data = Record::Plan(plan).to_string();
        let find = |state: &State, own: Option<&Decision>| match own {
            Some(Decision::Rejected { reason, .. }) => Some(Err(reason.clone())),
            Some(Decision::Planned { .. } | Decision::Repeated { .. }) => Some(Ok(id)),
            _ => find_stored(state, &id).map(Ok),
        };
        let mut append = Append::new(self, data, deadline);
        append.run(&mut reader, "store plan", find).await
    }

    /// Confirms a plan and returns its verdict, and whether that stood before.
    ///
    /// The record is appended again when an answer is lost: the fold counts a copy once, so doing
    /// it again is safe where waiting longer would not tell more.
    ///
    /// # Errors
    ///
    /// When nothing was written.
    pub async fn confirm(
        &self,
        confirm: SignedConfirm,
        deadline: Instant,
    ) -> Result<Fate<(Verdict, bool)>, SessionError> {
        let mut reader = self.lock("confirm", deadline).await?;
        self.catch_up(&mut reader, deadline).await?;
        if let Some(verdict) = reader.state().find_confirm_verdict(&confirm.confirm) {
            return Ok(Fate::Known((verdict.clone(), true)));
        }
        let plan = reader.state().find_plan(&confirm.confirm.plan).cloned();
        let confirmation = ConfirmationRecord {
            plan: plan.ok_or(SessionError::NoPlan)?,
            confirm,
        };
        let checked = reader.state().check_confirmation(&confirmation);
        checked.map_err(SessionError::Rejected)?;

        let confirm = confirmation.confirm.confirm.clone();
        let data = Record::Confirm(confirmation).to_string();
        let find = |state: &State, own: Option<&Decision>| {
            if let Some(Decision::Rejected { reason, .. }) = own {
                let reason = reason.clone();
                return Some((Verdict::Rejected { reason }, false));
            }
            let verdict = state.find_confirm_verdict(&confirm)?;
            Some((verdict.clone(), false))
        };
        let mut append = Append::new(self, data, deadline);
        append.run(&mut reader, "confirm", find).await
    }

    async fn lock(
        &self,
        step: &'static str,
        deadline: Instant,
    ) -> Result<MutexGuard<'_, LogReader>, SessionError> {
        let lock = timeout_at(deadline, self.reader.lock()).await;
        lock.map_err(|_| SessionError::Slow { step })
    }

    /// Reads until `reader` has folded every record that the log had at the last read.
    async fn catch_up(
        &self,
        reader: &mut LogReader,
        deadline: Instant,
    ) -> Result<Vec<DecidedRecord>, SessionError> {
        const STEP: &str = "read";
        let mut decided = Vec::new();
        let mut pause = FIRST_PAUSE;
        loop {
            let from = reader.next();
            let attempt = deadline.min(Instant::now() + self.attempt);
            let read = self.log.read(StreamName::Config, from, READ_LIMIT, attempt);
            let failure = match read.await {
                Ok(batch) => {
                    decided.extend(reader.apply_batch(&batch));
                    let at_end = reader.next() >= batch.end;
                    if at_end && reader.is_caught_up() {
                        return Ok(decided);
                    }
                    if at_end && reader.is_missing_base() {
                        return Err(SessionError::Lost);
                    }
                    None
                }
                Err(error) => {
                    if let LogFailure::Trimmed { earliest } = error.failure {
                        reader.apply_trim(earliest);
                    }
                    Some(error)
                }
            };
            // A step ahead needs no pause; without one the log is asked ever less often.
            if reader.next() != from {
                pause = FIRST_PAUSE;
                continue;
            }
            if Instant::now() + pause >= deadline {
                return Err(failure.map_or(SessionError::Slow { step: STEP }, |error| {
                    SessionError::Log { step: STEP, error }
                }));
            }
            sleep_until(Instant::now() + pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }
}

/// Finds a plan that is stored or settled.
fn find_stored(state: &State, id: &PlanId) -> Option<PlanId> {
    let known = state.find_plan(id).is_some() || state.find_verdict(id).is_some();
    known.then_some(*id)
}

/// Appends one record until its fate is known or the deadline has come.
struct Append<'a> {
    session: &'a LogSession,
    data: String,
    deadline: Instant,
    /// Whether an attempt may have written the record.
    written: bool,
    /// Why the last attempt brought no certainty.
    trouble: Arc<str>,
}

impl<'a> Append<'a> {
    fn new(session: &'a LogSession, data: String, deadline: Instant) -> Self {
        Self {
            session,
            data,
            deadline,
            written: false,
            trouble: Arc::from(""),
        }
    }

    /// Appends, reads back, and appends again where reading did not find the record.
    async fn run<T>(
        &mut self,
        reader: &mut LogReader,
        step: &'static str,
        find: impl Fn(&State, Option<&Decision>) -> Option<T>,
    ) -> Result<Fate<T>, SessionError> {
        let mut pause = FIRST_PAUSE;
        loop {
            let attempt = self.deadline.min(Instant::now() + self.session.attempt);
            let data = self.data.clone();
            let append = self.session.log.append(StreamName::Config, data, attempt);
            match append.await {
                Ok(appended) => return Ok(self.read_back(reader, appended.offset, find).await),
                Err(error) => {
                    let unknown = !matches!(
                        error.failure,
                        LogFailure::Unavailable { .. } | LogFailure::Refused { .. }
                    );
                    self.written |= unknown;
                    self.trouble = Arc::from(error.to_string());
                    let refused = matches!(error.failure, LogFailure::Refused { .. });
                    if !self.written && (refused || Instant::now() + pause >= self.deadline) {
                        return Err(SessionError::Log { step, error });
                    }
                }
            }
            if self.written
                && self.session.catch_up(reader, self.deadline).await.is_ok()
                && let Some(found) = find(reader.state(), None)
            {
                return Ok(Fate::Known(found));
            }
            if Instant::now() + pause >= self.deadline {
                let text = self.trouble.clone();
                return Ok(Fate::NotYetKnown { offset: None, text });
            }
            sleep_until(Instant::now() + pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    /// Reads until the record at `offset` is folded.
    async fn read_back<T>(
        &self,
        reader: &mut LogReader,
        offset: LogOffset,
        find: impl Fn(&State, Option<&Decision>) -> Option<T>,
    ) -> Fate<T> {
        let mut own = None;
        loop {
            match self.session.catch_up(reader, self.deadline).await {
                Ok(decided) => {
                    let folded = decided.into_iter().find(|one| one.record == offset);
                    own = folded.map(|one| one.decision).or(own);
                }
                Err(error) => {
                    return Fate::NotYetKnown {
                        offset: Some(offset),
                        text: Arc::from(error.to_string()),
                    };
                }
            }
            if reader.state().next() > offset
                && let Some(found) = find(reader.state(), own.as_ref())
            {
                return Fate::Known(found);
            }
            if Instant::now() + FIRST_PAUSE >= self.deadline {
                return Fate::NotYetKnown {
                    offset: Some(offset),
                    text: Arc::from("the record was not read back in time"),
                };
            }
            sleep_until(Instant::now() + FIRST_PAUSE).await;
        }
    }
}
