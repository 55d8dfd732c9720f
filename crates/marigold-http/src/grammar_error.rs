//! Violations of the grammar.

/// A response is not one by the grammar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum GrammarError {
    /// The status is not between 100 and 599.
    #[error("status out of range")]
    Status,
    /// The status is only sent to requests for an upgrade, and there was none.
    #[error("status of an upgrade that was not requested")]
    Upgrade,
    /// A `Content-Length` is not a number, or there are different ones.
    #[error("malformed content length")]
    Length,
    /// A `Transfer-Encoding` is not `chunked`, or occurs beside a length or in a message of HTTP/1.0.
    #[error("malformed transfer encoding")]
    TransferEncoding,
    /// A message that never has a body states the length of one.
    #[error("body of a response without one")]
    Body,
}
