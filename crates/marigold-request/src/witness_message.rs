//! What a witness is asked and answers. See docs/design/at-most-once.md.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A question to the witness of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessRequest {
    /// The executor asks to start the request of a key.
    Start {
        /// The key as its caller sent it.
        key: Arc<str>,
    },
    /// A daemon that cannot reach the executor asks that the key never start from now on.
    Seal {
        /// The key as its caller sent it.
        key: Arc<str>,
    },
    /// A daemon asks for `count` leases on the witness's memory for keys of one executor.
    Reserve {
        /// How many keys are to be made.
        count: u32,
    },
}

/// What a witness answers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WitnessAnswer {
    /// The request may start, and the witness remembers that it did.
    Started,
    /// The key is sealed: it did not start and never will.
    NeverStarted,
    /// It started before; whether it ran is not known here.
    MayHaveRun,
    /// The key has expired by the witness's clock: it never starts from now on.
    Expired,
    /// The witness's table is full.
    Full,
    /// The key names another witness, or another life of this one.
    NotMine,
    /// The steady time of the witness, from which expiries are counted.
    Reserved {
        /// Milliseconds since the witness started.
        uptime: u64,
    },
}
