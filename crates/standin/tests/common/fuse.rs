//! Loopback proxy in front of one backend server that simulates crashes of the server.
//!
//! It closes all connections and its port when a request contains [`ENDS`], and listens
//! again after [`DOWN`].

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Bytes in a request that trigger a crash.
pub const ENDS: &[u8] = b"ends the server";
/// Time between a crash and the restart.
const DOWN: Duration = Duration::from_millis(700);
/// Ports outside the ephemeral range, so that the port stays free during a crash.
const PORTS: std::ops::Range<u16> = 32_000..32_700;
const TRIES: usize = 200;

/// Proxy in front of one backend server.
#[derive(Debug)]
pub struct Fuse {
    pub addr: SocketAddr,
    server: SocketAddr,
    /// Number of crashes.
    ends: watch::Sender<u32>,
    last: Cell<Option<Instant>>,
}

impl Fuse {
    /// Starts a proxy in front of `server`.
    pub async fn start(server: SocketAddr) -> Rc<Self> {
        let mut bound = None;
        for _ in 0..TRIES {
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, rand::random_range(PORTS)));
            bound = TcpListener::bind(addr).await.ok();
            if bound.is_some() {
                break;
            }
        }
        let listener = bound.expect("a port in the range should be free");
        let addr = listener.local_addr().unwrap();
        let (ends, _) = watch::channel(0);
        let fuse = Rc::new(Self { addr, server, ends, last: Cell::new(None) });
        actix_web::rt::spawn(Rc::clone(&fuse).live(listener));
        fuse
    }

    /// Returns the number of crashes.
    pub fn ends(&self) -> u32 {
        *self.ends.borrow()
    }

    async fn live(self: Rc<Self>, mut listener: TcpListener) {
        loop {
            let mut ends = self.ends.subscribe();
            self.accept(&listener, &mut ends).await;
            drop(listener);
            tokio::time::sleep(DOWN).await;
            listener = TcpListener::bind(self.addr)
                .await
                .expect("the port should still be free after the downtime");
        }
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener, ends: &mut watch::Receiver<u32>) {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((caller, _)) = accepted else { continue };
                    let (fuse, mut ends) = (Rc::clone(self), ends.clone());
                    actix_web::rt::spawn(async move {
                        tokio::select! {
                            () = fuse.join(caller) => {}
                            _ = ends.changed() => {}
                        }
                    });
                }
                _ = ends.changed() => return,
            }
        }
    }

    async fn join(&self, caller: TcpStream) {
        let Ok(server) = TcpStream::connect(self.server).await else { return };
        let _ = (caller.set_nodelay(true), server.set_nodelay(true));
        let (from_caller, to_caller) = caller.into_split();
        let (from_server, to_server) = server.into_split();
        tokio::select! {
            () = self.pass(from_caller, to_server) => {}
            () = self.pass(from_server, to_caller) => {}
        }
    }

    async fn pass(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut chunk = vec![0; 16 << 10];
        while let Ok(size @ 1..) = from.read(&mut chunk).await {
            if chunk[..size].windows(ENDS.len()).any(|w| w == ENDS) {
                self.ends.send_modify(|ends| *ends += 1);
                std::future::pending::<()>().await;
            }
            if to.write_all(&chunk[..size]).await.is_err() {
                return;
            }
        }
    }
}
