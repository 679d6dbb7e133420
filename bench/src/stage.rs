//! A stage on which a run is played: the system or a baseline over the same
//! stand-ins, the same load, the same faults at the same times.

use std::thread;
use std::time::Duration;

use eyre::Result;

use crate::deployment::Deployment;
use crate::engine::EngineFault;
use crate::load::Load;
use crate::load::LoadConfig;
use crate::load::LoadRun;
use crate::load::Outcome;
use crate::load::Policy;
use crate::load::Summary;
use crate::load::Target;
use crate::okonkwo;
use crate::serve::Set;
use crate::serve::SetConfig;
use skylarkhook::clock::Millis;
use skylarkhook::declaration::Declaration;

/// Period in which steps are looked at.
const STEP: Duration = Duration::from_millis(10);
/// Period of progress lines.
const PROGRESS: Duration = Duration::from_secs(2);
/// Load under which the system's ramps reach warm before a run.
const WARM_UP: Millis = Millis::from_secs(5);
const WARM_UP_RATE: f64 = 30.0;
/// Time for finished streams to be freed after a run.
const SETTLE: Duration = Duration::from_millis(300);

/// What serves the load.
pub enum Stage {
    /// The system.
    System(Box<Deployment>),
    /// Callers go straight to the backend servers.
    Baseline(Set, Policy),
}

/// Which stage to build.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contender {
    /// The system.
    System,
    /// A baseline.
    Baseline(Policy),
}

impl Contender {
    /// The system and both baselines.
    pub const ALL: [Contender; 3] = [
        Contender::System,
        Contender::Baseline(Policy::RoundRobin),
        Contender::Baseline(Policy::LeastOutstanding),
    ];

    /// Returns the name for tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Contender::System => "skylarkhook",
            Contender::Baseline(Policy::RoundRobin) => "round robin",
            Contender::Baseline(Policy::LeastOutstanding) => "least outstanding",
        }
    }
}

/// Something that happens at a time of the run.
pub struct Step {
    at: Millis,
    name: String,
    act: Act,
}

type Act = Box<dyn FnMut(&mut Stage) -> Result<()>>;

impl Step {
    /// Returns a step at a time after the start.
    pub fn new(
        at: Millis,
        name: impl Into<String>,
        act: impl FnMut(&mut Stage) -> Result<()> + 'static,
    ) -> Step {
        Step {
            at,
            name: name.into(),
            act: Box::new(act),
        }
    }
}

impl Stage {
    /// Starts stand-ins and, for the system, instances.
    ///
    /// # Errors
    ///
    /// Returns an error if something does not start.
    pub fn build(
        contender: Contender,
        set: SetConfig,
        declaration: Declaration,
        seed: u64,
    ) -> Result<Stage> {
        Ok(match contender {
            Contender::System => {
                let deployment = Deployment::start(set, declaration, seed)?;
                Stage::System(Box::new(deployment))
            }
            Contender::Baseline(policy) => Stage::Baseline(Set::start(set)?, policy),
        })
    }

    /// Returns the stand-ins.
    #[must_use]
    pub fn set(&self) -> &Set {
        match self {
            Stage::System(deployment) => &deployment.set,
            Stage::Baseline(set, _) => set,
        }
    }

    /// Returns the deployment, if this is the system.
    pub fn deployment(&mut self) -> Option<&mut Deployment> {
        match self {
            Stage::System(deployment) => Some(deployment),
            Stage::Baseline(..) => None,
        }
    }

    /// Returns where callers send their requests.
    #[must_use]
    pub fn target(&self) -> Target {
        match self {
            Stage::System(deployment) => Target::entries(deployment.callers()),
            Stage::Baseline(set, policy) => Deployment::baseline(set, *policy),
        }
    }

    /// Brings all backend servers out of their cold start: by load through the
    /// system, by order for a baseline, which knows no ramp.
    ///
    /// # Errors
    ///
    /// Returns an error if the load cannot be played.
    pub fn warm_up(&mut self, seed: u64) -> Result<()> {
        if let Stage::Baseline(set, _) = self {
            let warm = EngineFault {
                warm: true,
                ..EngineFault::default()
            };
            set.engines.iter().for_each(|engine| engine.fault(&warm));
            return Ok(());
        }
        self.play(&[warm_up_load(seed)], Vec::new())?;
        Ok(())
    }

    /// Plays loads side by side, with steps at their times; returns the
    /// outcomes of each load.
    ///
    /// # Errors
    ///
    /// Returns an error if a step fails.
    pub fn play(&mut self, loads: &[LoadConfig], steps: Vec<Step>) -> Result<Vec<Vec<Outcome>>> {
        let runs: Vec<LoadRun> = loads
            .iter()
            .map(|load| Load::start(load.clone(), self.target()))
            .collect();
        let mut steps = steps.into_iter().peekable();
        let mut reported = Duration::ZERO;
        while let Some(first) = runs.first() {
            let now = first.load.elapsed();
            while let Some(mut step) = steps.next_if(|step| step.at.as_duration() <= now) {
                eprintln!("  {:>5.1} s  {}", now.as_secs_f64(), step.name);
                (step.act)(self)?;
                let callers = self.callers();
                runs.iter()
                    .for_each(|run| run.load.set_entries(callers.clone()));
            }
            if now - reported >= PROGRESS {
                reported = now;
                eprintln!("{}", progress(now, &runs));
            }
            if steps.peek().is_none() && runs.iter().all(LoadRun::done) {
                break;
            }
            thread::sleep(STEP);
        }
        let outcomes: Vec<Vec<Outcome>> = runs.into_iter().map(LoadRun::wait).collect();
        for (load, outcomes) in loads.iter().zip(&outcomes) {
            eprint!("{}", Summary::of(load, outcomes).table());
        }
        thread::sleep(SETTLE);
        Ok(outcomes)
    }

    /// Ends everything.
    pub fn stop(self) {
        if let Stage::System(deployment) = self {
            drop(deployment.stop());
        }
    }

    fn callers(&self) -> Vec<String> {
        match self {
            Stage::System(deployment) => deployment.callers(),
            Stage::Baseline(..) => Vec::new(),
        }
    }
}

/// Returns the load under which the system's ramps reach warm.
#[must_use]
pub fn warm_up_load(seed: u64) -> LoadConfig {
    let classes = vec![okonkwo::summaries(0.8), okonkwo::statuses(0.2)];
    okonkwo::load(seed, WARM_UP, WARM_UP_RATE, classes)
}

fn progress(now: Duration, runs: &[LoadRun]) -> String {
    let mut totals = (0, 0, 0);
    for run in runs {
        let (sent, open, whole) = run.load.progress();
        totals = (totals.0 + sent, totals.1 + open, totals.2 + whole);
    }
    let (sent, open, whole) = totals;
    format!(
        "  {:>5.1} s  {sent} sent, {open} open, {whole} whole",
        now.as_secs_f64()
    )
}
