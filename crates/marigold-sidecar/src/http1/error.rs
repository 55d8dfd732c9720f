//! Errors in received messages.

use std::time::Duration;

use marigold_http::GrammarError;

/// A received message is not valid HTTP/1.1, is not supported, or exceeds a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The head cannot be parsed.
    #[error("malformed head")]
    Head,
    /// The framing of the body is malformed, ambiguous or not supported.
    #[error("malformed body framing")]
    Framing,
    /// The head exceeds its size limit or has too many fields.
    #[error("head too large")]
    HeadSize,
    /// The body exceeds its size limit.
    #[error("body too large")]
    BodySize,
    /// There are too many interim responses.
    #[error("too many interim responses")]
    InterimResponses,
    /// The connection was closed before the message was complete.
    #[error("connection closed before the message was complete")]
    Truncated,
}

/// Response to a request that is rejected before it has been read completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// HTTP status.
    pub status: u16,
    /// Delay after which the caller should retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
}

impl From<GrammarError> for HttpError {
    fn from(error: GrammarError) -> Self {
        match error {
            GrammarError::Status | GrammarError::Upgrade => Self::Head,
            GrammarError::Length | GrammarError::TransferEncoding | GrammarError::Body => {
                Self::Framing
            }
        }
    }
}

impl From<HttpError> for Rejection {
    fn from(error: HttpError) -> Self {
        let status = match error {
            HttpError::Head
            | HttpError::Framing
            | HttpError::InterimResponses
            | HttpError::Truncated => 400,
            HttpError::HeadSize => 431,
            HttpError::BodySize => 413,
        };
        Self {
            status,
            retry_after: None,
        }
    }
}
