//! Why a plan or a confirmation was rejected.

use marigold_types::{LogOffset, OperatorName, RecordTime, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::{InvalidField, Resource};

/// An explained rejection; every reader of the log comes to the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The operator is not declared.
    #[error("operator `{operator}` is not declared in the configuration in force")]
    UnknownOperator {
        /// Who it claims to be from.
        operator: OperatorName,
    },
    /// The signature is not the operator's.
    #[error("the signature is not that of operator `{operator}`")]
    BadSignature {
        /// Who it claims to be from.
        operator: OperatorName,
    },
    /// No rule lets the operator change the resource at any time.
    #[error("no rule lets operator `{operator}` change {resource}")]
    NotAllowed {
        /// Who wants to change it.
        operator: OperatorName,
        /// What was to be changed.
        resource: Resource,
    },
    /// A rule lets the operator change the resource, but not now.
    #[error("operator `{operator}` may change {resource} only within {windows} UTC")]
    OutsideWindow {
        /// Who wants to change it.
        operator: OperatorName,
        /// What was to be changed.
        resource: Resource,
        /// When it is allowed.
        windows: Arc<str>,
    },
    /// Something that the plan touches or depends on was changed after the plan was made.
    #[error("{resource} has changed since the plan was made{}; plan again", display_by(*.by, .operator.as_ref()))]
    Overtaken {
        /// The resource.
        resource: Resource,
        /// The version that changed it, where that is still known.
        by: Option<Version>,
        /// Who confirmed that version, where that is still known.
        operator: Option<OperatorName>,
    },
    /// The result would not be valid or not be whole.
    #[error("the result would not be whole: {}", display_list(.faults))]
    Invalid {
        /// The first faults.
        faults: Vec<InvalidField>,
    },
    /// The plan changes nothing, names a resource twice, or does not expect what it touches.
    #[error(
        "the plan is malformed: it changes nothing, names a resource twice or removes what is not declared"
    )]
    Malformed,
    /// It came too late.
    #[error("the {what} expired at {expires}, the record is of {time}")]
    Expired {
        /// What expired: "plan" or "confirmation".
        what: Arc<str>,
        /// Until when it counted.
        expires: RecordTime,
        /// When it came.
        time: RecordTime,
    },
    /// It would count for longer than is allowed.
    #[error("the {what} counts for longer than {max} ms after {time}; check the operator's clock")]
    TooLong {
        /// What is too long: "plan" or "confirmation".
        what: Arc<str>,
        /// The most milliseconds allowed.
        max: u64,
        /// When it came.
        time: RecordTime,
    },
    /// The plan was made before the log lost its records, so that a copy of it may have counted.
    #[error(
        "the configuration was restored at version {floor} after the plan was made; plan again"
    )]
    Restored {
        /// The version that was restored.
        floor: Version,
    },
    /// Too many plans are settled and not yet expired.
    #[error("too many plans were confirmed within a plan's life; wait and confirm again")]
    Full {
        /// Where the reader stands.
        offset: LogOffset,
    },
}

fn display_by(by: Option<Version>, operator: Option<&OperatorName>) -> String {
    let version = by.map(|version| format!(", by version {version}"));
    let operator = operator.map(|operator| format!(" that `{operator}` confirmed"));
    version.unwrap_or_default() + &operator.unwrap_or_default()
}

fn display_list(faults: &[InvalidField]) -> String {
    let list: Vec<String> = faults.iter().map(ToString::to_string).collect();
    list.join("; ")
}
