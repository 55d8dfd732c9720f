//! A hop on the way to a daemon that can lose track of the flows it has seen.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::net::UdpSocket;

const DATAGRAM_BYTES: usize = 64 << 10;

#[derive(Default)]
struct Flows {
    seen: HashSet<SocketAddr>,
    lost: HashSet<SocketAddr>,
}

pub struct Relay {
    pub address: SocketAddr,
    flows: Arc<Mutex<Flows>>,
}

impl Relay {
    /// Stands in front of the socket at `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let front = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = front.local_addr().unwrap();
        let flows = Arc::new(Mutex::new(Flows::default()));
        tokio::spawn(forward(front, target, flows.clone()));
        Self { address, flows }
    }

    /// Drops everything of the flows seen so far, in both directions; new ones pass.
    pub fn drop_known_flows(&self) {
        let mut flows = self.flows.lock().unwrap();
        let seen = flows.seen.clone();
        flows.lost.extend(seen);
    }
}

async fn forward(front: Arc<UdpSocket>, target: SocketAddr, flows: Arc<Mutex<Flows>>) {
    let mut ways: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, source)) = front.recv_from(&mut buffer).await else {
            continue;
        };
        if is_lost(&flows, source) {
            continue;
        }
        let way = match ways.entry(source) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let way = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
                way.connect(target).await.unwrap();
                tokio::spawn(back(front.clone(), way.clone(), source, flows.clone()));
                entry.insert(way)
            }
        };
        let _ = way.send(&buffer[..length]).await;
    }
}

async fn back(
    front: Arc<UdpSocket>,
    way: Arc<UdpSocket>,
    source: SocketAddr,
    flows: Arc<Mutex<Flows>>,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while let Ok(length) = way.recv(&mut buffer).await {
        if !is_lost(&flows, source) {
            let _ = front.send_to(&buffer[..length], source).await;
        }
    }
}

fn is_lost(flows: &Mutex<Flows>, source: SocketAddr) -> bool {
    let mut flows = flows.lock().unwrap();
    flows.seen.insert(source);
    flows.lost.contains(&source)
}
