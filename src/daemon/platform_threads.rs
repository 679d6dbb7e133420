//! Reads the platform's instance list at intervals.

use std::io;
use std::thread::JoinHandle;

use flume::Sender;

use super::control_thread::Command;
use crate::clock::Millis;
use crate::control::Input;
use crate::platform::ListEdge;

/// Starts the thread that reads the list; it ends with the control thread.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub(super) fn poll_list(
    list: impl ListEdge + 'static,
    period: Millis,
    inputs: Sender<Input>,
    commands: Sender<Command>,
) -> io::Result<JoinHandle<()>> {
    super::spawn("list", move || {
        let mut reached = true;
        while !commands.is_disconnected() {
            match list.fetch() {
                Ok(listings) => {
                    if !reached {
                        log::info!("the instance list is reachable again");
                    }
                    reached = true;
                    let _ = inputs.send(Input::Listings(listings));
                }
                Err(failure) => {
                    if reached {
                        log::warn!("{failure}");
                    }
                    reached = false;
                }
            }
            std::thread::sleep(period.as_duration());
        }
    })
}
