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

/// Stack size of a thread.
const STACK_BYTES: usize = 256 * 1024;
/// Time after which an idle thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type Work = Box<dyn FnOnce() + Send>;

struct Job {
    /// Whether an idle thread is reserved for the job.
    reserved: bool,
    work: Work,
}

/// A thread pool that starts threads on demand and ends idle ones.
#[derive(Clone)]
pub struct Pool {
    shared: Arc<Shared>,
    jobs: flume::Receiver<Job>,
}

struct Shared {
    name: &'static str,
    max: usize,
    threads: AtomicUsize,
    /// Idle threads that are not reserved for a job.
    idle: AtomicIsize,
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
            idle: AtomicIsize::new(0),
            tx,
        };
        Pool {
            shared: Arc::new(shared),
            jobs,
        }
    }

    /// Returns the number of threads.
    #[must_use]
    pub fn threads(&self) -> usize {
        self.shared.threads.load(Ordering::Relaxed)
    }

    /// Runs work on an idle thread or on a new one. If the pool is at its limit
    /// and busy, the work queues until a thread is idle.
    pub fn run(&self, work: impl FnOnce() + Send + 'static) {
        let work: Work = Box::new(work);
        let reserved = self.shared.reserve();
        if !reserved && self.shared.try_add_thread() {
            self.spawn(work);
            return;
        }
        // Cannot fail: the pool itself holds a receiver.
        let _ = self.shared.tx.send(Job { reserved, work });
    }

    fn spawn(&self, first: Work) {
        let jobs = self.jobs.clone();
        let guard = ThreadCountGuard(Arc::clone(&self.shared));
        let builder = thread::Builder::new()
            .name(self.shared.name.to_owned())
            .stack_size(STACK_BYTES);
        let spawned = builder.spawn(move || {
            run(first);
            serve(&guard.0, &jobs);
        });
        if let Err(error) = spawned {
            warn!("cannot start a {} thread: {error}", self.shared.name);
        }
    }
}

impl Shared {
    /// Reserves an idle thread for a job; returns whether there was one.
    fn reserve(&self) -> bool {
        let decremented = |idle: isize| (idle > 0).then_some(idle - 1);
        self.idle
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, decremented)
            .is_ok()
    }

    /// Increments the thread count unless it is at the limit; returns whether it
    /// did.
    fn try_add_thread(&self) -> bool {
        let incremented = |threads: usize| (threads < self.max).then_some(threads + 1);
        self.threads
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, incremented)
            .is_ok()
    }
}

/// Decrements the thread count when a thread ends.
struct ThreadCountGuard(Arc<Shared>);

impl Drop for ThreadCountGuard {
    fn drop(&mut self) {
        self.0.threads.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Runs work and catches its panic, so that the thread stays available for
/// queued jobs.
fn run(work: Work) {
    if panic::catch_unwind(AssertUnwindSafe(work)).is_err() {
        warn!("work on a pooled thread panicked");
    }
}

fn serve(shared: &Shared, jobs: &flume::Receiver<Job>) {
    loop {
        while let Ok(job) = jobs.try_recv() {
            if job.reserved {
                // The thread reserved for this job is still idle.
                shared.idle.fetch_add(1, Ordering::AcqRel);
            }
            run(job.work);
        }
        shared.idle.fetch_add(1, Ordering::AcqRel);
        match jobs.recv_timeout(IDLE_TIMEOUT) {
            Ok(job) => {
                if !job.reserved {
                    shared.reserve();
                }
                run(job.work);
            }
            // The thread reserves itself before it ends, so that no job is
            // assigned to it.
            Err(_) if shared.reserve() => return,
            Err(_) => {}
        }
    }
}
