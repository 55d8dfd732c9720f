//! Responses to confirmations.

use std::sync::Arc;

use marigold_config::Reason;
use marigold_types::{LogOffset, Version};
use serde::{Deserialize, Serialize};

/// The result of a confirmation as decided by the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum ConfirmAnswer {
    /// The plan took effect.
    Accepted {
        /// Version created by the plan.
        version: Version,
        /// Whether the plan had already taken effect before this request.
        repeated: bool,
    },
    /// The plan did not take effect, and this confirmation will not cause it to.
    Rejected {
        /// Machine-readable reason.
        reason: Reason,
        /// Human-readable reason.
        text: Arc<str>,
    },
    /// The plan may have taken effect or may still do so. It is safe to repeat the request to find
    /// out.
    NotYetKnown {
        /// Offset of the confirmation's record; `None` if the log did not return it.
        offset: Option<LogOffset>,
        /// Human-readable cause, and how to find out the result.
        text: Arc<str>,
    },
}
