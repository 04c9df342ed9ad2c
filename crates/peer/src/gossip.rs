//! Gossip datagrams over UDP.

use std::io;
use std::net::SocketAddr;

use bytes::{BufMut, BytesMut};
use eelgrasspier_decide::membership::{Datagram, OutgoingDatagram};
use futures_util::stream::SplitSink;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::codec::{Decoder, Encoder};
use tokio_util::udp::UdpFramed;

/// Codec with one protobuf message per datagram.
#[derive(Debug, Default)]
struct DatagramCodec;

impl Encoder<Datagram> for DatagramCodec {
    type Error = io::Error;

    fn encode(&mut self, datagram: Datagram, output: &mut BytesMut) -> io::Result<()> {
        output.reserve(datagram.encoded_len());
        datagram.encode(&mut output.limit(usize::MAX)).map_err(io::Error::other)
    }
}

impl Decoder for DatagramCodec {
    type Item = Datagram;
    type Error = io::Error;

    fn decode(&mut self, input: &mut BytesMut) -> io::Result<Option<Datagram>> {
        if input.is_empty() {
            return Ok(None);
        }
        let datagram = Datagram::decode(input.split());
        // An invalid datagram is dropped; the next one may be valid.
        Ok(datagram.ok())
    }
}

/// Sending half of the gossip socket.
#[derive(Debug)]
pub struct GossipSender {
    sink: SplitSink<UdpFramed<DatagramCodec>, (Datagram, SocketAddr)>,
}

impl GossipSender {
    /// Binds the socket; returns its sending half and the stream of received datagrams.
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

    /// Sends all queued datagrams until the sending end of the queue is closed.
    pub async fn send_all(mut self, mut outgoing: UnboundedReceiver<OutgoingDatagram>) {
        while let Some(OutgoingDatagram { to, datagram }) = outgoing.recv().await {
            self.send(to, datagram).await;
        }
    }

    /// Sends one datagram. A failure is treated like a lost datagram and only counted.
    async fn send(&mut self, to: SocketAddr, datagram: Datagram) {
        let size_bytes = datagram.encoded_len() as u64;
        metrics::counter!("eelgrasspier_gossip_sent_bytes_total").increment(size_bytes);
        if self.sink.send((datagram, to)).await.is_err() {
            metrics::counter!("eelgrasspier_gossip_failed_total").increment(1);
        }
    }
}
