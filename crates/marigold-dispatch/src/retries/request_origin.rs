//! Who sends requests of a kind.

/// Who sends requests of a kind, as far as this daemon can tell: both come over the same address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOrigin {
    /// Callers, whose requests earn retries.
    Caller,
    /// Backend servers, whose calls earn none.
    BackendServer,
    /// Too few were refused to tell.
    Unknown,
}
