//! Every job runs, the pool never exceeds its maximum number of threads, and a
//! panic does not reduce the number of usable threads.

use super::*;

/// Timeout that is only reached if the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn blocked_jobs_do_not_delay_others_below_the_limit() {
    let pool = Pool::new("test", 4);
    let (started, starts) = flume::unbounded();
    let (go, gate) = flume::bounded::<()>(0);
    for number in 0..5 {
        let (started, gate) = (started.clone(), gate.clone());
        pool.run(move || {
            started.send(number).unwrap();
            gate.recv().unwrap();
        });
    }
    let mut running: Vec<i32> = (0..4)
        .map(|_| starts.recv_timeout(TEST_TIMEOUT).unwrap())
        .collect();
    running.sort_unstable();
    assert_eq!(running, [0, 1, 2, 3]);
    assert_eq!(pool.threads(), 4);
    assert!(starts.is_empty());
    go.send(()).unwrap();
    assert_eq!(starts.recv_timeout(TEST_TIMEOUT).unwrap(), 4);
    (0..4).for_each(|_| go.send(()).unwrap());
}

#[test]
fn many_jobs_from_many_threads_all_run() {
    let pool = Pool::new("test", 3);
    let (done, ends) = flume::unbounded();
    let submitters: Vec<_> = (0..4)
        .map(|_| {
            let (pool, done) = (pool.clone(), done.clone());
            thread::spawn(move || {
                for _ in 0..500 {
                    let done = done.clone();
                    pool.run(move || done.send(()).unwrap());
                }
            })
        })
        .collect();
    submitters
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
    (0..2000).for_each(|_| ends.recv_timeout(TEST_TIMEOUT).unwrap());
    assert!(pool.threads() <= 3);
}

#[test]
fn a_panic_does_not_reduce_the_pool() {
    let pool = Pool::new("test", 1);
    let (done, ends) = flume::unbounded();
    pool.run(|| panic!("expected panic of a test"));
    pool.run(move || done.send(()).unwrap());
    ends.recv_timeout(TEST_TIMEOUT).unwrap();
}
