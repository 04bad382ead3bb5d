//! Configuration files of the gateways.

use super::run::SoakRun;
use super::{COLLAPSE_AFTER_MS, COLLAPSE_MULTIPLE, CORES, KEY_WINDOW_MS, SLOW_START_FROM, SLOW_START_MS};
use starlingplank_test_doubles::name_service::EndpointEntry;

impl SoakRun {
    /// Writes the configuration of a gateway. The file is replaced atomically, as the gateway may read it for a reload at any time.
    pub(super) fn write_configuration(&self, gateway: usize) -> std::io::Result<()> {
        let folder = self.context.gateway_folder(gateway);
        std::fs::create_dir_all(&folder)?;
        let new = folder.join("config.new");
        std::fs::write(&new, self.configuration(gateway))?;
        std::fs::rename(new, folder.join("config.json"))
    }

    fn configuration(&self, gateway: usize) -> String {
        let member = |engine: &EndpointEntry| {
            let phase = if engine.is_draining { "draining" } else { "ready" };
            format!(
                r#"{{"id":"{}","host_port":"{}","locality":"a","flavor":"std","cell":0,"phase":"{phase}","size":1,"up_since_ms":{:.0}}}"#,
                engine.id, engine.address, engine.started
            )
        };
        let view = &self.discovery.views[gateway];
        let members: Vec<_> = self.discovery.engines.borrow().iter().map(member).collect();
        format!(
            r#"{{"name":"g{gateway}","listen":"{}","operator":"127.0.0.1:0","seed":"{:x}","names":"{}",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},
            "known":{{"cursor":{serial},"cmds":[{{"cursor":{serial},"nodes":{{"revision":1,"complete":true,"members":[{}]}}}}]}},
            "settings":{{"balancers":{},"rank":{gateway},"zones":["a"],"locality":"a","skus":["std"],"tick":1.0,
             "classes":[
              {{"name":"lookup","on_time":1200,"give_up":4000,"idempotency":"idempotent","worth":1}},
              {{"name":"load","on_time":1200,"give_up":4000,"idempotency":"deduplicated","dedup_scope":"all","window":{KEY_WINDOW_MS},"worth":1}},
              {{"name":"order","on_time":1200,"give_up":4000,"idempotency":"at_most_once","worth":1}}],
             "specifics":{{"cpu_of_kind":[{CORES}],"memory_by_kind_mb":[8192],"width_by_class":[1,1,1],
              "is_load":[false,false,false],"class_waits":[false,false,false],"grants_count":false,"takes_priority":false,"most_grant":0.4}},
             "reporting":{{"how":"answers","columns":["load_share"]}},
             "limits":{{"send_cap":3,"cancelling":true,"probes":true,"retry_after":true,"max_retry_after":400,"connect_timeout":250,"idle_close":4000}},
             "rules":{{"answer_slack":20,"drain_grace":2000,"extra_free":2,"extra_per_request":0.2,"ratio_span":10000,
              "cold_from":{SLOW_START_FROM},"warm_within":{SLOW_START_MS},"fall_multiple":{COLLAPSE_MULTIPLE},"tip_after":{COLLAPSE_AFTER_MS}}}}}}}"#,
            self.context.addresses[gateway],
            self.seed ^ gateway as u64,
            view.addresses[view.configured_index.get()],
            members.join(","),
            self.processes.len(),
            serial = self.discovery.version.get(),
        )
    }
}
