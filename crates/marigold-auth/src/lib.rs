//! Authentication: signatures of operators, certificates of daemons, and MACs of request keys.
//!
//! Types that contain secrets implement neither `Debug` nor `Display`, so that the secrets cannot
//! be logged. See docs/design/security.md.

mod authority;
mod daemon_name;
mod error;
mod mesh_key;
mod operator_key;
mod request_proof;
mod signature;

pub use authority::{Authority, Credentials};
pub use daemon_name::daemon_name;
pub use error::AuthError;
pub use mesh_key::MeshKey;
pub use operator_key::OperatorKey;
pub use request_proof::RequestProof;
pub use signature::{PublicKey, Signature};
