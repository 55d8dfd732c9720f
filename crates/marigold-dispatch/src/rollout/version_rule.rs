//! The versions that may run a request, as decided by a gate.

use std::rc::Rc;

use super::VersionFilter;
use crate::ServerVersion;

/// The versions that may run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionRule {
    /// Every version.
    Any,
    /// Only this version.
    Only(ServerVersion),
    /// Every version but these.
    Except(Rc<[ServerVersion]>),
    /// The request is to test this version, or runs on another than `except` if no server of it has room.
    Canary {
        /// The version to test.
        target: ServerVersion,
        /// The versions that must not run it otherwise.
        except: Rc<[ServerVersion]>,
    },
}

impl VersionRule {
    /// Returns the filter for the selection of an executor. A canary has been tried before.
    #[must_use]
    pub fn filter(&self) -> VersionFilter<'_> {
        match self {
            Self::Any => VersionFilter::ANY,
            Self::Only(version) => VersionFilter {
                only: Some(version),
                except: &[],
            },
            Self::Except(except) | Self::Canary { except, .. } => {
                VersionFilter { only: None, except }
            }
        }
    }
}
