//! One attempt of a request at one executor.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::ingress::Mesh;
use crate::link::{Call, CallResult};

/// Counts a call as in flight until dropped, including when the caller disconnects.
struct InFlightCall {
    mesh: Rc<Mesh>,
    address: SocketAddr,
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.mesh.call_ended(self.address);
    }
}

/// Sends `call` to the executor at `address` and waits for the outcome.
pub async fn attempt(mesh: &Rc<Mesh>, address: SocketAddr, call: Call) -> CallResult {
    let Ok(open) = mesh.send(address, call) else {
        return CallResult::NotSent;
    };
    let _in_flight = InFlightCall {
        mesh: mesh.clone(),
        address,
    };
    open.wait().await
}
