//! The tables of a document and what names their objects.

use super::Domain;
use super::Kind;
use super::LimitRule;
use super::Overlay;
use super::Route;
use super::Workspace;

/// Calls a macro for each table with its name, its field, its type and whether
/// the order of its objects counts.
macro_rules! for_each_table {
    ($each:ident) => {
        $each!("domain", domains, $crate::declaration::Domain, false);
        $each!("backend", backends, $crate::declaration::Overlay, false);
        $each!("limit", limits, $crate::declaration::LimitRule, true);
        $each!("kind", kinds, $crate::declaration::Kind, false);
        $each!("route", routes, $crate::declaration::Route, true);
        $each!(
            "workspace",
            workspaces,
            $crate::declaration::Workspace,
            false
        );
    };
}

pub(super) use for_each_table;

macro_rules! named {
    ($($type:ident),*) => {
        $(impl $type {
            /// Returns what names the object in its table.
            pub(super) fn key(&self) -> String {
                self.name.clone()
            }
        })*
    };
}

named!(Domain, Overlay, Kind, Route, Workspace);

impl LimitRule {
    /// Returns what names the object in its table: its selector.
    pub(super) fn key(&self) -> String {
        self.matches.to_string()
    }
}
