//! Reads a set's INI file.

use std::fmt;
use std::path::Path;

use ini::Ini;
use ini::Properties;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

use crate::serve::SetConfig;
use crate::store::StoreConfig;

/// Keys whose values are lists.
const LISTS: [&str; 3] = ["models", "services", "entries"];

/// What is wrong with an INI file.
#[derive(Debug)]
pub struct SetError(String);

impl fmt::Display for SetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SetError {}

/// Reads the file at `path`.
pub fn read(path: &Path) -> Result<SetConfig, SetError> {
    let fail = |error: &dyn fmt::Display| SetError(format!("{}: {error}", path.display()));
    let file = Ini::load_from_file(path).map_err(|error| fail(&error))?;
    parse(&file).map_err(|error| fail(&error))
}

pub(super) fn parse(file: &Ini) -> Result<SetConfig, SetError> {
    let mut cfg = SetConfig::default();
    for (section, properties) in file.iter() {
        let Some(section) = section else {
            continue;
        };
        let (sort, name) = section.split_once(' ').unwrap_or((section, ""));
        match sort {
            "store" => cfg.store = typed::<StoreConfig>(section, "", properties)?,
            "list" => cfg.list = typed(section, "", properties)?,
            "engine" => cfg.engines.push(typed(section, name, properties)?),
            "service" => cfg.services.push(typed(section, name, properties)?),
            "entry" => cfg.entries.push(typed(section, name, properties)?),
            _ => {
                return Err(SetError(format!(
                    "[{section}]: unknown; known are store, list, engine NAME, service NAME, entry NAME"
                )));
            }
        }
    }
    Ok(cfg)
}

/// Reads a section's properties into a settings type.
///
/// # Errors
///
/// Returns an error that names the section and what is wrong with it.
pub fn typed<T: DeserializeOwned>(
    section: &str,
    name: &str,
    properties: &Properties,
) -> Result<T, SetError> {
    let mut fields = Map::new();
    if !name.is_empty() {
        fields.insert("name".to_owned(), Value::from(name));
    }
    for (key, text) in properties {
        insert(&mut fields, key, value(key, text));
    }
    serde_json::from_value(Value::Object(fields))
        .map_err(|error| SetError(format!("[{section}]: {error}")))
}

/// Inserts a value; `a.b` puts it into the object `a`.
fn insert(fields: &mut Map<String, Value>, key: &str, value: Value) {
    let Some((outer, inner)) = key.split_once('.') else {
        fields.insert(key.to_owned(), value);
        return;
    };
    let object = fields
        .entry(outer)
        .or_insert_with(|| Value::Object(Map::new()));
    if let Value::Object(object) = object {
        insert(object, inner, value);
    }
}

fn value(key: &str, text: &str) -> Value {
    if LISTS.contains(&key) {
        return text
            .split(',')
            .map(|part| Value::from(part.trim()))
            .collect();
    }
    match serde_json::from_str(text) {
        Ok(value @ (Value::Number(_) | Value::Bool(_))) => value,
        _ => Value::from(text),
    }
}
