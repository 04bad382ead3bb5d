//! Routing of HTTP requests: health checks and errors are answered directly, queries are submitted to the reducer.

use super::request::Request;
use super::response::{Exception, QueryResponse, Session};
use crate::core::{FlowControl, Statement};
use crate::interface::{Class, Idempotency, Milliseconds, RequestId};
use crate::net::front::rules::ClassRules;
use crate::net::front::{FrontendState, ReceivedRequest};
use sha2::{Digest, Sha256};
use starlingplank_persistence::sent_requests::{self, Key};
use std::cell::Cell;
use std::rc::Rc;

/// Maximum length of a query id, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Prefix of the names of parameters whose values are inserted into the query.
const QUERY_PARAM_PREFIX: &str = "param_";
/// Length of the digest prefix that is used as an idempotency key, in bytes.
const DERIVED_KEY_BYTES: usize = 16;

/// Submits the query of a request, or answers the request directly. Returns the id of a submitted query.
pub(super) async fn handle(
    mut request: Request,
    session: &Rc<Session>,
    frontend: &Rc<FrontendState>,
    rules: &ClassRules,
) -> Option<RequestId> {
    let query = request.take_param("query");
    let is_empty = query.is_none() && request.body.is_empty();
    match (request.method.as_str(), request.path.as_str()) {
        ("HEAD", "/ping" | "/") => session.send_text(200, ""),
        ("GET", "/ping") => answer_ping(session, frontend),
        ("GET", "/") if is_empty => session.send_text(200, "Ok.\n"),
        ("GET" | "POST", "/") if !is_empty => {
            return submit(request, query, session, frontend, rules).await;
        }
        ("POST", "/") => session.send_exception(Exception::BAD_REQUEST, "Empty query", &[]),
        ("GET" | "POST", _) => session.send_exception(Exception::NOT_FOUND, "There is no such path", &[]),
        _ => session.send_exception(Exception::BAD_METHOD, "The method is not served", &[]),
    }
    None
}

/// Answers the health check of a load balancer. It fails during a shutdown and until the first endpoint list is received,
/// so that the load balancer chooses other gateways.
fn answer_ping(session: &Session, frontend: &FrontendState) {
    if frontend.shutdown_phase().reports_unhealthy() {
        session.send_text(503, "Ending.\n");
    } else if frontend.awaits_endpoint_list.get() {
        session.send_text(503, "Starting: the list of engines is awaited.\n");
    } else {
        session.send_text(200, "Ok.\n");
    }
}

/// Submits a query to the reducer. If the target has the parameter `query`, the body is its data; otherwise the body is
/// the query.
async fn submit(
    mut request: Request,
    query: Option<String>,
    session: &Rc<Session>,
    frontend: &Rc<FrontendState>,
    rules: &ClassRules,
) -> Option<RequestId> {
    let arrived_at = frontend.arrival_time(&session.connection);
    let body = std::mem::take(&mut request.body);
    let (text, data) = match query {
        Some(query) => (query.into_bytes(), body),
        None => (body, Vec::new()),
    };
    let class_id = rules.class(&text, request.param("user"));
    let class = &frontend.settings.classes[class_id.0];
    let max_wait = take_max_wait(&mut request, class);
    let key = take_key(&mut request, class, &text, &data);
    let id = frontend.allocate_request_id();
    let query_id = request.take_param("query_id");
    let identity = query_id.as_ref().and_then(|query_id| identity_of(class, query_id, &text, &data));
    let name = query_id.unwrap_or_else(|| format!("{:016x}", fastrand::u64(..)));
    if !is_valid_name(&name) {
        session.send_exception(Exception::BAD_REQUEST, "The query id cannot be used", &[]);
        return None;
    }
    if frontend.open_request_named(&name).is_some() {
        session.send_exception(Exception::DUPLICATE_QUERY_ID, "A query with this id is already running", &[]);
        return None;
    }
    make_get_read_only(&mut request);
    let statement = Statement {
        name: frontend.engine_name(&name, id),
        class: class.name.clone(),
        text,
        key,
        identity,
        data,
        params: request.params,
        flow: request.may_stream.then(|| -> Rc<dyn FlowControl> { session.connection.write_queue.clone() }),
        reading: Some(session.connection.progress.clone()),
        abandoned: Cell::default(),
    };
    let received = ReceivedRequest {
        name: name.clone(),
        class: class_id,
        tenant: None,
        arrived_at,
        max_wait,
        work: None,
        memory_mb: None,
        // The interface has no field that marks a client's retry.
        is_retry: false,
        statement,
    };
    session.connection.request_opened();
    let response = QueryResponse { session: session.clone(), name, class: class_id };
    frontend.submit(id, Box::new(response), received).await;
    Some(id)
}

/// Takes the time for which the client waits: `max_execution_time` in seconds, limited to the client timeout of the class.
fn take_max_wait(request: &mut Request, class: &Class) -> Milliseconds {
    let seconds = request.param("max_execution_time").parse::<f64>().ok().filter(|seconds| *seconds > 0.0);
    request.take_param("max_execution_time");
    seconds.map_or(class.client_timeout, |seconds| (seconds * 1000.0).min(class.client_timeout))
}

/// Takes the idempotency key if the class requires one: the client's token, or a key derived from the query and its data.
fn take_key(request: &mut Request, class: &Class, text: &[u8], data: &[u8]) -> Option<String> {
    let token = request.take_param("insert_deduplication_token");
    if !matches!(class.idempotency, Idempotency::Keyed { .. }) {
        return None;
    }
    Some(token.unwrap_or_else(|| derived_key(request, text, data)))
}

/// Returns the identity of a query that must not run twice: clients may use a query id again for another statement.
fn identity_of(class: &Class, query_id: &str, text: &[u8], data: &[u8]) -> Option<Key> {
    (class.idempotency == Idempotency::NotIdempotent)
        .then(|| sent_requests::identity(&[query_id.as_bytes(), text, data]))
}

/// Returns whether a name can be used in a header and in a field of an engine's command, in which `,` and `=` are
/// separators.
fn is_valid_name(name: &str) -> bool {
    let ends_field = |character: char| character.is_control() || character == ',' || character == '=';
    name.len() <= MAX_NAME_BYTES && !name.contains(ends_field)
}

/// Makes a query that is sent by GET read-only, as ClickHouse does.
fn make_get_read_only(request: &mut Request) {
    if request.method == "GET" && !matches!(request.param("readonly"), "1" | "2") {
        request.take_param("readonly");
        request.params.push(("readonly".into(), "2".into()));
    }
}

/// Derives an idempotency key from a query, its data, its database and the values of its query parameters, so that all gateways
/// assign it the same key.
fn derived_key(request: &Request, text: &[u8], data: &[u8]) -> String {
    let is_query_param = |(name, _): &&(String, String)| name.starts_with(QUERY_PARAM_PREFIX);
    let mut query_params: Vec<_> = request.params.iter().filter(is_query_param).collect();
    query_params.sort();
    let query_params = query_params.into_iter().flat_map(|(name, value)| [name.as_bytes(), value.as_bytes()]);
    let mut hash = Sha256::new();
    for part in [request.param("database").as_bytes(), text, data].into_iter().chain(query_params) {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().iter().take(DERIVED_KEY_BYTES).map(|byte| format!("{byte:02x}")).collect()
}
