//! Reasons for the rejection of plans and confirmations.

use marigold_types::{LogOffset, OperatorName, RecordTime, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::{InvalidField, Resource};

/// Why a plan or a confirmation was rejected; identical on every reader of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The operator is not declared in the configuration in force.
    #[error("operator `{operator}` is not declared in the configuration in force")]
    UnknownOperator {
        /// The operator named in the record.
        operator: OperatorName,
    },
    /// The signature is not valid for the operator's key.
    #[error("the signature is not that of operator `{operator}`")]
    BadSignature {
        /// The operator named in the record.
        operator: OperatorName,
    },
    /// No rule lets the operator change the resource at any time.
    #[error("no rule lets operator `{operator}` change {resource}")]
    NotAllowed {
        /// The operator who proposed or confirmed the change.
        operator: OperatorName,
        /// The resource to be changed.
        resource: Resource,
    },
    /// A rule lets the operator change the resource, but only at other times.
    #[error("operator `{operator}` may change {resource} only within {windows} UTC")]
    OutsideWindow {
        /// The operator who proposed or confirmed the change.
        operator: OperatorName,
        /// The resource to be changed.
        resource: Resource,
        /// The allowed time windows, joined by "or".
        windows: Arc<str>,
    },
    /// A resource that the plan changes or depends on has changed since the plan was made.
    #[error("{resource} has changed since the plan was made{}; plan again", display_by(*.by, .operator.as_ref()))]
    Overtaken {
        /// The changed resource.
        resource: Resource,
        /// The version that changed it, if it is still in the history.
        by: Option<Version>,
        /// The operator who confirmed that version, if it is still in the history.
        operator: Option<OperatorName>,
    },
    /// The resulting configuration would have invalid declarations or unresolved references.
    #[error("the result would not be whole: {}", display_list(.faults))]
    Invalid {
        /// The first faults.
        faults: Vec<InvalidField>,
    },
    /// The plan has no changes or too many, changes a resource twice, removes an undeclared one,
    /// names an invalid resource, or does not have the right expectations.
    #[error(
        "the plan is malformed: it changes nothing, names a resource twice or removes what is not declared"
    )]
    Malformed,
    /// The plan or the confirmation has expired.
    #[error("the {what} expired at {expires}; the time of the record is {time}")]
    Expired {
        /// What expired: "plan" or "confirmation".
        what: Arc<str>,
        /// The last time at which it was valid.
        expires: RecordTime,
        /// The time of the record.
        time: RecordTime,
    },
    /// The expiry is further in the future than is allowed.
    #[error(
        "the {what} is valid for longer than {max} ms after {time}; check the operator's clock"
    )]
    TooLong {
        /// What has the expiry: "plan" or "confirmation".
        what: Arc<str>,
        /// The longest allowed validity in milliseconds.
        max: u64,
        /// The time of the record.
        time: RecordTime,
    },
    /// The plan was made before the configuration was restored to a log that had lost its records.
    /// A copy of the plan may already have taken effect.
    #[error(
        "the configuration was restored at version {floor} after the plan was made; plan again"
    )]
    Restored {
        /// The version that was restored.
        floor: Version,
    },
    /// The table of outcomes is full until some of them expire.
    #[error(
        "too many plans were confirmed recently; wait until some of them expire and confirm again"
    )]
    Full {
        /// The offset of the rejected confirmation.
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
