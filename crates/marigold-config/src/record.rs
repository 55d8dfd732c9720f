//! Records of the configuration stream.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{ConfirmationRecord, IgnoreReason, SealedCheckpoint, SignedPlan};

/// The size limit of a record, set by the platform's log.
pub const MAX_RECORD_BYTES: usize = 1_000_000;

/// A record of the configuration stream, stored as JSON on one line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Record {
    /// A plan, signed by its author.
    Plan(SignedPlan),
    /// A confirmation, signed by its operator, with its plan.
    Confirm(ConfirmationRecord),
    /// A snapshot of the state, with a MAC under a key that the daemons share.
    Checkpoint(SealedCheckpoint),
}

impl Record {
    /// Parses the data of a stored record.
    ///
    /// # Errors
    ///
    /// The reason for which the record has to be ignored.
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
