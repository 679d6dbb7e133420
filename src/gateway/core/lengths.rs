//! Likely length of a prompt's output, and what is learned of it.

use super::Core;
use super::requests::ActiveAttempt;
use super::requests::Request;
use crate::gateway::message::PromptShape;
use crate::gateway::message::Ticket;
use crate::gateway::route::EngineSpec;
use crate::gateway::settings::OutputLengthSource;

impl Core {
    /// Returns the output tokens that a prompt is likely to have.
    pub(super) fn likely_output_tokens(
        &self,
        request: &Request,
        engine: Option<EngineSpec>,
        shape: PromptShape,
    ) -> f64 {
        let expected = expected_output_tokens(engine, shape);
        match self.bounds.output_lengths {
            OutputLengthSource::Caller => expected as f64,
            OutputLengthSource::Learned => {
                let likely = self.output_lengths.predict(&request.route.name, expected);
                likely.min(shape.max_output_tokens as f64)
            }
        }
    }

    /// Records the output length of a whole answer, unless a part of it came
    /// from another attempt.
    pub(super) fn record_output_length(&mut self, ticket: Ticket, attempt: &ActiveAttempt) {
        let engine = self
            .fleet_load
            .engine(attempt.server)
            .map(|load| *load.spec());
        let (Some(request), Some(engine)) = (self.requests.get(&ticket), engine) else {
            return;
        };
        let Some(shape) = request.submission.head.prompt else {
            return;
        };
        let is_only_attempt = attempt.number.0 == 0 && request.submission.head.last_event.is_none();
        if self.bounds.output_lengths == OutputLengthSource::Learned && is_only_attempt {
            let expected = expected_output_tokens(Some(engine), shape);
            let actual = attempt.events * u64::from(engine.steps_per_pass);
            let route = request.route.name.as_str();
            self.output_lengths.record(route, expected, actual);
        }
    }
}

/// Returns the output tokens that the caller expects, or else the engine's mean.
fn expected_output_tokens(engine: Option<EngineSpec>, shape: PromptShape) -> u64 {
    let mean = engine.map_or(0, |engine| engine.mean_output_tokens);
    let expected = shape.expected_output_tokens.unwrap_or(mean);
    expected.min(shape.max_output_tokens)
}
