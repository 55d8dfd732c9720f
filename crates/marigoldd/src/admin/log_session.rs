//! Reads and appends to the configuration stream on behalf of operators.

use std::sync::Arc;
use std::time::Duration;

use marigold_config::{
    ConfirmOutcome, ConfirmationRecord, DecidedRecord, Decision, LogReader, PlanId, Reason, Record,
    SignedConfirm, SignedPlan, State, Trust,
};
use marigold_log::{LogFailure, PlatformLog, StreamName};
use marigold_types::{LogOffset, RecordTime};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::SessionError;

/// The maximum number of records per read.
const MAX_RECORDS_PER_READ: usize = 500;
/// The delay after the first failed attempt; it doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The outcome of appending a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendOutcome<T> {
    /// The record was read back from the log.
    Known(T),
    /// The record may be in the log or may still be written.
    Unknown {
        /// The offset of the record; absent when the log did not confirm the append.
        offset: Option<LogOffset>,
        /// Why the outcome is unknown.
        text: Arc<str>,
    },
}

/// A log reader that catches up on demand.
///
/// It lets every daemon serve operators, whether or not it is a follower of the log.
pub struct LogSession {
    log: Arc<dyn PlatformLog>,
    attempt_timeout: Duration,
    reader: Mutex<LogReader>,
}

impl LogSession {
    /// Creates a session that has read nothing; each request to the log times out after
    /// `attempt_timeout`.
    #[must_use]
    pub fn new(log: Arc<dyn PlatformLog>, trust: Trust, attempt_timeout: Duration) -> Self {
        Self {
            log,
            attempt_timeout,
            reader: Mutex::new(LogReader::new(trust)),
        }
    }

    /// Reads the log up to its end and returns the resulting state.
    ///
    /// # Errors
    ///
    /// When the log cannot be read to its end by `deadline`.
    pub async fn refresh(&self, deadline: Instant) -> Result<State, SessionError> {
        let mut reader = self.lock("read", deadline).await?;
        self.catch_up(&mut reader, deadline).await?;
        Ok(reader.state().clone())
    }

    /// Returns the state as of the last read, without reading the log.
    ///
    /// # Errors
    ///
    /// When other requests keep the reader locked until `deadline`.
    pub async fn peek(&self, deadline: Instant) -> Result<State, SessionError> {
        let reader = self.lock("read", deadline).await?;
        Ok(reader.state().clone())
    }

    /// Stores a plan unless the log would reject it; `now` is the daemon's wall clock time.
    ///
    /// # Errors
    ///
    /// When the plan was not written.
    pub async fn store_plan(
        &self,
        plan: SignedPlan,
        now: RecordTime,
        deadline: Instant,
    ) -> Result<AppendOutcome<Result<PlanId, Reason>>, SessionError> {
        let mut reader = self.lock("store plan", deadline).await?;
        self.catch_up(&mut reader, deadline).await?;
        let id = plan.plan.id();
        if find_known_plan(reader.state(), &id).is_some() {
            return Ok(AppendOutcome::Known(Ok(id)));
        }
        let checked = reader.state().check_plan(&plan, now);
        checked.map_err(SessionError::Rejected)?;

        let data = Record::Plan(plan).to_string();
        let find = |state: &State, own: Option<&Decision>| match own {
            Some(Decision::Rejected { reason, .. }) => Some(Err(reason.clone())),
            Some(Decision::Planned { .. } | Decision::Repeated { .. }) => Some(Ok(id)),
            _ => find_known_plan(state, &id).map(Ok),
        };
        let mut append = Append::new(self, data, deadline);
        append.run(&mut reader, "store plan", find).await
    }

    /// Confirms a plan and returns its outcome and whether the plan had it before this request.
    ///
    /// The record is appended again if the response is lost. Readers ignore duplicates, so a retry
    /// is safe, whereas waiting longer would not reveal the outcome.
    ///
    /// # Errors
    ///
    /// When the confirmation was not written.
    pub async fn confirm(
        &self,
        confirm: SignedConfirm,
        deadline: Instant,
    ) -> Result<AppendOutcome<(ConfirmOutcome, bool)>, SessionError> {
        let mut reader = self.lock("confirm", deadline).await?;
        self.catch_up(&mut reader, deadline).await?;
        if let Some(outcome) = reader.state().find_confirm_outcome(&confirm.confirm) {
            return Ok(AppendOutcome::Known((outcome.clone(), true)));
        }
        let plan = reader.state().find_plan(&confirm.confirm.plan).cloned();
        let confirmation = ConfirmationRecord {
            plan: plan.ok_or(SessionError::UnknownPlan)?,
            confirm,
        };
        let checked = reader.state().check_confirmation(&confirmation);
        checked.map_err(SessionError::Rejected)?;

        let confirm = confirmation.confirm.confirm.clone();
        let data = Record::Confirm(confirmation).to_string();
        let find = |state: &State, own: Option<&Decision>| {
            if let Some(Decision::Rejected { reason, .. }) = own {
                let reason = reason.clone();
                return Some((ConfirmOutcome::Rejected { reason }, false));
            }
            let outcome = state.find_confirm_outcome(&confirm)?;
            Some((outcome.clone(), false))
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
        lock.map_err(|_| SessionError::Timeout { step })
    }

    /// Reads until `reader` has applied every record up to the end that the last read reported.
    async fn catch_up(
        &self,
        reader: &mut LogReader,
        deadline: Instant,
    ) -> Result<Vec<DecidedRecord>, SessionError> {
        const STEP: &str = "read";
        let mut decided = Vec::new();
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let from = reader.next();
            let attempt_deadline = deadline.min(Instant::now() + self.attempt_timeout);
            let read = self.log.read(
                StreamName::Config,
                from,
                MAX_RECORDS_PER_READ,
                attempt_deadline,
            );
            let failure = match read.await {
                Ok(batch) => {
                    decided.extend(reader.apply_batch(&batch));
                    let at_end = reader.next() >= batch.end;
                    if at_end && reader.is_caught_up() {
                        return Ok(decided);
                    }
                    if at_end && reader.is_missing_base() {
                        return Err(SessionError::MissingBase);
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
            // Back off only while reads make no progress.
            if reader.next() != from {
                backoff = INITIAL_BACKOFF;
                continue;
            }
            if Instant::now() + backoff >= deadline {
                return Err(
                    failure.map_or(SessionError::Timeout { step: STEP }, |error| {
                        SessionError::Log { step: STEP, error }
                    }),
                );
            }
            sleep_until(Instant::now() + backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Returns `id` if the plan is pending or has an outcome.
fn find_known_plan(state: &State, id: &PlanId) -> Option<PlanId> {
    let known = state.find_plan(id).is_some() || state.find_outcome(id).is_some();
    known.then_some(*id)
}

/// Retries appending one record until its outcome is known or the deadline passes.
struct Append<'a> {
    session: &'a LogSession,
    data: String,
    deadline: Instant,
    /// Whether an attempt may have written the record.
    maybe_written: bool,
    /// The error of the last attempt.
    last_error: Arc<str>,
}

impl<'a> Append<'a> {
    fn new(session: &'a LogSession, data: String, deadline: Instant) -> Self {
        Self {
            session,
            data,
            deadline,
            maybe_written: false,
            last_error: Arc::from(""),
        }
    }

    /// Appends the record, and retries if it is not found when the log is read back.
    async fn run<T>(
        &mut self,
        reader: &mut LogReader,
        step: &'static str,
        find: impl Fn(&State, Option<&Decision>) -> Option<T>,
    ) -> Result<AppendOutcome<T>, SessionError> {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let attempt_deadline = self
                .deadline
                .min(Instant::now() + self.session.attempt_timeout);
            let data = self.data.clone();
            let append = self
                .session
                .log
                .append(StreamName::Config, data, attempt_deadline);
            match append.await {
                Ok(appended) => return Ok(self.read_back(reader, appended.offset, find).await),
                Err(error) => {
                    let may_be_written = !matches!(
                        error.failure,
                        LogFailure::Unavailable { .. } | LogFailure::Refused { .. }
                    );
                    self.maybe_written |= may_be_written;
                    self.last_error = Arc::from(error.to_string());
                    let refused = matches!(error.failure, LogFailure::Refused { .. });
                    if !self.maybe_written && (refused || Instant::now() + backoff >= self.deadline)
                    {
                        return Err(SessionError::Log { step, error });
                    }
                }
            }
            if self.maybe_written
                && self.session.catch_up(reader, self.deadline).await.is_ok()
                && let Some(found) = find(reader.state(), None)
            {
                return Ok(AppendOutcome::Known(found));
            }
            if Instant::now() + backoff >= self.deadline {
                let text = self.last_error.clone();
                return Ok(AppendOutcome::Unknown { offset: None, text });
            }
            sleep_until(Instant::now() + backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Reads until the record at `offset` has been applied.
    async fn read_back<T>(
        &self,
        reader: &mut LogReader,
        offset: LogOffset,
        find: impl Fn(&State, Option<&Decision>) -> Option<T>,
    ) -> AppendOutcome<T> {
        let mut own_decision = None;
        loop {
            match self.session.catch_up(reader, self.deadline).await {
                Ok(decided) => {
                    let applied = decided.into_iter().find(|one| one.record == offset);
                    own_decision = applied.map(|one| one.decision).or(own_decision);
                }
                Err(error) => {
                    return AppendOutcome::Unknown {
                        offset: Some(offset),
                        text: Arc::from(error.to_string()),
                    };
                }
            }
            if reader.state().next() > offset
                && let Some(found) = find(reader.state(), own_decision.as_ref())
            {
                return AppendOutcome::Known(found);
            }
            if Instant::now() + INITIAL_BACKOFF >= self.deadline {
                return AppendOutcome::Unknown {
                    offset: Some(offset),
                    text: Arc::from("the record was not read back in time"),
                };
            }
            sleep_until(Instant::now() + INITIAL_BACKOFF).await;
        }
    }
}
