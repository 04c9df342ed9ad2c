//! Requests while connections between instances have gone silent.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrasspier_peer::wire::{Body, Empty, Frame, Members};
use eelgrasspier_peer::{PeerConnections, PeerError};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const LONG_TIMEOUT: Duration = Duration::from_secs(30);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Instance whose first connection goes silent after one answer.
struct SilentInstance {
    addr: SocketAddr,
    accepted: Rc<Cell<usize>>,
}

impl SilentInstance {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let accepted = Rc::new(Cell::new(0));
        let counter = Rc::clone(&accepted);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counter.set(counter.get() + 1);
                let max_answers = if counter.get() == 1 { 1 } else { usize::MAX };
                actix_rt::spawn(answer(stream, max_answers));
            }
        });
        Self { addr, accepted }
    }
}

async fn answer(stream: TcpStream, max_answers: usize) {
    let (mut sink, mut frames) = Framed::new(stream, LengthDelimitedCodec::new()).split::<Bytes>();
    let mut answered = 0;
    while let Some(Ok(bytes)) = frames.next().await {
        if answered < max_answers {
            let Frame { id, .. } = Frame::decode(bytes).unwrap();
            let frame = Frame { id, stamp: 0, body: Some(Body::Members(Members::default())) };
            sink.send(frame.encode_to_vec().into()).await.unwrap();
            answered += 1;
        }
    }
}

fn request() -> Body {
    Body::MembersAsk(Empty {})
}

/// Guards against changes that wait for the timeout of a silent connection while new ones work.
#[test]
fn new_connection_answers_while_the_open_one_is_silent() {
    actix_rt::System::new().block_on(async {
        let instance = SilentInstance::start().await;
        let connections = PeerConnections::new(Rc::new(|| 0));
        assert!(connections.request(instance.addr, request(), LONG_TIMEOUT).await.is_ok());
        let silent = connections.request(instance.addr, request(), LONG_TIMEOUT);
        let answered = async {
            tokio::task::yield_now().await;
            connections.request_on_new_connection(instance.addr, request(), LONG_TIMEOUT).await
        };
        tokio::select! {
            biased;
            _ = silent => panic!("the connection is not silent"),
            answer = answered => assert!(answer.is_ok()),
        }
        // Later requests use the new connection.
        assert!(connections.request(instance.addr, request(), LONG_TIMEOUT).await.is_ok());
        assert_eq!(instance.accepted.get(), 2);
    });
}

/// Guards against a timeout on a silent connection that closes the one that replaced it.
#[test]
fn timeout_keeps_a_newer_connection() {
    actix_rt::System::new().block_on(async {
        let instance = SilentInstance::start().await;
        let connections = PeerConnections::new(Rc::new(|| 0));
        assert!(connections.request(instance.addr, request(), LONG_TIMEOUT).await.is_ok());
        let silent = connections.request(instance.addr, request(), SHORT_TIMEOUT);
        let answered =
            connections.request_on_new_connection(instance.addr, request(), LONG_TIMEOUT);
        let (silent, answered) = tokio::join!(silent, answered);
        assert_eq!(silent, Err(PeerError::TimedOut));
        assert!(answered.is_ok());
        assert!(connections.request(instance.addr, request(), LONG_TIMEOUT).await.is_ok());
        assert_eq!(instance.accepted.get(), 2);
    });
}
