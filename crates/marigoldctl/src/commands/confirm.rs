//! `marigoldctl confirm`.

use std::thread::sleep;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use marigold_api::{ConfirmAnswer, Status};
use marigold_config::{Confirm, PlanId, SignedConfirm};
use marigold_types::{Interval, Version};
use serde::Serialize;
use uuid::Uuid;

use crate::output::{print_json, say};
use crate::{Client, CtlError, Outcome, clock};

/// How long a confirmation counts: time enough for lost answers, and little for a stray copy.
const LIFE: Interval = Interval::from_millis(10 * 60_000);
/// How often the status is asked for while waiting.
const POLL: Duration = Duration::from_millis(500);

/// The result, as JSON.
#[derive(Serialize)]
struct Confirmed<'a> {
    plan: PlanId,
    #[serde(flatten)]
    answer: &'a ConfirmAnswer,
    /// Whether every daemon holds the version; absent when that was not waited for.
    converged: Option<bool>,
    /// How long that took after the answer, in milliseconds.
    waited: Option<Interval>,
}

/// Confirms a plan and waits for the mesh, if that is wanted.
pub fn run(
    client: &Client,
    plan: PlanId,
    wait: Option<Interval>,
    json: bool,
) -> Result<Outcome, CtlError> {
    let key = client.key();
    let confirm = Confirm {
        plan,
        operator: key.operator().clone(),
        nonce: Uuid::new_v4(),
        expires: clock::later(clock::now(), LIFE),
    };
    let signed = SignedConfirm::sign(confirm, key);
    let answer: ConfirmAnswer = client.post("/v1/confirmations", &signed)?.body;
    if !json {
        print_answer(plan, &answer);
    }

    let started = Instant::now();
    let mut converged = None;
    if let (ConfirmAnswer::Accepted { version, .. }, Some(timeout)) = (&answer, wait) {
        converged = Some(wait_for(client, *version, timeout.duration(), json));
    }
    let waited = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let waited = converged.map(|_| Interval::from_millis(waited));
    if json {
        print_json(&Confirmed {
            plan,
            answer: &answer,
            converged,
            waited,
        })?;
    } else if let Some(waited) = waited {
        print_wait(converged == Some(true), waited);
    }
    Ok(match answer {
        ConfirmAnswer::NotYetKnown { .. } => Outcome::NotYetKnown,
        ConfirmAnswer::Rejected { .. } => Outcome::Negative,
        ConfirmAnswer::Accepted { .. } if converged == Some(false) => Outcome::Negative,
        ConfirmAnswer::Accepted { .. } => Outcome::Done,
    })
}

/// Waits until every daemon that is known holds `version`; returns whether that came about.
fn wait_for(client: &Client, version: Version, timeout: Duration, json: bool) -> bool {
    let bar = if json {
        ProgressBar::hidden()
    } else {
        ProgressBar::new(0)
    };
    let style = ProgressStyle::with_template("{wide_bar} {pos}/{len} daemons hold it, {elapsed}");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    let deadline = Instant::now() + timeout;
    loop {
        // A daemon that does not answer now may answer at the next turn.
        let status = client
            .get::<Status>("/v1/status")
            .map(|answered| answered.body);
        if let Ok(status) = &status {
            bar.set_length(status.daemons.len() as u64);
            bar.set_position(status.count_holding(version) as u64);
        }
        let holds = status.is_ok_and(|status| status.latest >= version && status.all_hold(version));
        if holds || Instant::now() + POLL >= deadline {
            bar.finish_and_clear();
            return holds;
        }
        sleep(POLL);
    }
}

fn print_answer(plan: PlanId, answer: &ConfirmAnswer) {
    match answer {
        ConfirmAnswer::Accepted {
            version,
            repeated: false,
        } => say!("plan {plan} is accepted: version {version}"),
        ConfirmAnswer::Accepted {
            version,
            repeated: true,
        } => say!("plan {plan} was accepted before: version {version}"),
        ConfirmAnswer::Rejected { text, .. } => say!("plan {plan} is refused: {text}"),
        ConfirmAnswer::NotYetKnown { text, .. } => say!("plan {plan}: {text}"),
    }
}

fn print_wait(converged: bool, waited: Interval) {
    if converged {
        say!("every daemon holds it, {waited} after the answer");
    } else {
        say!("not every daemon holds it after {waited}; see `marigoldctl status`");
    }
}
