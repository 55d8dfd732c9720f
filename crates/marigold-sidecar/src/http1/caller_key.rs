//! Keys of callers.

use marigold_types::Digest;

/// What a request says about the key of its caller. The key itself is not kept, so that it cannot reach logs, links or
/// backend servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallerKey {
    /// The request has no key.
    #[default]
    Absent,
    /// It has one key, with this digest.
    Digest(Digest),
    /// It has several key fields, so that it is unclear which one counts.
    Ambiguous,
    /// The fields were left in place, since the configuration had no workspaces when the head was received.
    Forwarded,
}

impl CallerKey {
    /// Adds the `value` of a key field.
    pub fn add(&mut self, value: &[u8]) {
        *self = match self {
            Self::Absent => Self::Digest(Digest::of(value.trim_ascii())),
            _ => Self::Ambiguous,
        };
    }
}
