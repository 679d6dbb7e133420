//! Planning of new revisions: checks a change, and merges it with changes that
//! were accepted since its base.

use std::sync::Arc;

use super::ApplyRequest;
use super::Current;
use super::head::Head;
use super::head::RevisionInfo;
use super::head::merge_histories;
use super::splice::Splice;
use super::splice::TextHash;
use crate::clock::Millis;
use crate::declaration::Declaration;
use crate::declaration::MergeError;
use crate::declaration::Problem;
use crate::declaration::Severity;
use crate::declaration::merge;
use crate::declaration::merge_preferring;
use crate::declaration::parse;
use crate::declaration::read;
use crate::declaration::rewrite;
use crate::id::Revision;
use crate::store::KeyVersion;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// Maximum length of a change id or author.
const MAX_ID_BYTES: usize = 64;
/// Maximum number of problems that one refusal lists.
const MAX_LISTED_PROBLEMS: usize = 20;
/// Author of revisions that are made by merging diverged ones.
const SYSTEM_AUTHOR: &str = "skylarkhook";

/// A revision to write to the store.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    /// The new head.
    pub head: Head,
    /// Its text.
    pub text: Arc<str>,
    /// The revision of this instance from which it was made.
    pub parent: Option<RevisionInfo>,
    /// Version of the head that it replaces, or `None` if the store has no head.
    pub replaces: Option<KeyVersion>,
    /// Revisions that the new head no longer lists.
    pub dropped: Vec<RevisionInfo>,
    /// Whether it was merged with changes made since its base.
    pub merged: bool,
}

/// Checks a request by itself: its change id, its author and its text.
pub(super) fn check_request(request: &ApplyRequest) -> Result<(), Refusal> {
    for (field, value) in [("change id", &request.change), ("author", &request.author)] {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "._-@/+".contains(c);
        if value.is_empty() || value.len() > MAX_ID_BYTES || !value.chars().all(allowed) {
            let text =
                format!("the {field} must be 1 to {MAX_ID_BYTES} letters, digits or any of ._-@/+");
            return Err(Refusal::not_run(Reason::BadRequest, text));
        }
    }
    match parse(&request.change, &request.text) {
        Ok(_) => Ok(()),
        Err(problems) => Err(Refusal::not_run(Reason::BadRequest, list_errors(&problems))),
    }
}

fn list_errors(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .filter(|problem| problem.severity == Severity::Error)
        .take(MAX_LISTED_PROBLEMS)
        .map(ToString::to_string)
        .collect();
    lines.join("\n")
}

/// Plans an operator's change of the current revision; `base` is the text on which
/// the change is based. Returns `None` if there is nothing to change.
pub(super) fn apply(
    current: Option<&Current>,
    base: &str,
    request: &ApplyRequest,
    at: Millis,
) -> Result<Option<Plan>, Refusal> {
    let Some(current) = current else {
        let newest = info(Revision(1), &request.change, &request.author, at);
        return Ok(Some(plan(None, &[], newest, &request.text, false)));
    };
    let newest = &current.head.newest;
    let merged = request.base != newest.revision;
    let text = match merged {
        true => merged_text(current, base, request)?,
        false => request.text.clone(),
    };
    if text == *current.text {
        return Ok(None);
    }
    let revision = Revision(newest.revision.0 + 1);
    let newest = info(revision, &request.change, &request.author, at);
    let heads = [&current.head];
    Ok(Some(plan(Some(current), &heads, newest, &text, merged)))
}

fn merged_text(current: &Current, base: &str, request: &ApplyRequest) -> Result<String, Refusal> {
    let unreadable = |message| Refusal::not_run(Reason::BadRequest, message);
    let base = read(base).map_err(unreadable)?;
    // `theirs` is the text of the request.
    let theirs = read(&request.text).map_err(unreadable)?;
    if theirs == *current.declaration {
        return Ok(current.text.to_string());
    }
    let ours = (&*current.text, &*current.declaration);
    match merge(&base, ours, &theirs) {
        Ok((text, _)) => Ok(text),
        Err(error) => Err(conflict(current, request, &error)),
    }
}

/// Returns the refusal of a change that conflicts with changes since its base; it
/// names both sides.
fn conflict(current: &Current, request: &ApplyRequest, error: &MergeError) -> Refusal {
    let since: Vec<String> = current
        .head
        .revisions()
        .filter(|info| info.revision > request.base)
        .map(|info| {
            format!(
                "`{}` by {} (revision {})",
                info.change, info.author, info.revision.0
            )
        })
        .collect();
    let text = format!(
        "change `{}` is based on revision {}, since which there was {}: {error}",
        request.change,
        request.base.0,
        since.join(", ")
    );
    Refusal::not_run(Reason::Conflict, text)
}

/// Plans to write the current revision over an older head.
pub(super) fn restore(current: &Current) -> Plan {
    Plan {
        head: current.head.clone(),
        text: Arc::clone(&current.text),
        parent: Some(current.head.newest.clone()),
        replaces: None,
        dropped: Vec::new(),
        merged: false,
    }
}

/// Plans one revision that merges two diverged ones with a number above both
/// and above `highest_peer_revision`; of an object that both changed, the
/// store's version is kept.
pub(super) fn merge_diverged(
    current: &Current,
    base: Option<&str>,
    store: (&Head, &str),
    highest_peer_revision: Revision,
    at: Millis,
) -> Result<Plan, String> {
    let (store, store_text) = store;
    let base = base.map_or(Ok(Declaration::default()), read)?;
    let theirs = read(store_text)?;
    let (merged, _) = merge_preferring(&base, &theirs, &current.declaration);
    let text = rewrite(store_text, &theirs, &merged);
    let text = match parse("merged", &text) {
        Ok(_) => text,
        // The merged text is invalid, so the store's text, which was accepted last, is
        // kept.
        Err(_) => store_text.to_owned(),
    };
    let highest = highest_peer_revision
        .max(current.head.newest.revision)
        .max(store.newest.revision);
    let change = format!(
        "reunite-{}-{}",
        current.head.newest.revision.0, store.newest.revision.0
    );
    let newest = info(Revision(highest.0 + 1), &change, SYSTEM_AUTHOR, at);
    let heads = [&current.head, store];
    Ok(plan(Some(current), &heads, newest, &text, true))
}

fn info(revision: Revision, change: &str, author: &str, at: Millis) -> RevisionInfo {
    RevisionInfo {
        revision,
        change: change.to_owned(),
        author: author.to_owned(),
        at,
        ..RevisionInfo::default()
    }
}

fn plan(
    current: Option<&Current>,
    heads: &[&Head],
    mut newest: RevisionInfo,
    text: &str,
    merged: bool,
) -> Plan {
    newest.hash = TextHash::of(text);
    let (older, dropped) = merge_histories(heads);
    let splice = current.and_then(|current| Splice::between(&current.text, text));
    Plan {
        head: Head {
            newest,
            splice,
            older,
        },
        text: Arc::from(text),
        parent: current.map(|current| current.head.newest.clone()),
        replaces: None,
        dropped,
        merged,
    }
}
