//! What a connection between two daemons is for.

/// Keeps control and calls on connections of their own, so that control bytes are counted exactly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LinkKind {
    /// Membership and configuration.
    Control,
    /// Callers' requests and questions to witnesses.
    Call,
}

impl LinkKind {
    /// Both kinds.
    pub const ALL: [Self; 2] = [Self::Control, Self::Call];

    /// Returns the kind's position in [`LinkKind::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Control => 0,
            Self::Call => 1,
        }
    }

    /// Returns the name that both ends agree on in the TLS handshake.
    #[must_use]
    pub const fn protocol(self) -> &'static [u8] {
        match self {
            Self::Control => b"marigold-control/1",
            Self::Call => b"marigold-call/1",
        }
    }

    /// Returns the kind that `protocol` names.
    #[must_use]
    pub fn from_protocol(protocol: &[u8]) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.protocol() == protocol)
    }

    /// Returns the kind's name in counters.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Call => "call",
        }
    }
}
