//! The purpose of a connection between two daemons.

/// The purpose of a connection. Control and calls use separate connections, so that control bytes
/// are counted exactly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LinkKind {
    /// Membership and configuration.
    Control,
    /// Requests of callers, and exchanges between request sides such as witness requests.
    Call,
}

impl LinkKind {
    /// Both kinds.
    pub const ALL: [Self; 2] = [Self::Control, Self::Call];

    /// Returns the index of the kind in [`LinkKind::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Control => 0,
            Self::Call => 1,
        }
    }

    /// Returns the ALPN protocol name of the kind.
    #[must_use]
    pub const fn protocol(self) -> &'static [u8] {
        match self {
            Self::Control => b"marigold-control/1",
            Self::Call => b"marigold-call/1",
        }
    }

    /// Returns the kind with the ALPN protocol name `protocol`.
    #[must_use]
    pub fn from_protocol(protocol: &[u8]) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.protocol() == protocol)
    }

    /// Returns the value of the metric label `link`.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Call => "call",
        }
    }
}
