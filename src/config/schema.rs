//! Schema of the operator's file: each key with its form, its range, and the setting to which it is converted. A key that is not in
//! the schema is an error.

/// Form of a value. Bounds are inclusive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Form {
    /// A name without space, comma or control character.
    Word,
    /// A text that is not empty.
    Text,
    /// One of the given words.
    OneOf(&'static [&'static str]),
    /// `true` or `false`.
    Flag,
    /// A whole number between a minimum and a maximum.
    Count(u64, u64),
    /// A number between a minimum and a maximum.
    Number(f64, f64),
    /// A text of a number and `ms`, `s`, `m` or `h`, between a minimum and a maximum in milliseconds.
    Duration(f64, f64),
    /// A text of a number and `KiB`, `MiB` or `GiB`, between a minimum and a maximum in MiB.
    Size(f64, f64),
    /// An IP address with a port.
    Address,
    /// A list of names, each without space, comma or control character.
    Words,
    /// A text of up to 16 hexadecimal digits.
    Hex,
}

/// Schema of a key.
#[derive(Debug)]
pub struct Key {
    /// Name of the key in the operator's file.
    pub name: &'static str,
    /// Path of the setting to which the key is converted, relative to the path of its block.
    pub setting: &'static str,
    /// Form of the value.
    pub form: Form,
    /// Whether the key must be present.
    pub required: bool,
}

/// Schema of a block: the keys and blocks that it may contain.
#[derive(Debug)]
pub struct Block {
    /// Name of the block in the operator's file.
    pub name: &'static str,
    /// Prefix of the paths of the block's settings. For a repeatable block, the number of the block follows.
    pub setting: &'static str,
    /// Setting to which the label of the block is converted, if the block has a label.
    pub label: Option<&'static str>,
    /// Whether the block may occur more than once.
    pub repeatable: bool,
    /// Whether the block is allowed in a file that adds to the platform's configuration.
    pub allowed_with_platform: bool,
    /// Keys of the block.
    pub keys: &'static [Key],
    /// Blocks that the block may contain.
    pub blocks: &'static [Block],
}

const fn required(name: &'static str, setting: &'static str, form: Form) -> Key {
    Key { name, setting, form, required: true }
}

const fn optional(name: &'static str, setting: &'static str, form: Form) -> Key {
    Key { name, setting, form, required: false }
}

/// Number of milliseconds in an hour.
const HOUR: f64 = 3_600_000.0;
/// Number of milliseconds in a day.
const DAY: f64 = 24.0 * HOUR;

/// Keys outside all blocks.
pub const TOP_KEYS: &[Key] = &[
    optional("name", "gateway.name", Form::Word),
    required("listen", "gateway.listen", Form::Address),
    optional("names", "gateway.names", Form::Address),
    optional("operator", "gateway.operator", Form::Address),
    optional("seed", "gateway.seed", Form::Hex),
    required("zones", "zones", Form::Words),
    optional("zone", "locality", Form::Word),
    optional("gateways", "balancers", Form::Count(1, 1_000_000)),
    optional("rank", "rank", Form::Count(0, 1_000_000)),
    optional("tick", "tick", Form::Duration(0.1, 1_000.0)),
    optional("engines_speak", "engines", Form::OneOf(&["resp", "clickhouse"])),
];

/// Keys of [`TOP_KEYS`] that are allowed in a file that adds to the platform's configuration.
pub const TOP_KEYS_ALLOWED_WITH_PLATFORM: &[&str] = &["engines_speak", "operator"];

/// Blocks at the top level of the file.
pub const BLOCKS: &[Block] = &[
    Block {
        name: "machine",
        setting: "machine",
        label: None,
        repeatable: false,
        allowed_with_platform: false,
        keys: &[
            optional("cores", "cores", Form::Number(0.01, 1024.0)),
            optional("memory", "memory_mb", Form::Size(16.0, 1_048_576.0)),
            optional("sockets", "sockets", Form::Count(64, 1_048_576)),
        ],
        blocks: &[],
    },
    Block {
        name: "clickhouse",
        setting: "clickhouse",
        label: None,
        repeatable: false,
        allowed_with_platform: true,
        keys: &[required("listen", "listen", Form::Address)],
        blocks: &[Block {
            name: "rule",
            setting: "rules",
            label: None,
            repeatable: true,
            allowed_with_platform: true,
            keys: &[
                required("class", "class", Form::Word),
                optional("verbs", "verbs", Form::Words),
                optional("users", "users", Form::Words),
            ],
            blocks: &[],
        }],
    },
    Block {
        name: "engine",
        setting: "engine",
        label: Some("id"),
        repeatable: true,
        allowed_with_platform: false,
        keys: &[
            required("address", "address", Form::Address),
            optional("zone", "zone", Form::Word),
            required("kind", "kind", Form::Word),
            optional("cell", "cell", Form::Count(0, u32::MAX as u64)),
            optional("state", "state", Form::OneOf(&["ready", "draining"])),
        ],
        blocks: &[],
    },
    Block {
        name: "kind",
        setting: "kind",
        label: Some("name"),
        repeatable: true,
        allowed_with_platform: false,
        keys: &[
            required("cores", "cores", Form::Number(0.1, 100_000.0)),
            required("memory", "memory_mb", Form::Size(1.0, 1e9)),
        ],
        blocks: &[],
    },
    Block {
        name: "class",
        setting: "classes",
        label: Some("name"),
        repeatable: true,
        allowed_with_platform: false,
        keys: &[
            required("aim", "on_time", Form::Duration(1.0, DAY)),
            optional("aim_stretch", "aim_stretch", Form::Number(0.0, 1_000.0)),
            required("give_up", "give_up", Form::Duration(1.0, DAY)),
            optional("worth", "worth", Form::Number(0.0, 1e9)),
            optional("late_worth", "late_worth", Form::Number(0.0, 1.0)),
            required("repeat", "idempotency", Form::OneOf(&["safe", "keyed", "unsafe"])),
            optional("scope", "dedup_scope", Form::OneOf(&["all", "zone", "cell"])),
            optional("window", "window", Form::Duration(100.0, DAY)),
            optional("threads", "threads", Form::Number(0.01, 10_000.0)),
            optional("load", "load", Form::Flag),
            optional("waits_for_loads", "waits", Form::Flag),
            optional("ordered", "serial_by_key", Form::Flag),
            optional("kinds", "allowed_on", Form::Words),
            optional("zones", "allowed_in", Form::Words),
        ],
        blocks: &[],
    },
    Block {
        name: "tenant",
        setting: "tenants",
        label: Some("name"),
        repeatable: true,
        allowed_with_platform: false,
        keys: &[required("quota_per_s", "quota_per_s", Form::Number(0.0, 1e9))],
        blocks: &[],
    },
    Block {
        name: "limits",
        setting: "limits",
        label: None,
        repeatable: false,
        allowed_with_platform: false,
        keys: &[
            optional("send_cap", "send_cap", Form::Count(1, 100)),
            optional("cancel", "cancelling", Form::Flag),
            optional("copies", "may_duplicate", Form::Flag),
            optional("probes", "probes", Form::Flag),
            optional("retry_after", "max_retry_after", Form::Duration(0.0, HOUR)),
            optional("connect_timeout", "connect_timeout", Form::Duration(1.0, 60_000.0)),
            optional("idle_close", "idle_close", Form::Duration(10.0, HOUR)),
            optional("max_open", "max_open", Form::Count(1, 20_000)),
            optional("streams_per_connection", "streams_per_conn", Form::Count(1, 10_000)),
        ],
        blocks: &[],
    },
    Block {
        name: "engines_heed",
        setting: "specifics",
        label: None,
        repeatable: false,
        allowed_with_platform: false,
        keys: &[
            optional("grants", "grants_count", Form::Flag),
            optional("priorities", "takes_priority", Form::Flag),
            optional("most_grant", "most_grant", Form::Number(0.001, 1.0)),
            optional("reports", "how", Form::OneOf(&["none", "answers", "probe"])),
        ],
        blocks: &[],
    },
    Block {
        name: "rules",
        setting: "rules",
        label: None,
        repeatable: false,
        allowed_with_platform: false,
        keys: &[
            optional("answer_slack", "answer_slack", Form::Duration(0.0, 60_000.0)),
            optional("ask_within", "ask_within", Form::Duration(0.0, HOUR)),
            optional("drain_grace", "drain_grace", Form::Duration(0.0, 60_000.0)),
            optional("cold_from", "cold_from", Form::Number(0.001, 1.0)),
            optional("warm_within", "warm_within", Form::Duration(0.0, DAY)),
            optional("fall_multiple", "fall_multiple", Form::Number(1.0, 1_000.0)),
            optional("tip_after", "tip_after", Form::Duration(1.0, HOUR)),
            optional("extra_free", "extra_free", Form::Number(0.0, 1e6)),
            optional("extra_per_request", "extra_per_request", Form::Number(0.0, 100.0)),
            optional("ratio_span", "ratio_span", Form::Duration(100.0, HOUR)),
            optional("order_pause", "order_pause", Form::Duration(0.0, HOUR)),
        ],
        blocks: &[],
    },
    Block {
        name: "log",
        setting: "log",
        label: None,
        repeatable: false,
        allowed_with_platform: true,
        keys: &[
            optional("form", "form", Form::OneOf(&["text", "json"])),
            optional("level", "level", Form::OneOf(&["error", "warn", "info", "debug", "trace"])),
        ],
        blocks: &[],
    },
    Block {
        name: "pacing",
        setting: "pacing",
        label: None,
        repeatable: false,
        allowed_with_platform: true,
        keys: &[optional("list_slowest", "list_slowest", Form::Duration(200.0, 10_000.0))],
        blocks: &[],
    },
    Block {
        name: "knowledge",
        setting: "knowledge",
        label: None,
        repeatable: false,
        allowed_with_platform: true,
        keys: &[
            required("folder", "folder", Form::Text),
            optional("required", "required", Form::Flag),
            optional("every", "every", Form::Duration(100.0, HOUR)),
            optional("most", "most_mb", Form::Size(0.0625, 1_024.0)),
            optional("restart_within", "restart_within", Form::Duration(0.0, HOUR)),
            optional("keep_for", "keep_for", Form::Duration(1_000.0, 30.0 * DAY)),
            optional("list_wait", "list_wait", Form::Duration(0.0, HOUR)),
            optional("keys", "keys", Form::Flag),
            optional("key_wait", "key_wait", Form::Duration(1.0, 250.0)),
            optional("most_keys", "most_keys", Form::Count(1, 10_000_000)),
        ],
        blocks: &[],
    },
];
