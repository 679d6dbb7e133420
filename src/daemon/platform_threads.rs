//! Polls the platform's instance list.

use std::io;
use std::thread::JoinHandle;

use flume::Sender;

use super::control_thread::Command;
use crate::clock::Millis;
use crate::control::Input;
use crate::platform::InstanceListClient;

/// Starts the thread that polls the list; it ends with the control thread.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub(super) fn poll_list(
    list: impl InstanceListClient + 'static,
    interval: Millis,
    inputs: Sender<Input>,
    commands: Sender<Command>,
) -> io::Result<JoinHandle<()>> {
    super::spawn("list", move || {
        let mut reachable = true;
        while !commands.is_disconnected() {
            match list.fetch() {
                Ok(listings) => {
                    if !reachable {
                        log::info!("the instance list is reachable again");
                    }
                    reachable = true;
                    let _ = inputs.send(Input::Listings(listings));
                }
                Err(failure) => {
                    if reachable {
                        log::warn!("{failure}");
                    }
                    reachable = false;
                }
            }
            std::thread::sleep(interval.as_duration());
        }
    })
}
