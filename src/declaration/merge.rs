//! Three-way merge of documents, object by object.
//!
//! Changes to different objects merge; two different changes to one object
//! conflict. The order of limits and routes counts, so it is merged like an
//! object of its own. The merged text keeps the first document's layout and
//! comments, wherever its objects are the same.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;

use super::Declaration;
use super::Document;
use super::layout;
use super::parse;
use super::tables::for_each_table;

/// An object that both sides changed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Conflict {
    /// Its table.
    pub table: String,
    /// Its name; empty: the order of the table's objects.
    pub name: String,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.name.is_empty() {
            return write!(f, "the order of [[{}]]", self.table);
        }
        write!(f, "[[{}]] `{}`", self.table, self.name)
    }
}

/// Why two changes do not merge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeError {
    /// Both changed the same objects.
    Conflicts(Vec<Conflict>),
    /// Each change alone is right, but not both together.
    Invalid(String),
}

impl fmt::Display for MergeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MergeError::Conflicts(conflicts) => {
                let names: Vec<String> = conflicts.iter().map(ToString::to_string).collect();
                write!(f, "both changed {}", names.join(", "))
            }
            MergeError::Invalid(problem) => {
                write!(f, "the changes together are not right: {problem}")
            }
        }
    }
}

/// Merges what changed from `base` to `theirs` into the text `ours`.
///
/// # Errors
///
/// Returns the objects that both changed, or what is wrong with the whole.
pub fn merge(
    base: &Declaration,
    ours: (&str, &Declaration),
    theirs: &Declaration,
) -> Result<(String, Document), MergeError> {
    let (our_text, ours) = ours;
    let merged = merge_declarations(base, ours, theirs).map_err(MergeError::Conflicts)?;
    let text = layout::rewrite(our_text, ours, &merged);
    match parse("merged", &text) {
        Ok(document) => Ok((text, document)),
        Err(problems) => {
            let problem = problems.first().map(ToString::to_string);
            Err(MergeError::Invalid(problem.unwrap_or_default()))
        }
    }
}

/// Merges declarations, object by object.
///
/// # Errors
///
/// Returns the objects that both changed.
pub fn merge_declarations(
    base: &Declaration,
    ours: &Declaration,
    theirs: &Declaration,
) -> Result<Declaration, Vec<Conflict>> {
    match merge_preferring(base, ours, theirs) {
        (merged, conflicts) if conflicts.is_empty() => Ok(merged),
        (_, conflicts) => Err(conflicts),
    }
}

/// Merges declarations, object by object; of an object that both changed,
/// `ours` is kept and named.
#[must_use]
pub fn merge_preferring(
    base: &Declaration,
    ours: &Declaration,
    theirs: &Declaration,
) -> (Declaration, Vec<Conflict>) {
    let mut conflicts = Vec::new();
    let mut merged = Declaration::default();
    macro_rules! merge_table {
        ($table:literal, $field:ident, $type:ty, $ordered:literal) => {
            let table = Table {
                table: $table,
                ordered: $ordered,
                key: <$type>::key,
            };
            merged.$field = table.merge(&base.$field, &ours.$field, &theirs.$field, &mut conflicts);
        };
    }
    for_each_table!(merge_table);
    (merged, conflicts)
}

struct Table<T> {
    table: &'static str,
    ordered: bool,
    key: fn(&T) -> String,
}

impl<T: Clone + PartialEq> Table<T> {
    fn merge(&self, base: &[T], ours: &[T], theirs: &[T], conflicts: &mut Vec<Conflict>) -> Vec<T> {
        let base = self.keyed(base);
        let ours = self.keyed(ours);
        let theirs = self.keyed(theirs);
        let mut merged = Vec::new();
        for name in self.order(&base, &ours, &theirs, conflicts) {
            let old = base.objects.get(&name);
            let our = ours.objects.get(&name);
            let their = theirs.objects.get(&name);
            let kept = if our == their || their == old {
                our
            } else if our == old {
                their
            } else {
                conflicts.push(self.conflict(&name));
                our
            };
            merged.extend(kept.map(|one| (*one).clone()));
        }
        merged
    }

    fn keyed<'a>(&self, objects: &'a [T]) -> Keyed<'a, T> {
        let names: Vec<String> = objects.iter().map(self.key).collect();
        let objects = names.iter().cloned().zip(objects).collect();
        Keyed { names, objects }
    }

    fn conflict(&self, name: &str) -> Conflict {
        Conflict {
            table: self.table.to_owned(),
            name: name.to_owned(),
        }
    }

    /// Returns all names, in the order of the side that changed the order.
    fn order(
        &self,
        base: &Keyed<'_, T>,
        ours: &Keyed<'_, T>,
        theirs: &Keyed<'_, T>,
        conflicts: &mut Vec<Conflict>,
    ) -> Vec<String> {
        if same_order(base, theirs) {
            return join(&ours.names, &theirs.names);
        }
        if same_order(base, ours) || same_order(ours, theirs) {
            return join(&theirs.names, &ours.names);
        }
        if self.ordered {
            conflicts.push(self.conflict(""));
        }
        join(&ours.names, &theirs.names)
    }
}

/// Objects of one table by name, and the names in order.
struct Keyed<'a, T> {
    names: Vec<String>,
    objects: HashMap<String, &'a T>,
}

/// Returns whether the names that both sides hold stand in the same order.
fn same_order<T>(a: &Keyed<'_, T>, b: &Keyed<'_, T>) -> bool {
    let in_both = |name: &&String| a.objects.contains_key(*name) && b.objects.contains_key(*name);
    let of_a = a.names.iter().filter(in_both);
    of_a.eq(b.names.iter().filter(in_both))
}

/// Returns `names` with those of `others` that are missing, each after the one
/// that it follows there.
fn join(names: &[String], others: &[String]) -> Vec<String> {
    let known: HashSet<&String> = names.iter().collect();
    let mut first: Vec<String> = Vec::new();
    let mut after: HashMap<&String, Vec<String>> = HashMap::new();
    let mut previous = None;
    for name in others {
        if known.contains(name) {
            previous = Some(name);
            continue;
        }
        match previous {
            Some(previous) => after.entry(previous).or_default().push(name.clone()),
            None => first.push(name.clone()),
        }
    }
    let mut joined = first;
    for name in names {
        joined.push(name.clone());
        joined.extend(after.remove(name).unwrap_or_default());
    }
    joined
}
