//! Configurations of gateways under test, in the platform's format.

use std::net::SocketAddr;

const SETTINGS: &str = r#"{"balancers":1,"zones":["a"],"locality":"a","skus":["std"],"tick":1.0,
 "classes":[
  {"name":"lookup","on_time":500,"give_up":GIVE_UP,"idempotency":"idempotent","worth":1},
  {"name":"load","on_time":900,"give_up":GIVE_UP,"idempotency":"deduplicated","dedup_scope":"all","window":12000}],
 "specifics":{"cpu_of_kind":[8],"memory_by_kind_mb":[8192],"width_by_class":[1,2],"is_load":[false,true],
  "class_waits":[true,false],"grants_count":true,"takes_priority":true,"most_grant":0.4},
 "limits":{"send_cap":3,"cancelling":true,"retry_after":true,"max_retry_after":1000,"connect_timeout":250},
 "rules":{"answer_slack":20,"drain_grace":2000,"extra_free":2,"extra_per_request":0.2,"ratio_span":10000}}"#;

/// Returns the configuration of a gateway with the given engines and engine protocol. Both classes have the given client timeout,
/// in milliseconds.
pub(crate) fn config(engines: &[SocketAddr], engine_protocol: &str, client_timeout: u32) -> String {
    let engine_json = |(i, at): (usize, &SocketAddr)| {
        format!(
            r#"{{"id":"s-{i}","host_port":"{at}","locality":"a","flavor":"std","cell":0,"phase":"ready","size":1,"up_since_ms":0}}"#
        )
    };
    let members: Vec<_> = engines.iter().enumerate().map(engine_json).collect();
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"7","engines":"{engine_protocol}",
         "clickhouse":{{"listen":"127.0.0.1:0","rules":[{{"class":"load","verbs":["insert"]}},{{"class":"lookup"}}]}},
         "limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},
         "known":{{"cursor":1,"cmds":[{{"cursor":1,"nodes":{{"revision":1,"complete":true,"members":[{}]}}}}]}},
         "settings":{}}}"#,
        members.join(","),
        SETTINGS.replace("GIVE_UP", &client_timeout.to_string())
    )
}

/// Replaces the first occurrence of `from` in a text, and fails if there is none.
pub(crate) fn with_replacement(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "the text does not contain {from}");
    text.replacen(from, to, 1)
}

/// Makes requests of the class `load` non-idempotent: each may run at most once.
pub(crate) fn with_non_idempotent_loads(config: &str) -> String {
    let keyed = r#""idempotency":"deduplicated","dedup_scope":"all","window":12000"#;
    with_replacement(config, keyed, r#""idempotency":"at_most_once""#)
}

/// Raises the latency objectives to 60 s, so that no request is late before its own timeout and attempts end only by events
/// that the test causes.
pub(crate) fn with_long_latency_objectives(config: &str) -> String {
    let text = with_replacement(config, r#""on_time":500"#, r#""on_time":60000"#);
    with_replacement(&text, r#""on_time":900"#, r#""on_time":60000"#)
}

/// Removes the retry budget, and sets the maximum number of attempts per request.
pub(crate) fn without_retry_budget(config: &str, max_attempts: u32) -> String {
    let text = with_replacement(config, r#","extra_free":2,"extra_per_request":0.2,"ratio_span":10000"#, "");
    with_replacement(&text, r#""send_cap":3"#, &format!(r#""send_cap":{max_attempts}"#))
}
