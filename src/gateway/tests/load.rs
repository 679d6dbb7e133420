//! Plays a load that swings between many short prompts and many long ones, and
//! checks what callers get.

use super::world::Outcome;
use super::world::Phase;
use super::world::World;

/// The swings of a heavy day: long prompts, short prompts, long prompts.
const SWINGS: [Phase; 3] = [
    Phase {
        until_ms: 10_500.0,
        factors: [0.35, 1.3, 2.7],
    },
    Phase {
        until_ms: 20_500.0,
        factors: [2.5, 0.5, 0.05],
    },
    Phase {
        until_ms: 30_500.0,
        factors: [0.35, 1.3, 2.7],
    },
];

fn play(seed: u64, scale: f64) -> (f64, [f64; 3], usize) {
    let mut world = World::new(6, 18);
    world.load(seed, scale, &SWINGS);
    world.run(50_000.0);
    let (all, classes) = world.earned();
    let refused = world
        .requests
        .iter()
        .filter(|request| request.outcome == Outcome::Refused)
        .count();
    let open = world.requests.iter().find(|r| r.outcome == Outcome::Open);
    assert!(open.is_none(), "every request ends: {open:?}");
    (all, classes, refused)
}

#[test]
fn swings() {
    for scale in [0.82, 1.0, 1.2] {
        let runs: Vec<_> = std::thread::scope(|scope| {
            let threads: Vec<_> = (1..=12)
                .map(|seed| scope.spawn(move || play(seed, scale)))
                .collect();
            threads.into_iter().map(|t| t.join().unwrap()).collect()
        });
        let n = runs.len() as f64;
        let mean = runs.iter().map(|run| run.0).sum::<f64>() / n;
        let by = [0, 1, 2].map(|i| runs.iter().map(|run| run.1[i]).sum::<f64>() / n);
        let refused: usize = runs.iter().map(|run| run.2).sum();
        println!("scale {scale}: mean {mean:.3} {by:.3?} refused {refused}");
    }
}
