//! A caller that opens a connection for each request.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A complete answer.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }

    pub fn outcome(&self) -> &str {
        self.header("marigold-outcome")
    }

    pub fn reason(&self) -> &str {
        self.header("marigold-reason")
    }
}

/// Sends a request and reads its complete answer.
pub async fn http(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Reply, hyper::Error> {
    let body = Full::new(Bytes::from(body.to_owned()))
        .map_err(|never| match never {})
        .boxed_unsync();
    let response = send(to, method, path, headers, body).await?;
    let (parts, body) = response.into_parts();
    Ok(Reply {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: body.collect().await?.to_bytes(),
    })
}

/// Sends a request and returns the answer with its body unread.
pub async fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Body,
) -> Result<Response<hyper::body::Incoming>, hyper::Error> {
    let stream = TcpStream::connect(to).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "test");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    sender.send_request(request.body(body).unwrap()).await
}
