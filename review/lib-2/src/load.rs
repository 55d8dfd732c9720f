//! Clients of a case that needs many short requests: each keeps a connection and sends several idempotent requests at a
//! time. Ends when the connections do, or after a time.
//!
//! Arguments: address, path, connections, requests at a time, seconds. Prints how many were sent, how many were answered
//! with 200, and how many had been sent without an answer when their connection ended.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let number = |index: usize| arguments[index].parse::<u64>().expect("a number");
    let (connections, at_once) = (number(3), number(4));
    let ends_at = Instant::now() + Duration::from_secs(number(5));
    let clients: Vec<_> = (0..connections)
        .map(|client| {
            let (address, path) = (arguments[1].clone(), arguments[2].clone());
            std::thread::spawn(move || send(&address, &path, client, at_once, ends_at))
        })
        .collect();
    let mut totals = [0; 3];
    for client in clients {
        for (total, count) in totals.iter_mut().zip(client.join().unwrap_or_default()) {
            *total += count;
        }
    }
    println!("{} {} {}", totals[0], totals[1], totals[2]);
}

fn send(address: &str, path: &str, client: u64, at_once: u64, ends_at: Instant) -> [u64; 3] {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return [0; 3];
    };
    stream.set_nodelay(true).ok();
    let [mut sent, mut served] = [0; 2];
    let mut input: Vec<u8> = Vec::new();
    let mut buffer = vec![0; 1 << 16];
    while Instant::now() < ends_at {
        let mut output = String::new();
        for _ in 0..at_once {
            sent += 1;
            output.push_str(&format!(
                "GET {path} HTTP/1.1\r\nHost: case.example\r\nRequest-Id: {client:04x}{sent:012x}\r\nDeadline-Ms: 2000\r\n\r\n"
            ));
        }
        if stream.write_all(output.as_bytes()).is_err() {
            return [sent, served, at_once];
        }
        let mut open = at_once;
        while open > 0 {
            if let Some((status, size)) = first_answer(&input) {
                served += u64::from(status == "200");
                input.drain(..size);
                open -= 1;
                continue;
            }
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return [sent, served, open],
                Ok(count) => input.extend_from_slice(&buffer[..count]),
            }
        }
    }
    [sent, served, 0]
}

/// Returns the status and the size of the first answer in `input`, if it is whole.
fn first_answer(input: &[u8]) -> Option<(String, usize)> {
    let end = input.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&input[..end]).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let size = end + 4 + length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
    (input.len() >= size).then(|| (head[9..12].to_owned(), size))
}
