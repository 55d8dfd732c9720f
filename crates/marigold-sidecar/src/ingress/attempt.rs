//! One request sent to one executor.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::ingress::Mesh;
use crate::link::{Call, Ending};

/// Counts a call as open until it is dropped, also when its caller leaves.
struct InFlight {
    mesh: Rc<Mesh>,
    address: SocketAddr,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.mesh.call_ended(self.address);
    }
}

/// Sends `call` to the executor at `address` and waits for its end.
pub async fn attempt(mesh: &Rc<Mesh>, address: SocketAddr, call: Call) -> Ending {
    let Ok(open) = mesh.send(address, call) else {
        return Ending::NotSent;
    };
    let _in_flight = InFlight {
        mesh: mesh.clone(),
        address,
    };
    open.ended().await
}
