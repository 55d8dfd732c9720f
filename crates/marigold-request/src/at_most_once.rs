//! Idempotency keys, which run non-idempotent requests at most once. See docs/design/at-most-once.md.

mod executor_table;
mod key_error;
mod key_mint;
mod request_key;
mod resolution;
mod silent_witnesses;
mod stored_answer;
mod witness_table;

pub use executor_table::{
    BeginDecision, EntryKey, ExecutorLimits, ExecutorTable, RunOutcome, StartDecision,
};
pub use key_error::KeyError;
pub use key_mint::KeyMint;
pub use request_key::{Nonce, RequestKey};
pub use resolution::{ExecutorReply, Resolution};
pub use silent_witnesses::SilentWitnesses;
pub use stored_answer::StoredAnswer;
pub use witness_table::WitnessTable;
