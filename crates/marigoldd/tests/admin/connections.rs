//! Tests of malformed, idle and excess connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::fixture::{Fixture, wait_until};

/// Guards against peers that block others by sending malformed requests or by going silent.
#[test]
fn malformed_and_silent_peers_do_not_block_others() {
    let fixture = Fixture::new();
    let address: SocketAddr = fixture.server.address();
    let mut streams = Vec::new();
    for text in [
        "",
        "GET",
        "\0\0\0\0\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "POST /v1/plans HTTP/1.1\r\ncontent-length: 50\r\n\r\n",
    ] {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        streams.push(stream);
    }
    assert_eq!(fixture.send("GET", "/healthz", b"", None).status, 200);
    let mut stream = streams.swap_remove(3);
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut answer = Vec::new();
    // The peer receives an error response, or its connection is closed.
    let _ = stream.read_to_end(&mut answer);
    assert!(!answer.starts_with(b"HTTP/1.1 200"));
}

/// Guards against unbounded memory use for a request head that never ends.
#[test]
fn endless_head_is_cut_off() {
    let fixture = Fixture::new();
    let mut stream = TcpStream::connect(fixture.server.address()).unwrap();
    stream
        .set_write_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nx: ").unwrap();
    let chunk = vec![b'a'; 1 << 16];
    let mut sent = 0;
    while sent < 100 << 20 && stream.write_all(&chunk).is_ok() {
        sent += chunk.len();
    }
    // Bytes sent beyond the limit are in the socket buffers.
    assert!(sent < 50 << 20, "{sent}");
    assert_eq!(fixture.send("GET", "/healthz", b"", None).status, 200);
}

/// Connections beyond the limit are closed immediately.
#[test]
fn connections_are_limited() {
    let fixture = Fixture::new();
    let open = |_| {
        let stream = TcpStream::connect(fixture.server.address()).unwrap();
        stream.set_nonblocking(true).unwrap();
        stream
    };
    let mut streams: Vec<TcpStream> = (0..60).map(open).collect();
    let is_closed = |stream: &mut TcpStream| !matches!(stream.read(&mut [0]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
    // 32 of the 60 connections stay open; closing the others may take long on a busy machine.
    wait_until(|| {
        streams
            .iter_mut()
            .filter_map(|s| is_closed(s).then_some(()))
            .count()
            >= 28
    });
    drop(streams);
    wait_until(|| {
        let answer = fixture.try_send("GET", "/healthz", b"", None);
        answer.is_ok_and(|answer| answer.status == 200)
    });
}

/// A closed server sends no response, as if the process had crashed.
#[test]
fn close_cuts_open_connections() {
    let fixture = Fixture::new();
    let mut open = TcpStream::connect(fixture.server.address()).unwrap();
    assert_eq!(fixture.send("GET", "/healthz", b"", None).status, 200);
    fixture.server.close();
    // The connection ends or is reset, without a response.
    assert!(!matches!(open.read(&mut [0]), Ok(read) if read > 0));
    wait_until(|| TcpStream::connect(fixture.server.address()).is_err());
}

/// Probes from HTTP clients that reuse connections succeed.
#[test]
fn client_with_keep_alive_is_answered() {
    let fixture = Fixture::new();
    let agent = ureq::Agent::new_with_defaults();
    let url = format!("http://{}/healthz", fixture.server.address());
    for _ in 0..20 {
        let mut response = agent.get(&url).call().unwrap();
        assert_eq!(response.body_mut().read_to_string().unwrap(), "ok\n");
    }
}
