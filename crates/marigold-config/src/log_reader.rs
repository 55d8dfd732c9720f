//! Applies batches of log records to the [`State`] and recovers when the log was trimmed.
//!
//! The reader does no I/O. Its user reads the configuration stream from [`LogReader::next`] with
//! any limit and passes the response to [`LogReader::apply_batch`], or a
//! [`Trimmed`](marigold_log::LogFailure::Trimmed) failure to [`LogReader::apply_trim`]. It reports
//! each configuration that the daemon receives from its peers with [`LogReader::observe_config`],
//! and publishes [`LogReader::config`] once [`LogReader::is_caught_up`].
//!
//! When [`LogReader::checkpoint_due`] returns a cause, the user waits for a random delay of up to a
//! few seconds, checks again, and appends [`LogReader::to_checkpoint`]. When
//! [`LogReader::restoration_due`] stays true for longer than a daemon needs to hear from its peers,
//! it appends [`LogReader::to_restoration`] in the same way. That record takes effect only when it
//! is read back, so concurrent restorations are ordered by the log. See
//! docs/design/configuration.md.

use std::sync::Arc;

use marigold_log::Batch;
use marigold_types::{LogOffset, RecordTime, Version};

use crate::checkpoint_search::{CheckpointSearch, FIRST_WINDOW_RECORDS, open_checkpoint};
use crate::record::MAX_RECORD_BYTES;
use crate::{Checkpoint, Config, Decision, History, Record, SealedCheckpoint, State, Trust};

/// The number of records after the last checkpoint from which a new one is due.
const CHECKPOINT_INTERVAL_RECORDS: u64 = 64;

/// The outcome of one applied record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecidedRecord {
    /// The offset of the record.
    pub record: LogOffset,
    /// The time at which the log stored the record.
    pub time: RecordTime,
    /// The effect of the record.
    pub decision: Decision,
}

/// Why a checkpoint should be appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckpointCause {
    /// The log was trimmed, and no known checkpoint has all records after it still in the log.
    Missing,
    /// The last checkpoint is too many records behind the end of the log.
    Records,
}

#[derive(Debug, Clone)]
enum Phase {
    /// The end of the log is not known yet; the first read starts at `next`.
    Start { next: LogOffset },
    /// Searching for a checkpoint to start from.
    Search(CheckpointSearch),
    /// Applying records in order.
    Apply,
    /// Earlier records are gone and no usable checkpoint was found; waiting for a checkpoint at
    /// `next` or later.
    MissingBase { next: LogOffset },
}

/// A reader of the configuration stream, which performs no requests itself.
#[derive(Debug, Clone)]
pub struct LogReader {
    trust: Trust,
    state: State,
    phase: Phase,
    /// The configuration with the highest version received from elsewhere than the applied records.
    observed: Arc<Config>,
    earliest: LogOffset,
    end: LogOffset,
    /// The last checkpoint seen: the first record that it does not include, and its own offset.
    last_checkpoint: Option<(LogOffset, LogOffset)>,
}

impl LogReader {
    /// Creates a reader that has read nothing.
    #[must_use]
    pub fn new(trust: Trust) -> Self {
        Self {
            state: State::new(trust.clone()),
            trust,
            phase: Phase::Start { next: LogOffset(0) },
            observed: Arc::default(),
            earliest: LogOffset(0),
            end: LogOffset(0),
            last_checkpoint: None,
        }
    }

    /// Returns the offset to read from next.
    #[must_use]
    pub fn next(&self) -> LogOffset {
        match &self.phase {
            Phase::Start { next } | Phase::MissingBase { next } => *next,
            Phase::Search(search) => search.next(),
            Phase::Apply => self.state.next(),
        }
    }

    /// Returns the state after the applied records.
    ///
    /// Its configuration can be older than [`LogReader::config`] until the reader has caught up.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the configuration with the highest version, of those observed and applied.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        let applied = self.state.config();
        if applied.version >= self.observed.version {
            applied
        } else {
            self.observed.clone()
        }
    }

    /// Returns whether every record up to the known end of the log has been applied.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        matches!(self.phase, Phase::Apply) && self.state.next() >= self.end
    }

    /// Returns whether the log was trimmed and has no checkpoint to apply its records to.
    #[must_use]
    pub fn is_missing_base(&self) -> bool {
        matches!(self.phase, Phase::MissingBase { .. })
    }

    /// Records a configuration that the daemon received from its peers, if it is the newest.
    pub fn observe_config(&mut self, config: &Arc<Config>) {
        if config.version > self.observed.version {
            self.observed = config.clone();
        }
    }

    /// Applies the response to a read from [`LogReader::next`].
    ///
    /// Records that do not directly follow those already read are skipped, so delayed and duplicate
    /// responses are harmless.
    pub fn apply_batch(&mut self, batch: &Batch) -> Vec<DecidedRecord> {
        self.end = self.end.max(batch.end);
        self.apply_trim(batch.earliest);
        let mut decided = Vec::new();
        match self.phase {
            Phase::Start { .. } => self.handle_first_batch(batch, &mut decided),
            Phase::Search(_) => self.search_batch(batch),
            Phase::Apply => self.apply_records(batch, &mut decided),
            Phase::MissingBase { .. } => self.await_checkpoint(batch),
        }
        decided
    }

    /// Records that the log was trimmed up to `earliest`.
    pub fn apply_trim(&mut self, earliest: LogOffset) {
        self.earliest = self.earliest.max(earliest);
        self.end = self.end.max(earliest);
        if self.next() < self.earliest {
            let config = self.state.config();
            self.observe_config(&config);
            self.phase = Phase::Start {
                next: self.earliest,
            };
        }
    }

    /// Returns why a checkpoint should be appended, or `None` if none is due.
    #[must_use]
    pub fn checkpoint_due(&self) -> Option<CheckpointCause> {
        if !self.is_caught_up() || self.state.config().version == Version(0) {
            return None;
        }
        let is_complete = self.earliest == LogOffset(0);
        let (next, offset) = self.last_checkpoint.unwrap_or_default();
        if !is_complete && next < self.earliest {
            return Some(CheckpointCause::Missing);
        }
        let is_due = self.end.0.saturating_sub(offset.0) > CHECKPOINT_INTERVAL_RECORDS;
        is_due.then_some(CheckpointCause::Records)
    }

    /// Returns a checkpoint of the state as a record.
    ///
    /// If it would exceed the log's record size, the pending plans are left out, and if that is not
    /// enough, the history too. No outcome depends on either; operators whose plans are left out
    /// have to plan again.
    #[must_use]
    pub fn to_checkpoint(&self) -> Record {
        let mut checkpoint = self.state.checkpoint();
        let seal = |checkpoint: &Checkpoint| {
            Record::Checkpoint(SealedCheckpoint::seal(checkpoint.clone(), &self.trust))
        };
        let fits = |record: &Record| record.to_string().len() <= MAX_RECORD_BYTES;
        let record = seal(&checkpoint);
        if fits(&record) {
            return record;
        }
        checkpoint.pending.clear();
        let record = seal(&checkpoint);
        if fits(&record) {
            return record;
        }
        checkpoint.history = History::default();
        seal(&checkpoint)
    }

    /// Returns a checkpoint record that restores the observed configuration to the log.
    ///
    /// `None` unless the log has no usable checkpoint, or its records lead to an older version than
    /// the observed one. Plans made before the restoration are rejected, since the outcomes that
    /// identify a repeated confirmation are lost.
    #[must_use]
    pub fn to_restoration(&self) -> Option<Record> {
        let version = self.observed.version;
        let next = if self.is_missing_base() {
            // The records after the confirmation that made the observed version still have to be
            // applied.
            self.earliest.max(LogOffset(version.0))
        } else if self.is_behind() {
            self.state.next()
        } else {
            return None;
        };
        let checkpoint = Checkpoint {
            version,
            declarations: Checkpoint::declarations_of(&self.observed),
            next,
            time: RecordTime(0),
            floor: version,
            pending: Vec::new(),
            settled: Vec::new(),
            history: History::default(),
        };
        let sealed = SealedCheckpoint::seal(checkpoint, &self.trust);
        Some(Record::Checkpoint(sealed))
    }

    /// Returns whether [`LogReader::to_restoration`] would return a record.
    #[must_use]
    pub fn restoration_due(&self) -> bool {
        self.is_missing_base() || self.is_behind()
    }

    /// Returns whether the applied records lead to an older version than the observed one, although
    /// they include the offset of its confirmation.
    fn is_behind(&self) -> bool {
        let observed = self.observed.version;
        self.is_caught_up() && observed > self.state.config().version && observed.0 <= self.end.0
    }

    fn handle_first_batch(&mut self, batch: &Batch, decided: &mut Vec<DecidedRecord>) {
        let len = batch.records.len() as u64;
        if batch.earliest == LogOffset(0) && batch.end.0 <= len.max(FIRST_WINDOW_RECORDS) {
            self.phase = Phase::Apply;
            self.apply_records(batch, decided);
        } else {
            self.start_search(batch.end);
        }
    }

    /// Starts a search of the records before `end`, last records first.
    fn start_search(&mut self, end: LogOffset) {
        self.phase = Phase::Search(CheckpointSearch::new(end, self.earliest));
        self.finish_search();
    }

    fn search_batch(&mut self, batch: &Batch) {
        if let Phase::Search(search) = &mut self.phase {
            search.apply_batch(batch, &self.trust, self.earliest);
            self.last_checkpoint = self.last_checkpoint.max(search.last_checkpoint());
        }
        self.finish_search();
    }

    /// Continues from the best checkpoint of the window once the whole window has been read.
    fn finish_search(&mut self) {
        let Phase::Search(search) = &mut self.phase else {
            return;
        };
        if !search.is_done() {
            return;
        }
        if let Some(checkpoint) = search.take_best() {
            if checkpoint.next >= self.earliest {
                self.state = State::restore(self.trust.clone(), &checkpoint);
                self.phase = Phase::Apply;
                return;
            }
            // Records after this checkpoint are gone, but its configuration was in force.
            let config = Arc::new(checkpoint.to_config());
            if config.version > self.observed.version {
                self.observed = config;
            }
        }
        if search.extend_back(self.earliest) {
            return;
        }
        self.phase = if self.earliest == LogOffset(0) {
            // Nothing was trimmed, so all records can be applied without a checkpoint.
            self.state = State::new(self.trust.clone());
            Phase::Apply
        } else {
            let next = search.end();
            Phase::MissingBase { next }
        };
    }

    fn apply_records(&mut self, batch: &Batch, decided: &mut Vec<DecidedRecord>) {
        for record in &batch.records {
            if record.offset != self.state.next() {
                continue;
            }
            let decision = self.state.apply(record);
            if let Decision::Checkpointed { next, .. } | Decision::Adopted { next, .. } = decision {
                self.last_checkpoint = self.last_checkpoint.max(Some((next, record.offset)));
            }
            decided.push(DecidedRecord {
                record: record.offset,
                time: record.time,
                decision,
            });
        }
    }

    /// Starts a new search if the new records include a checkpoint.
    fn await_checkpoint(&mut self, batch: &Batch) {
        let Phase::MissingBase { next } = &mut self.phase else {
            return;
        };
        let mut found = false;
        for record in &batch.records {
            if record.offset == *next {
                *next = record.offset.next();
                found |= open_checkpoint(record, &self.trust).is_some();
            }
        }
        if found {
            let end = *next;
            self.start_search(end);
        }
    }
}
