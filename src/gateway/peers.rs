//! Sends and receives datagrams between instances.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::clock::Clock;
use crate::gateway::datagram;
use crate::gateway::datagram::Format;
use crate::gateway::datagram::Formats;
use crate::gateway::datagram::MAX_DATAGRAM_BYTES;
use crate::gateway::feed::RevisionTracker;
use crate::gateway::instances::PeerMessage;
use crate::gateway::instances::Recipient;
use crate::gateway::message::EntriesState;
use crate::gateway::message::Input;
use crate::gateway::message::StorePosition;
use crate::metrics::Count;
use crate::metrics::Metrics;

/// Interval at which it is checked that no datagram waits to be read.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
    pub fn send(&self, recipients: &[Recipient], message: &PeerMessage) {
        let mut encoded: Vec<(Format, Vec<u8>)> = Vec::new();
        for recipient in recipients {
            let format = recipient.format;
            if !encoded.iter().any(|(known, _)| *known == format) {
                match datagram::encode(message, format) {
                    Ok(bytes) => encoded.push((format, bytes)),
                    Err(error) => {
                        log::error!(format:? = format, error:% = error; "cannot encode message to instances");
                        continue;
                    }
                }
            }
            if let Some((_, bytes)) = encoded.iter().find(|(known, _)| *known == format) {
                self.send_datagram(&recipient.addr, bytes);
                if format < Formats::OWN.newest() {
                    self.metrics.add(Count::PeerFramesEarlier, 1);
                }
            }
        }
    }

    fn send_datagram(&self, addr: &str, bytes: &[u8]) {
        let Ok(target) = addr.parse::<SocketAddr>() else {
            log::warn!(addr = addr; "instance has an invalid address");
            return;
        };
        match self.socket.try_send_to(bytes, target) {
            Ok(_) => {
                self.metrics.add(Count::PeerFramesSent, 1);
                self.metrics.add(Count::PeerBytesSent, bytes.len() as u64);
            }
            Err(error) => {
                self.metrics.add(Count::PeerFramesLost, 1);
                log::debug!(addr = addr, error:% = error; "datagram not sent");
            }
        }
    }

    /// Forwards received messages to the core until the process ends.
    pub async fn receive(
        self,
        clock: Clock,
        deferred_inputs: Sender<Input>,
        revisions: RevisionTracker,
    ) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        let mut checks = interval(QUEUE_CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut checked_at = clock.now();
        // A datagram that is read now arrived after this.
        let mut empty_at = checked_at;
        loop {
            let received = tokio::select! {
                biased;
                received = self.socket.recv_from(&mut buf) => received,
                _ = checks.tick() => {
                    // The runtime has polled the socket since the check before, and
                    // perhaps not since a suspension.
                    empty_at = checked_at;
                    checked_at = clock.now();
                    continue;
                }
            };
            let len = match received {
                Ok((len, _)) => len,
                Err(error) => {
                    log::debug!(error:% = error; "datagram not received");
                    continue;
                }
            };
            self.metrics.add(Count::PeerFramesReceived, 1);
            let decoded = match datagram::decode(&buf[..len]) {
                Ok(decoded) => decoded,
                Err(error) => {
                    self.metrics.add(Count::PeerFramesDropped, 1);
                    log::debug!(error:% = error; "datagram dropped: cannot be decoded");
                    continue;
                }
            };
            for kind in decoded.unknown_kinds {
                self.metrics.add(Count::PeerMessagesUnknown, 1);
                log::debug!(kind = kind; "message skipped: sent by a later release");
            }
            for message in decoded.messages {
                if let PeerMessage::Item(item) = message {
                    revisions.apply_item(item);
                    continue;
                }
                if let PeerMessage::Alive(heartbeat) = &message {
                    let era = heartbeat.store_era.unwrap_or_default();
                    revisions.observe_peer_era(era);
                    match (heartbeat.entries_digest, heartbeat.entries_revision) {
                        (Some(digest), Some(revision)) => {
                            let position = StorePosition { era, revision };
                            revisions.compare_entries(EntriesState { position, digest });
                        }
                        (Some(digest), None) => {
                            revisions.compare_digest(era, digest);
                        }
                        (None, _) => {}
                    }
                }
                // Sending fails only during process exit.
                let _ = deferred_inputs.send(Input::Peer {
                    message,
                    arrived_after: empty_at,
                });
            }
        }
    }
}
