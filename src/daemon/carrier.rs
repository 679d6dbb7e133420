//! Executes the outputs of the control core.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use flume::Sender;

use crate::admin::Answers;
use crate::backend::Pool;
use crate::backend::traffic::Traffic;
use crate::control::Control;
use crate::control::Identity;
use crate::control::Input;
use crate::control::Output;
use crate::peer::PeerFrame;
use crate::peer::PeerMessage;
use crate::peer::PeerSender;
use crate::peer::PeerTransport;
use crate::platform::StoreClient;
use crate::relay::Relays;

/// Maximum number of concurrent calls to the key-value service, including
/// watches.
const STORE_THREADS: usize = 32;

/// Dispatches outputs to the components that execute them.
pub(super) struct Carrier {
    me: Identity,
    traffic: Traffic,
    relays: Relays,
    peers: PeerTransport,
    answers: Answers,
    store: Arc<dyn StoreClient>,
    store_calls: Pool,
    inputs: Sender<Input>,
}

impl Carrier {
    pub(super) fn new(
        me: Identity,
        traffic: Traffic,
        relays: Relays,
        peers: PeerTransport,
        answers: Answers,
        store: Arc<dyn StoreClient>,
        inputs: Sender<Input>,
    ) -> Carrier {
        Carrier {
            me,
            traffic,
            relays,
            peers,
            answers,
            store,
            store_calls: Pool::new("store", STORE_THREADS),
            inputs,
        }
    }

    /// Executes the outputs of one input; messages to the same peer share a
    /// frame.
    pub(super) fn execute(&self, control: &mut Control, outputs: Vec<Output>) {
        let mut frames: BTreeMap<String, Vec<PeerMessage>> = BTreeMap::new();
        for output in outputs {
            match output {
                Output::Send(call) => self.traffic.send(call),
                Output::Drop { attempt } => self.traffic.drop_attempt(attempt),
                Output::Order {
                    backend,
                    addr,
                    order,
                } => self.traffic.order(backend, addr, order),
                Output::Reply { request, reply } => {
                    self.relays.finish(request, reply);
                }
                Output::Peer { addr, message, .. } => {
                    frames.entry(addr).or_default().push(message);
                }
                Output::Store { ticket, op } => {
                    let store = Arc::clone(&self.store);
                    let inputs = self.inputs.clone();
                    self.store_calls.run(move || {
                        let result = store.call(&op);
                        let _ = inputs.send(Input::Store { ticket, result });
                    });
                }
                Output::Admin {
                    query_id: ticket,
                    answer,
                } => self.answers.answer(ticket, answer),
                Output::Stopped { .. } => {}
            }
        }
        for (addr, messages) in frames {
            let frame = PeerFrame {
                from: self.me.name.clone(),
                boot: self.me.boot,
                stamp: control.next_stamp(),
                messages,
            };
            self.peers.send(&addr, frame);
        }
    }

    /// Ends the peer transport.
    pub(super) fn stop(self) {
        self.peers.stop();
    }
}

impl fmt::Debug for Carrier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Carrier").finish_non_exhaustive()
    }
}
