//! Datagrams between instances.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use flume::Sender;
use tokio::net::UdpSocket;

use crate::gateway::feed::Ledger;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::Input;
use crate::metrics::Count;
use crate::metrics::Metrics;

/// Greatest datagram, in bytes; a placement on 17 engines takes about 200.
const MAX_BYTES: usize = 1_400;

/// The socket of this instance.
#[derive(Debug, Clone)]
pub struct Peers {
    socket: Rc<UdpSocket>,
    metrics: Arc<Metrics>,
}

impl Peers {
    /// Takes over a bound socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot take it.
    pub fn new(socket: std::net::UdpSocket, metrics: Arc<Metrics>) -> io::Result<Peers> {
        socket.set_nonblocking(true)?;
        Ok(Peers {
            socket: Rc::new(UdpSocket::from_std(socket)?),
            metrics,
        })
    }

    /// Tells a message to instances. A datagram that cannot be sent is dropped:
    /// the next heartbeat or end makes up for it.
    pub fn tell(&self, addrs: &[String], message: &PeerMessage) {
        let bytes = match bincode::serde::encode_to_vec(message, bincode::config::standard()) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:% = error; "message to instances cannot be encoded");
                return;
            }
        };
        for addr in addrs {
            let Ok(target) = addr.parse::<SocketAddr>() else {
                log::warn!(addr = addr.as_str(); "instance has no address");
                continue;
            };
            match self.socket.try_send_to(&bytes, target) {
                Ok(_) => {
                    self.metrics.add(Count::PeerFramesSent, 1);
                    self.metrics.add(Count::PeerBytesSent, bytes.len() as u64);
                }
                Err(error) => {
                    self.metrics.add(Count::PeerFramesLost, 1);
                    log::debug!(addr = addr.as_str(), error:% = error; "datagram not sent");
                }
            }
        }
    }

    /// Passes others' messages on until the process ends.
    pub async fn receive(self, later_inputs: Sender<Input>, ledger: Ledger) {
        let mut buf = [0; MAX_BYTES];
        loop {
            let len = match self.socket.recv_from(&mut buf).await {
                Ok((len, _)) => len,
                Err(error) => {
                    log::debug!(error:% = error; "datagram not received");
                    continue;
                }
            };
            self.metrics.add(Count::PeerFramesReceived, 1);
            let config = bincode::config::standard().with_limit::<MAX_BYTES>();
            match bincode::serde::decode_from_slice(&buf[..len], config) {
                Ok((PeerMessage::Item(item), _)) => ledger.take_item(item),
                Ok((message, _)) => {
                    if let PeerMessage::Alive {
                        entries_digest: Some(digest),
                        ..
                    } = message
                    {
                        ledger.compare(digest);
                    }
                    // The control thread ends only with the process.
                    let _ = later_inputs.send(Input::Peer(message));
                }
                Err(error) => {
                    self.metrics.add(Count::PeerFramesDropped, 1);
                    log::debug!(error:% = error; "datagram ignored");
                }
            }
        }
    }
}
