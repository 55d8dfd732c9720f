//! A call at its ingress.

use std::sync::Arc;

use marigold_request::deadline::Deadline;
use marigold_request::{Refusal, RefusalReason};
use marigold_types::{Address, Interval, Outcome};
use tokio::time::Instant;

use super::message::{AttemptId, NodeId, Ran, Request};

/// One request of a caller, from its head to what the caller is told.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub request: Request,
    /// The daemon that took it.
    pub at: NodeId,
    /// When it came.
    pub begun: Instant,
    /// Its deadline.
    pub deadline: Deadline,
    /// The attempt that goes on.
    pub attempt: Option<Attempting>,
    /// Attempts that have ended.
    pub number: u8,
    /// Backend servers that were tried.
    pub tried: Vec<Address>,
    /// Why the witness is asked, while it is.
    pub sealing: Option<RefusalReason>,
    /// The end of an earlier attempt after which the request may have run.
    pub lost: Option<&'static str>,
    /// The refusal of an earlier attempt, which says more than that no other server is left.
    pub refused: Option<Refusal>,
    /// Whether it is suspected to crash backend servers.
    pub is_suspect: bool,
    /// What the caller was told.
    pub told: Option<Told>,
}

/// One attempt that goes on.
#[derive(Debug, Clone, Copy)]
pub struct Attempting {
    /// Its number.
    pub id: AttemptId,
    /// Its executor.
    pub to: NodeId,
    /// The connection it went over.
    pub link: u64,
}

/// What a caller is told.
#[derive(Debug, Clone)]
pub struct Told {
    /// What became of the request.
    pub outcome: Outcome,
    /// The status where it was answered.
    pub status: Option<u16>,
    /// Why it did not run.
    pub refusal: Option<Refusal>,
    /// The rest of the line that the scenario prints.
    pub detail: Arc<str>,
    /// How long it took.
    pub elapsed: Interval,
}

impl Told {
    /// Builds what the caller of a call is told at the end of an attempt.
    pub fn new(ran: &Ran, begun: Instant, now: Instant) -> Self {
        let passed = now.saturating_duration_since(begun).as_millis();
        let (outcome, status, refusal, detail) = match ran {
            Ran::Answered(status, body) => {
                let detail = format!("answered {status} \"{body}\"");
                (Outcome::Answered, Some(*status), None, detail)
            }
            Ran::NotRun(refusal) => {
                let after = match refusal.retry_after {
                    Some(after) => format!("come back after {after}"),
                    None => "do not send it again".to_owned(),
                };
                let detail = format!("not-run ({}), {after}", refusal.reason);
                (Outcome::NotRun, None, Some(*refusal), detail)
            }
            Ran::Unknown(step) => (Outcome::Unknown, None, None, format!("unknown ({step})")),
        };
        Self {
            outcome,
            status,
            refusal,
            detail: Arc::from(detail),
            elapsed: Interval::from_millis(u64::try_from(passed).unwrap_or(u64::MAX)),
        }
    }
}
