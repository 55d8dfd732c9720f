//! Feeds what is read from the log to the fold, also when the log was trimmed.
//!
//! The caller owns the requests: it reads the configuration stream from [`LogReader::next`] with
//! any limit and gives the answer to [`LogReader::apply_batch`], or a
//! [`Trimmed`](marigold_log::LogFailure::Trimmed) failure to [`LogReader::apply_trim`]. It tells the
//! reader of each configuration that the daemon holds with [`LogReader::observe_config`], and publishes
//! [`LogReader::config`] when [`LogReader::is_caught_up`]. When [`LogReader::checkpoint_due`]
//! gives a cause, it waits for a random part of a few seconds, asks again, and appends
//! [`LogReader::to_checkpoint`]. When [`LogReader::restoration_due`] has held for longer than a
//! daemon takes to hear from its peers, it appends [`LogReader::to_restoration`] in the same way;
//! the record counts once it has been read back, so that the order of the log decides here, too.
//! See docs/design/configuration.md.

use std::sync::Arc;

use marigold_log::Batch;
use marigold_types::{LogOffset, RecordTime, Version};

use crate::record::MAX_RECORD_BYTES;
use crate::search::{FIRST_WINDOW, Search, open_checkpoint};
use crate::{Checkpoint, Config, Decision, History, Record, SealedCheckpoint, State, Trust};

/// After how many records a new checkpoint is due.
const CHECKPOINT_RECORDS: u64 = 64;

/// A folded record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecidedRecord {
    /// The record's place.
    pub record: LogOffset,
    /// The record's time.
    pub time: RecordTime,
    /// What it came to.
    pub decision: Decision,
}

/// Why a checkpoint should be appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckpointCause {
    /// The log holds no checkpoint from which everything after it can be read.
    Missing,
    /// Many records were appended since the last one.
    Records,
}

#[derive(Debug, Clone)]
enum Phase {
    /// The end of the log is not known yet; the first read is from `at`.
    Start { at: LogOffset },
    /// Looking for a checkpoint to start from.
    Search(Search),
    /// Folding each record as it comes.
    Fold,
    /// The log holds no base for its records; waiting for a checkpoint from `at` on.
    Lost { at: LogOffset },
}

/// A reader of the configuration stream; it does no requests itself.
#[derive(Debug, Clone)]
pub struct LogReader {
    trust: Trust,
    state: State,
    phase: Phase,
    held: Arc<Config>,
    earliest: LogOffset,
    end: LogOffset,
    /// The last checkpoint seen: where its records go on, and where it stands.
    mark: Option<(LogOffset, LogOffset)>,
}

impl LogReader {
    /// Starts with nothing read.
    #[must_use]
    pub fn new(trust: Trust) -> Self {
        Self {
            state: State::new(trust.clone()),
            trust,
            phase: Phase::Start { at: LogOffset(0) },
            held: Arc::default(),
            earliest: LogOffset(0),
            end: LogOffset(0),
            mark: None,
        }
    }

    /// Returns the offset to read from next.
    #[must_use]
    pub fn next(&self) -> LogOffset {
        match &self.phase {
            Phase::Start { at } | Phase::Lost { at } => *at,
            Phase::Search(search) => search.at(),
            Phase::Fold => self.state.next(),
        }
    }

    /// Returns the fold; it may be behind [`LogReader::config`] until it has caught up.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the configuration with the highest version that was held or folded.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        let folded = self.state.config();
        if folded.version >= self.held.version {
            folded
        } else {
            self.held.clone()
        }
    }

    /// Returns whether every record that the log is known to have is folded.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        matches!(self.phase, Phase::Fold) && self.state.next() >= self.end
    }

    /// Returns whether the log holds no base for its records.
    #[must_use]
    pub fn is_missing_base(&self) -> bool {
        matches!(self.phase, Phase::Lost { .. })
    }

    /// Takes in a configuration that the daemon holds, as its peers gave it.
    pub fn observe_config(&mut self, config: &Arc<Config>) {
        if config.version > self.held.version {
            self.held = config.clone();
        }
    }

    /// Takes in an answer of the log to a read from [`LogReader::next`].
    ///
    /// Records that do not follow on what was read are passed over, so that a late or doubled
    /// answer does no harm.
    pub fn apply_batch(&mut self, batch: &Batch) -> Vec<DecidedRecord> {
        self.end = self.end.max(batch.end);
        self.apply_trim(batch.earliest);
        let mut decided = Vec::new();
        match self.phase {
            Phase::Start { .. } => self.start(batch, &mut decided),
            Phase::Search(_) => self.search(batch),
            Phase::Fold => self.fold(batch, &mut decided),
            Phase::Lost { .. } => self.wait(batch),
        }
        decided
    }

    /// Takes in that the records before `earliest` are gone.
    pub fn apply_trim(&mut self, earliest: LogOffset) {
        self.earliest = self.earliest.max(earliest);
        self.end = self.end.max(earliest);
        if self.next() < self.earliest {
            let config = self.state.config();
            self.observe_config(&config);
            self.phase = Phase::Start { at: self.earliest };
        }
    }

    /// Returns why a checkpoint should be appended, if it should.
    #[must_use]
    pub fn checkpoint_due(&self) -> Option<CheckpointCause> {
        if !self.is_caught_up() || self.state.config().version == Version(0) {
            return None;
        }
        let readable = self.earliest == LogOffset(0);
        let (next, place) = self.mark.unwrap_or_default();
        if !readable && next < self.earliest {
            return Some(CheckpointCause::Missing);
        }
        let many = self.end.0.saturating_sub(place.0) > CHECKPOINT_RECORDS;
        many.then_some(CheckpointCause::Records)
    }

    /// Returns the record of a checkpoint.
    ///
    /// When it would be too large for the log, it goes without the pending plans, whose operators
    /// plan again, and then without the history; no verdict depends on either.
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

    /// Returns the record that makes the configuration held the base of the log's records again.
    ///
    /// Absent unless the log holds no base for its records, or an older one than is held. Plans
    /// made before the restoration have to be made again, since the verdicts that would tell a
    /// copy of a confirmation are gone.
    #[must_use]
    pub fn to_restoration(&self) -> Option<Record> {
        let version = self.held.version;
        let next = if self.is_missing_base() {
            // What follows on the held version's own confirmation is still to be folded.
            self.earliest.max(LogOffset(version.0))
        } else if self.is_behind() {
            self.state.next()
        } else {
            return None;
        };
        let checkpoint = Checkpoint {
            version,
            declarations: Checkpoint::declarations_of(&self.held),
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

    /// Returns whether [`LogReader::to_restoration`] would give a record.
    #[must_use]
    pub fn restoration_due(&self) -> bool {
        self.is_missing_base() || self.is_behind()
    }

    /// Returns whether the daemon holds a version that the log's records do not lead to, although
    /// they were read past its confirmation.
    fn is_behind(&self) -> bool {
        let held = self.held.version;
        self.is_caught_up() && held > self.state.config().version && held.0 <= self.end.0
    }

    fn start(&mut self, batch: &Batch, decided: &mut Vec<DecidedRecord>) {
        let len = batch.records.len() as u64;
        if batch.earliest == LogOffset(0) && batch.end.0 <= len.max(FIRST_WINDOW) {
            self.phase = Phase::Fold;
            self.fold(batch, decided);
        } else {
            self.open_search(batch.end);
        }
    }

    /// Starts to search the records before `high`, the last of them first.
    fn open_search(&mut self, high: LogOffset) {
        self.phase = Phase::Search(Search::new(high, self.earliest));
        self.finish_search();
    }

    fn search(&mut self, batch: &Batch) {
        if let Phase::Search(search) = &mut self.phase {
            search.take(batch, &self.trust, self.earliest);
            self.mark = self.mark.max(search.mark());
        }
        self.finish_search();
    }

    /// Goes on from the best checkpoint of the window once the whole window is read.
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
                self.phase = Phase::Fold;
                return;
            }
            // Records after it are gone, but its configuration was in force once.
            let config = Arc::new(checkpoint.to_config());
            if config.version > self.held.version {
                self.held = config;
            }
        }
        if search.widen(self.earliest) {
            return;
        }
        self.phase = if self.earliest == LogOffset(0) {
            // Nothing is trimmed, so the fold from the first record needs no checkpoint.
            self.state = State::new(self.trust.clone());
            Phase::Fold
        } else {
            let at = search.top();
            Phase::Lost { at }
        };
    }

    fn fold(&mut self, batch: &Batch, decided: &mut Vec<DecidedRecord>) {
        for record in &batch.records {
            if record.offset != self.state.next() {
                continue;
            }
            let decision = self.state.apply(record);
            if let Decision::Checkpointed { next, .. } | Decision::Adopted { next, .. } = decision {
                self.mark = self.mark.max(Some((next, record.offset)));
            }
            decided.push(DecidedRecord {
                record: record.offset,
                time: record.time,
                decision,
            });
        }
    }

    /// Looks for a checkpoint among new records.
    fn wait(&mut self, batch: &Batch) {
        let Phase::Lost { at } = &mut self.phase else {
            return;
        };
        let mut found = false;
        for record in &batch.records {
            if record.offset == *at {
                *at = record.offset.next();
                found |= open_checkpoint(record, &self.trust).is_some();
            }
        }
        if found {
            let high = *at;
            self.open_search(high);
        }
    }
}
