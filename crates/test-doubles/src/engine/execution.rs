//! Executes the commands that an engine receives.

use super::command::{encode_failed, encode_healthy, encode_served, Command};
use super::{ArrivalKind, Connection, Engine, Execution, State};
use crate::capacity_model::QueryWork;
use crate::lock;
use rand::Rng;

/// Work of a statement that doesn't specify any, in milliseconds on one core. It is also the reported cost of an answer that is
/// sent without an execution.
const DEFAULT_WORK: f64 = 1.0;
const DEFAULT_THREADS: f64 = 1.0;
const MIN_THREADS: f64 = 0.1;

/// The attempt that a command requests.
struct Attempt<'a> {
    request: &'a str,
    key: Option<&'a str>,
    work: QueryWork,
}

impl Engine {
    /// Handles a command. Returns its answer if that is available immediately.
    pub(super) fn handle(&self, command: &Command, connection: &Connection) -> Option<Vec<u8>> {
        let mut state = lock(&self.state);
        match command {
            Command::HealthCheck(tag) => {
                self.record(&mut state, ArrivalKind::HealthCheck);
                Some(encode_healthy(self.protocol, tag, &state.model.load_report()))
            }
            Command::Cancel(request) => {
                self.cancel(&mut state, request);
                None
            }
            Command::Other => None,
            Command::Query { request, key, statement } => {
                let work = parse_work(statement);
                let kind = ArrivalKind::Attempt { request: request.clone(), usual_work: work.usual };
                self.record(&mut state, kind);
                self.execute(&mut state, &Attempt { request, key: key.as_deref(), work }, connection)
            }
        }
    }

    fn cancel(&self, state: &mut State, request: &str) {
        let mut executions = state.executions.iter();
        let Some((id, _)) = executions.find(|(_, execution)| execution.request == request) else { return };
        let id = *id;
        state.model.cancel(id);
        self.drop_executions(state, |execution| execution.request == request);
    }

    /// Starts to execute a statement. Returns the answer if there is nothing to execute: to duplicates, to injected errors, and
    /// from engines that answer immediately.
    fn execute(&self, state: &mut State, attempt: &Attempt<'_>, connection: &Connection) -> Option<Vec<u8>> {
        let now = self.fleet.now();
        self.fleet.begin_attempt(attempt.request, now);
        let is_duplicate = attempt.key.is_some_and(|key| self.fleet.is_duplicate(key, now));
        let error_share = state.model.spec.error_share;
        let is_failed = state.rng.random_bool(error_share);
        if is_duplicate || is_failed || state.model.spec.answers_immediately {
            self.fleet.end_attempt(attempt.request, now);
            let load = state.model.load_report();
            return Some(match is_failed && !is_duplicate {
                true => encode_failed(self.protocol, attempt.request, &load),
                false => encode_served(self.protocol, attempt.request, DEFAULT_WORK, &load),
            });
        }
        let id = state.next_id();
        let execution = Execution {
            request: attempt.request.to_owned(),
            work: attempt.work.work,
            connection: connection.id,
            answers: connection.answers.clone(),
        };
        state.executions.insert(id, execution);
        state.model.start(id, attempt.work, now);
        None
    }
}

/// Parses the work that a statement specifies, as in `work=250 usual=300 threads=2`.
fn parse_work(statement: &str) -> QueryWork {
    let work = number_after(statement, "work=", DEFAULT_WORK);
    let usual = number_after(statement, "usual=", work);
    let threads = number_after(statement, "threads=", DEFAULT_THREADS).max(MIN_THREADS);
    QueryWork { work, usual, threads }
}

/// Returns the number after the first occurrence of a name, or the default if there is none.
fn number_after(statement: &str, name: &str, default: f64) -> f64 {
    let Some((_, rest)) = statement.split_once(name) else { return default };
    let end = rest.find(|char: char| !char.is_ascii_digit() && char != '.').unwrap_or(rest.len());
    rest[..end].parse().unwrap_or(default)
}
