//! What a change alters: objects, and the routing of a sample of requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Declaration;
use super::Kind;
use super::Route;
use super::Target;
use super::Workspace;
use super::tables::for_each_table;
use crate::fleet::Fleet;
use crate::fleet::Listing;
use crate::job::LengthClass;

/// Greatest number of requests in a sample.
const MAX_SAMPLE: usize = 5000;

/// What happened to an object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// These fields changed.
    Changed(Vec<FieldEdit>),
}

/// A field's old and new value; none: absent or default.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FieldEdit {
    /// The field's path.
    pub field: String,
    /// Old value.
    pub from: Option<String>,
    /// New value.
    pub to: Option<String>,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectEdit {
    /// Its table.
    pub table: String,
    /// Its name.
    pub name: String,
    /// What happened.
    pub edit: Edit,
}

/// A request that goes elsewhere.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingEdit {
    /// The request: kind, workspace, model and length.
    pub request: String,
    /// Where it went: the route and the backend servers, best first.
    pub from: String,
    /// Where it goes.
    pub to: String,
}

/// All that a change alters.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Diff {
    /// Objects.
    pub objects: Vec<ObjectEdit>,
    /// Requests of the sample that go elsewhere.
    pub routing: Vec<RoutingEdit>,
    /// Requests in the sample.
    pub sample: usize,
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for object in &self.objects {
            let (sign, fields) = match &object.edit {
                Edit::Added => ("+", [].as_slice()),
                Edit::Removed => ("-", [].as_slice()),
                Edit::Changed(fields) => ("~", fields.as_slice()),
            };
            writeln!(f, "{sign} [[{}]] {}", object.table, object.name)?;
            for field in fields {
                let from = field.from.as_deref().unwrap_or("(none)");
                let to = field.to.as_deref().unwrap_or("(none)");
                writeln!(f, "    {}: {from} -> {to}", field.field)?;
            }
        }
        let (routing, sample) = (self.routing.len(), self.sample);
        writeln!(
            f,
            "routing: {routing} of {sample} sampled requests go elsewhere"
        )?;
        for edit in &self.routing {
            writeln!(
                f,
                "  {}\n    from {}\n    to   {}",
                edit.request, edit.from, edit.to
            )?;
        }
        Ok(())
    }
}

/// Returns what changes from one declaration to another, on a fleet as listed,
/// for an instance in the failure domain `local`.
#[must_use]
pub fn diff(from: &Declaration, to: &Declaration, listings: &[Listing], local: &str) -> Diff {
    let sample = sample(from, to, listings);
    let old = View::new(from, listings, local);
    let new = View::new(to, listings, local);
    let routing = sample
        .iter()
        .filter_map(|request| {
            let (from, to) = (old.place(request), new.place(request));
            (from != to).then(|| RoutingEdit {
                request: request.to_string(),
                from,
                to,
            })
        })
        .collect();
    Diff {
        objects: object_edits(from, to),
        routing,
        sample: sample.len(),
    }
}

/// Returns the objects that changed.
#[must_use]
pub fn object_edits(from: &Declaration, to: &Declaration) -> Vec<ObjectEdit> {
    let mut edits = Vec::new();
    macro_rules! compare_table {
        ($table:literal, $field:ident, $type:ty, $ordered:literal) => {
            let keyed = |one: &$type| (one.key(), fields(one));
            let from: Vec<_> = from.$field.iter().map(keyed).collect();
            let to: Vec<_> = to.$field.iter().map(keyed).collect();
            table_edits($table, &from, &to, &mut edits);
            if $ordered {
                edits.extend(order_edit($table, &from, &to));
            }
        };
    }
    for_each_table!(compare_table);
    edits
}

type Fields = BTreeMap<String, String>;

fn table_edits(
    table: &str,
    from: &[(String, Fields)],
    to: &[(String, Fields)],
    edits: &mut Vec<ObjectEdit>,
) {
    let mut push = |name: &str, edit: Edit| {
        edits.push(ObjectEdit {
            table: table.to_owned(),
            name: name.to_owned(),
            edit,
        });
    };
    for (name, old) in from {
        match to.iter().find(|(key, _)| key == name) {
            None => push(name, Edit::Removed),
            Some((_, new)) if new != old => push(name, Edit::Changed(field_edits(old, new))),
            Some(_) => {}
        }
    }
    for (name, _) in to {
        if !from.iter().any(|(key, _)| key == name) {
            push(name, Edit::Added);
        }
    }
}

/// Returns the change of the order of the objects that both sides have.
fn order_edit(
    table: &str,
    from: &[(String, Fields)],
    to: &[(String, Fields)],
) -> Option<ObjectEdit> {
    let common = |a: &[(String, Fields)], b: &[(String, Fields)]| -> Vec<String> {
        let known = |name: &String| b.iter().any(|(key, _)| key == name);
        let names = a.iter().map(|(name, _)| name.clone());
        names.filter(known).collect()
    };
    let (old, new) = (common(from, to), common(to, from));
    if old == new {
        return None;
    }
    let edit = FieldEdit {
        field: "order".to_owned(),
        from: Some(old.join("; ")),
        to: Some(new.join("; ")),
    };
    Some(ObjectEdit {
        table: table.to_owned(),
        name: String::new(),
        edit: Edit::Changed(vec![edit]),
    })
}

fn field_edits(old: &Fields, new: &Fields) -> Vec<FieldEdit> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| FieldEdit {
            field: name.clone(),
            from: old.get(name).cloned(),
            to: new.get(name).cloned(),
        })
        .collect()
}

/// Returns an object's fields by path, tokens left out.
fn fields(object: &impl Serialize) -> Fields {
    let mut fields = Fields::new();
    if let Ok(value) = serde_json::to_value(object) {
        collect("", &value, &mut fields);
    }
    fields
}

fn collect(path: &str, value: &serde_json::Value, fields: &mut Fields) {
    let Some(object) = value.as_object() else {
        fields.insert(path.to_owned(), value.to_string());
        return;
    };
    for (key, value) in object {
        let path = match path {
            "" => key.clone(),
            path => format!("{path}.{key}"),
        };
        collect(&path, value, fields);
    }
}

/// A request of the sample.
struct Sampled {
    kind: String,
    workspace: String,
    model: String,
    length: LengthClass,
}

impl fmt::Display for Sampled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let length = self.length.as_str();
        write!(
            f,
            "kind={} workspace={} model={} length={length}",
            self.kind, self.workspace, self.model
        )
    }
}

/// Returns one request for each kind, workspace, model and length class; of
/// workspaces with the same labels that no route names, one.
fn sample(from: &Declaration, to: &Declaration, listings: &[Listing]) -> Vec<Sampled> {
    let mut kinds: BTreeMap<&str, &Kind> = BTreeMap::new();
    let mut workspaces: BTreeMap<String, &Workspace> = BTreeMap::new();
    for declaration in [from, to] {
        kinds.extend(
            declaration
                .kinds
                .iter()
                .map(|kind| (kind.name.as_str(), kind)),
        );
        let one_each = declaration.workspaces.iter();
        workspaces.extend(one_each.map(|one| (workspace_class(one, from, to), one)));
    }
    let models = models(listings);
    let mut sample = Vec::new();
    for kind in kinds.values() {
        for workspace in workspaces.values() {
            for (model, length) in cases(kind, &models) {
                sample.push(Sampled {
                    kind: kind.name.clone(),
                    workspace: workspace.name.clone(),
                    model,
                    length,
                });
            }
        }
    }
    sample.truncate(MAX_SAMPLE);
    sample
}

fn workspace_class(workspace: &Workspace, from: &Declaration, to: &Declaration) -> String {
    let routes = from.routes.iter().chain(&to.routes);
    let named = routes
        .flat_map(|route| route.matches.compared())
        .any(|(key, values)| key == "workspace" && values.contains(&workspace.name));
    let name = if named { workspace.name.as_str() } else { "" };
    format!("{name} {:?}", workspace.labels)
}

fn models(listings: &[Listing]) -> Vec<String> {
    let mut models: BTreeSet<String> = BTreeSet::new();
    for listing in listings {
        let offered = listing.labels.get("model").map_or("", String::as_str);
        let names = offered.split(',').map(str::trim);
        models.extend(names.filter(|name| !name.is_empty()).map(str::to_owned));
    }
    if models.is_empty() {
        models.insert("any".to_owned());
    }
    models.into_iter().collect()
}

fn cases(kind: &Kind, models: &[String]) -> Vec<(String, LengthClass)> {
    if kind.target == Target::Service {
        return vec![(kind.service.clone(), LengthClass::Short)];
    }
    let lengths = [LengthClass::Short, LengthClass::Long, LengthClass::Huge];
    models
        .iter()
        .flat_map(|model| lengths.map(|length| (model.clone(), length)))
        .collect()
}

/// A declaration over a listed fleet.
struct View {
    fleet: Fleet,
    local: String,
}

impl View {
    fn new(declaration: &Declaration, listings: &[Listing], local: &str) -> View {
        let mut fleet = Fleet::default();
        fleet.apply_declaration(declaration);
        fleet.apply_listings(listings.to_vec());
        fleet.domain_or_insert(local);
        View {
            fleet,
            local: local.to_owned(),
        }
    }

    /// Returns the route and the backend servers for a request, as text.
    fn place(&self, request: &Sampled) -> String {
        let Some(route) = self.route(request) else {
            return "no route".to_owned();
        };
        let backends = self.backends(route, request);
        if backends.is_empty() {
            return format!("route {}, no backend server", route.name);
        }
        format!("route {}: {}", route.name, backends.join(" > "))
    }

    fn route(&self, request: &Sampled) -> Option<&Route> {
        let declaration = self.fleet.declaration();
        let kind = declaration
            .kinds
            .iter()
            .find(|kind| kind.name == request.kind)?;
        let workspace = declaration
            .workspaces
            .iter()
            .find(|workspace| workspace.name == request.workspace)?;
        declaration.routes.iter().find(|route| {
            route.matches.matches(|label| match label {
                "kind" => Some(&kind.name),
                "workspace" => Some(&workspace.name),
                "model" => Some(&request.model),
                "length" => Some(request.length.as_str()),
                _ => kind
                    .labels
                    .get(label)
                    .or_else(|| workspace.labels.get(label))
                    .map(String::as_str),
            })
        })
    }

    /// Returns the names of the backend servers, one word for each preference.
    fn backends(&self, route: &Route, request: &Sampled) -> Vec<String> {
        let Some(local) = self.fleet.domain_key(&self.local) else {
            return Vec::new();
        };
        let mut taken: BTreeSet<&str> = BTreeSet::new();
        let mut steps = Vec::new();
        for selector in &route.prefer {
            let mut names = Vec::new();
            for (key, backend) in self.fleet.backends() {
                let label = match backend.target {
                    Target::Engine => "model",
                    Target::Service => "service",
                };
                let offered = backend.labels.get(label).map_or("", String::as_str);
                let fits = offered.split(',').any(|name| name.trim() == request.model)
                    && self.fleet.in_service(key)
                    && selector.matches(|label| self.fleet.backend_label(key, local, label));
                if fits && taken.insert(&backend.name) {
                    names.push(backend.name.as_str());
                }
            }
            names.sort_unstable();
            if !names.is_empty() {
                steps.push(names.join(" "));
            }
        }
        steps
    }
}
