//! Sends and receives datagrams between instances.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use flume::Sender;
use tokio::net::UdpSocket;

use crate::gateway::feed::RevisionTracker;
use crate::gateway::instances::PeerMessage;
use crate::gateway::message::Input;
use crate::metrics::Count;
use crate::metrics::Metrics;

/// Maximum size of a datagram, in bytes; a placement on 17 engines takes about
/// 200.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// The datagram socket of this instance.
#[derive(Debug, Clone)]
pub struct PeerSocket {
    socket: Rc<UdpSocket>,
    metrics: Arc<Metrics>,
}

impl PeerSocket {
    /// Registers a bound socket with the runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be registered.
    pub fn new(socket: std::net::UdpSocket, metrics: Arc<Metrics>) -> io::Result<PeerSocket> {
        socket.set_nonblocking(true)?;
        Ok(PeerSocket {
            socket: Rc::new(UdpSocket::from_std(socket)?),
            metrics,
        })
    }

    /// Sends a message to instances. A datagram that cannot be sent is dropped:
    /// the next heartbeat replaces a lost one, and a lost report of a placement
    /// or an end distorts the receiver's load estimate only until the request
    /// ends or expires.
    pub fn send(&self, addrs: &[String], message: &PeerMessage) {
        let bytes = match bincode::serde::encode_to_vec(message, bincode::config::standard()) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:% = error; "cannot encode message to instances");
                return;
            }
        };
        for addr in addrs {
            let Ok(target) = addr.parse::<SocketAddr>() else {
                log::warn!(addr = addr.as_str(); "instance has an invalid address");
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

    /// Forwards received messages to the core until the process ends.
    pub async fn receive(self, deferred_inputs: Sender<Input>, revisions: RevisionTracker) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            let len = match self.socket.recv_from(&mut buf).await {
                Ok((len, _)) => len,
                Err(error) => {
                    log::debug!(error:% = error; "datagram not received");
                    continue;
                }
            };
            self.metrics.add(Count::PeerFramesReceived, 1);
            let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
            match bincode::serde::decode_from_slice(&buf[..len], config) {
                Ok((PeerMessage::Item(item), _)) => revisions.apply_item(item),
                Ok((message, _)) => {
                    if let PeerMessage::Alive {
                        store_era,
                        entries_digest,
                        ..
                    } = message
                    {
                        revisions.observe_peer_era(store_era);
                        if let Some(digest) = entries_digest {
                            revisions.compare_digest(store_era, digest);
                        }
                    }
                    // Sending fails only during process exit.
                    let _ = deferred_inputs.send(Input::Peer(message));
                }
                Err(error) => {
                    self.metrics.add(Count::PeerFramesDropped, 1);
                    log::debug!(error:% = error; "datagram dropped: cannot be decoded");
                }
            }
        }
    }
}
