//! `marigoldctl drain`.

use marigold_api::{DrainRequest, Status};

use crate::output::{print_json, say};
use crate::{Client, CtlError, Outcome};

/// Lets the first daemon given leave, and no other.
pub fn run(client: &Client, json: bool) -> Result<Outcome, CtlError> {
    let peer = client.daemons()[0];
    let fail = |fault| CtlError::Servers {
        fault,
        asked: 1,
        unclear: false,
    };
    let status: Status = client
        .ask_one(peer, "GET", "/v1/status", &[])
        .map_err(fail)?;
    let request = DrainRequest {
        instance: status.instance,
    };
    let body = serde_json::to_vec(&request).map_err(|_| CtlError::Usage("no JSON form"))?;
    let accepted: DrainRequest = client
        .ask_one(peer, "POST", "/v1/drain", &body)
        .map_err(fail)?;
    if json {
        print_json(&accepted)?;
    } else {
        say!(
            "daemon {} is leaving; it ends once it has no work",
            accepted.instance
        );
    }
    Ok(Outcome::Done)
}
