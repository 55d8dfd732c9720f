//! What operators ask for.

use std::sync::Arc;
use std::time::Duration;

use marigold_api::{
    ConfigDocument, ConfirmAnswer, DrainRequest, HistoryDocument, PlanState, PlanStored, PlanView,
    Problem, ProblemKind,
};
use marigold_config::{PlanId, SignedConfirm, SignedPlan, State, Verdict};
use rouille::Response;
use serde::Deserialize;
use tokio::time::Instant;

use super::access::{Signed, wall_clock};
use super::parts::AdminParts;
use super::reply::{Reply, bad_request, json};
use super::{Fate, SessionError};

/// How many requests to the log an operator's request may take, each as long as settings allow.
const ATTEMPTS: u32 = 3;
/// How long an answer from memory waits for a fresher one.
const REFRESH: Duration = Duration::from_secs(2);
const FIND_OUT: &str = "it is not yet known whether the log took it: run the same command again, \
    which is safe, or look at `marigoldctl history`";

/// Answers with the declarations in force.
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

/// Answers with the last confirmations.
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

/// Stores a plan.
pub fn store_plan(parts: &AdminParts, signed: &Signed) -> Reply {
    let plan: SignedPlan = parse(&signed.body)?;
    if plan.plan.operator != signed.operator {
        let text = format!("the plan is by `{}`, not by you", plan.plan.operator);
        return Err(Problem::new(ProblemKind::Refused, text));
    }
    let id = plan.plan.id();
    let fate = block_on(parts, |deadline| {
        parts.session.store_plan(plan, wall_clock(), deadline)
    })?;
    match fate {
        Fate::Known(Ok(plan)) => Ok(json(
            201,
            &PlanStored {
                plan,
                certain: true,
            },
        )),
        Fate::Known(Err(reason)) => Err((&SessionError::Rejected(reason)).into()),
        Fate::NotYetKnown { .. } => {
            let certain = false;
            Ok(json(202, &PlanStored { plan: id, certain }))
        }
    }
}

/// Answers with one plan and how far it has come.
pub fn show_plan(parts: &AdminParts, id: &str) -> Reply {
    let id: PlanId = id
        .parse()
        .map_err(|error| bad_request(format!("{error}")))?;
    let state = block_on(parts, |deadline| parts.session.refresh(deadline))?;
    let view = view_plan(&state, id).ok_or(&SessionError::NoPlan)?;
    Ok(json(200, &view))
}

/// Confirms a plan.
pub fn confirm(parts: &AdminParts, signed: &Signed) -> Reply {
    let confirm: SignedConfirm = parse(&signed.body)?;
    if confirm.confirm.operator != signed.operator {
        let text = format!(
            "the confirmation is by `{}`, not by you",
            confirm.confirm.operator
        );
        return Err(Problem::new(ProblemKind::Refused, text));
    }
    let plan = confirm.confirm.plan;
    let confirmed = parts
        .runtime
        .block_on(parts.session.confirm(confirm, deadline(parts)));
    let answer = match confirmed {
        Ok(Fate::Known((verdict, repeated))) => answer_of(verdict, repeated),
        Ok(Fate::NotYetKnown { offset, text }) => ConfirmAnswer::NotYetKnown {
            offset,
            text: Arc::from(format!("{text}; {FIND_OUT}")),
        },
        Err(SessionError::Rejected(reason)) => answer_of(Verdict::Rejected { reason }, false),
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

/// Begins the shutdown of this very life of the daemon.
pub fn drain(parts: &AdminParts, signed: &Signed) -> Reply {
    let request: DrainRequest = parse(&signed.body)?;
    let local = parts.shared.view.load().local;
    if request.instance != local {
        let text = format!("this is daemon {local}, not {}", request.instance);
        return Err(bad_request(text));
    }
    spdlog::info!("operator {} lets this daemon leave", signed.operator);
    parts.drain.drain();
    Ok(json(202, &request))
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|error| bad_request(format!("the body: {error}")))
}

/// Returns how long a request over the log may take.
pub fn longest(parts: &AdminParts) -> Duration {
    parts.shared.settings.log.timeout.duration() * ATTEMPTS
}

fn deadline(parts: &AdminParts) -> Instant {
    let _context = parts.runtime.enter();
    Instant::now() + longest(parts)
}

/// Runs a request over the log to its end, on the thread of the operator's request.
fn block_on<F, T>(parts: &AdminParts, run: impl FnOnce(Instant) -> F) -> Result<T, Problem>
where
    F: Future<Output = Result<T, SessionError>>,
{
    let done = parts.runtime.block_on(run(deadline(parts)));
    done.map_err(|error| Problem::from(&error))
}

fn refresh(parts: &AdminParts) -> Result<State, SessionError> {
    let soon = deadline(parts).min({
        let _context = parts.runtime.enter();
        Instant::now() + REFRESH
    });
    parts.runtime.block_on(parts.session.refresh(soon))
}

fn answer_of(verdict: Verdict, repeated: bool) -> ConfirmAnswer {
    match verdict {
        Verdict::Accepted { version } => ConfirmAnswer::Accepted { version, repeated },
        Verdict::Rejected { reason } => ConfirmAnswer::Rejected {
            text: Arc::from(reason.to_string()),
            reason,
        },
    }
}

fn view_plan(state: &State, plan: PlanId) -> Option<PlanView> {
    if let Some(verdict) = state.find_verdict(&plan) {
        let state = PlanState::Settled(verdict.clone());
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

/// Answers with who holds which version.
pub fn status(parts: &AdminParts) -> Response {
    json(200, &parts.status.status())
}

/// Answers with what the daemon counted of services' objectives.
pub fn burn(parts: &AdminParts) -> Response {
    json(200, &parts.burn.burn())
}
