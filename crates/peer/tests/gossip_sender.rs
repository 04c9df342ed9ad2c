//! Gossip beside addresses to which nothing can be sent.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrasspier_decide::membership::{Datagram, OutgoingDatagram};
use eelgrasspier_peer::GossipSender;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::unbounded_channel;

/// Time after which a datagram counts as not sent.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against an instance that falls silent after sending to an address that can't be reached,
/// such as that of an odd entry.
#[actix_rt::test]
async fn addresses_that_cannot_be_reached_do_not_stop_gossip() {
    let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let receiver = UdpSocket::bind(any_port).await.unwrap();
    let to = receiver.local_addr().unwrap();
    for unreachable in ["127.0.0.1:0", "[::1]:9", "255.255.255.255:9"] {
        let (sender, _received) = GossipSender::bind(any_port).await.unwrap();
        let (outbox, outgoing) = unbounded_channel();
        actix_rt::spawn(sender.send_all(outgoing));
        for (probe_number, to) in [(1, unreachable.parse().unwrap()), (2, to)] {
            let datagram = Datagram { probe_number, ..Datagram::default() };
            outbox.send(OutgoingDatagram { to, datagram }).unwrap();
        }
        let mut buffer = [0; 1024];
        let received = tokio::time::timeout(TIMEOUT, receiver.recv(&mut buffer)).await;
        let bytes = received.unwrap_or_else(|_| panic!("silent after {unreachable}")).unwrap();
        assert_eq!(Datagram::decode(&buffer[..bytes]).unwrap().probe_number, 2);
    }
}
