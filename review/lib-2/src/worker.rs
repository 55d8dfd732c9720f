//! A worker of a case that needs many short requests: it answers each at once, one connection a thread.
//!
//! Arguments: address, instance id.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let listener = TcpListener::bind(&arguments[1]).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let identity = arguments[2].clone();
        std::thread::spawn(move || serve(stream, &identity));
    }
}

fn serve(mut stream: TcpStream, identity: &str) {
    stream.set_nodelay(true).ok();
    let mut input: Vec<u8> = Vec::new();
    let mut buffer = [0; 1 << 14];
    loop {
        while let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            input.drain(..end + 4);
            if stream.write_all(answer(&head, identity).as_bytes()).is_err() {
                return;
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(count) => input.extend_from_slice(&buffer[..count]),
        }
    }
}

fn answer(head: &str, identity: &str) -> String {
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    if head.starts_with("GET /health") {
        return format!("HTTP/1.1 200 OK\r\nInstance-Id: {identity}\r\nContent-Length: 0\r\n\r\n");
    }
    if field("Expected-Instance: ").is_some_and(|expected| expected != identity) {
        return format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {identity}\r\nContent-Length: 0\r\n\r\n");
    }
    let Some(request) = field("Request-Id: ") else {
        return "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned();
    };
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: {identity}.{request}\r\nContent-Length: 2\r\n\r\nok"
    )
}
