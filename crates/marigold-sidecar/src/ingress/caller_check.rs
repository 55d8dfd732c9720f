//! Decides whether a caller may use a route, by its key. See docs/design/workspaces.md.

use std::sync::Arc;

use marigold_dispatch::{RoutePolicy, RouteTable, Workspace};

use crate::http1::CallerKey;

/// Why a request may not run for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerRefusal {
    /// It has no key, or not exactly one.
    InvalidKey {
        /// Reason in logs and in the response body.
        reason: &'static str,
    },
    /// No workspace holds its key.
    UnknownKey {
        /// Reason in logs and in the response body.
        reason: &'static str,
    },
    /// It cannot be decided yet, since the configuration has just changed or may be outdated.
    Undecided {
        /// Reason in logs and in the response body.
        reason: &'static str,
    },
}

/// Returns whether requests to `route` need a key.
pub fn needs_key(table: &RouteTable, route: &RoutePolicy) -> bool {
    table.workspaces().is_some() && !route.is_open
}

/// Returns the workspace of the caller with `key`, or `None` if the route is open or there are no workspaces.
///
/// # Errors
///
/// If the request may not run.
pub fn check_caller<'a>(
    table: &'a RouteTable,
    route: &RoutePolicy,
    key: &CallerKey,
) -> Result<Option<&'a Arc<Workspace>>, CallerRefusal> {
    let Some(workspaces) = table.workspaces() else {
        return Ok(None);
    };
    if *key == CallerKey::Forwarded {
        let reason = "the request came before the workspaces did";
        return Err(CallerRefusal::Undecided { reason });
    }
    if route.is_open {
        return Ok(None);
    }
    let invalid = |reason| Err(CallerRefusal::InvalidKey { reason });
    match key {
        CallerKey::Digest(digest) => match workspaces.of_key(digest) {
            Some(workspace) => Ok(Some(workspace)),
            None => Err(CallerRefusal::UnknownKey {
                reason: "no workspace holds the key",
            }),
        },
        CallerKey::Ambiguous => invalid("the request has several keys"),
        CallerKey::Absent | CallerKey::Forwarded => invalid("the request has no key"),
    }
}

/// Checks a request again by `newest`, since its key may have been withdrawn while it waited. `workspace` is the result of
/// the first check.
///
/// # Errors
///
/// If the request may no longer run.
pub fn check_again(
    newest: &RouteTable,
    (host, target): (&str, &str),
    key: &CallerKey,
    workspace: Option<&Workspace>,
) -> Result<(), CallerRefusal> {
    // A route that is gone says nothing about the caller.
    let Some(route) = newest.find(host, target) else {
        return Ok(());
    };
    let now = check_caller(newest, route, key)?;
    if now.map(|workspace| &workspace.name) == workspace.map(|workspace| &workspace.name) {
        return Ok(());
    }
    let reason = "the workspace of the caller has changed";
    Err(CallerRefusal::Undecided { reason })
}
