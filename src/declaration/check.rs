//! What must hold in a declaration beyond its shape.

mod names;
mod rules;

use super::Declaration;
use super::Severity;

/// Something wrong with one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Finding {
    /// Keys and indices that lead to it.
    pub path: Vec<String>,
    /// How bad it is.
    pub severity: Severity,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub hint: Option<String>,
}

/// Returns all that is wrong.
pub(super) fn check(declaration: &Declaration) -> Vec<Finding> {
    let mut findings = Findings::default();
    names::check(declaration, &mut findings);
    rules::check(declaration, &mut findings);
    findings.found
}

/// Findings so far.
#[derive(Debug, Default)]
struct Findings {
    found: Vec<Finding>,
}

impl Findings {
    fn error(&mut self, place: &Place, message: String) -> &mut Finding {
        self.add(place, Severity::Error, message)
    }

    fn warning(&mut self, place: &Place, message: String) -> &mut Finding {
        self.add(place, Severity::Warning, message)
    }

    fn add(&mut self, place: &Place, severity: Severity, message: String) -> &mut Finding {
        self.found.push(Finding {
            path: place.path.clone(),
            severity,
            message,
            hint: None,
        });
        let last = self.found.len() - 1;
        &mut self.found[last]
    }
}

impl Finding {
    fn hint(&mut self, hint: impl Into<String>) {
        self.hint = Some(hint.into());
    }

    /// Adds the known name that was probably meant.
    fn near<'a>(&mut self, name: &str, known: impl Iterator<Item = &'a str>) {
        if let Some(near) = super::parse::near(name, known) {
            self.hint(format!("did you mean `{near}`?"));
        }
    }
}

/// A place in a document.
#[derive(Debug, Clone)]
struct Place {
    path: Vec<String>,
}

impl Place {
    /// Returns the place of object `index` of a table.
    fn object(table: &str, index: usize) -> Place {
        Place {
            path: vec![table.to_owned(), index.to_string()],
        }
    }

    /// Returns a place within.
    fn at(&self, step: impl ToString) -> Place {
        let mut path = self.path.clone();
        path.push(step.to_string());
        Place { path }
    }
}
