//! `marigoldctl confirm`.

use std::thread::sleep;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use marigold_api::{ConfirmAnswer, Status};
use marigold_config::{Confirm, PlanId, SignedConfirm};
use marigold_types::{Interval, Version};
use serde::Serialize;
use uuid::Uuid;

use crate::output::{print_json, print_line};
use crate::{Client, CtlError, Outcome, clock};

/// The validity of a signed confirmation: long enough to repeat it after lost responses, short
/// enough to limit the replay of a copy.
const CONFIRMATION_LIFETIME: Interval = Interval::from_millis(10 * 60_000);
/// The interval between status requests while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The JSON form of the result.
#[derive(Serialize)]
struct ConfirmResult<'a> {
    plan: PlanId,
    #[serde(flatten)]
    answer: &'a ConfirmAnswer,
    /// Whether every daemon holds the version; null without `--wait`.
    converged: Option<bool>,
    /// The time waited after the confirmation's answer; null without `--wait`.
    waited: Option<Interval>,
}

/// Confirms a plan and, if `wait` is given, waits at most that long until every daemon holds the
/// new version.
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
        expires: clock::add(clock::now(), CONFIRMATION_LIFETIME),
    };
    let signed = SignedConfirm::sign(confirm, key);
    let answer: ConfirmAnswer = client.post("/v1/confirmations", &signed)?.body;
    if !json {
        print_answer(plan, &answer);
    }

    let started = Instant::now();
    let mut converged = None;
    if let (ConfirmAnswer::Accepted { version, .. }, Some(timeout)) = (&answer, wait) {
        converged = Some(wait_until_held(client, *version, timeout.duration(), json));
    }
    let waited = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let waited = converged.map(|_| Interval::from_millis(waited));
    if json {
        print_json(&ConfirmResult {
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

/// Waits until every known daemon holds `version`; returns false when `timeout` ends first.
fn wait_until_held(client: &Client, version: Version, timeout: Duration, json: bool) -> bool {
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
        // A failed status request is repeated at the next poll.
        let status = client
            .get::<Status>("/v1/status")
            .map(|response| response.body);
        if let Ok(status) = &status {
            bar.set_length(status.daemons.len() as u64);
            bar.set_position(status.count_holding(version) as u64);
        }
        let holds = status.is_ok_and(|status| status.latest >= version && status.all_hold(version));
        if holds || Instant::now() + POLL_INTERVAL >= deadline {
            bar.finish_and_clear();
            return holds;
        }
        sleep(POLL_INTERVAL);
    }
}

fn print_answer(plan: PlanId, answer: &ConfirmAnswer) {
    match answer {
        ConfirmAnswer::Accepted {
            version,
            repeated: false,
        } => print_line!("plan {plan} is accepted: version {version}"),
        ConfirmAnswer::Accepted {
            version,
            repeated: true,
        } => print_line!("plan {plan} was accepted before: version {version}"),
        ConfirmAnswer::Rejected { text, .. } => print_line!("plan {plan} is refused: {text}"),
        ConfirmAnswer::NotYetKnown { text, .. } => print_line!("plan {plan}: {text}"),
    }
}

fn print_wait(converged: bool, waited: Interval) {
    if converged {
        print_line!("every daemon holds it, {waited} after the answer");
    } else {
        print_line!("not every daemon holds it after {waited}; see `marigoldctl status`");
    }
}
