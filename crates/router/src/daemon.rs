//! Starts the router's threads, serves until a stop, and stops gracefully.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::signal::unix::{SignalKind, signal};
use bytes::Bytes;
use displaydoc::Display;
use eelgrasspier_caller::{Answering, Handler, StopPhase, serve};
use eelgrasspier_decide::route::CallerLimits;
use eelgrasspier_store::{Collections, Decode};
use eelgrasspier_telemetry::{Latency, Page, TelemetryError};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

use crate::backend::Backend;
use crate::control::{Ask, Control, Identity};
use crate::peers::Peers;
use crate::reload::{InForce, SettingsFile};
use crate::router::Router;
use crate::setup::Setup;
use crate::view::Shared;

/// Time after the start of a stop for which idle connections stay open.
///
/// The balancer asks once a second and takes an instance out after two misses; a request
/// of a caller that has not noticed yet is still served in this time.
const LEAVING: Duration = Duration::from_millis(3200);
/// Kept of the grace period for ending before the kill.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Latencies that are measured; docs/METRICS.md lists them with the other metrics.
const LATENCIES: &[Latency] = &[
    Latency {
        name: "eelgrasspier_request_seconds",
        help: "Time from a request's arrival to its answer.",
        labels: &["outcome"],
    },
    Latency {
        name: "eelgrasspier_part_seconds",
        help: "Time of one exchange with a replica, however it ended.",
        labels: &[],
    },
    Latency {
        name: "eelgrasspier_relay_seconds",
        help: "Time that another instance took.",
        labels: &[],
    },
];

/// What speaks to callers, backend servers and the store.
pub struct Adapters {
    /// Makes the store's client, on the control thread.
    pub store: Box<dyn FnOnce() -> Rc<dyn Collections> + Send>,
    /// Reads the contents of the store's objects.
    pub decode: Arc<dyn Decode>,
    /// Sends requests to replicas.
    pub backend: Rc<dyn Backend>,
    /// Reads callers' requests and writes their answers.
    pub front: fn(Rc<Router>) -> Rc<dyn Handler>,
    /// The settings file, which may change.
    pub settings: Box<dyn SettingsFile>,
}

impl std::fmt::Debug for Adapters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Adapters").finish_non_exhaustive()
    }
}

/// The router could not start.
#[derive(Debug, Display, thiserror::Error)]
pub enum RunError {
    /// address {0} can't be bound: {1}
    Bind(SocketAddr, #[source] io::Error),
    /// metrics can't be set up: {0}
    Metrics(#[source] TelemetryError),
    /// signals can't be received: {0}
    Signals(#[source] io::Error),
}

/// Serves callers until a signal to stop.
///
/// # Errors
/// Fails if an address can't be bound.
pub fn run(setup: &Setup, adapters: Adapters) -> Result<(), RunError> {
    let metrics = Page::install(LATENCIES).map_err(RunError::Metrics)?;
    actix_rt::System::new().block_on(serve_all(setup, adapters, metrics))
}

async fn serve_all(setup: &Setup, adapters: Adapters, metrics: Page) -> Result<(), RunError> {
    let front = bind(setup.front_addr).await?;
    let ready = bind(setup.ready_addr).await?;
    let Adapters { store, decode, backend, front: make_front, settings } = adapters;
    let shared = Arc::new(Shared::new());
    log::info!(
        "event=started instance={} zone={} front={}",
        setup.name,
        setup.zone,
        setup.front_addr
    );

    let peer = bind(setup.peer_addr).await?;
    let (control, asks) = mpsc::unbounded_channel();
    let arbiter = actix_rt::Arbiter::new();
    let control_shared = Arc::clone(&shared);
    let identity = Identity {
        name: setup.name.clone(),
        zone: setup.zone.clone(),
        peer_addr: setup.peer_addr,
        seeds: setup.seeds.clone(),
        capacity_milli: setup.capacity_milli,
        is_first_start: setup.is_first_start,
        has_evacuations: setup.has_evacuations,
        heartbeat: setup.heartbeat,
    };
    let (tell, told) = mpsc::unbounded_channel();
    let (started, has_started) = oneshot::channel();
    arbiter.spawn_fn(move || {
        actix_rt::spawn(async move {
            let started_with = (store(), decode);
            let result = Control::start(control_shared, identity, started_with, asks, tell).await;
            // The other side waits for exactly this.
            let _gone = started.send(result).is_err();
        });
    });
    let started = has_started.await.unwrap_or_else(|_| Err(io::Error::other("control ended")));
    started.map_err(|e| RunError::Bind(setup.peer_addr, e))?;
    let router = Router::new(
        Arc::clone(&shared),
        backend,
        &setup.name,
        setup.zone.as_str().into(),
        setup.repeat_limits,
    );
    router.set_cold_bounds(setup.cold_bounds);
    router.set_regions(setup.regions.clone());
    actix_rt::spawn(Rc::clone(&router).follow_views());
    actix_rt::spawn(Rc::clone(&router).tell_findings(control.clone()));
    actix_rt::spawn(Rc::clone(&router).hear_findings(told));
    let peers = Rc::new(Peers::new(Rc::clone(&router), control.clone()));
    actix_rt::spawn(eelgrasspier_peer::serve(peer, peers));

    let (phase, phases) = watch::channel(StopPhase::Serving);
    // Readiness and metrics are served to the very end.
    let (_open, always) = watch::channel(StopPhase::Serving);
    let readiness = Rc::new(Readiness { shared: Arc::clone(&shared), phase: phases.clone() });
    actix_rt::spawn(serve(ready, readiness, always.clone()));
    if let Some(addr) = setup.metrics_addr {
        match bind(addr).await {
            Ok(listener) => {
                let page = Rc::new(MetricsPage(metrics));
                actix_rt::spawn(serve(listener, page, always));
            }
            // Callers are worth more than figures.
            Err(error) => log::error!("event=metrics_not_served cause=\"{error}\""),
        }
    }
    let settings = InForce::new(settings, setup.clone(), Rc::clone(&router));
    let grace = settings.grace();
    let hangups = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
    actix_rt::spawn(settings.follow(hangups));
    let stop = wait_for_stop()?;
    let serving = actix_rt::spawn(serve(front, make_front(router), phases));
    stop.await;
    let grace = grace.get().saturating_sub(GRACE_MARGIN);
    log::info!("event=stopping grace_ms={}", grace.as_millis());
    let began = tokio::time::Instant::now();
    phase.send_replace(StopPhase::Leaving);
    // A control thread that has ended has nobody left to tell.
    let _gone = control.send(Ask::Stop).is_err();
    tokio::time::sleep(LEAVING.min(grace / 2)).await;
    phase.send_replace(StopPhase::Closing);
    let ended = tokio::time::timeout_at(began + grace, serving).await;
    log::info!("event=stopped cut_short={}", ended.is_err());
    arbiter.stop();
    Ok(())
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(addr).await.map_err(|e| RunError::Bind(addr, e))
}

fn wait_for_stop() -> Result<impl Future<Output = ()>, RunError> {
    let mut term = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut int = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
}

/// Tells the balancer whether callers can be sent here.
struct Readiness {
    shared: Arc<Shared>,
    phase: watch::Receiver<StopPhase>,
}

impl Handler for Readiness {
    fn answer(&self, _request: Request<Incoming>) -> Answering {
        let is_serving = *self.phase.borrow() == StopPhase::Serving;
        let is_ready = is_serving && self.shared.view.load().is_ready();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        page(status, Bytes::new())
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }
}

/// The metrics as text.
struct MetricsPage(Page);

impl Handler for MetricsPage {
    fn answer(&self, _request: Request<Incoming>) -> Answering {
        match self.0.render() {
            Ok(text) => page(StatusCode::OK, text.into()),
            Err(error) => {
                log::error!("event=metrics_not_served cause=\"{error}\"");
                page(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }
}

fn page(status: StatusCode, body: Bytes) -> Answering {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let answering: Pin<Box<dyn Future<Output = _>>> = Box::pin(std::future::ready(response));
    answering
}
