//! What became of a confirmation.

use std::sync::Arc;

use marigold_config::Reason;
use marigold_types::{LogOffset, Version};
use serde::{Deserialize, Serialize};

/// The truth as the log has it, or that it is not yet known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum ConfirmAnswer {
    /// The plan took effect.
    Accepted {
        /// The version that it made.
        version: Version,
        /// Whether it had taken effect before this request.
        repeated: bool,
    },
    /// The plan did not take effect, and this confirmation of it never will.
    Rejected {
        /// Why, as a term.
        reason: Reason,
        /// Why, in words.
        text: Arc<str>,
    },
    /// It may have taken effect or may still do so; the same request again is safe and tells.
    NotYetKnown {
        /// Where the record stands, when the log said so.
        offset: Option<LogOffset>,
        /// What stood in the way, and how to find out.
        text: Arc<str>,
    },
}
