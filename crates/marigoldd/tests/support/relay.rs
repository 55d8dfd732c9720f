//! A UDP relay in front of a daemon that can drop all known flows, like a middlebox that lost its
//! state.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::net::UdpSocket;

const MAX_DATAGRAM_BYTES: usize = 64 << 10;

#[derive(Default)]
struct Flows {
    known: HashSet<SocketAddr>,
    dropped: HashSet<SocketAddr>,
}

pub struct Relay {
    pub address: SocketAddr,
    flows: Arc<Mutex<Flows>>,
}

impl Relay {
    /// Starts a relay to the socket at `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let front = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = front.local_addr().unwrap();
        let flows = Arc::new(Mutex::new(Flows::default()));
        tokio::spawn(forward(front, target, flows.clone()));
        Self { address, flows }
    }

    /// Drops the packets of all flows seen so far, in both directions. New flows pass.
    pub fn drop_known_flows(&self) {
        let mut flows = self.flows.lock().unwrap();
        let known = flows.known.clone();
        flows.dropped.extend(known);
    }
}

async fn forward(front: Arc<UdpSocket>, target: SocketAddr, flows: Arc<Mutex<Flows>>) {
    let mut sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, source)) = front.recv_from(&mut buffer).await else {
            continue;
        };
        if is_dropped(&flows, source) {
            continue;
        }
        let socket = match sockets.entry(source) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
                socket.connect(target).await.unwrap();
                tokio::spawn(forward_back(
                    front.clone(),
                    socket.clone(),
                    source,
                    flows.clone(),
                ));
                entry.insert(socket)
            }
        };
        let _ = socket.send(&buffer[..length]).await;
    }
}

async fn forward_back(
    front: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    source: SocketAddr,
    flows: Arc<Mutex<Flows>>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok(length) = socket.recv(&mut buffer).await {
        if !is_dropped(&flows, source) {
            let _ = front.send_to(&buffer[..length], source).await;
        }
    }
}

fn is_dropped(flows: &Mutex<Flows>, source: SocketAddr) -> bool {
    let mut flows = flows.lock().unwrap();
    flows.known.insert(source);
    flows.dropped.contains(&source)
}
