//! A pool of threads for blocking work.

#[cfg(test)]
mod tests;

use std::panic;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::AtomicIsize;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use log::warn;

/// Stack of one thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// How long an idle thread waits for work.
const IDLE: Duration = Duration::from_secs(10);

type Work = Box<dyn FnOnce() + Send>;

struct Job {
    /// Whether a waiting thread was reserved for it.
    reserved: bool,
    work: Work,
}

/// Threads that start when work comes and no thread is free, and end when idle.
#[derive(Clone)]
pub struct Pool {
    shared: Arc<Shared>,
    jobs: flume::Receiver<Job>,
}

struct Shared {
    name: &'static str,
    max: usize,
    threads: AtomicUsize,
    /// Waiting threads that no job is meant for yet.
    free: AtomicIsize,
    tx: flume::Sender<Job>,
}

impl Pool {
    /// Returns an empty pool of at most `max` threads.
    #[must_use]
    pub fn new(name: &'static str, max: usize) -> Pool {
        let (tx, jobs) = flume::unbounded();
        let shared = Shared {
            name,
            max: max.max(1),
            threads: AtomicUsize::new(0),
            free: AtomicIsize::new(0),
            tx,
        };
        Pool {
            shared: Arc::new(shared),
            jobs,
        }
    }

    /// Returns how many threads there are.
    #[must_use]
    pub fn threads(&self) -> usize {
        self.shared.threads.load(Ordering::Relaxed)
    }

    /// Runs work on a free thread, on a new one, or, with all of them busy,
    /// once one is free.
    pub fn run(&self, work: impl FnOnce() + Send + 'static) {
        let work: Work = Box::new(work);
        let reserved = self.shared.reserve();
        if !reserved && self.shared.may_grow() {
            self.spawn(work);
            return;
        }
        // The pool itself holds a receiver: the channel cannot be closed.
        let _ = self.shared.tx.send(Job { reserved, work });
    }

    fn spawn(&self, first: Work) {
        let jobs = self.jobs.clone();
        let counted = Counted(Arc::clone(&self.shared));
        let builder = thread::Builder::new()
            .name(self.shared.name.to_owned())
            .stack_size(STACK_BYTES);
        let spawned = builder.spawn(move || {
            run(first);
            serve(&counted.0, &jobs);
        });
        if let Err(error) = spawned {
            warn!("no thread for a {}: {error}", self.shared.name);
        }
    }
}

impl Shared {
    /// Takes one of the waiting threads for a job.
    fn reserve(&self) -> bool {
        let taken = |free: isize| (free > 0).then_some(free - 1);
        self.free
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, taken)
            .is_ok()
    }

    /// Counts one more thread if there may be one.
    fn may_grow(&self) -> bool {
        let grown = |threads: usize| (threads < self.max).then_some(threads + 1);
        self.threads
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, grown)
            .is_ok()
    }
}

/// Counts a thread off when it ends.
struct Counted(Arc<Shared>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.threads.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Runs work; a panic in it ends neither the thread nor the work that waits.
fn run(work: Work) {
    if panic::catch_unwind(AssertUnwindSafe(work)).is_err() {
        warn!("work on a pooled thread panicked");
    }
}

fn serve(shared: &Shared, jobs: &flume::Receiver<Job>) {
    loop {
        while let Ok(job) = jobs.try_recv() {
            if job.reserved {
                // The thread it was meant for goes on waiting.
                shared.free.fetch_add(1, Ordering::AcqRel);
            }
            run(job.work);
        }
        shared.free.fetch_add(1, Ordering::AcqRel);
        match jobs.recv_timeout(IDLE) {
            Ok(job) => {
                if !job.reserved {
                    shared.reserve();
                }
                run(job.work);
            }
            // Reserving itself keeps a job from being meant for this thread.
            Err(_) if shared.reserve() => return,
            Err(_) => {}
        }
    }
}
