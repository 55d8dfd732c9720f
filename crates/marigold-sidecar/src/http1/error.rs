//! What is wrong with a message.

use std::time::Duration;

/// A message that is not HTTP/1.1 as this daemon accepts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The head cannot be parsed.
    #[error("malformed head")]
    Head,
    /// The framing of the body is missing, doubled or unknown.
    #[error("malformed body framing")]
    Framing,
    /// The head is larger than allowed.
    #[error("head too large")]
    HeadSize,
    /// The body is larger than allowed.
    #[error("body too large")]
    BodySize,
    /// The connection ended inside the message.
    #[error("connection ended inside the message")]
    Truncated,
}

/// A request that is refused before it is read as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The status of the answer.
    pub status: u16,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}

impl From<HttpError> for Rejection {
    fn from(fault: HttpError) -> Self {
        let status = match fault {
            HttpError::Head | HttpError::Framing | HttpError::Truncated => 400,
            HttpError::HeadSize => 431,
            HttpError::BodySize => 413,
        };
        Self {
            status,
            retry_after: None,
        }
    }
}
