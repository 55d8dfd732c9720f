//! Why the text of a key is refused.

/// A key that this mesh did not make; each message says where to get one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The text is longer than any key.
    #[error("Idempotency-Key is {0} bytes long, which no key of this mesh is; {ADVICE}")]
    TooLong(usize),
    /// The text does not have the form of a key.
    #[error("Idempotency-Key does not have the form of a key of this mesh; {ADVICE}")]
    Malformed,
    /// The MAC does not fit.
    #[error("Idempotency-Key was not made by this mesh; {ADVICE}")]
    Forged,
    /// The key is for another service.
    #[error("Idempotency-Key is for another service; {ADVICE}")]
    OtherService,
}

/// Where a caller gets a key.
const ADVICE: &str = "take one with POST /.marigold/keys?path=<the request's path> at any daemon \
                      and send it unchanged";
