//! Label selectors: `key = value`, `key != value`, `key in (a, b)`,
//! `key notin (a, b)`, `key`, `!key`, joined by commas.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use winnow::ModalResult;
use winnow::Parser;
use winnow::ascii::multispace0;
use winnow::combinator::alt;
use winnow::combinator::cut_err;
use winnow::combinator::delimited;
use winnow::combinator::empty;
use winnow::combinator::eof;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::separated;
use winnow::combinator::terminated;
use winnow::error::ContextError;
use winnow::error::StrContext;
use winnow::error::StrContextValue;
use winnow::token::take_while;

/// A conjunction of requirements; an empty one matches everything.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    requirements: Vec<Requirement>,
}

/// One requirement on a label.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Requirement {
    In { key: String, values: Vec<String> },
    NotIn { key: String, values: Vec<String> },
    Exists { key: String },
    Absent { key: String },
}

/// Why a text is no selector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectorError {
    /// Byte offset in the text.
    pub offset: usize,
    /// What was expected there.
    pub expected: String,
}

impl fmt::Display for SelectorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "at character {}: expected {}",
            self.offset, self.expected
        )
    }
}

impl Selector {
    /// Returns whether all requirements hold over the labels that `lookup`
    /// finds.
    #[must_use]
    pub fn matches<'a>(&self, lookup: impl Fn(&str) -> Option<&'a str>) -> bool {
        self.first_unmet(lookup).is_none()
    }

    /// Returns the first requirement that does not hold, as text.
    #[must_use]
    pub fn first_unmet<'a>(&self, lookup: impl Fn(&str) -> Option<&'a str>) -> Option<String> {
        self.requirements
            .iter()
            .find(|requirement| !requirement.holds(&lookup))
            .map(ToString::to_string)
    }

    /// Returns the keys that the selector looks at.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.requirements.iter().map(Requirement::key)
    }

    /// Returns each key that is compared, with the values named for it.
    pub fn compared(&self) -> impl Iterator<Item = (&str, &[String])> {
        self.requirements
            .iter()
            .filter_map(|requirement| match requirement {
                Requirement::In { key, values } | Requirement::NotIn { key, values } => {
                    Some((key.as_str(), values.as_slice()))
                }
                Requirement::Exists { .. } | Requirement::Absent { .. } => None,
            })
    }

    /// Returns whether `self` holds wherever `other` does, as each of its
    /// requirements is among the other's.
    #[must_use]
    pub fn covers(&self, other: &Selector) -> bool {
        self.requirements
            .iter()
            .all(|requirement| other.requirements.contains(requirement))
    }

    /// Returns whether the selector may hold where `key` has this value.
    #[must_use]
    pub fn may_match(&self, key: &str, value: &str) -> bool {
        self.requirements
            .iter()
            .filter(|requirement| requirement.key() == key)
            .all(|requirement| requirement.holds(&|_: &str| Some(value)))
    }
}

impl Requirement {
    fn key(&self) -> &str {
        match self {
            Requirement::In { key, .. }
            | Requirement::NotIn { key, .. }
            | Requirement::Exists { key }
            | Requirement::Absent { key } => key,
        }
    }

    fn holds<'a>(&self, lookup: &impl Fn(&str) -> Option<&'a str>) -> bool {
        let value = lookup(self.key());
        match self {
            Requirement::In { values, .. } => contains(values, value),
            Requirement::NotIn { values, .. } => !contains(values, value),
            Requirement::Exists { .. } => value.is_some(),
            Requirement::Absent { .. } => value.is_none(),
        }
    }
}

fn contains(values: &[String], value: Option<&str>) -> bool {
    value.is_some_and(|value| values.iter().any(|allowed| allowed == value))
}

impl fmt::Display for Requirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Requirement::In { key, values } => write_values(f, key, "=", "in", values),
            Requirement::NotIn { key, values } => write_values(f, key, "!=", "notin", values),
            Requirement::Exists { key } => f.write_str(key),
            Requirement::Absent { key } => write!(f, "!{key}"),
        }
    }
}

fn write_values(
    f: &mut fmt::Formatter<'_>,
    key: &str,
    one: &str,
    many: &str,
    values: &[String],
) -> fmt::Result {
    match values {
        [value] => write!(f, "{key} {one} {value}"),
        values => write!(f, "{key} {many} ({})", values.join(", ")),
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, requirement) in self.requirements.iter().enumerate() {
            if i > 0 {
                f.write_str(", ")?;
            }
            write!(f, "{requirement}")?;
        }
        Ok(())
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> String {
        selector.to_string()
    }
}

impl TryFrom<String> for Selector {
    type Error = SelectorError;

    fn try_from(text: String) -> Result<Selector, SelectorError> {
        text.parse()
    }
}

impl FromStr for Selector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Selector, SelectorError> {
        if text.trim().is_empty() {
            return Ok(Selector::default());
        }
        match selector.parse(text) {
            Ok(requirements) => Ok(Selector { requirements }),
            Err(error) => Err(SelectorError {
                offset: error.offset(),
                expected: innermost(error.inner()),
            }),
        }
    }
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

/// Returns what the innermost parser expected.
fn innermost(error: &ContextError) -> String {
    let expected = error.context().find_map(|context| match context {
        StrContext::Expected(what) => Some(what.to_string()),
        _ => None,
    });
    expected.unwrap_or_else(|| "a selector".to_owned())
}

fn selector(input: &mut &str) -> ModalResult<Vec<Requirement>> {
    let end = (multispace0, eof).context(expected("an operator, a comma or the end"));
    terminated(separated(1.., requirement, ','), end).parse_next(input)
}

fn requirement(input: &mut &str) -> ModalResult<Requirement> {
    alt((absent, comparison))
        .context(expected("a requirement such as `key = value`"))
        .parse_next(input)
}

fn absent(input: &mut &str) -> ModalResult<Requirement> {
    let (_, _, key) = (multispace0, '!', token).parse_next(input)?;
    Ok(Requirement::Absent { key })
}

fn comparison(input: &mut &str) -> ModalResult<Requirement> {
    let key = token(input)?;
    alt((
        preceded("!=", cut_err(token)).map({
            let key = key.clone();
            move |value| Requirement::NotIn {
                key: key.clone(),
                values: vec![value],
            }
        }),
        preceded(("=", opt('=')), cut_err(token)).map({
            let key = key.clone();
            move |value| Requirement::In {
                key: key.clone(),
                values: vec![value],
            }
        }),
        preceded("notin", cut_err(values)).map({
            let key = key.clone();
            move |values| Requirement::NotIn {
                key: key.clone(),
                values,
            }
        }),
        preceded("in", cut_err(values)).map({
            let key = key.clone();
            move |values| Requirement::In {
                key: key.clone(),
                values,
            }
        }),
        empty.map(|()| Requirement::Exists { key: key.clone() }),
    ))
    .parse_next(input)
}

fn values(input: &mut &str) -> ModalResult<Vec<String>> {
    let list = separated(1.., token, ',');
    delimited((multispace0, '('), list, (')', multispace0))
        .context(expected("a list such as `(a, b)`"))
        .parse_next(input)
}

fn token(input: &mut &str) -> ModalResult<String> {
    let word = take_while(1.., |c: char| {
        c.is_ascii_alphanumeric() || "._-/".contains(c)
    });
    delimited(multispace0, word, multispace0)
        .context(expected("a label key or value"))
        .map(str::to_owned)
        .parse_next(input)
}

#[cfg(test)]
mod tests;
