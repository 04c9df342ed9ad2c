//! Gossip datagrams over UDP.

use std::io;
use std::net::SocketAddr;

use bytes::{BufMut, BytesMut};
use eelgrasspier_decide::membership::{Datagram, Send};
use futures_util::stream::SplitSink;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::codec::{Decoder, Encoder};
use tokio_util::udp::UdpFramed;

/// Encodes one message to a datagram.
#[derive(Debug, Default)]
struct DatagramCodec;

impl Encoder<Datagram> for DatagramCodec {
    type Error = io::Error;

    fn encode(&mut self, datagram: Datagram, into: &mut BytesMut) -> io::Result<()> {
        into.reserve(datagram.encoded_len());
        datagram.encode(&mut into.limit(usize::MAX)).map_err(io::Error::other)
    }
}

impl Decoder for DatagramCodec {
    type Item = Datagram;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<Datagram>> {
        if from.is_empty() {
            return Ok(None);
        }
        let datagram = Datagram::decode(from.split());
        // A datagram that makes no sense is dropped; the next one may.
        Ok(datagram.ok())
    }
}

/// The sending half of the gossip socket.
#[derive(Debug)]
pub struct Gossip {
    sink: SplitSink<UdpFramed<DatagramCodec>, (Datagram, SocketAddr)>,
}

impl Gossip {
    /// Binds the socket; returns the sending half and a stream of what comes in.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn bind(
        addr: SocketAddr,
    ) -> io::Result<(Self, impl futures_util::Stream<Item = (Datagram, SocketAddr)>)> {
        let socket = UdpSocket::bind(addr).await?;
        let (sink, stream) = UdpFramed::new(socket, DatagramCodec).split();
        let received = stream.filter_map(|item| std::future::ready(item.ok()));
        Ok((Self { sink }, received))
    }

    /// Sends what comes out of the queue, for as long as its other end lives.
    pub async fn send_all(mut self, mut outgoing: UnboundedReceiver<Send>) {
        while let Some(Send { to, datagram }) = outgoing.recv().await {
            self.send(to, datagram).await;
        }
    }

    /// Sends one datagram; a failure is like a lost one and only counted.
    async fn send(&mut self, to: SocketAddr, datagram: Datagram) {
        let size_bytes = datagram.encoded_len() as u64;
        metrics::counter!("eelgrasspier_gossip_sent_bytes_total").increment(size_bytes);
        if self.sink.send((datagram, to)).await.is_err() {
            metrics::counter!("eelgrasspier_gossip_failed_total").increment(1);
        }
    }
}
