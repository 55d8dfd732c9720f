//! JSON responses.

use marigold_api::{Problem, ProblemKind};
use rouille::Response;
use serde::Serialize;

/// The result of a route; the error is sent as a response, too.
pub type Reply = Result<Response, Problem>;

/// Returns a JSON response.
pub fn json<T: Serialize>(status: u16, body: &T) -> Response {
    Response::json(body).with_status_code(status)
}

/// Returns the response for `problem`, with the status code of its kind.
pub fn problem(problem: &Problem) -> Response {
    let status = match problem.kind {
        ProblemKind::BadRequest => 400,
        ProblemKind::Unauthorised => 401,
        ProblemKind::Refused => 403,
        ProblemKind::NotFound => 404,
        ProblemKind::LogUnavailable | ProblemKind::Busy => 503,
    };
    json(status, problem)
}

/// Returns a problem of the kind `BadRequest`.
pub fn bad_request(text: impl Into<String>) -> Problem {
    Problem::new(ProblemKind::BadRequest, text)
}
