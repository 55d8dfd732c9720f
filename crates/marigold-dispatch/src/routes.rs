//! What the configuration says of routes and workspaces. See docs/design/workspaces.md.

mod call_kind;
mod caller_limits;
mod precedence;
pub(crate) mod rank;
mod request_quota;
mod route_policy;
mod route_table;
mod target;
mod weighted_round_robin;
mod workspace;
mod workspace_table;

pub use call_kind::CallKind;
pub use caller_limits::CallerLimits;
pub use precedence::Precedence;
pub use rank::Rank;
pub use request_quota::RequestQuota;
pub use route_policy::RoutePolicy;
pub use route_table::{RouteTable, ServicePolicy};
pub use target::Target;
pub use weighted_round_robin::WeightedRoundRobin;
pub use workspace::Workspace;
pub use workspace_table::WorkspaceTable;
