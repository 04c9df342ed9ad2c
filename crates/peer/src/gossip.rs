//! Gossip datagrams over UDP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::BytesMut;
use eelgrasspier_decide::membership::{Datagram, OutgoingDatagram};
use futures_util::StreamExt;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::codec::Decoder;
use tokio_util::udp::UdpFramed;

/// Codec with one protobuf message per datagram.
#[derive(Debug, Default)]
struct DatagramCodec;

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
    /// Used without a frame: after a failed send, that of [`UdpFramed`] sends the same again.
    socket: Arc<UdpSocket>,
}

impl GossipSender {
    /// Binds the socket; returns its sending half and the stream of received datagrams.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn bind(
        addr: SocketAddr,
    ) -> io::Result<(Self, impl futures_util::Stream<Item = (Datagram, SocketAddr)>)> {
        let socket = Arc::new(UdpSocket::bind(addr).await?);
        let stream = UdpFramed::new(Arc::clone(&socket), DatagramCodec);
        let received = stream.filter_map(|item| std::future::ready(item.ok()));
        Ok((Self { socket }, received))
    }

    /// Sends all queued datagrams until the sending end of the queue is closed.
    pub async fn send_all(self, mut outgoing: UnboundedReceiver<OutgoingDatagram>) {
        while let Some(OutgoingDatagram { to, datagram }) = outgoing.recv().await {
            self.send(to, &datagram).await;
        }
    }

    /// Sends one datagram. A failure is treated like a lost datagram and only counted.
    async fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let bytes = datagram.encode_to_vec();
        metrics::counter!("eelgrasspier_gossip_sent_bytes_total").increment(bytes.len() as u64);
        if self.socket.send_to(&bytes, to).await.is_err() {
            metrics::counter!("eelgrasspier_gossip_failed_total").increment(1);
        }
    }
}
