//! `marigoldctl drain`.

use marigold_api::{DrainRequest, Status};

use crate::output::{print_json, print_line};
use crate::{Client, CtlError, Outcome};

/// Drains the first daemon given, and never another one: its instance is read first and sent with
/// the request.
pub fn run(client: &Client, json: bool) -> Result<Outcome, CtlError> {
    let peer = client.daemons()[0];
    let fail = |fault| CtlError::Request {
        fault,
        tried: 1,
        may_be_applied: false,
    };
    let status: Status = client
        .send_to(peer, "GET", "/v1/status", &[])
        .map_err(fail)?;
    let request = DrainRequest {
        instance: status.instance,
    };
    let body = serde_json::to_vec(&request)
        .map_err(|_| CtlError::Usage("the request cannot be encoded as JSON"))?;
    let accepted: DrainRequest = client
        .send_to(peer, "POST", "/v1/drain", &body)
        .map_err(fail)?;
    if json {
        print_json(&accepted)?;
    } else {
        print_line!(
            "daemon {} is draining; it exits once it has no work left",
            accepted.instance
        );
    }
    Ok(Outcome::Done)
}
