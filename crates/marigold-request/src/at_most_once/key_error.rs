//! Errors for idempotency keys that callers send.

/// An invalid `Idempotency-Key` header; each message tells the caller how to obtain a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The text is longer than any key; carries its length in bytes.
    #[error("Idempotency-Key is {0} bytes long, longer than any key of this mesh; {ADVICE}")]
    TooLong(usize),
    /// The text cannot be parsed as a key.
    #[error("Idempotency-Key is not in the format of a key of this mesh; {ADVICE}")]
    Malformed,
    /// The MAC is wrong.
    #[error("Idempotency-Key was not issued by this mesh; {ADVICE}")]
    Forged,
    /// The key was issued for another service.
    #[error("Idempotency-Key was issued for another service; {ADVICE}")]
    OtherService,
}

/// How a caller obtains a key.
const ADVICE: &str = "obtain one with POST /.marigold/keys?path=<the request's path> at any daemon \
                      and send it unchanged";
