//! Connections between daemons: control messages, certificates, malformed data and silence.

mod support;

use std::net::UdpSocket;

use http_body_util::{BodyExt, Empty};
use marigold_auth::{Authority, daemon_name};
use marigold_control::Event;
use marigold_types::{Address, Interval};
use marigoldd::peer::{LinkKind, PeerSender, PeerTls, QuicPeers, codec};
use quinn::Endpoint;
use support::http::send;
use support::{Backend, Daemon, Mesh, Relay, http};
use tokio::sync::mpsc;

async fn next_event(daemon: &mut Daemon) -> Event {
    daemon.events.recv().await.unwrap()
}

/// Returns a free address with credentials that `authority` issues for it; the result trusts
/// `trusted`.
fn tls(authority: &Authority, trusted: &Authority) -> (UdpSocket, Address, PeerTls) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = Address(socket.local_addr().unwrap());
    let issued = authority.issue(address).unwrap();
    let root = trusted.to_credentials().certificate;
    let tls = PeerTls::from_pem(&root, &issued.certificate, &issued.key).unwrap();
    (socket, address, tls)
}

/// Connects to `daemon` from a bare endpoint, to send data that violates the protocol.
async fn dial(mesh: &Mesh, daemon: &Daemon, kind: LinkKind) -> quinn::Connection {
    let (socket, _, tls) = tls(&mesh.authority, &mesh.authority);
    let endpoint = Endpoint::new(
        quinn::EndpointConfig::default(),
        None,
        socket,
        std::sync::Arc::new(quinn::TokioRuntime),
    )
    .unwrap();
    let config = tls.client(kind).unwrap();
    let name = daemon_name(daemon.address);
    let connecting = endpoint.connect_with(config, daemon.address.0, &name);
    connecting.unwrap().await.unwrap()
}

#[tokio::test]
async fn control_messages_arrive_in_order_with_their_sender() {
    let mut mesh = Mesh::start(&[], 2).await;
    let (from, to) = (mesh.daemons[0].address, mesh.daemons[1].address);
    for number in 0..100_u8 {
        let sent = mesh.daemons[0].peers.send(to, "test", vec![number; 10]);
        sent.await.unwrap();
    }
    for number in 0..100_u8 {
        match next_event(&mut mesh.daemons[1]).await {
            Event::Received { from: who, message } => {
                assert_eq!((who, message), (from, vec![number; 10]));
            }
            other => panic!("{other:?}"),
        }
    }
    let counted = mesh.daemons[0].peers.messages()["test"];
    assert_eq!((counted.messages, counted.bytes), (100, 1_000));
}

#[tokio::test]
async fn reply_uses_the_same_connection() {
    let mut mesh = Mesh::start(&[], 2).await;
    let (one, two) = (mesh.daemons[0].address, mesh.daemons[1].address);
    mesh.daemons[0]
        .peers
        .send(two, "test", vec![1])
        .await
        .unwrap();
    assert!(matches!(
        next_event(&mut mesh.daemons[1]).await,
        Event::Received { .. }
    ));
    mesh.daemons[1]
        .peers
        .send(one, "test", vec![2])
        .await
        .unwrap();
    match next_event(&mut mesh.daemons[0]).await {
        Event::Received { from, message } => assert_eq!((from, message), (two, vec![2])),
        other => panic!("{other:?}"),
    }
    for daemon in &mesh.daemons {
        let traffic = daemon.peers.traffic();
        assert_eq!(traffic.open, [1, 0]);
        assert!(traffic.control() > 0);
        assert_eq!(traffic.sent[LinkKind::Call.index()], 0);
    }
}

#[tokio::test]
async fn unreachable_daemon_is_reported_as_an_event() {
    let mut mesh = Mesh::start(&[], 2).await;
    let gone = mesh.daemons[1].address;
    mesh.daemons[1].kill();
    mesh.daemons[0]
        .peers
        .send(gone, "test", vec![1])
        .await
        .unwrap();
    match next_event(&mut mesh.daemons[0]).await {
        Event::Unreachable { peer } => assert_eq!(peer, gone),
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn restarted_daemon_gets_messages_again() {
    let mut mesh = Mesh::start(&[], 2).await;
    let two = mesh.daemons[1].address;
    mesh.daemons[0]
        .peers
        .send(two, "test", vec![1])
        .await
        .unwrap();
    assert!(matches!(
        next_event(&mut mesh.daemons[1]).await,
        Event::Received { .. }
    ));
    let old = mesh.daemons.pop().unwrap();
    old.stop().await;
    // The port is free once the last task of the old endpoint has ended.
    let socket = loop {
        match UdpSocket::bind(two.0) {
            Ok(socket) => break socket,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    mesh.add_at("hall-1", None, socket, 2).await;
    loop {
        mesh.daemons[0]
            .peers
            .send(two, "test", vec![2])
            .await
            .unwrap();
        if let Ok(Event::Received { message, .. }) = mesh.daemons[1].events.try_recv() {
            assert_eq!(message, vec![2]);
            return;
        }
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn certificate_of_another_authority_is_rejected() {
    let mut mesh = Mesh::start(&[], 1).await;
    let foreign = Authority::generate().unwrap();
    let to = mesh.daemons[0].address;
    // The foreign daemon trusts first the authority of the mesh, then its own.
    for trusted in [&mesh.authority, &foreign] {
        let (socket, address, tls) = tls(&foreign, trusted);
        let (sender, mut events) = mpsc::channel(8);
        let silence = Interval::from_millis(300);
        let peers = QuicPeers::start(socket, address, &tls, silence, sender).unwrap();
        peers.send(to, "test", vec![1]).await.unwrap();
        assert!(matches!(
            events.recv().await,
            Some(Event::Unreachable { .. })
        ));
        // The dialling side completes the handshake before the peer has checked its certificate.
        if let Ok(mut stream) = peers.open(to, true).await {
            assert!(codec::read_raw(&mut stream.frames).await.is_err());
        }
    }
    assert!(mesh.daemons[0].events.try_recv().is_err());
}

#[tokio::test]
async fn greeting_with_the_address_of_another_daemon_is_rejected() {
    let mut mesh = Mesh::start(&[], 2).await;
    let claimed = mesh.daemons[1].address;
    let connection = dial(&mesh, &mesh.daemons[0], LinkKind::Control).await;
    let mut stream = connection.open_uni().await.unwrap();
    let mut bytes = codec::encode(&claimed).unwrap().to_vec();
    bytes.extend_from_slice(&codec::frame(bytes::Bytes::from_static(b"forged")).unwrap());
    stream.write_all(&bytes).await.unwrap();
    assert!(matches!(
        connection.closed().await,
        quinn::ConnectionError::ApplicationClosed(_)
    ));
    assert!(mesh.daemons[0].events.try_recv().is_err());
}

macro_rules! malformed_data {
    ($($name:ident: $kind:ident $bytes:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let backend = Backend::start().await;
            let mesh = Mesh::start(&[&backend], 1).await;
            let connection = dial(&mesh, &mesh.daemons[0], LinkKind::$kind).await;
            let bytes: Vec<u8> = $bytes;
            if LinkKind::$kind == LinkKind::Call {
                let (mut send, mut receive) = connection.open_bi().await.unwrap();
                send.write_all(&bytes).await.unwrap();
                send.finish().unwrap();
                let answer = receive.read_to_end(1 << 20).await;
                assert!(answer.is_err(), "malformed data was answered: {answer:?}");
            } else {
                let mut send = connection.open_uni().await.unwrap();
                send.write_all(&bytes).await.unwrap();
                connection.closed().await;
            }
            let caller = mesh.daemons[1].caller;
            let reply = http(caller, "GET", "/read/x", &[], "").await.unwrap();
            assert_eq!(reply.outcome(), "answered");
        }
    )*};
}

malformed_data! {
    call_with_invalid_message: Call vec![0, 0, 0, 4, 250, 250, 250, 250];
    call_with_oversized_length: Call vec![255; 64];
    call_with_truncated_frame: Call vec![0, 0, 0, 100, 0];
    call_without_data: Call vec![];
    control_with_invalid_message: Control vec![0, 0, 0, 4, 250, 250, 250, 250];
    control_with_oversized_length: Control vec![255; 64];
}

#[tokio::test]
async fn stray_datagrams_are_ignored() {
    let backend = Backend::start().await;
    let mesh = Mesh::start(&[&backend], 1).await;
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for length in [0, 1, 20, 1_200, 1_400] {
        for first in [0x00, 0x40, 0x80, 0xc0, 0xff] {
            let datagram = vec![first; length];
            socket
                .send_to(&datagram, mesh.daemons[0].address.0)
                .unwrap();
        }
    }
    let reply = http(mesh.daemons[1].caller, "GET", "/read/x", &[], "").await;
    assert_eq!(reply.unwrap().outcome(), "answered");
}

#[tokio::test]
async fn idempotent_request_is_retried_when_its_executor_goes_silent() {
    let (one, two) = (Backend::start().await, Backend::start().await);
    let mesh = Mesh::start(&[&one, &two], 1).await;
    let caller = mesh.daemons[2].caller;
    let call = tokio::spawn(async move { http(caller, "GET", "/read/hold", &[], "").await });
    let (index, other) = tokio::select! {
        () = one.wait_busy(1) => (0, &two),
        () = two.wait_busy(1) => (1, &one),
    };
    mesh.daemons[index].kill();
    // The route is idempotent, so that a retry is allowed.
    other.wait_busy(1).await;
    other.release();
    assert_eq!(call.await.unwrap().unwrap().body, "held");
}

#[tokio::test]
async fn write_to_a_silent_executor_is_unknown_and_runs_once() {
    let (one, two) = (Backend::start().await, Backend::start().await);
    let mesh = Mesh::start(&[&one, &two], 1).await;
    let caller = mesh.daemons[2].caller;
    let call = tokio::spawn(async move { http(caller, "POST", "/write/hold", &[], "w").await });
    let index = tokio::select! {
        () = one.wait_busy(1) => 0,
        () = two.wait_busy(1) => 1,
    };
    mesh.daemons[index].kill();
    let reply = call.await.unwrap().unwrap();
    assert_eq!((reply.status, reply.outcome()), (502, "unknown"));
    assert_eq!(one.runs("w") + two.runs("w"), 1);
}

#[tokio::test]
async fn control_messages_arrive_over_another_connection_after_silence() {
    let mut mesh = Mesh::new();
    mesh.add("hall-a", None).await;
    let relay = mesh.add_behind_relay("hall-b", None).await;
    let to = mesh.daemons[1].address;
    let first = mesh.daemons[0].peers.send(to, "test", vec![1]);
    first.await.unwrap();
    let received = mesh.daemons[1].events.recv().await.unwrap();
    assert!(matches!(received, Event::Received { .. }));
    relay.drop_known_flows();
    // Resent until it arrives, as gossip does.
    loop {
        mesh.daemons[0]
            .peers
            .send(to, "test", vec![2])
            .await
            .unwrap();
        let wait = tokio::time::Duration::from_millis(100);
        let event = tokio::time::timeout(wait, mesh.daemons[1].events.recv()).await;
        if let Ok(Some(Event::Received { message, .. })) = event {
            assert_eq!(message, vec![2]);
            return;
        }
    }
}

/// Starts two daemons, of which the first is behind a relay and has the backend server.
async fn start_behind_relay(backend: &Backend) -> (Mesh, Relay) {
    let mut mesh = Mesh::new();
    let relay = mesh.add_behind_relay("hall-a", Some(backend.address)).await;
    mesh.add("hall-b", None).await;
    mesh.publish();
    mesh.daemons[0].wait_healthy().await;
    (mesh, relay)
}

#[tokio::test]
async fn calls_use_another_connection_after_silence() {
    let backend = Backend::start().await;
    let (mesh, relay) = start_behind_relay(&backend).await;
    let caller = mesh.daemons[1].caller;
    let first = http(caller, "POST", "/write/x", &[], "one").await.unwrap();
    assert_eq!(first.outcome(), "answered");

    // A write in flight when the connection goes silent is unknown and is not retried.
    let call = tokio::spawn(async move { http(caller, "POST", "/write/hold", &[], "two").await });
    backend.wait_busy(1).await;
    relay.drop_known_flows();
    assert_eq!(call.await.unwrap().unwrap().outcome(), "unknown");
    backend.release();

    // Later requests use a new connection.
    let next = http(caller, "POST", "/write/x", &[], "three")
        .await
        .unwrap();
    assert_eq!(next.outcome(), "answered", "{next:?}");
    assert_eq!((backend.runs("two"), backend.runs("three")), (1, 1));
}

#[tokio::test]
async fn streamed_answer_fails_when_the_connection_goes_silent() {
    let backend = Backend::start().await;
    let (mesh, relay) = start_behind_relay(&backend).await;
    let caller = mesh.daemons[1].caller;
    let nothing = Empty::new().map_err(|never| match never {}).boxed_unsync();
    let response = send(caller, "GET", "/read/endless", &[], nothing).await;
    let body = response.unwrap().into_body();
    relay.drop_known_flows();
    assert!(body.collect().await.is_err());
}
