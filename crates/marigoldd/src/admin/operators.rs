//! Handlers of the requests that operators sign.

use std::sync::Arc;
use std::time::Duration;

use marigold_api::{
    ConfigDocument, ConfirmAnswer, DrainRequest, HistoryDocument, PlanState, PlanStored, PlanView,
    Problem, ProblemKind,
};
use marigold_config::{ConfirmOutcome, PlanId, SignedConfirm, SignedPlan, State};
use rouille::Response;
use serde::Deserialize;
use tokio::time::Instant;

use super::access::{SignedRequest, wall_clock};
use super::parts::AdminParts;
use super::reply::{Reply, bad_request, json};
use super::{AppendOutcome, SessionError};

/// The deadline of an operator's request, as a multiple of the setting `[log] timeout`.
const LOG_TIMEOUTS_PER_REQUEST: u32 = 3;
/// How long to wait for the log before responding from memory.
const REFRESH_TIMEOUT: Duration = Duration::from_secs(2);
const UNKNOWN_OUTCOME_ADVICE: &str = "it is not yet known whether the log accepted the record: \
    run the same command again, which is safe, or check `marigoldctl history`";

/// Returns the current configuration, marked as stale if the log could not be read.
pub fn config(parts: &AdminParts) -> Response {
    let held = parts.shared.view.load().config.clone();
    let document = match refresh(parts) {
        Ok(state) if state.config().version >= held.version => {
            ConfigDocument::new(&state.config(), true)
        }
        _ => ConfigDocument::new(&held, false),
    };
    json(200, &document)
}

/// Returns the recent confirmations.
pub fn history(parts: &AdminParts) -> Reply {
    let refreshed = refresh(parts);
    let fresh = refreshed.is_ok();
    let state = match refreshed {
        Ok(state) => state,
        Err(_) => block_on(parts, |deadline| parts.session.peek(deadline))?,
    };
    let document = HistoryDocument {
        version: state.config().version,
        fresh,
        entries: state.history().entries().cloned().collect(),
    };
    Ok(json(200, &document))
}

/// Stores the operator's plan.
pub fn store_plan(parts: &AdminParts, signed: &SignedRequest) -> Reply {
    let plan: SignedPlan = parse(&signed.body)?;
    if plan.plan.operator != signed.operator {
        let text = format!(
            "the plan names operator `{}`, but the request is signed by `{}`",
            plan.plan.operator, signed.operator
        );
        return Err(Problem::new(ProblemKind::Refused, text));
    }
    let id = plan.plan.id();
    let outcome = block_on(parts, |deadline| {
        parts.session.store_plan(plan, wall_clock(), deadline)
    })?;
    match outcome {
        AppendOutcome::Known(Ok(plan)) => Ok(json(
            201,
            &PlanStored {
                plan,
                certain: true,
            },
        )),
        AppendOutcome::Known(Err(reason)) => Err((&SessionError::Rejected(reason)).into()),
        AppendOutcome::Unknown { .. } => {
            let certain = false;
            Ok(json(202, &PlanStored { plan: id, certain }))
        }
    }
}

/// Returns one plan and its state.
pub fn show_plan(parts: &AdminParts, id: &str) -> Reply {
    let id: PlanId = id
        .parse()
        .map_err(|error| bad_request(format!("{error}")))?;
    let state = block_on(parts, |deadline| parts.session.refresh(deadline))?;
    let view = build_plan_view(&state, id).ok_or(&SessionError::UnknownPlan)?;
    Ok(json(200, &view))
}

/// Confirms a stored plan.
pub fn confirm(parts: &AdminParts, signed: &SignedRequest) -> Reply {
    let confirm: SignedConfirm = parse(&signed.body)?;
    if confirm.confirm.operator != signed.operator {
        let text = format!(
            "the confirmation names operator `{}`, but the request is signed by `{}`",
            confirm.confirm.operator, signed.operator
        );
        return Err(Problem::new(ProblemKind::Refused, text));
    }
    let plan = confirm.confirm.plan;
    let confirmed = parts
        .runtime
        .block_on(parts.session.confirm(confirm, deadline(parts)));
    let answer = match confirmed {
        Ok(AppendOutcome::Known((outcome, repeated))) => to_confirm_answer(outcome, repeated),
        Ok(AppendOutcome::Unknown { offset, text }) => ConfirmAnswer::NotYetKnown {
            offset,
            text: Arc::from(format!("{text}; {UNKNOWN_OUTCOME_ADVICE}")),
        },
        Err(SessionError::Rejected(reason)) => {
            to_confirm_answer(ConfirmOutcome::Rejected { reason }, false)
        }
        Err(error) => return Err((&error).into()),
    };
    let status = match &answer {
        ConfirmAnswer::Accepted { version, repeated } => {
            if !repeated {
                let operator = &signed.operator;
                spdlog::info!("operator {operator} confirmed plan {plan}: version {version}");
            }
            200
        }
        ConfirmAnswer::Rejected { .. } => 409,
        ConfirmAnswer::NotYetKnown { .. } => 202,
    };
    Ok(json(status, &answer))
}

/// Starts a drain, provided that the request names this instance of the daemon.
pub fn drain(parts: &AdminParts, signed: &SignedRequest) -> Reply {
    let request: DrainRequest = parse(&signed.body)?;
    let local = parts.shared.view.load().local;
    if request.instance != local {
        let text = format!("this daemon is instance {local}, not {}", request.instance);
        return Err(bad_request(text));
    }
    spdlog::info!("operator {} requested a drain", signed.operator);
    parts.drain.drain();
    Ok(json(202, &request))
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Problem> {
    serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("invalid request body: {error}")))
}

/// Returns the maximum duration of a request that uses the log.
pub fn max_request_duration(parts: &AdminParts) -> Duration {
    parts.shared.settings.log.timeout.duration() * LOG_TIMEOUTS_PER_REQUEST
}

fn deadline(parts: &AdminParts) -> Instant {
    let _context = parts.runtime.enter();
    Instant::now() + max_request_duration(parts)
}

/// Blocks the HTTP worker thread until the log operation completes.
fn block_on<F, T>(parts: &AdminParts, run: impl FnOnce(Instant) -> F) -> Result<T, Problem>
where
    F: Future<Output = Result<T, SessionError>>,
{
    let done = parts.runtime.block_on(run(deadline(parts)));
    done.map_err(|error| Problem::from(&error))
}

/// Reads the log for at most [`REFRESH_TIMEOUT`].
fn refresh(parts: &AdminParts) -> Result<State, SessionError> {
    let refresh_deadline = deadline(parts).min({
        let _context = parts.runtime.enter();
        Instant::now() + REFRESH_TIMEOUT
    });
    parts
        .runtime
        .block_on(parts.session.refresh(refresh_deadline))
}

fn to_confirm_answer(outcome: ConfirmOutcome, repeated: bool) -> ConfirmAnswer {
    match outcome {
        ConfirmOutcome::Accepted { version } => ConfirmAnswer::Accepted { version, repeated },
        ConfirmOutcome::Rejected { reason } => ConfirmAnswer::Rejected {
            text: Arc::from(reason.to_string()),
            reason,
        },
    }
}

fn build_plan_view(state: &State, plan: PlanId) -> Option<PlanView> {
    if let Some(outcome) = state.find_outcome(&plan) {
        let state = PlanState::Settled(outcome.clone());
        let content = None;
        return Some(PlanView {
            plan,
            state,
            content,
        });
    }
    let content = state.find_plan(&plan)?.clone();
    let text = state.check_plan(&content, wall_clock());
    let state = match text {
        Ok(()) => PlanState::Pending,
        Err(reason) => PlanState::Stale {
            text: reason.to_string(),
        },
    };
    Some(PlanView {
        plan,
        state,
        content: Some(content),
    })
}

/// Returns the daemons and the configuration version that each of them holds.
pub fn status(parts: &AdminParts) -> Response {
    json(200, &parts.status.status())
}

/// Returns this daemon's part of the report on error budget burn.
pub fn burn(parts: &AdminParts) -> Response {
    json(200, &parts.burn.burn())
}
