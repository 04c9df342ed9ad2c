//! Loopback proxy in front of one backend server that simulates crashes of the server.
//!
//! It closes all connections and its port when a request contains [`CRASH_TRIGGER`], and listens
//! again after [`DOWNTIME`]; the server then has another start time.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrasspier_standin::ports::free_port;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Bytes in a request that trigger a crash.
pub const CRASH_TRIGGER: &[u8] = b"ends the server";
/// Time between a crash and the restart.
const DOWNTIME: Duration = Duration::from_millis(700);

/// Proxy in front of one backend server.
#[derive(Debug)]
pub struct CrashProxy {
    pub addr: SocketAddr,
    server: SocketAddr,
    /// Time between the end of the connections and that of the listener in a crash.
    listener_delay: Duration,
    /// Number of crashes.
    crashes: watch::Sender<u32>,
    last_crash: Cell<Option<Instant>>,
}

impl CrashProxy {
    /// Starts a proxy in front of `server`, which closes its listener last.
    pub async fn start(server: SocketAddr, listener_delay: Duration) -> Rc<Self> {
        // The port stays free during a crash.
        let addr = free_port().unwrap();
        let listener = TcpListener::bind(addr).await.unwrap();
        let (crashes, _) = watch::channel(0);
        let proxy =
            Rc::new(Self { addr, server, listener_delay, crashes, last_crash: Cell::new(None) });
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
            tokio::time::sleep(self.listener_delay).await;
            drop(listener);
            tokio::time::sleep(DOWNTIME).await;
            let url = format!("http://{}/standin/restart", self.server);
            awc::Client::default().put(url).send().await.expect("the server should restart");
            listener = TcpListener::bind(self.addr)
                .await
                .expect("the port should still be free after the downtime");
        }
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener, crashes: &mut watch::Receiver<u32>) {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((caller, _)) = accepted else { continue };
                    let (proxy, mut crashes) = (Rc::clone(self), crashes.clone());
                    actix_web::rt::spawn(async move {
                        tokio::select! {
                            () = proxy.relay(caller) => {}
                            _ = crashes.changed() => {}
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
