//! Faults in random order, singly and together; the promises are checked after
//! every step.

use std::collections::BTreeSet;
use std::collections::HashMap;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use super::script::Command;
use super::script::Script;

const DOMAINS: [&str; 3] = ["ikeja", "lekki", "yaba"];
/// Faults that may stand at one time.
const STANDING: usize = 2;

/// Which lasting faults stand.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    killed: BTreeSet<String>,
    cut: usize,
    store_down: bool,
    out: Option<usize>,
}

impl Faults {
    fn standing(&self) -> usize {
        self.killed.len()
            + self.cut
            + usize::from(self.store_down)
            + usize::from(self.out.is_some())
    }
}

#[derive(Debug, Clone)]
pub enum Transition {
    /// Requests of a kind, spread over the instances.
    Load {
        kind: &'static str,
        n: u64,
    },
    /// The same key through all instances.
    SameKey {
        key: u8,
    },
    Kill {
        entry: String,
    },
    Start {
        entry: String,
    },
    Replace {
        entry: String,
    },
    Pause {
        entry: String,
        ms: u64,
    },
    CutPlatform {
        domain: usize,
    },
    CutDomains {
        a: usize,
        b: usize,
    },
    Heal,
    StoreDown,
    StoreUp,
    StoreLoses {
        n: u64,
    },
    Crash {
        engine: String,
    },
    Silence {
        engine: String,
    },
    ServiceLoses {
        domain: usize,
    },
    Out {
        domain: usize,
    },
    Back,
    Run {
        ms: u64,
    },
}

fn entry() -> impl Strategy<Value = String> {
    (0..3_usize, 1..3_u32).prop_map(|(domain, index)| format!("{}-e{index}", DOMAINS[domain]))
}

fn engine() -> impl Strategy<Value = String> {
    (0..3_usize, 1..4_u32).prop_map(|(domain, index)| format!("{}-m{index}", DOMAINS[domain]))
}

pub struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Faults;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Faults> {
        Just(Faults::default()).boxed()
    }

    fn transitions(_: &Faults) -> BoxedStrategy<Transition> {
        let kinds = prop::sample::select(vec!["summary", "review", "outcome"]);
        prop_oneof![
            6 => (kinds, 5..60_u64).prop_map(|(kind, n)| Transition::Load { kind, n }),
            2 => (0..4_u8).prop_map(|key| Transition::SameKey { key }),
            1 => entry().prop_map(|entry| Transition::Kill { entry }),
            2 => entry().prop_map(|entry| Transition::Start { entry }),
            1 => entry().prop_map(|entry| Transition::Replace { entry }),
            2 => (entry(), 500..9_000_u64).prop_map(|(entry, ms)| Transition::Pause { entry, ms }),
            1 => (0..3_usize).prop_map(|domain| Transition::CutPlatform { domain }),
            1 => (0..3_usize, 1..3_usize)
                .prop_map(|(a, step)| Transition::CutDomains { a, b: (a + step) % 3 }),
            2 => Just(Transition::Heal),
            1 => Just(Transition::StoreDown),
            2 => Just(Transition::StoreUp),
            2 => (1..8_u64).prop_map(|n| Transition::StoreLoses { n }),
            2 => engine().prop_map(|engine| Transition::Crash { engine }),
            1 => engine().prop_map(|engine| Transition::Silence { engine }),
            1 => (0..3_usize).prop_map(|domain| Transition::ServiceLoses { domain }),
            1 => (0..3_usize).prop_map(|domain| Transition::Out { domain }),
            1 => Just(Transition::Back),
            8 => (100..4_000_u64).prop_map(|ms| Transition::Run { ms }),
        ]
        .boxed()
    }

    fn preconditions(state: &Faults, transition: &Transition) -> bool {
        let room = state.standing() < STANDING;
        match transition {
            Transition::Kill { entry } => room && !state.killed.contains(entry),
            Transition::Start { entry } => state.killed.contains(entry),
            Transition::Replace { entry } | Transition::Pause { entry, .. } => {
                !state.killed.contains(entry)
            }
            Transition::CutPlatform { .. } | Transition::CutDomains { .. } => room,
            Transition::StoreDown => room && !state.store_down,
            Transition::StoreUp => state.store_down,
            Transition::Out { .. } => room && !state.store_down && state.cut == 0,
            Transition::Back => state.out.is_some() && !state.store_down && state.cut == 0,
            Transition::Heal => state.cut > 0,
            _ => true,
        }
    }

    fn apply(mut state: Faults, transition: &Transition) -> Faults {
        match transition {
            Transition::Kill { entry } => {
                state.killed.insert(entry.clone());
            }
            Transition::Start { entry } => {
                state.killed.remove(entry);
            }
            Transition::CutPlatform { .. } | Transition::CutDomains { .. } => state.cut += 1,
            Transition::Heal => state.cut = 0,
            Transition::StoreDown => state.store_down = true,
            Transition::StoreUp => state.store_down = false,
            Transition::Out { domain } => state.out = Some(*domain),
            Transition::Back => state.out = None,
            _ => {}
        }
        state
    }
}

/// The system under test.
pub struct Mixed {
    script: Script,
}

impl Mixed {
    fn order(&mut self, directive: &str, args: &[(&str, String)]) -> String {
        let args: HashMap<String, Vec<String>> = args
            .iter()
            .map(|(key, value)| ((*key).to_owned(), vec![value.clone()]))
            .collect();
        let directive = directive.to_owned();
        self.script.run(&Command { directive, args })
    }

    fn carry_out(&mut self, transition: &Transition) -> String {
        let domain = |index: &usize| DOMAINS[*index].to_owned();
        match transition {
            Transition::Load { kind, n } => {
                let args = [
                    ("kind", (*kind).to_owned()),
                    ("n", n.to_string()),
                    ("every", "60".to_owned()),
                ];
                self.order("load", &args)
            }
            Transition::SameKey { key } => {
                let args = [
                    ("kind", "outcome".to_owned()),
                    ("n", "6".to_owned()),
                    ("every", "10".to_owned()),
                    ("key", format!("same-{key}")),
                ];
                self.order("load", &args)
            }
            Transition::Kill { entry } => self.order("kill", &[("entry", entry.clone())]),
            Transition::Start { entry } => self.order("start", &[("entry", entry.clone())]),
            Transition::Replace { entry } => {
                self.order("kill", &[("entry", entry.clone())]);
                self.order("start", &[("entry", entry.clone())])
            }
            Transition::Pause { entry, ms } => {
                let args = [("entry", entry.clone()), ("ms", ms.to_string())];
                self.order("pause", &args)
            }
            Transition::CutPlatform { domain: index } => {
                let args = [("a", domain(index)), ("b", "platform".to_owned())];
                self.order("cut", &args)
            }
            Transition::CutDomains { a, b } => {
                self.order("cut", &[("a", domain(a)), ("b", domain(b))])
            }
            Transition::Heal => self.order("heal", &[]),
            Transition::StoreDown => self.order("store", &[("do", "down".to_owned())]),
            Transition::StoreUp => self.order("store", &[("do", "up".to_owned())]),
            Transition::StoreLoses { n } => {
                let args = [("do", "lose".to_owned()), ("n", n.to_string())];
                self.order("store", &args)
            }
            Transition::Crash { engine } => self.order("crash", &[("engine", engine.clone())]),
            Transition::Silence { engine } => self.order("silence", &[("engine", engine.clone())]),
            Transition::ServiceLoses { domain: index } => {
                let name = format!("{}-s1", DOMAINS[*index]);
                self.order("service", &[("name", name), ("lose", "2".to_owned())])
            }
            Transition::Out { domain: index } => self.order("declare", &[("out", domain(index))]),
            Transition::Back => self.order("declare", &[]),
            Transition::Run { ms } => self.order("run", &[("ms", ms.to_string())]),
        }
    }
}

impl StateMachineTest for Mixed {
    type SystemUnderTest = Mixed;
    type Reference = Reference;

    fn init_test(_: &Faults) -> Mixed {
        let mut mixed = Mixed {
            script: Script::new(),
        };
        assert_eq!(mixed.order("world", &[]), "ok\n");
        mixed
    }

    fn apply(mut mixed: Mixed, _: &Faults, transition: Transition) -> Mixed {
        assert_eq!(mixed.carry_out(&transition), "ok\n");
        mixed
    }

    fn check_invariants(mixed: &Mixed, _: &Faults) {
        assert_eq!(mixed.script.check(), "ok\n");
    }

    fn teardown(mut mixed: Mixed, state: Faults) {
        mixed.order("heal", &[]);
        mixed.order("store", &[("do", "up".to_owned())]);
        for entry in state.killed {
            mixed.order("start", &[("entry", entry)]);
        }
        mixed.order("settle", &[]);
        assert_eq!(mixed.script.check(), "ok\n");
        assert_eq!(mixed.order("idle", &[]), "ok\n", "memory is left behind");
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 12,
        max_shrink_iters: 60,
        ..Config::default()
    })]

    #[test]
    fn the_promises_hold_under_mixed_faults(sequential 4..24 => Mixed);
}
