//! Starts the daemon's threads, serves until a stop signal arrives, and shuts down gracefully.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use displaydoc::Display;
use eelgrasspier_decide::prelude::InstanceId;
use eelgrasspier_telemetry::{LatencyHistogram, MetricsExporter, TelemetryError};
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock::epoch_ms;
use crate::control::{Control, Sockets};
use crate::event;
use crate::quarantine::QuarantineState;
use crate::settings::Settings;
use crate::shared::{ControlRequest, Shared, SharedRef};
use crate::timeline::Timeline;
use crate::view::View;
use crate::worker::Worker;

/// Maximum number of ports tried to find one that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 50;
/// Latency histograms; docs/METRICS.md lists them with the other metrics.
const LATENCIES: &[LatencyHistogram] = &[
    LatencyHistogram {
        name: "eelgrasspier_query_seconds",
        help: "Time from a query's arrival to its answer or refusal.",
        labels: &[],
    },
    LatencyHistogram {
        name: "eelgrasspier_added_seconds",
        help: "Time beyond the slowest exchange, for full answers.",
        labels: &[],
    },
];

/// Error that prevents the daemon from starting or continuing.
#[derive(Debug, Display, thiserror::Error)]
pub enum StartError {
    /// cannot bind address: {0}
    Bind(#[source] io::Error),
    /// cannot set up metrics: {0}
    Metrics(#[source] TelemetryError),
    /// HTTP server failed: {0}
    Serve(#[source] io::Error),
}

/// Runs the daemon until it receives a stop signal.
///
/// # Errors
/// Fails if an address cannot be bound, metrics cannot be set up or the HTTP server fails.
pub fn run(settings: Settings) -> Result<(), StartError> {
    let metrics = MetricsExporter::install(LATENCIES).map_err(StartError::Metrics)?;
    actix_rt::System::new().block_on(serve(settings, metrics))
}

async fn serve(settings: Settings, metrics: MetricsExporter) -> Result<(), StartError> {
    let http =
        eelgrasspier_caller::bind(settings.http_addr).and_then(tokio::net::TcpListener::into_std);
    let http = http.map_err(StartError::Bind)?;
    let peer = bind_peer(settings.peer_addr).map_err(StartError::Bind)?;
    let http_addr = http.local_addr().map_err(StartError::Bind)?;
    let peer_addr = peer.local_addr().map_err(StartError::Bind)?;
    let (control, requests) = mpsc::unbounded_channel();
    let shared = new_shared(settings, control);
    let about = &shared.settings.name;
    let detail = format!("http {http_addr} peer {peer_addr}");
    shared.timeline.record(event::STARTED, about, &detail);
    // Prints the bound addresses, including ports picked by the system, for the parent process.
    println!("{{\"http\":\"{http_addr}\",\"peer\":\"{peer_addr}\"}}");

    let arbiter = actix_rt::Arbiter::new();
    let (started, start_result) = oneshot::channel();
    let control_shared = Arc::clone(&shared);
    arbiter.spawn(async move {
        let result = start_control(control_shared, peer, peer_addr, http_addr, requests).await;
        drop(started.send(result));
    });
    let result = start_result
        .await
        .unwrap_or_else(|_| Err(io::Error::other("control thread ended during startup")));
    result.map_err(StartError::Bind)?;

    let result = serve_http(http, Arc::clone(&shared), metrics).await;
    shared.call_control(|reply| ControlRequest::AnnounceLeft { reply }).await;
    shared.timeline.record(event::LEFT, &shared.settings.name, "");
    arbiter.stop();
    result.map_err(StartError::Serve)
}

fn new_shared(settings: Settings, control: mpsc::UnboundedSender<ControlRequest>) -> SharedRef {
    let incarnation = epoch_ms();
    let id = InstanceId { name: settings.name.clone(), incarnation };
    Arc::new(Shared {
        settings,
        incarnation,
        started: Instant::now(),
        view: ArcSwap::from_pointee(View::default()),
        timeline: Timeline::new(id),
        control,
        warm_threads: std::sync::atomic::AtomicUsize::new(0),
        snapshots: std::sync::Mutex::default(),
        quarantine: QuarantineState::default(),
        parts_senders: std::sync::Mutex::default(),
    })
}

async fn start_control(
    shared: SharedRef,
    listener: TcpListener,
    peer_addr: SocketAddr,
    http_addr: SocketAddr,
    requests: mpsc::UnboundedReceiver<ControlRequest>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    Control::start(shared, Sockets { listener, peer_addr, http_addr }, requests).await
}

/// Binds a TCP port whose UDP port is free too; peers use the same port for both.
fn bind_peer(addr: SocketAddr) -> io::Result<TcpListener> {
    let mut last_error = io::Error::other("no port is free for both TCP and UDP");
    for _ in 0..MAX_PORT_ATTEMPTS {
        let listener = TcpListener::bind(addr)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(_) => return Ok(listener),
            Err(error) if addr.port() == 0 => last_error = error,
            Err(error) => return Err(error),
        }
    }
    Err(last_error)
}

async fn serve_http(
    listener: TcpListener,
    shared: SharedRef,
    metrics: MetricsExporter,
) -> io::Result<()> {
    let stop_limit = Duration::from_millis(shared.settings.stop_limit_ms);
    let (closing, is_closing) = watch::channel(false);
    let mut workers = Vec::new();
    for _ in 0..shared.settings.traffic_threads {
        let worker = Worker {
            listener: listener.try_clone()?,
            shared: Arc::clone(&shared),
            metrics: metrics.clone(),
            is_closing: is_closing.clone(),
            stop_limit,
        };
        workers.push(worker.start().await?);
    }
    drop(listener);
    wait_for_signal().await;
    begin_stop(&shared).await;
    closing.send_replace(true);
    for worker in workers {
        worker.wait_until_ended().await;
    }
    Ok(())
}

/// Announces the stop and waits while still serving, until load balancers have noticed.
async fn begin_stop(shared: &Shared) {
    shared.timeline.record(event::LEAVING, &shared.settings.name, "");
    drop(shared.control.send(ControlRequest::BeginStop));
    tokio::time::sleep(Duration::from_millis(shared.settings.lame_duck_ms)).await;
}

async fn wait_for_signal() {
    use actix_rt::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        // Without signal handlers, the default action of the system terminates the process.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
