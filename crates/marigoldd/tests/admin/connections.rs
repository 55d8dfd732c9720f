//! Connections that talk nonsense, stay, or are too many.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::bench::{Bench, wait_until};

/// A peer that talks nonsense or goes silent keeps nobody else waiting.
#[test]
fn strange_peers_do_no_harm() {
    let bench = Bench::new();
    let address: SocketAddr = bench.server.address();
    let mut silent = Vec::new();
    for text in [
        "",
        "GET",
        "\0\0\0\0\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "POST /v1/plans HTTP/1.1\r\ncontent-length: 50\r\n\r\n",
    ] {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        silent.push(stream);
    }
    assert_eq!(bench.send("GET", "/healthz", b"", None).status, 200);
    let mut stream = silent.swap_remove(3);
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut answer = Vec::new();
    // The peer is answered with an error or cut off.
    let _ = stream.read_to_end(&mut answer);
    assert!(!answer.starts_with(b"HTTP/1.1 200"));
}

/// A head without an end takes up no more memory than a body may.
#[test]
fn endless_head_is_cut_off() {
    let bench = Bench::new();
    let mut stream = TcpStream::connect(bench.server.address()).unwrap();
    stream
        .set_write_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nx: ").unwrap();
    let chunk = vec![b'a'; 1 << 16];
    let mut sent = 0;
    while sent < 100 << 20 && stream.write_all(&chunk).is_ok() {
        sent += chunk.len();
    }
    // What was sent beyond the bound stands in the buffers of the sockets.
    assert!(sent < 50 << 20, "{sent}");
    assert_eq!(bench.send("GET", "/healthz", b"", None).status, 200);
}

/// Connections beyond the bound are closed at once.
#[test]
fn connections_are_bounded() {
    let bench = Bench::new();
    let open = |_| {
        let stream = TcpStream::connect(bench.server.address()).unwrap();
        stream.set_nonblocking(true).unwrap();
        stream
    };
    let mut streams: Vec<TcpStream> = (0..60).map(open).collect();
    let is_closed = |stream: &mut TcpStream| !matches!(stream.read(&mut [0]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
    // 32 stay open and the rest is closed, however long that takes on a busy machine.
    wait_until(|| {
        streams
            .iter_mut()
            .filter_map(|s| is_closed(s).then_some(()))
            .count()
            >= 28
    });
    drop(streams);
    wait_until(|| {
        let answer = bench.try_send("GET", "/healthz", b"", None);
        answer.is_ok_and(|answer| answer.status == 200)
    });
}

/// A closed side answers nobody, as when the process has died.
#[test]
fn closes_at_once() {
    let bench = Bench::new();
    let mut open = TcpStream::connect(bench.server.address()).unwrap();
    assert_eq!(bench.send("GET", "/healthz", b"", None).status, 200);
    bench.server.close();
    // An end or a reset, and no answer.
    assert!(!matches!(open.read(&mut [0]), Ok(read) if read > 0));
    wait_until(|| TcpStream::connect(bench.server.address()).is_err());
}

/// Probes of clients that keep their connections are answered on them.
#[test]
fn kept_connection_is_answered() {
    let bench = Bench::new();
    let agent = ureq::Agent::new_with_defaults();
    let url = format!("http://{}/healthz", bench.server.address());
    for _ in 0..20 {
        let mut response = agent.get(&url).call().unwrap();
        assert_eq!(response.body_mut().read_to_string().unwrap(), "ok\n");
    }
}
