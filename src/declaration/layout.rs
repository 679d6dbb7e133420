//! Changing a document's text while keeping its layout and comments.
//!
//! A document is cut into blocks, one an object: from its `[[table]]` line (and
//! the comment lines right above) to the next. Blocks of objects that stay the
//! same keep their text; others are written anew. Where the result does not
//! read as what was wanted, as with inline tables, the whole is written anew.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Serialize;

use super::Declaration;
use super::tables::for_each_table;

/// Returns the text of `to`, made from the text of `from`.
#[must_use]
pub fn rewrite(text: &str, from: &Declaration, to: &Declaration) -> String {
    if from == to {
        return text.to_owned();
    }
    let rewritten = rewrite_blocks(text, from, to);
    match rewritten {
        Some(new) if toml::from_str::<Declaration>(&new).as_ref() == Ok(to) => new,
        _ => super::text(to),
    }
}

/// One object: its table and key, and itself as text.
struct Object {
    table: &'static str,
    key: String,
    text: String,
}

fn rewrite_blocks(text: &str, from: &Declaration, to: &Declaration) -> Option<String> {
    let (head, blocks) = cut(text)?;
    let old = pair(objects(from), &blocks)?;
    let new = objects(to);
    let mut out = head.to_owned();
    let by_name: HashMap<(&str, &str), &(Object, &str)> = old
        .iter()
        .map(|pair| ((pair.0.table, pair.0.key.as_str()), pair))
        .collect();
    for object in in_layout(&old, &new) {
        match by_name.get(&(object.table, object.key.as_str())) {
            Some((old, text)) if old.text == object.text => push_block(&mut out, text),
            Some((_, text)) => push_block(&mut out, &(comments(text).to_owned() + &object.text)),
            None => push_block(&mut out, &object.text),
        }
    }
    Some(out)
}

/// Returns each object with its block, in the order of the text.
fn pair<'a>(objects: Vec<Object>, blocks: &[Block<'a>]) -> Option<Vec<(Object, &'a str)>> {
    if objects.len() != blocks.len() {
        return None;
    }
    let mut tables: HashMap<&str, VecDeque<Object>> = HashMap::new();
    for object in objects {
        tables.entry(object.table).or_default().push_back(object);
    }
    blocks
        .iter()
        .map(|block| {
            let object = tables.get_mut(block.table)?.pop_front()?;
            Some((object, block.text))
        })
        .collect()
}

/// Returns the new objects in the layout of the old text: those of one table
/// keep their own order and take the places that the table had.
fn in_layout<'a>(old: &[(Object, &str)], new: &'a [Object]) -> Vec<&'a Object> {
    let mut left: HashMap<&str, VecDeque<&Object>> = HashMap::new();
    for object in new {
        left.entry(object.table).or_default().push_back(object);
    }
    let mut places: HashMap<&str, usize> = HashMap::new();
    for (object, _) in old {
        *places.entry(object.table).or_default() += 1;
    }
    let mut order = Vec::new();
    for (object, _) in old {
        let Some(waiting) = left.get_mut(object.table) else {
            continue;
        };
        let places = places.entry(object.table).or_default();
        *places = places.saturating_sub(1);
        let take = match *places {
            0 => waiting.len(),
            _ => waiting.len().min(1),
        };
        order.extend(waiting.drain(..take));
    }
    let unplaced = |object: &&Object| !places.contains_key(object.table);
    order.extend(new.iter().filter(unplaced));
    order
}

fn push_block(out: &mut String, block: &str) {
    if !out.is_empty() && !out.ends_with('\n') {
        out.push('\n');
    }
    if !out.is_empty() && !out.ends_with("\n\n") {
        out.push('\n');
    }
    out.push_str(block.trim_end());
    out.push('\n');
}

/// Returns the comment lines at the top of a block.
fn comments(block: &str) -> &str {
    let end = block.find("[[").unwrap_or(0);
    &block[..end]
}

struct Block<'a> {
    table: &'a str,
    text: &'a str,
}

/// Cuts a text into what stands before the first object, and the objects.
fn cut(text: &str) -> Option<(&str, Vec<Block<'_>>)> {
    let mut starts: Vec<(usize, &str)> = Vec::new();
    let mut offset = 0;
    let mut comment_start = None;
    for line in text.split_inclusive('\n') {
        let trimmed = line.trim();
        if trimmed.starts_with("[[") {
            let table = trimmed.strip_prefix("[[")?.split_once("]]")?.0.trim();
            starts.push((comment_start.unwrap_or(offset), table));
        }
        comment_start = match trimmed.starts_with('#') {
            true => comment_start.or(Some(offset)),
            false => None,
        };
        offset += line.len();
    }
    let head = starts.first().map_or(text.len(), |(start, _)| *start);
    let ends = starts.iter().skip(1).map(|(start, _)| *start);
    let blocks = starts
        .iter()
        .zip(ends.chain([text.len()]))
        .map(|(&(start, table), end)| Block {
            table,
            text: &text[start..end],
        })
        .collect();
    Some((&text[..head], blocks))
}

fn objects(declaration: &Declaration) -> Vec<Object> {
    let mut all = Vec::new();
    macro_rules! add_table {
        ($table:literal, $field:ident, $type:ty, $ordered:literal) => {
            all.extend(declaration.$field.iter().map(|one| Object {
                table: $table,
                key: one.key(),
                text: object_text($table, one),
            }));
        };
    }
    for_each_table!(add_table);
    all
}

/// Returns one object as TOML.
fn object_text(table: &str, object: &impl Serialize) -> String {
    let one = BTreeMap::from([(table, [object])]);
    toml::to_string(&one).unwrap_or_default()
}
