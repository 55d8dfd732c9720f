//! What the attempts of a request add up to, which callers come back, and how many retries the mesh may spend. See
//! docs/design/retries.md.

mod attempt_outcome;
mod caller_returns;
mod caller_timeouts;
mod progress;
mod request_mark;
mod request_origin;
mod retry_budget;
mod retry_request;
mod slack_share;

pub use attempt_outcome::AttemptOutcome;
pub use caller_returns::{CallerReturn, CallerReturns, RefusedAttempt};
pub use caller_timeouts::CallerTimeouts;
pub use progress::{Conclusion, Progress};
pub use request_mark::RequestMark;
pub use request_origin::RequestOrigin;
pub use retry_budget::RetryBudget;
pub use retry_request::RetryRequest;
pub use slack_share::SlackShare;
