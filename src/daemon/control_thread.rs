//! The thread that owns the control core.

use std::thread;

use flume::Receiver;
use flume::RecvTimeoutError;
use flume::Sender;

use super::carrier::Carrier;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::control::Control;
use crate::control::Input;
use crate::control::Output;
use crate::declaration::Declaration;
use crate::id::Revision;

/// Maximum number of inputs handled before commands and the tick are checked
/// again.
const MAX_INPUT_BATCH: usize = 256;

/// A command of the daemon to its control thread.
#[derive(Debug)]
pub(super) enum Command {
    /// Handles an input.
    Input(Input),
    /// Applies a declaration.
    Declare(Box<Declaration>, Revision),
    /// Blocks the thread for a duration.
    Pause(Millis),
    /// Ends the thread.
    Stop,
}

/// The state of the control thread.
#[derive(Debug)]
pub(super) struct ControlThread {
    pub(super) control: Control,
    pub(super) clock: Clock,
    pub(super) tick: Millis,
    pub(super) inputs: Receiver<Input>,
    pub(super) commands: Receiver<Command>,
    pub(super) carrier: Carrier,
    /// Gets the number of requests that the stop has cut.
    pub(super) stopped: Sender<usize>,
}

impl ControlThread {
    pub(super) fn run(mut self) {
        let mut next_tick = Millis::ZERO;
        loop {
            if !self.run_commands() {
                break;
            }
            if self.clock.now() >= next_tick {
                next_tick = self.clock.now() + self.tick;
                self.handle(Input::Tick);
            }
            for _ in 0..MAX_INPUT_BATCH {
                let wait = next_tick.since(self.clock.now());
                match self.inputs.recv_timeout(wait.as_duration()) {
                    Ok(input) => self.handle(input),
                    Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
                }
                if self.clock.now() >= next_tick {
                    break;
                }
            }
        }
        self.carrier.stop();
    }

    /// Executes queued commands; returns `false` after a stop.
    fn run_commands(&mut self) -> bool {
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Input(input) => self.handle(input),
                Command::Declare(declaration, revision) => {
                    let now = self.clock.now();
                    self.control.apply_declaration(now, &declaration, revision);
                }
                Command::Pause(duration) => thread::sleep(duration.as_duration()),
                Command::Stop => return false,
            }
        }
        true
    }

    fn handle(&mut self, input: Input) {
        let now = self.clock.now();
        let outputs = self.control.handle(now, input);
        let stopped = outputs.iter().find_map(|output| match output {
            Output::Stopped { cut } => Some(*cut),
            _ => None,
        });
        if !outputs.is_empty() {
            self.carrier.execute(&mut self.control, outputs);
        }
        // Last, so that the final replies are with their relays.
        if let Some(cut) = stopped {
            let _ = self.stopped.try_send(cut);
        }
    }
}
