//! `marigoldctl show`.

use marigold_api::{ConfigDocument, PlanState, PlanView};
use marigold_config::{ConfirmOutcome, PlanId};

use super::diff::print_changes;
use crate::output::{print_json, print_line};
use crate::{ChangeRow, Client, CtlError, Outcome, clock};

/// Prints a stored plan and its state. The outcome is negative when the plan was or would be
/// refused.
pub fn run(client: &Client, plan: PlanId, json: bool) -> Result<Outcome, CtlError> {
    let view: PlanView = client.get(&format!("/v1/plans/{plan}"))?.body;
    if json {
        print_json(&view)?;
    } else {
        print_view(client, &view)?;
    }
    let negative = matches!(
        view.state,
        PlanState::Stale { .. } | PlanState::Settled(ConfirmOutcome::Rejected { .. })
    );
    Ok(if negative {
        Outcome::Negative
    } else {
        Outcome::Done
    })
}

fn print_view(client: &Client, view: &PlanView) -> Result<(), CtlError> {
    print_line!("plan {}", view.plan);
    if let Some(content) = &view.content {
        let plan = &content.plan;
        print_line!("  by {}, base version {}", plan.operator, plan.base);
        print_line!(
            "  to be confirmed before {}",
            clock::display_time(plan.expires)
        );
        let document: ConfigDocument = client.get("/v1/config")?.body;
        let config = document.to_config();
        print_changes(&config, &ChangeRow::list(&config, &plan.changes));
    }
    match &view.state {
        PlanState::Pending => print_line!("it waits for a confirmation"),
        PlanState::Stale { text } => print_line!("it would be refused: {text}"),
        PlanState::Settled(ConfirmOutcome::Accepted { version }) => {
            print_line!("it took effect as version {version}");
        }
        PlanState::Settled(ConfirmOutcome::Rejected { reason }) => {
            print_line!("it was refused: {reason}");
        }
    }
    Ok(())
}
