//! Starts the router's threads, serves until a stop signal and shuts down gracefully.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::signal::unix::{SignalKind, signal};
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use displaydoc::Display;
use eelgrasspier_caller::{
    CallerAccount, CallerBody, Handler, ResponseFuture, ShutdownPhase, serve,
};
use eelgrasspier_decide::route::CallerLimits;
use eelgrasspier_store::{Collections, DecodeContent};
use eelgrasspier_telemetry::{LatencyHistogram, MetricsExporter, TelemetryError};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::backend::Backend;
use crate::control::{Control, ControlRequest, Identity};
use crate::peer_requests::PeerRequestHandler;
use crate::reload::{ActiveSettings, SettingsFile};
use crate::router::Router;
use crate::settings::InstanceSettings;
use crate::view::SharedState;

/// Time after the start of a stop for which idle connections stay open.
///
/// The load balancer probes once a second and removes an instance after two failures. Requests of
/// callers that have not noticed yet are still served in this time.
const DRAIN_TIME: Duration = Duration::from_millis(3200);
/// Part of the grace period reserved for ending before the kill.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Time for which the answers to unfinished requests are written before the process ends.
const UNFINISHED_TIME: Duration = Duration::from_millis(200);
/// Latency histograms; docs/METRICS.md lists them with the other metrics.
const LATENCY_METRICS: &[LatencyHistogram] = &[
    LatencyHistogram {
        name: "eelgrasspier_request_seconds",
        help: "Time from a request's arrival to its answer.",
        labels: &["outcome"],
    },
    LatencyHistogram {
        name: "eelgrasspier_part_seconds",
        help: "Time of one exchange with a replica, however it ended.",
        labels: &[],
    },
    LatencyHistogram {
        name: "eelgrasspier_relay_seconds",
        help: "Time that another instance took.",
        labels: &[],
    },
];

/// Adapters to callers, backend servers and the store.
pub struct Adapters {
    /// Creates the store client, on the control thread.
    pub make_store: Box<dyn FnOnce() -> Rc<dyn Collections> + Send>,
    /// Decodes the contents of the store's objects.
    pub decoder: Arc<dyn DecodeContent>,
    /// Sends requests to replicas.
    pub backend: Rc<dyn Backend>,
    /// Creates the handler that parses callers' requests and writes their answers.
    pub make_handler: fn(Rc<Router>) -> Rc<dyn Handler>,
    /// The settings file, which is reloaded on change.
    pub settings_file: Box<dyn SettingsFile>,
}

impl std::fmt::Debug for Adapters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Adapters").finish_non_exhaustive()
    }
}

/// An error that prevents the router from starting.
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
/// Fails if an address can't be bound, or if metrics or signal handlers can't be set up.
pub fn run(settings: &InstanceSettings, adapters: Adapters) -> Result<(), RunError> {
    let metrics = MetricsExporter::install(LATENCY_METRICS).map_err(RunError::Metrics)?;
    actix_rt::System::new().block_on(serve_all(settings, adapters, metrics))
}

async fn serve_all(
    settings: &InstanceSettings,
    adapters: Adapters,
    metrics: MetricsExporter,
) -> Result<(), RunError> {
    let front = bind_callers(settings.caller_addr)?;
    let ready = bind_callers(settings.readiness_addr)?;
    let Adapters { make_store, decoder, backend, make_handler, settings_file } = adapters;
    let shared = Arc::new(SharedState::new());
    log::info!(
        "event=started instance={} zone={} front={}",
        settings.name,
        settings.zone,
        settings.caller_addr
    );

    let peer = bind(settings.peer_addr).await?;
    let (control, requests) = mpsc::unbounded_channel();
    let arbiter = actix_rt::Arbiter::new();
    let control_shared = Arc::clone(&shared);
    let identity = Identity {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        peer_addr: settings.peer_addr,
        seed_addrs: settings.seed_addrs.clone(),
        capacity_milli: settings.capacity_milli,
        is_bootstrap: settings.is_bootstrap,
        is_evacuation_enabled: settings.is_evacuation_enabled,
        heartbeat_interval: settings.heartbeat_interval,
    };
    let (reports_to_traffic, reports) = mpsc::unbounded_channel();
    let (started, start_result) = oneshot::channel();
    arbiter.spawn_fn(move || {
        actix_rt::spawn(async move {
            let store_and_decoder = (make_store(), decoder);
            let result = Control::start(
                control_shared,
                identity,
                store_and_decoder,
                requests,
                reports_to_traffic,
            )
            .await;
            // The receiver waits for this result, so sending can't fail.
            let _is_disconnected = started.send(result).is_err();
        });
    });
    let started = start_result
        .await
        .unwrap_or_else(|_| Err(io::Error::other("control thread ended during start")));
    started.map_err(|e| RunError::Bind(settings.peer_addr, e))?;
    let router = Router::new(
        Arc::clone(&shared),
        backend,
        &settings.name,
        settings.zone.as_str().into(),
        settings.retry_limits,
    );
    router.set_cold_tolerance(settings.cold_tolerance);
    router.set_revocation_timeout(settings.revocation_timeout);
    router.set_limit_tolerance(settings.limit_tolerance);
    router.set_regions(settings.regions.clone());
    actix_rt::spawn(Rc::clone(&router).follow_views());
    actix_rt::spawn(Rc::clone(&router).maintain_limits());
    actix_rt::spawn(Rc::clone(&router).send_pending_reports(control.clone()));
    actix_rt::spawn(Rc::clone(&router).receive_reports(reports));
    let peer_handler = Rc::new(PeerRequestHandler::new(Rc::clone(&router), control.clone()));
    actix_rt::spawn(eelgrasspier_peer::serve(peer, peer_handler));

    let (phase, phase_changes) = watch::channel(ShutdownPhase::Serving);
    // Readiness and metrics are served until the process ends.
    let (_keep_open, until_exit) = watch::channel(ShutdownPhase::Serving);
    let readiness =
        Rc::new(ReadinessProbe { shared: Arc::clone(&shared), phase: phase_changes.clone() });
    let account = CallerAccount::new(settings.caller_budget);
    actix_rt::spawn(serve(ready, readiness, Rc::clone(&account), until_exit.clone()));
    if let Some(addr) = settings.metrics_addr {
        match bind_callers(addr) {
            Ok(listener) => {
                let page = Rc::new(MetricsPage(metrics));
                actix_rt::spawn(serve(listener, page, Rc::clone(&account), until_exit));
            }
            // Serving callers matters more than metrics.
            Err(error) => log::error!("event=metrics_not_served cause=\"{error}\""),
        }
    }
    let active_settings = ActiveSettings::new(settings_file, settings.clone(), Rc::clone(&router));
    let grace_period = active_settings.grace_period();
    let hangup_signals = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
    actix_rt::spawn(active_settings.follow(hangup_signals));
    let stop = stop_signal()?;
    let handler = make_handler(Rc::clone(&router));
    let serving = actix_rt::spawn(serve(front, handler, account, phase_changes));
    stop.await;
    let grace_period = grace_period.get().saturating_sub(GRACE_MARGIN);
    log::info!("event=stopping grace_ms={}", grace_period.as_millis());
    let stop_started = Instant::now();
    phase.send_replace(ShutdownPhase::Draining);
    // If the control thread has ended, there is nobody to notify.
    let _is_disconnected = control.send(ControlRequest::Stop).is_err();
    tokio::time::sleep(DRAIN_TIME.min(grace_period / 2)).await;
    phase.send_replace(ShutdownPhase::Closing);
    wait_for_callers(serving, &router, stop_started + grace_period).await;
    arbiter.stop();
    Ok(())
}

/// Waits until all callers are served; answers requests that are still in progress before `end_at`.
async fn wait_for_callers(mut serving: JoinHandle<()>, router: &Router, end_at: Instant) {
    let mut drained = tokio::time::timeout_at(end_at - UNFINISHED_TIME, &mut serving).await;
    let has_unfinished = drained.is_err();
    if has_unfinished {
        router.end_requests();
        drained = tokio::time::timeout_at(end_at, serving).await;
    }
    log::info!("event=stopped unfinished={has_unfinished} cut_short={}", drained.is_err());
}

fn bind_callers(addr: SocketAddr) -> Result<TcpListener, RunError> {
    eelgrasspier_caller::bind(addr).map_err(|e| RunError::Bind(addr, e))
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(addr).await.map_err(|e| RunError::Bind(addr, e))
}

fn stop_signal() -> Result<impl Future<Output = ()>, RunError> {
    let mut term = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut int = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
}

/// Answers the load balancer's readiness probe.
struct ReadinessProbe {
    shared: Arc<SharedState>,
    phase: watch::Receiver<ShutdownPhase>,
}

impl Handler for ReadinessProbe {
    fn answer(&self, _request: Request<CallerBody>) -> ResponseFuture {
        let is_serving = *self.phase.borrow() == ShutdownPhase::Serving;
        let is_ready = is_serving && self.shared.view.load().is_ready();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        page(status, Bytes::new())
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }
}

/// Serves the metrics page.
struct MetricsPage(MetricsExporter);

impl Handler for MetricsPage {
    fn answer(&self, _request: Request<CallerBody>) -> ResponseFuture {
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

fn page(status: StatusCode, body: Bytes) -> ResponseFuture {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let response_future: Pin<Box<dyn Future<Output = _>>> = Box::pin(std::future::ready(response));
    response_future
}
