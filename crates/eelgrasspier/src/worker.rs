//! Thread that serves callers: it accepts their connections and ends them at a stop.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::HttpService;
use actix_rt::Arbiter;
use actix_service::{Service, ServiceFactory, map_config};
use actix_web::App;
use actix_web::body::{BodySize, MessageBody};
use actix_web::dev::{AppConfig, ServiceResponse};
use actix_web::web::Data;
use eelgrasspier_caller::{
    ACCEPT_PAUSE, AccountedStream, CallerAccount, Connection, Phase, is_out_of_descriptors,
};
use eelgrasspier_decide::caller_budget::CallerBudget;
use eelgrasspier_telemetry::MetricsExporter;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::shared::SharedRef;
use crate::traffic::TrafficThread;
use crate::web;

/// Time after which an idle caller connection is closed.
const CALLER_KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Interval at which a stopping thread looks for connections that wait for their callers.
const STOP_INTERVAL: Duration = Duration::from_millis(50);

/// What a thread needs to serve callers.
pub(crate) struct Worker {
    pub(crate) listener: TcpListener,
    pub(crate) shared: SharedRef,
    pub(crate) metrics: MetricsExporter,
    /// Set when connections that wait for their callers are to be closed.
    pub(crate) is_closing: watch::Receiver<bool>,
    /// Time for requests in progress to finish after that.
    pub(crate) stop_limit: Duration,
}

/// Thread that serves callers.
pub(crate) struct RunningWorker {
    arbiter: Arbiter,
    ended: oneshot::Receiver<()>,
}

impl RunningWorker {
    /// Waits until the thread has finished its requests, and ends it.
    pub(crate) async fn wait_until_ended(self) {
        // Fails if the thread has panicked, which ends it too.
        drop(self.ended.await);
        self.arbiter.stop();
    }
}

impl Worker {
    /// Starts the thread.
    ///
    /// # Errors
    /// Fails if the listener or the service can't be set up.
    pub(crate) async fn start(self) -> io::Result<RunningWorker> {
        let arbiter = Arbiter::new();
        let (started, start_result) = oneshot::channel();
        let (has_ended, ended) = oneshot::channel();
        arbiter.spawn_fn(move || {
            actix_rt::spawn(async move {
                self.run(started).await;
                let _is_waiting = has_ended.send(()).is_ok();
            });
        });
        let result = start_result.await;
        result.unwrap_or_else(|_| Err(io::Error::other("traffic thread ended during startup")))?;
        Ok(RunningWorker { arbiter, ended })
    }

    async fn run(self, started: oneshot::Sender<io::Result<()>>) {
        let Self { listener, shared, metrics, mut is_closing, stop_limit } = self;
        let listener = listener
            .set_nonblocking(true)
            .and_then(|()| tokio::net::TcpListener::from_std(listener));
        let listener = match listener {
            Ok(listener) => listener,
            Err(error) => return drop(started.send(Err(error))),
        };
        let account = CallerAccount::new(thread_budget(&shared));
        let traffic = TrafficThread::start(Arc::clone(&shared));
        let app = App::new()
            .app_data(Data::new(traffic))
            .app_data(Data::new(metrics))
            .configure(web::routes)
            .wrap_fn(|request, service| {
                let connection = request.conn_data::<Rc<Connection>>().cloned();
                if let Some(connection) = &connection {
                    connection.set_phase(Phase::Service);
                }
                let answering = service.call(request);
                async move {
                    let answer = answering.await?;
                    record_answer(connection.as_deref(), &answer);
                    Ok(answer)
                }
            });
        let service = HttpService::build()
            .keep_alive(CALLER_KEEP_ALIVE)
            .on_connect_ext(|stream: &AccountedStream, data| {
                data.insert(Rc::clone(stream.connection()));
            })
            .h1(map_config(app, |()| AppConfig::default()));
        let Ok(service) = service.new_service(()).await else {
            let error = io::Error::other("HTTP service can't be set up");
            return drop(started.send(Err(error)));
        };
        if started.send(Ok(())).is_err() {
            return;
        }
        let service = Rc::new(service);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = is_closing.wait_for(|is_closing| *is_closing) => break,
            };
            match accepted {
                Ok((stream, from)) => {
                    let open = account.open();
                    let stream = AccountedStream::with_pauses(stream, Rc::clone(open.connection()));
                    let serving = service.call((stream, Some(from)));
                    actix_rt::spawn(async move {
                        tokio::select! {
                            biased;
                            () = open.connection().wait_closed() => {}
                            ended = serving => if let Err(error) = ended {
                                log::debug!("connection from {from} ended: {error}");
                            }
                        }
                    });
                    account.settle().await;
                }
                Err(error) => {
                    log::warn!("failed to accept a caller's connection: {error}");
                    if is_out_of_descriptors(&error) {
                        account.record_exhaustion();
                        account.settle().await;
                    }
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(listener);
        let until = Instant::now() + stop_limit;
        while !account.stop() && Instant::now() < until {
            tokio::time::sleep(STOP_INTERVAL).await;
        }
    }
}

/// Returns the part of the callers' budget for one of the threads.
fn thread_budget(shared: &SharedRef) -> CallerBudget {
    let threads = shared.settings.traffic_threads;
    let CallerBudget { max_bytes, max_unread_bytes, max_connections } =
        shared.settings.caller_budget;
    CallerBudget {
        max_bytes: max_bytes / threads,
        max_unread_bytes: max_unread_bytes / threads,
        max_connections: (max_connections / threads).max(1),
    }
}

fn record_answer<B: MessageBody>(connection: Option<&Connection>, answer: &ServiceResponse<B>) {
    let Some(connection) = connection else { return };
    connection.set_phase(Phase::Answer);
    if let BodySize::Sized(bytes) = answer.response().body().size() {
        connection.record_answer(usize::try_from(bytes).unwrap_or(usize::MAX));
    }
}
