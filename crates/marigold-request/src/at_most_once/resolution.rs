//! The outcome that an ingress reports for a request with an idempotency key.

use marigold_types::Interval;

use crate::{Refusal, RefusalReason, WitnessAnswer};

/// What an ingress learned from the executor of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExecutorReply {
    /// The executor returned the complete answer.
    Answered,
    /// The executor reported that the request did not run, and has recorded this.
    NotRun(Refusal),
    /// The executor does not know whether the request ran.
    Unknown,
    /// The executor gave no answer, or the ingress refused the request before sending it.
    Missing(RefusalReason),
}

/// What an ingress reports for a request that carries a key, or has to do first.
///
/// The same request may have been sent through another daemon before, so a failure to send it is no
/// proof that it did not run: only the executor of the key, or a seal by its witness, is. See
/// docs/design/at-most-once.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// Report the request as answered.
    Answered,
    /// Report that the request did not run and never will under this key.
    NotRun(Refusal),
    /// Report that the request may have run; the caller may retry with the same key.
    Unknown,
    /// Ask the witness of the key to seal it, then call [`Resolution::from_seal_answer`].
    AskWitness(RefusalReason),
}

impl Resolution {
    /// Decides from the reply of the executor.
    #[must_use]
    pub fn from_executor_reply(reply: ExecutorReply) -> Self {
        match reply {
            ExecutorReply::Answered => Self::Answered,
            ExecutorReply::NotRun(refusal) => Self::NotRun(refusal),
            ExecutorReply::Unknown => Self::AskWitness(RefusalReason::KeyRefused),
            ExecutorReply::Missing(reason) => Self::AskWitness(reason),
        }
    }

    /// Decides from the witness's answer to a seal request, `None` if it did not answer in time;
    /// `reason` is the reason for the seal.
    #[must_use]
    pub fn from_seal_answer(answer: Option<&WitnessAnswer>, reason: RefusalReason) -> Self {
        match answer {
            // A sealed key cannot be used again; the caller may retry at once with a new one.
            Some(WitnessAnswer::NeverStarted) => {
                Self::NotRun(Refusal::retryable(reason, Interval::from_millis(0)))
            }
            _ => Self::Unknown,
        }
    }
}
