//! Loopback proxy in front of one backend server that simulates crashes of the server.
//!
//! A request that contains [`CRASH_TRIGGER`] crashes it. What others see of that depends on its
//! [`CrashKind`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrasspier_standin::ports::free_port;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes in a request that trigger a crash.
pub const CRASH_TRIGGER: &[u8] = b"ends the server";
/// Time between a crash and the restart.
const DOWNTIME: Duration = Duration::from_millis(700);

/// Time for which a server that has locked up is silent; longer than the deadlines of the tests.
const SILENCE: Duration = Duration::from_secs(3);

/// What can be seen of a crash from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashKind {
    /// All connections are closed, after this time the listener, and [`DOWNTIME`] later the server
    /// is back with another start time.
    ClosesListenerAfter(Duration),
    /// All connections are closed, and another worker accepts new ones on the same listener at once.
    KeepsListening,
    /// Nothing is answered for [`SILENCE`], while connections are accepted and stay open. After that
    /// the server is back with another start time.
    FallsSilent,
}

/// Proxy in front of one backend server.
#[derive(Debug)]
pub struct CrashProxy {
    pub addr: SocketAddr,
    server: SocketAddr,
    kind: CrashKind,
    /// Number of crashes.
    crashes: watch::Sender<u32>,
}

impl CrashProxy {
    /// Starts a proxy in front of `server`.
    pub async fn start(server: SocketAddr, kind: CrashKind) -> Rc<Self> {
        // The port stays free during a crash.
        let addr = free_port().unwrap();
        let listener = TcpListener::bind(addr).await.unwrap();
        let (crashes, _) = watch::channel(0);
        let proxy = Rc::new(Self { addr, server, kind, crashes });
        actix_web::rt::spawn(Rc::clone(&proxy).serve(listener));
        proxy
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u32 {
        *self.crashes.borrow()
    }

    async fn serve(self: Rc<Self>, mut listener: TcpListener) {
        loop {
            let mut crashes = self.crashes.subscribe();
            self.accept(&listener, &mut crashes).await;
            match self.kind {
                CrashKind::KeepsListening => {}
                CrashKind::FallsSilent => {
                    hold_connections(&listener).await;
                    self.restart_server().await;
                }
                CrashKind::ClosesListenerAfter(delay) => {
                    tokio::time::sleep(delay).await;
                    drop(listener);
                    tokio::time::sleep(DOWNTIME).await;
                    self.restart_server().await;
                    listener = TcpListener::bind(self.addr)
                        .await
                        .expect("the port should still be free after the downtime");
                }
            }
        }
    }

    /// Gives the server another start time.
    async fn restart_server(&self) {
        let url = format!("http://{}/standin/restart", self.server);
        awc::Client::default().put(url).send().await.expect("the server should restart");
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener, crashes: &mut watch::Receiver<u32>) {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((caller, _)) = accepted else { continue };
                    let (proxy, mut crashes) = (Rc::clone(self), crashes.clone());
                    actix_web::rt::spawn(async move {
                        let relaying = std::pin::pin!(proxy.relay(caller));
                        tokio::select! {
                            () = relaying => return,
                            _ = crashes.changed() => {}
                        }
                        if proxy.kind == CrashKind::FallsSilent {
                            tokio::time::sleep(SILENCE).await;
                        }
                    });
                }
                _ = crashes.changed() => return,
            }
        }
    }

    async fn relay(&self, caller: TcpStream) {
        let Ok(server) = TcpStream::connect(self.server).await else { return };
        let _ = (caller.set_nodelay(true), server.set_nodelay(true));
        let (from_caller, to_caller) = caller.into_split();
        let (from_server, to_server) = server.into_split();
        tokio::select! {
            () = self.forward(from_caller, to_server) => {}
            () = self.forward(from_server, to_caller) => {}
        }
    }

    async fn forward(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut chunk = vec![0; 16 << 10];
        while let Ok(size @ 1..) = from.read(&mut chunk).await {
            if chunk[..size].windows(CRASH_TRIGGER.len()).any(|w| w == CRASH_TRIGGER) {
                self.crashes.send_modify(|crashes| *crashes += 1);
                std::future::pending::<()>().await;
            }
            if to.write_all(&chunk[..size]).await.is_err() {
                return;
            }
        }
    }
}

/// Accepts connections and answers none of them for [`SILENCE`].
async fn hold_connections(listener: &TcpListener) {
    let mut held = Vec::new();
    let holding = async {
        loop {
            held.extend(listener.accept().await);
        }
    };
    let _has_ended: Result<(), _> = tokio::time::timeout(SILENCE, holding).await;
}
