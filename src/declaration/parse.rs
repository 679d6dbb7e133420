//! Reading a declaration document: TOML text to [`Declaration`], with the line
//! and column of whatever is wrong.

use std::fmt;
use std::ops::Range;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use super::Declaration;
use super::check;

/// Greatest length of a document: the key-value service holds values up to a
/// megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 900_000;
/// Greatest edit distance of a near miss.
const NEAR_MISS_EDITS: usize = 3;
/// Longest name that is compared with known ones, in bytes.
const MAX_COMPARED_BYTES: usize = 64;

/// How bad a problem is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The document is refused.
    Error,
    /// The document is taken, but probably not what was meant.
    Warning,
}

/// Something wrong at one place of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1, in characters.
    pub column: usize,
    /// How bad it is.
    pub severity: Severity,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub hint: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "",
            Severity::Warning => "warning: ",
        };
        write!(
            f,
            "{}:{}:{}: {severity}{}",
            self.file, self.line, self.column, self.message
        )?;
        match &self.hint {
            Some(hint) => write!(f, "\n  hint: {hint}"),
            None => Ok(()),
        }
    }
}

/// A document that was accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// What it declares.
    pub declaration: Declaration,
    /// What is probably not what was meant.
    pub warnings: Vec<Problem>,
}

/// Reads and checks the text of the file `file`.
///
/// # Errors
///
/// Returns all problems, in the order of the text: at least one error.
pub fn parse(file: &str, text: &str) -> Result<Document, Vec<Problem>> {
    let source = Source { file, text };
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!("the document is longer than {MAX_DOCUMENT_BYTES} bytes");
        return Err(vec![source.problem(0, Severity::Error, message, None)]);
    }
    let declaration: Declaration = match toml::from_str(text) {
        Ok(declaration) => declaration,
        Err(error) => return Err(vec![source.refused(&error)]),
    };
    let problems = source.locate(check::check(&declaration));
    if problems
        .iter()
        .any(|problem| problem.severity == Severity::Error)
    {
        return Err(problems);
    }
    Ok(Document {
        declaration,
        warnings: problems,
    })
}

/// Reads a text that some instance has accepted: only its shape counts, so that
/// an instance with other checks takes it as well.
///
/// # Errors
///
/// Returns what is wrong with the shape.
pub fn read(text: &str) -> Result<Declaration, String> {
    toml::from_str(text).map_err(|error| error.message().to_owned())
}

/// Returns a declaration as the text of a document.
#[must_use]
pub fn text(declaration: &Declaration) -> String {
    toml::to_string_pretty(declaration).unwrap_or_default()
}

/// Returns the known name that `name` is probably meant to be.
pub(super) fn near<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    if name.len() > MAX_COMPARED_BYTES {
        return None;
    }
    let allowed = NEAR_MISS_EDITS.min(name.chars().count() / 2);
    known
        .map(|known| (strsim::levenshtein(name, known), known))
        .filter(|(edits, _)| (1..=allowed).contains(edits))
        .min()
        .map(|(_, known)| known)
}

struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl Source<'_> {
    fn problem(
        &self,
        offset: usize,
        severity: Severity,
        message: String,
        hint: Option<String>,
    ) -> Problem {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Problem {
            file: self.file.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            severity,
            message,
            hint,
        }
    }

    /// Returns the problem of a text that does not have the right shape.
    fn refused(&self, error: &toml::de::Error) -> Problem {
        let offset = error.span().map_or(0, |span| span.start);
        let message = error.message().trim().to_owned();
        let hint = unknown_field_hint(&message);
        self.problem(offset, Severity::Error, message, hint)
    }

    /// Finds the places of findings in the text.
    fn locate(&self, findings: Vec<check::Finding>) -> Vec<Problem> {
        if findings.is_empty() {
            return Vec::new();
        }
        let root = DeTable::parse(self.text).ok();
        let root = root.as_ref().map(Spanned::get_ref);
        let mut found: Vec<(usize, Problem)> = findings
            .into_iter()
            .map(|finding| {
                let offset = root.map_or(0, |root| offset_of(root, &finding.path));
                let problem = self.problem(offset, finding.severity, finding.message, finding.hint);
                (offset, problem)
            })
            .collect();
        found.sort_by_key(|(offset, _)| *offset);
        found.into_iter().map(|(_, problem)| problem).collect()
    }
}

/// Returns the offset of the deepest part of a path that the text has.
fn offset_of(root: &DeTable<'_>, path: &[String]) -> usize {
    let mut offset = 0;
    let mut value: Option<&Spanned<DeValue<'_>>> = None;
    for step in path {
        let next = match value.map(Spanned::get_ref) {
            None => lookup(root, step),
            Some(DeValue::Table(table)) => lookup(table, step),
            Some(DeValue::Array(items)) => step
                .parse()
                .ok()
                .and_then(|index: usize| items.get(index))
                .map(|item| (item.span(), item)),
            Some(_) => None,
        };
        let Some((span, found)) = next else {
            break;
        };
        offset = span.start;
        value = Some(found);
    }
    offset
}

fn lookup<'a, 'i>(
    table: &'a DeTable<'i>,
    key: &str,
) -> Option<(Range<usize>, &'a Spanned<DeValue<'i>>)> {
    table
        .iter()
        .find(|(name, _)| name.get_ref().as_ref() == key)
        .map(|(_, value)| (value.span(), value))
}

/// Returns a hint for a message of the form ``unknown field `a`, expected one
/// of `b`, `c```.
fn unknown_field_hint(message: &str) -> Option<String> {
    let names: Vec<&str> = message
        .strip_prefix("unknown ")?
        .split('`')
        .skip(1)
        .step_by(2)
        .collect();
    let (unknown, known) = names.split_first()?;
    let near = near(unknown, known.iter().copied())?;
    Some(format!("did you mean `{near}`?"))
}
