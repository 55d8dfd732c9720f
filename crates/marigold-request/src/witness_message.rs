//! Messages to and from a witness. See docs/design/at-most-once.md.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A request to the witness of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessRequest {
    /// From an executor: asks to start the request with this key.
    Start {
        /// The key as the caller sent it.
        key: Arc<str>,
    },
    /// From a daemon that cannot reach the executor: asks that the request with this key never
    /// starts from now on.
    Seal {
        /// The key as the caller sent it.
        key: Arc<str>,
    },
    /// From a daemon: asks for leases on space in the witness's table for keys of one executor.
    Reserve {
        /// The number of keys to be issued.
        count: u32,
    },
}

/// A reply from a witness.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WitnessAnswer {
    /// The request may start; the witness has recorded the start.
    Started,
    /// The key is sealed: the request has not started and never will.
    NeverStarted,
    /// The request has already started; the witness does not know whether it ran.
    MayHaveRun,
    /// The key has expired by the clock of the witness: the request never starts from now on.
    Expired,
    /// The witness's table is full.
    Full,
    /// The key belongs to another witness, or to another instance of this one.
    #[serde(rename = "NotMine")]
    WrongWitness,
    /// The keys may be issued; carries the monotonic clock of the witness, on which expiry is based.
    Reserved {
        /// Milliseconds since the witness started.
        uptime: u64,
    },
}
