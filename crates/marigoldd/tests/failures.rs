//! Refusals, retries and a graceful shutdown.

mod support;

use marigold_request::drain::ExitCode;
use support::{Backend, Mesh, http};
use tokio::net::TcpListener;

#[tokio::test]
async fn request_is_not_run_when_the_backend_server_refuses_connections() {
    let backend = Backend::start().await;
    let mesh = Mesh::start(&[&backend], 1).await;
    backend.stop();
    // Until the listener is closed, a connection for the write could still be opened.
    while tokio::net::TcpStream::connect(backend.address)
        .await
        .is_ok()
    {
        tokio::task::yield_now().await;
    }
    for daemon in &mesh.daemons {
        let reply = http(daemon.caller, "POST", "/write/x", &[], "order").await;
        let reply = reply.unwrap();
        assert_eq!(
            (reply.status, reply.outcome()),
            (503, "not-run"),
            "{reply:?}"
        );
        assert!(!reply.header("retry-after").is_empty());
    }
    assert_eq!(backend.total(), 0);
}

#[tokio::test]
async fn unhealthy_backend_server_gets_no_requests() {
    let (one, two) = (Backend::start().await, Backend::start().await);
    let mesh = Mesh::start(&[&one, &two], 1).await;
    one.state
        .healthy
        .store(false, std::sync::atomic::Ordering::SeqCst);
    let mut healthy = mesh.daemons[0].shared.healthy.subscribe();
    healthy.wait_for(|healthy| !*healthy).await.unwrap();
    for _ in 0..20 {
        let reply = http(mesh.daemons[2].caller, "POST", "/write/x", &[], "order").await;
        // The view still contains the unhealthy endpoint, and the retry budget is limited, so that
        // a few requests are not run.
        assert_ne!(reply.unwrap().outcome(), "unknown");
    }
    assert_eq!(one.total(), 0);
    assert!(two.total() > 10, "{}", two.total());
}

#[tokio::test]
async fn read_that_breaks_its_connection_is_retried_a_limited_number_of_times() {
    let servers = [
        Backend::start().await,
        Backend::start().await,
        Backend::start().await,
        Backend::start().await,
    ];
    let list: Vec<&Backend> = servers.iter().collect();
    let mesh = Mesh::start(&list, 1).await;
    let reply = http(mesh.daemons[4].caller, "GET", "/read/die", &[], "")
        .await
        .unwrap();
    assert_eq!(reply.outcome(), "unknown");
    let runs: usize = servers.iter().map(Backend::total).sum();
    assert!(runs <= 3, "{runs} runs");
}

#[tokio::test]
async fn refused_retry_does_not_hide_an_earlier_run() {
    let (one, two) = (Backend::start().await, Backend::start().await);
    let mesh = Mesh::start(&[&one, &two], 1).await;
    two.stop();
    while tokio::net::TcpStream::connect(two.address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    for index in 0..20 {
        let name = format!("read-{index}");
        let reply = http(mesh.daemons[2].caller, "GET", "/read/die", &[], &name).await;
        let reply = reply.unwrap();
        let runs = one.runs(&name) + two.runs(&name);
        assert!(
            reply.outcome() == "unknown" || runs == 0,
            "{index} ran {runs} times: {reply:?}"
        );
    }
}

#[tokio::test]
async fn request_shed_by_the_backend_server_is_not_run() {
    let backend = Backend::start().await;
    let mesh = Mesh::start(&[&backend], 1).await;
    for (method, path) in [("GET", "/read/shed"), ("POST", "/write/shed")] {
        let reply = http(mesh.daemons[1].caller, method, path, &[], "").await;
        let reply = reply.unwrap();
        assert_eq!(
            (reply.status, reply.outcome()),
            (503, "not-run"),
            "{reply:?}"
        );
    }
    assert_eq!(backend.total(), 0);
}

#[tokio::test]
async fn write_that_breaks_its_connection_runs_once() {
    let (one, two) = (Backend::start().await, Backend::start().await);
    let mesh = Mesh::start(&[&one, &two], 1).await;
    let reply = http(mesh.daemons[2].caller, "POST", "/write/die", &[], "w")
        .await
        .unwrap();
    assert_eq!(reply.outcome(), "unknown");
    assert_eq!(one.runs("w") + two.runs("w"), 1);
}

#[tokio::test]
async fn overloaded_backend_server_is_sent_no_further_requests() {
    let backend = Backend::start().await;
    let mut mesh = Mesh::new();
    mesh.settings.request.queue = 0;
    mesh.add_all(&[&backend], 1).await;
    let caller = mesh.daemons[1].caller;
    let mut held = Vec::new();
    for index in 0.. {
        let body = format!("order-{index}");
        let mut call = tokio::spawn(async move {
            http(caller, "POST", "/write/hold", &[], &body)
                .await
                .unwrap()
        });
        // Each request either gets a slot or is refused at once.
        tokio::select! {
            () = backend.wait_busy(held.len() + 1) => held.push(call),
            reply = &mut call => {
                let reply = reply.unwrap();
                assert_eq!((reply.status, reply.reason()), (503, "overloaded"));
                assert!(!reply.header("marigold-retry-after-ms").is_empty());
                break;
            }
        }
    }
    // The backend server announces 16 slots, and its service declares 8.
    assert!(held.len() <= 8, "{} concurrent requests", held.len());
    assert_eq!(backend.total(), held.len());
    backend.release();
    for call in held {
        assert_eq!(call.await.unwrap().outcome(), "answered");
    }
}

macro_rules! drain_completes_requests {
    ($($name:ident: $caller:literal $leaving:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let backend = Backend::start().await;
            let mesh = Mesh::start(&[&backend], 1).await;
            let caller = mesh.daemons[$caller].caller;
            let call = tokio::spawn(async move {
                http(caller, "POST", "/write/hold", &[], "w").await.unwrap()
            });
            backend.wait_busy(1).await;
            let leaving = &mesh.daemons[$leaving];
            leaving.side.signal();
            let side = leaving.side.clone();
            let drain = tokio::spawn(async move { side.drain().await });
            // New requests are refused once the announcement of the shutdown has been distributed.
            loop {
                let reply = http(leaving.caller, "GET", "/read/x", &[], "").await;
                let Ok(reply) = reply else { continue };
                if reply.outcome() == "not-run" {
                    assert_eq!(reply.reason(), "draining");
                    break;
                }
                assert_eq!(reply.outcome(), "answered");
            }
            assert!(!drain.is_finished());
            backend.release();
            assert_eq!(call.await.unwrap().body, "held");
            assert_eq!(drain.await.unwrap(), ExitCode::Clean);
        }
    )*};
}

drain_completes_requests! {
    drain_of_the_ingress_completes_the_request: 1 1;
    drain_of_the_executor_completes_the_request: 1 0;
    drain_of_ingress_and_executor_in_one_daemon_completes_the_request: 0 0;
}

#[tokio::test]
async fn second_signal_forces_exit() {
    let backend = Backend::start().await;
    let mesh = Mesh::start(&[&backend], 1).await;
    let caller = mesh.daemons[1].caller;
    let call = tokio::spawn(async move { http(caller, "POST", "/write/hold", &[], "w").await });
    backend.wait_busy(1).await;
    mesh.daemons[0].side.signal();
    mesh.daemons[0].side.signal();
    assert_eq!(mesh.daemons[0].side.drain().await, ExitCode::Forced);
    backend.release();
    assert_eq!(call.await.unwrap().unwrap().body, "held");
}

#[tokio::test]
async fn service_without_backend_server_differs_from_unknown_route() {
    let mesh = Mesh::start(&[], 1).await;
    let caller = mesh.daemons[0].caller;
    let reply = http(caller, "GET", "/read/x", &[], "").await.unwrap();
    assert_eq!(
        (reply.status, reply.outcome(), reply.reason()),
        (503, "not-run", "no-backend-server")
    );
    assert!(!reply.header("retry-after").is_empty());
    let reply = http(caller, "GET", "/nowhere", &[], "").await.unwrap();
    assert_eq!((reply.status, reply.reason()), (404, "no-route"));
    let keys = "/.marigold/keys?path=/write/x";
    let reply = http(caller, "POST", keys, &[], "").await.unwrap();
    assert_eq!(
        (reply.status, reply.reason()),
        (503, "no-backend-server"),
        "{reply:?}"
    );
}

#[tokio::test]
async fn daemon_that_may_not_serve_refuses_requests() {
    let backend = Backend::start().await;
    let mesh = Mesh::start(&[&backend], 1).await;
    let daemon = &mesh.daemons[1];
    let mut view = marigold_control::View::clone(&daemon.shared.view.load());
    view.serving = false;
    daemon.shared.view.store(std::sync::Arc::new(view));
    let reply = http(daemon.caller, "GET", "/read/x", &[], "")
        .await
        .unwrap();
    assert_eq!((reply.status, reply.reason()), (503, "not-serving"));
    assert_eq!(backend.total(), 0);
}

#[tokio::test]
async fn write_over_a_closed_idle_connection_runs_at_most_once() {
    // A backend server that closes each connection after one answer without announcing it.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let runs = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let counted = runs.clone();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let counted = counted.clone();
            tokio::spawn(async move {
                use tokio::io::{AsyncReadExt, AsyncWriteExt};
                let mut buffer = vec![0; 4096];
                let count = stream.read(&mut buffer).await.unwrap_or(0);
                if buffer[..count].starts_with(b"POST") {
                    counted.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                }
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                let _ = stream.write_all(answer).await;
            });
        }
    });
    let mut mesh = Mesh::new();
    mesh.add("hall-a", Some(address)).await;
    mesh.add("hall-b", None).await;
    mesh.publish();
    mesh.daemons[0].wait_healthy().await;
    let mut answered = 0;
    for round in 0..50 {
        let reply = http(
            mesh.daemons[1].caller,
            "POST",
            "/write/x",
            &[],
            &round.to_string(),
        )
        .await;
        match reply.unwrap().outcome() {
            "answered" => answered += 1,
            "unknown" | "not-run" => {}
            other => panic!("{other}"),
        }
    }
    let runs = runs.load(std::sync::atomic::Ordering::SeqCst);
    assert!(
        (answered..=50).contains(&runs),
        "{answered} answered, {runs} runs"
    );
}

#[tokio::test]
async fn crashing_request_takes_down_at_most_two_backend_servers() {
    let servers = [
        Backend::start().await,
        Backend::start().await,
        Backend::start().await,
        Backend::start().await,
    ];
    let list: Vec<&Backend> = servers.iter().collect();
    let mesh = Mesh::start(&list, 2).await;
    let mut refused = 0;
    for round in 0..12 {
        let caller = mesh.daemons[4 + round % 2].caller;
        let reply = http(caller, "GET", "/read/crash", &[], "").await.unwrap();
        match reply.outcome() {
            "unknown" => {}
            "not-run" => refused += usize::from(reply.reason() == "quarantined"),
            other => panic!("{other}"),
        }
    }
    let gone = servers.iter().filter(|server| server.is_stopped()).count();
    assert!(gone <= 2, "{gone} backend servers crashed");
    assert!(refused > 0);
    // Other requests still succeed.
    let mut answered = 0;
    for _ in 0..20 {
        let reply = http(mesh.daemons[4].caller, "GET", "/read/x", &[], "").await;
        answered += usize::from(reply.unwrap().outcome() == "answered");
    }
    assert!(answered > 0);
}

#[tokio::test]
async fn started_daemon_does_not_know_of_a_crashing_request() {
    let servers = [
        Backend::start().await,
        Backend::start().await,
        Backend::start().await,
    ];
    let list: Vec<&Backend> = servers.iter().collect();
    let mut mesh = Mesh::start(&list, 1).await;
    let caller = mesh.daemons[3].caller;
    let crash = async || {
        let reply = http(caller, "GET", "/read/crash", &[], "").await.unwrap();
        reply.reason() == "quarantined"
    };
    while !crash().await {}
    let late = Backend::start().await;
    mesh.add_all(&[&late], 0).await;
    for _ in 0..20 {
        crash().await;
    }
    assert!(!late.is_stopped());
}

/// The caller leaves before the crash, so that no exchange with the backend server shows it.
#[tokio::test]
async fn request_whose_caller_left_before_the_crash_is_quarantined() {
    let servers = [
        Backend::start().await,
        Backend::start().await,
        Backend::start().await,
        Backend::start().await,
    ];
    let list: Vec<&Backend> = servers.iter().collect();
    let mesh = Mesh::start(&list, 1).await;
    let caller = mesh.daemons[4].caller;
    let mut is_quarantined = false;
    for _ in 0..servers.len() {
        let request = tokio::spawn(async move {
            let reply = http(caller, "GET", "/read/hold", &[], "").await;
            reply.unwrap().reason().to_owned()
        });
        let runs = futures_util::future::select_all(
            list.iter().map(|server| Box::pin(server.wait_busy(1))),
        );
        tokio::pin!(request);
        let index = tokio::select! {
            reason = &mut request => {
                assert_eq!(reason.unwrap(), "quarantined");
                is_quarantined = true;
                break;
            }
            ((), index, _) = runs => index,
        };
        request.abort();
        servers[index].wait_busy(0).await;
        servers[index].state.crash.notify_one();
        let mut healthy = mesh.daemons[index].shared.healthy.subscribe();
        healthy.wait_for(|healthy| !*healthy).await.unwrap();
    }
    assert!(is_quarantined);
}

#[tokio::test]
async fn rate_limited_request_is_not_sent_to_the_backend_server() {
    use marigold_config::{Config, Declaration, Limit, Resource};

    let backend = Backend::start().await;
    let mut mesh = Mesh::new();
    let mut declarations = mesh.config.declarations().clone();
    let limit = Limit {
        service: support::mesh::SERVICE.parse().unwrap(),
        caller: Some("greedy".parse().unwrap()),
        rate: marigold_types::Rate(1),
    };
    declarations.insert(
        Resource::Limit("greedy".into()),
        std::sync::Arc::new(Declaration::Limit(limit)),
    );
    let version = mesh.config.version;
    mesh.config = std::sync::Arc::new(Config::new(version, declarations));
    mesh.add_all(&[&backend], 1).await;
    let caller = mesh.daemons[1].caller;
    let headers = [("marigold-caller", "greedy")];
    let mut limited = 0;
    for _ in 0..50 {
        let reply = http(caller, "POST", "/write/x", &headers, "order")
            .await
            .unwrap();
        if reply.outcome() == "not-run" {
            assert_eq!((reply.status, reply.reason()), (429, "limited"));
            assert!(!reply.header("retry-after").is_empty());
            limited += 1;
        }
    }
    assert!(limited > 0);
    assert_eq!(backend.total(), 50 - limited);
    let other = http(caller, "POST", "/write/x", &[], "order")
        .await
        .unwrap();
    assert_eq!(other.outcome(), "answered");
}
