//! What the configuration stream of the log holds.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{ConfirmationRecord, IgnoreReason, SealedCheckpoint, SignedPlan};

/// The largest record, in bytes: the platform's log takes no larger one.
pub const MAX_RECORD_BYTES: usize = 1_000_000;

/// One record, as JSON without line breaks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Record {
    /// A plan, signed by its author.
    Plan(SignedPlan),
    /// A confirmation, signed by its operator.
    Confirm(ConfirmationRecord),
    /// A state of the fold, sealed with the key that the daemons share.
    Checkpoint(SealedCheckpoint),
}

impl Record {
    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Why the record is to be passed over.
    pub fn parse(data: &str) -> Result<Self, IgnoreReason> {
        if data.len() > MAX_RECORD_BYTES {
            return Err(IgnoreReason::TooLarge);
        }
        serde_json::from_str(data).map_err(|_| IgnoreReason::Unparsable)
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(&text)
    }
}
