//! Requests that crash backend servers: what ingress and executor do with them, and who hears of them.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use common::test_mesh::{BackendBehaviour, HEALTH_PATH, TestMesh, get, until};
use common::{announcement, listener, local_tests, names, service};
use futures_util::future::join;
use marigold_dispatch::{LinkRate, ServingState, Site};
use marigold_request::quarantine::{CrashId, CrashRecord, Fingerprint, QuarantineStatus};
use marigold_sidecar::CrashTracker;
use marigold_sidecar::events::EventLog;
use marigold_sidecar::executor::{ExecutorOptions, LocalExecutor};
use marigold_sidecar::ingress::{Mesh, MeshOptions, Tuning};
use marigold_sidecar::link::{Call, Frame, FrameCodec, LinkServer, Packet};
use marigold_types::{Address, Incarnation, InstanceId, SlotCount};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{advance, sleep};
use tokio_util::codec::Encoder;

const CONNECTION_CLOSE: &str = "Connection: close\r\n";
/// Limit on an encoded record, see docs/design/crashing-requests.md.
const MAX_RECORD_BYTES: usize = 160;
const PRINT: Fingerprint = Fingerprint([1; 16]);

fn events() -> Rc<EventLog> {
    Rc::new(EventLog::new(Arc::from("test"), spdlog::default_logger()))
}

fn tracker() -> Rc<CrashTracker> {
    CrashTracker::new(SocketAddr::from(([127, 0, 0, 1], 1)), 1, events())
}

/// Returns the fingerprint of a GET request for `target` that [`TestMesh`] receives.
fn fingerprint(target: &str) -> Fingerprint {
    Fingerprint::with_caller(&service("desk"), &service("ledger"), "GET", target, &[])
}

/// Returns the record of a request that was in flight at two crashes.
fn suspected(fingerprint: Fingerprint) -> CrashRecord {
    let mut record = CrashRecord::new(fingerprint);
    for number in 0..2 {
        record.add_crash(CrashId {
            instance: InstanceId {
                address: Address(SocketAddr::from(([127, 0, 0, 1], 9))),
                incarnation: Incarnation(9),
            },
            number,
        });
    }
    record
}

/// Returns the record of a request that crashed a backend server during an exclusive run.
fn refused(fingerprint: Fingerprint) -> CrashRecord {
    let mut record = suspected(fingerprint);
    record.add_trial();
    record
}

fn retry_after(response: &str) -> f64 {
    let line = response
        .lines()
        .find_map(|line| line.strip_prefix("Retry-After: "));
    line.expect("a time").parse().expect("seconds")
}

local_tests! {
    crashing_request_is_sent_on_by_the_ingress {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        let crashes = &mesh.ingress.mesh.crashes;
        crashes.receive(&[refused(fingerprint("/safe/a"))], false);
        let response = mesh.send(&get("/safe/a", CONNECTION_CLOSE)).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.ends_with("the request may crash backend servers"), "{response}");
        assert!((20.0..=30.0).contains(&retry_after(&response)), "{response}");
        assert_eq!(mesh.arrivals(), 0);
    }

    request_like_a_crashing_one_is_refused {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed]).await;
        let crashes = &mesh.ingress.mesh.crashes;
        let (desk, target) = (service("desk"), "/safe/c");
        let other_caller = Fingerprint::with_caller(&desk, &desk, "GET", target, &[]);
        crashes.receive(&[refused(fingerprint("/safe/a")), refused(other_caller)], false);
        let response = mesh.send(&get(target, CONNECTION_CLOSE)).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let response = mesh.send(&get("/safe/b", CONNECTION_CLOSE)).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let post = "POST /safe/a HTTP/1.1\r\nHost: git.example\r\nX-Id: r1\r\n\
            Content-Length: 0\r\nConnection: close\r\n\r\n";
        let response = mesh.send(post).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }

    crashing_request_is_sent_on_by_an_ingress_without_news {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed, BackendBehaviour::Succeed]).await;
        for tracker in &mesh.trackers {
            tracker.receive(&[refused(fingerprint("/once/a"))], false);
        }
        let response = mesh.send(&get("/once/a", CONNECTION_CLOSE)).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(retry_after(&response) >= 20.0, "{response}");
        assert_eq!(mesh.arrivals(), 0);
    }

    suspected_request_runs_on_several_executors {
        let mesh = TestMesh::new(&[BackendBehaviour::Succeed; 4]).await;
        let print = fingerprint("/safe/a");
        let choice = mesh.ingress.mesh.choose_for_trial(&service("desk"), &print, &[]);
        let expected = choice.map(|choice| choice.address);
        let index = mesh.addresses.iter().position(|address| Some(*address) == expected);
        for _ in 0..5 {
            mesh.ingress.mesh.crashes.receive(&[suspected(print)], false);
            let response = mesh.send(&get("/safe/a", CONNECTION_CLOSE)).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        let chosen = mesh.backends[index.expect("an executor")];
        assert_eq!(*mesh.arrivals.borrow(), [(chosen, 5)].into());
    }

    suspected_request_is_repeated_by_the_mesh {
        let mesh = TestMesh::new(&[BackendBehaviour::Disconnect; 3]).await;
        mesh.ingress.mesh.crashes.receive(&[suspected(fingerprint("/safe/a"))], false);
        let response = mesh.send(&get("/safe/a", CONNECTION_CLOSE)).await;
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
        assert_eq!(mesh.arrivals(), 1);
    }

    backend_server_that_closes_connections_counts_as_crashed {
        let mesh = TestMesh::new(&[BackendBehaviour::Disconnect; 2]).await;
        for _ in 0..3 {
            let response = mesh.send(&get("/once/a", CONNECTION_CLOSE)).await;
            assert!(response.starts_with("HTTP/1.1 502"), "{response}");
        }
        // The check after the last of them connects to the backend server within this time.
        sleep(Duration::from_millis(100)).await;
        let print = fingerprint("/once/a");
        assert!(mesh.trackers.iter().all(|tracker| tracker.is_empty()));
        assert_eq!(mesh.ingress.mesh.crashes.status(&print), QuarantineStatus::Clear);
    }

    crash_of_a_backend_server_goes_unnoticed {
        let daemon = Daemon::start("here").await;
        let (socket, backend) = listener().await;
        let crash = spawn_local(crash_on_first_request(socket));
        daemon.executor.apply_announcement(&announcement(backend, 1, ServingState::Ready));
        let ingress = Daemon::start("here").await;
        ingress.link_to(&daemon, "here").await;
        let call = common::call("r1", true);
        let print = call.fingerprint();
        let outcome = ingress.mesh.send(daemon.address, call).expect("room").wait().await;
        crash.await.expect("the backend server ends");
        until(|| !ingress.mesh.crashes.is_empty()).await;
        let records = ingress.mesh.crashes.records();
        assert_eq!(records.len(), 1, "{outcome:?}");
        assert_eq!((records[0].fingerprint, records[0].crashes.len()), (print, 1));
    }

    silence_after_a_broken_exchange_is_blamed_on_later_requests {
        let daemon = Daemon::start("here").await;
        let (socket, backend) = listener().await;
        let end = spawn_local(fall_silent_on_first_request(socket));
        daemon.executor.set_health_path(Box::new(|| Some(Arc::from(HEALTH_PATH))));
        daemon.executor.apply_announcement(&announcement(backend, 1, ServingState::Ready));
        let ingress = Daemon::start("here").await;
        ingress.link_to(&daemon, "here").await;
        let [guilty, later] = ["/safe/a", "/safe/b"].map(|target| Call {
            target: Arc::from(target),
            ..common::call(target, true)
        });
        let print = guilty.fingerprint();
        ingress.mesh.send(daemon.address, guilty).expect("room").wait().await;
        let later = ingress.mesh.send(daemon.address, later).expect("room");
        // Far earlier than a run is overdue, and than the next instance announces itself.
        until(|| !ingress.mesh.crashes.is_empty()).await;
        let records = ingress.mesh.crashes.records();
        let blamed: Vec<_> = records.iter().map(|record| record.fingerprint).collect();
        assert_eq!(blamed, [print]);
        assert!(daemon.executor.serving().is_some(), "a silent instance may be heard again");
        drop(later);
        end.abort();
    }

    backend_server_that_answers_health_checks_after_a_broken_exchange_counts_as_silent {
        let mesh = TestMesh::new(&[BackendBehaviour::HangOnMark]).await;
        mesh.executors[0].set_health_path(Box::new(|| Some(Arc::from(HEALTH_PATH))));
        let cut = mesh.send(&get("/once/cut", CONNECTION_CLOSE)).await;
        assert!(cut.starts_with("HTTP/1.1 502"), "{cut}");
        sleep(Duration::from_millis(200)).await;
        assert!(mesh.trackers[0].is_empty());
        let next = mesh.send(&get("/once/b", CONNECTION_CLOSE)).await;
        assert!(next.starts_with("HTTP/1.1 200"), "{next}");
    }

    crash_of_a_silent_backend_server_goes_unnoticed_until_the_next_instance {
        let mesh = TestMesh::new(&[BackendBehaviour::Hang]).await;
        let requests = ["/safe/a", "/safe/b"].map(|path| get(path, CONNECTION_CLOSE));
        let [first, second] = requests.each_ref().map(|request| mesh.send(request));
        tokio::select! {
            _ = join(first, second) => panic!("callers gave up first"),
            () = until(|| mesh.trackers[0].records().len() == 2) => {}
        }
    }

    crashes_of_a_backend_server_under_one_identity_count_once {
        let daemon = Daemon::start("here").await;
        let (socket, backend) = listener().await;
        daemon.executor.apply_announcement(&announcement(backend, 1, ServingState::Ready));
        let ingress = Daemon::start("here").await;
        ingress.link_to(&daemon, "here").await;
        let mut next = Some(socket);
        for crashes in 1..=2 {
            let socket = match next.take() {
                Some(socket) => socket,
                None => TcpListener::bind(backend).await.expect("the same address"),
            };
            let crash = spawn_local(crash_on_first_request(socket));
            // The executor refuses calls for a while after the first crash.
            while !crash.is_finished() {
                let call = common::call("r1", true);
                ingress.mesh.send(daemon.address, call).expect("room").wait().await;
            }
            until(|| daemon.tracker.records().iter().any(|record| record.crashes.len() == crashes))
                .await;
        }
    }

    trial_whose_connection_was_reset_is_blamed_for_a_later_crash {
        let mesh = TestMesh::new(&[BackendBehaviour::Disconnect]).await;
        let print = fingerprint("/once/a");
        let tracker = &mesh.trackers[0];
        tracker.receive(&[suspected(print)], false);
        mesh.send(&get("/once/a", CONNECTION_CLOSE)).await;
        // The check finds that the backend server still accepts connections.
        sleep(Duration::from_millis(100)).await;
        tracker.record_crash();
        assert_eq!(tracker.status(&print), QuarantineStatus::Suspect);
    }

    replaced_backend_server_counts_as_crashed_after_it_said_that_it_leaves {
        let daemon = Daemon::start("here").await;
        let run = daemon.tracker.start(PRINT).expect("a clear request");
        let backend = SocketAddr::from(([127, 0, 0, 1], 1));
        daemon.executor.apply_announcement(&announcement(backend, 1, ServingState::Ready));
        daemon.executor.apply_announcement(&announcement(backend, 2, ServingState::Draining));
        let next = marigold_dispatch::Announcement {
            identity: Arc::from("life-2"),
            ..announcement(backend, 1, ServingState::Ready)
        };
        daemon.executor.apply_announcement(&next);
        assert!(daemon.tracker.is_empty());
        // An instance that follows one without a farewell shows that the former crashed.
        let last = marigold_dispatch::Announcement { identity: Arc::from("life-3"), ..next };
        daemon.executor.apply_announcement(&last);
        assert_eq!(daemon.tracker.records().len(), 1);
        drop(run);
    }

    crash_is_unknown_two_hops_away {
        let [far, between, near] =
            [Daemon::start("far").await, Daemon::start("here").await, Daemon::start("here").await];
        between.link_to(&far, "far").await;
        near.link_to(&between, "here").await;
        let run = far.tracker.start(PRINT).expect("a clear request");
        far.tracker.record_crash();
        until(|| !near.tracker.is_empty()).await;
        // The clearance follows the same way.
        drop(run);
        far.tracker.start(PRINT).expect("a clear request").answered();
        until(|| near.tracker.records().iter().all(CrashRecord::is_cleared)).await;
    }

    daemon_that_starts_later_does_not_learn_of_crashes {
        let [first, later] = [Daemon::start("here").await, Daemon::start("here").await];
        let flood: Vec<_> = (0..1_000_u128)
            .map(|number| refused(Fingerprint(number.to_be_bytes())))
            .collect();
        first.tracker.receive(&flood, false);
        later.link_to(&first, "here").await;
        until(|| later.tracker.records().len() == flood.len()).await;
    }

    crash_records_take_too_many_bytes {
        let mut record = refused(PRINT);
        // The longest address and run ids, and more crashes than are kept.
        for number in 0..10 {
            record.add_crash(CrashId {
                instance: InstanceId {
                    address: Address("[2001:db8::1]:65535".parse().expect("an address")),
                    incarnation: Incarnation(u64::MAX),
                },
                number,
            });
        }
        let frame = Frame::CrashRecords(vec![record; 128]);
        let mut bytes = BytesMut::new();
        let packet = Packet { frame, body: Bytes::new() };
        FrameCodec::default().encode(packet, &mut bytes).expect("an encoded frame");
        assert!(bytes.len() <= 128 * MAX_RECORD_BYTES, "{}", bytes.len());
    }

    second_suspect_runs_beside_the_first {
        let tracker = tracker();
        let other = Fingerprint([2; 16]);
        tracker.receive(&[suspected(PRINT), suspected(other)], false);
        let run = tracker.start(PRINT).expect("no other suspect runs");
        let delay = tracker.start(other).err().expect("a refusal");
        assert!(delay < Duration::from_secs(1), "{delay:?}");
        assert!(tracker.start(PRINT).is_err());
        assert!(tracker.start(Fingerprint([3; 16])).is_ok());
        run.answered();
        assert!(tracker.start(other).is_ok());
    }

    mended_request_stays_refused {
        tokio::time::pause();
        let tracker = tracker();
        tracker.receive(&[refused(PRINT)], false);
        let left = tracker.start(PRINT).err().expect("a refusal");
        assert!(left <= Duration::from_secs(30), "{left:?}");
        advance(left).await;
        tracker.start(PRINT).expect("a trial").answered();
        assert_eq!(tracker.status(&PRINT), QuarantineStatus::Clear);
    }
}

/// Reads the first request, and ends as a crashed process does: all sockets close.
async fn crash_on_first_request(socket: TcpListener) {
    let (mut stream, _) = socket.accept().await.expect("a connection");
    let mut buffer = [0; 1024];
    let read = stream.read(&mut buffer).await.expect("a request");
    assert!(read > 0);
}

/// Reads the first request and closes its connection, then accepts connections without reading from them.
async fn fall_silent_on_first_request(socket: TcpListener) {
    let (mut stream, _) = socket.accept().await.expect("a connection");
    let mut buffer = [0; 1024];
    let read = stream.read(&mut buffer).await.expect("a request");
    assert!(read > 0);
    drop(stream);
    let mut open = Vec::new();
    loop {
        open.push(socket.accept().await.expect("a connection"));
    }
}

/// A daemon without callers.
struct Daemon {
    address: SocketAddr,
    tracker: Rc<CrashTracker>,
    executor: Rc<LocalExecutor>,
    mesh: Rc<Mesh>,
    tasks: JoinSet<()>,
}

impl Daemon {
    async fn start(data_centre: &str) -> Self {
        thread_local! {
            static RUNS: Cell<u64> = const { Cell::new(0) };
        }
        let run_id = RUNS.get();
        RUNS.set(run_id + 1);
        let (socket, address) = listener().await;
        let tracker = CrashTracker::new(address, run_id, events());
        let options = ExecutorOptions::new(names(), 16 << 20);
        let executor = LocalExecutor::new(options, tracker.clone(), events());
        let server = LinkServer::new(run_id, executor.clone());
        tracker.set_link_server(&server);
        let options = MeshOptions {
            address,
            data_centre: data_centre.parse().expect("a name"),
            tuning: Tuning {
                byte_cost: 0.0,
                decisions: marigold_dispatch::Decisions::default(),
                retry_ratio: 0.0,
                retry_slack: 0.0,
                retry_window: Duration::from_secs(10),
            },
            memory: marigold_sidecar::MemoryBudget::unlimited(),
        };
        let rng = SmallRng::seed_from_u64(run_id);
        let mesh = Mesh::new(&options, rng, tracker.clone(), events());
        let mut tasks = JoinSet::new();
        tasks.spawn_local(server.listen(socket));
        tasks.spawn_local(executor.clone().run_maintenance());
        Self {
            address,
            tracker,
            executor,
            mesh,
            tasks,
        }
    }

    /// Opens a link to another daemon and waits until it is up.
    async fn link_to(&self, other: &Self, data_centre: &str) {
        assert!(!other.tasks.is_empty());
        self.mesh.update_directory(|directory| {
            directory.put(Site {
                address: other.address,
                data_centre: data_centre.parse().expect("a name"),
                service: service("desk"),
                version: None,
                slots: SlotCount(2),
                link: LinkRate(100),
                leaving: None,
            });
        });
        until(|| {
            self.mesh
                .with_placement(|placement| placement.is_up(other.address))
        })
        .await;
    }
}
