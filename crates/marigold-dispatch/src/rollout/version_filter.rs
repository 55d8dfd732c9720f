//! Restricts the versions that may run a request.

use crate::ServerVersion;

/// Restricts the executors for a request by the version of their backend servers.
#[derive(Debug, Clone, Copy, Default)]
pub struct VersionFilter<'a> {
    /// The only version that may run it, if there is one.
    pub only: Option<&'a ServerVersion>,
    /// Versions that must not run it. A server whose version is not known might be one of them.
    pub except: &'a [ServerVersion],
}

impl VersionFilter<'_> {
    /// Admits every version.
    pub const ANY: Self = Self {
        only: None,
        except: &[],
    };

    /// Returns whether a backend server of `version` may run the request.
    #[must_use]
    pub fn admits(&self, version: Option<&ServerVersion>) -> bool {
        let is_only = self.only.is_none_or(|only| version == Some(only));
        is_only
            && (self.except.is_empty()
                || version.is_some_and(|version| !self.except.contains(version)))
    }
}
