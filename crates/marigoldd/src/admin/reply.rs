//! Answers as JSON.

use marigold_api::{Problem, ProblemKind};
use rouille::Response;
use serde::Serialize;

/// Everything that a route may end with; an error is an answer, too.
pub type Reply = Result<Response, Problem>;

/// Returns `body` with `status`.
pub fn json<T: Serialize>(status: u16, body: &T) -> Response {
    Response::json(body).with_status_code(status)
}

/// Returns the answer that a problem makes.
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

/// Returns the problem of a malformed request.
pub fn bad_request(text: impl Into<String>) -> Problem {
    Problem::new(ProblemKind::BadRequest, text)
}
