//! Exit codes.

use std::fmt;
use std::io;

use crate::verdict::Reason;
use crate::verdict::Refusal;
use crate::verdict::Verdict;

macro_rules! exits {
    ($($name:ident = $code:literal, $help:literal;)*) => {
        /// How a command ended.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Exit {
            $(#[doc = $help] $name,)*
        }

        impl Exit {
            /// All exit codes, in the order of the table.
            pub const ALL: &[Exit] = &[$(Exit::$name,)*];

            /// Returns the process's exit code.
            #[must_use]
            pub const fn code(self) -> u8 {
                match self {
                    $(Exit::$name => $code,)*
                }
            }

            /// Returns what it means.
            #[must_use]
            pub const fn help(self) -> &'static str {
                match self {
                    $(Exit::$name => $help,)*
                }
            }
        }
    };
}

exits! {
    Ok = 0, "The command did what it says";
    Refused = 1, "The instance refused; nothing ran or changed";
    Usage = 2, "The command line or a file is wrong";
    Unreachable = 3, "The address is wrong or nobody answers there";
    Unauthorized = 4, "The token is missing or wrong";
    Invalid = 5, "The declarations are not right";
    Conflict = 6, "Another change touched the same objects";
    MayHaveRun = 7, "No sure answer: it may have run or changed something";
    NotEverywhere = 8, "The change is accepted, but not in force everywhere in time";
}

/// Why a command failed.
#[derive(Debug)]
pub(super) struct Failure {
    pub(super) exit: Exit,
    pub(super) message: String,
}

impl Failure {
    pub(super) fn new(exit: Exit, message: impl Into<String>) -> Failure {
        Failure {
            exit,
            message: message.into(),
        }
    }

    pub(super) fn usage(message: impl Into<String>) -> Failure {
        Failure::new(Exit::Usage, message)
    }

    /// Returns the failure to write the result.
    pub(super) fn output(error: &io::Error) -> Failure {
        Failure::new(Exit::Usage, format!("cannot write the result: {error}"))
    }

    /// Returns the failure that a refusal stands for.
    pub(super) fn refused(refusal: &Refusal) -> Failure {
        let exit = match (refusal.reason, refusal.verdict) {
            (Reason::Unauthorized, _) => Exit::Unauthorized,
            (Reason::Conflict, _) => Exit::Conflict,
            (_, Verdict::NotRun) => Exit::Refused,
            _ => Exit::MayHaveRun,
        };
        let after = match refusal.retry_after {
            Some(after) => format!(" (try again after {after})"),
            None => String::new(),
        };
        Failure::new(exit, format!("{}{after}", refusal.message))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}
