//! Commands that show what instances know.

use serde_json::Value;

use super::Cli;
use super::args::Explain;
use super::args::Output;
use super::args::Timeline;
use super::exit::Failure;
use crate::control::AdminQuery;
use crate::control::ExplainRequest;
use crate::id::RequestId;
use crate::routing::Explanation;
use crate::timeline::Event;
use crate::timeline::Subject;
use crate::timeline::merge;

impl Cli<'_> {
    pub(super) fn status(&mut self) -> Result<(), Failure> {
        for admin in self.admins()? {
            let status: Value = admin.ask(&AdminQuery::Status)?;
            match self.output {
                Output::Json => self.json(&status)?,
                Output::Text => self.status_text(&status)?,
            }
        }
        Ok(())
    }

    fn status_text(&mut self, status: &Value) -> Result<(), Failure> {
        let Some(fields) = status.as_object() else {
            return self.line(status);
        };
        for (name, value) in fields {
            let Some(rows) = value.as_array() else {
                self.line(format_args!("{name}: {}", plain(value)))?;
                continue;
            };
            self.line(format_args!("{name}:"))?;
            for row in rows {
                self.line(format_args!("  {}", row_text(row)))?;
            }
        }
        Ok(())
    }

    pub(super) fn timeline(&mut self, args: &Timeline) -> Result<(), Failure> {
        let query = AdminQuery::Timeline {
            filter: Subject {
                request: args.request.as_deref().map(request_id).transpose()?,
                backend: args.backend.clone(),
                domain: args.domain.clone(),
            },
            limit: args.limit,
        };
        let mut events = Vec::new();
        for admin in self.admins()? {
            events.extend(admin.events(&query)?);
        }
        let events = merge(events);
        if self.output == Output::Json {
            return self.json(&events);
        }
        for event in &events {
            self.line(event_text(event))?;
        }
        Ok(())
    }

    pub(super) fn explain(&mut self, args: Explain) -> Result<(), Failure> {
        let query = AdminQuery::Explain(ExplainRequest {
            workspace: args.workspace,
            kind: args.kind,
            model: args.model,
            prompt_tokens: args.prompt_tokens,
            max_tokens: args.max_tokens,
        });
        let explanation: Explanation = self.admin()?.ask(&query)?;
        if self.output == Output::Json {
            return self.json(&explanation);
        }
        let route = explanation.route.as_deref().unwrap_or("none matches");
        self.line(format_args!("route: {route}"))?;
        for backend in &explanation.backends {
            let outcome = serde_json::to_value(&backend.outcome).unwrap_or_default();
            let tier = backend.tier.map_or("-".to_owned(), |tier| tier.to_string());
            self.line(format_args!(
                "{:<16} domain={} condition={:?} preference={tier} {}",
                backend.backend,
                backend.domain,
                backend.condition,
                row_text(&outcome)
            ))?;
        }
        Ok(())
    }
}

fn request_id(text: &str) -> Result<RequestId, Failure> {
    match u64::from_str_radix(text, 16) {
        Ok(number) => Ok(RequestId(number)),
        Err(_) => Err(Failure::usage(format!(
            "--request `{text}`: allowed: up to 16 hexadecimal digits"
        ))),
    }
}

fn event_text(event: &Event) -> String {
    let mut text = format!(
        "{:>8} {:>10} ms {:<12} {:<14}",
        event.stamp,
        event.at.0,
        event.instance,
        event.kind.as_str()
    );
    if let Some(request) = event.request {
        text.push_str(&format!(" request={request}"));
    }
    let names = [("backend", &event.backend), ("domain", &event.domain)];
    for (name, value) in names {
        if let Some(value) = value {
            text.push_str(&format!(" {name}={value}"));
        }
    }
    format!("{text} {}", event.detail).trim_end().to_owned()
}

/// Writes an object's fields on one line.
fn row_text(row: &Value) -> String {
    let Some(fields) = row.as_object() else {
        return plain(row);
    };
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("{name}={}", plain(value)))
        .collect();
    fields.join(" ")
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
