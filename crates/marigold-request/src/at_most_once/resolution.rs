//! The last word on a request that carries a key.

use marigold_types::Interval;

use crate::{Refusal, RefusalReason, WitnessAnswer};

/// What an ingress has of the executor that a key names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExecutorReply {
    /// The whole answer is here.
    Answered,
    /// The executor itself said that the request did not run, and it remembers that it said so.
    NotRun(Refusal),
    /// The executor said that it does not know.
    Unknown,
    /// The executor gave no answer, or the ingress refuses before it has asked it.
    Missing(RefusalReason),
}

/// What an ingress may say of a request that carries a key, or must do first.
///
/// A repeat may have come through another daemon before, so an ingress never takes its own failure
/// to send as proof: only the executor of the key or a seal by its witness shows that the request
/// did not run. See docs/design/at-most-once.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// Say that it is answered.
    Answered,
    /// Say that it certainly did not run and never will under this key.
    NotRun(Refusal),
    /// Say that it may have run; the caller may send it again with the same key.
    Unknown,
    /// Ask the witness of the key to seal it, then call [`Resolution::from_seal_answer`].
    AskWitness(RefusalReason),
}

impl Resolution {
    /// Decides on the executor's word.
    #[must_use]
    pub fn from_executor_reply(word: ExecutorReply) -> Self {
        match word {
            ExecutorReply::Answered => Self::Answered,
            ExecutorReply::NotRun(refusal) => Self::NotRun(refusal),
            ExecutorReply::Unknown => Self::AskWitness(RefusalReason::KeyRefused),
            ExecutorReply::Missing(reason) => Self::AskWitness(reason),
        }
    }

    /// Decides on the witness's answer to a seal, which is absent when it gave none in time;
    /// `reason` is the one that the seal was asked for.
    #[must_use]
    pub fn from_seal_answer(answer: Option<&WitnessAnswer>, reason: RefusalReason) -> Self {
        match answer {
            // The key is spent, so the caller takes a new one, which it may do at once.
            Some(WitnessAnswer::NeverStarted) => {
                Self::NotRun(Refusal::retryable(reason, Interval::from_millis(0)))
            }
            _ => Self::Unknown,
        }
    }
}
