//! Every key of the settings file, with its kind, unit and default.
//!
//! `docs/CONFIGURATION.md` documents the same keys; a test compares the two.

/// What a value may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A name without white space.
    Name,
    /// `ip:port`.
    Address,
    /// A list of `ip:port`.
    AddressList,
    /// `http://ip:port`.
    Endpoint,
    /// A whole number in a range, both ends included.
    Integer {
        /// Least.
        least: u64,
        /// Most.
        most: u64,
    },
    /// A number from 0 to 1.
    Fraction,
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
    LogLevel,
}

/// What holds if the key is absent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefaultValue {
    /// The key must be given.
    Required,
    /// The value, as it would stand in the file.
    Text(&'static str),
    /// The value follows from another key.
    Derived(&'static str),
}

/// One key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Key {
    /// `table.key`.
    pub path: &'static str,
    /// What its value may be.
    pub kind: Kind,
    /// The value's unit; empty if it has none.
    pub unit: &'static str,
    /// What holds without it.
    pub default: DefaultValue,
}

const ONE_DAY_MILLIS: u64 = 24 * 60 * 60 * 1000;

const fn key(path: &'static str, kind: Kind, unit: &'static str, default: DefaultValue) -> Key {
    Key {
        path,
        kind,
        unit,
        default,
    }
}

const fn required(path: &'static str, kind: Kind) -> Key {
    key(path, kind, "", DefaultValue::Required)
}

const fn millis(path: &'static str, least: u64, default: &'static str) -> Key {
    let kind = Kind::Integer {
        least,
        most: ONE_DAY_MILLIS,
    };
    key(path, kind, "milliseconds", DefaultValue::Text(default))
}

const fn count(path: &'static str, least: u64, most: u64, unit: &'static str, default: &'static str) -> Key {
    key(
        path,
        Kind::Integer { least, most },
        unit,
        DefaultValue::Text(default),
    )
}

/// Every key.
pub const KEYS: &[Key] = &[
    required("node.id", Kind::Name),
    required("node.zone", Kind::Name),
    required("node.cell", Kind::Name),
    required("listen.callers", Kind::Address),
    required("listen.operators", Kind::Address),
    required("listen.peers", Kind::Address),
    required("listen.attempts", Kind::Address),
    key(
        "advertise.peers",
        Kind::Address,
        "",
        DefaultValue::Derived("listen.peers"),
    ),
    key(
        "advertise.attempts",
        Kind::Address,
        "",
        DefaultValue::Derived("listen.attempts"),
    ),
    key("cluster.seeds", Kind::AddressList, "", DefaultValue::Text("[]")),
    required("platform.key_value", Kind::Endpoint),
    required("platform.machine_list", Kind::Endpoint),
    required("platform.weight_store", Kind::Endpoint),
    count("limits.queue_length", 1, 1_000_000, "requests", "512"),
    count("limits.body_bytes", 1024, 1 << 30, "bytes", "4194304"),
    millis("limits.deadline_critical_millis", 1, "5000"),
    millis("limits.deadline_interactive_millis", 1, "15000"),
    millis("limits.deadline_standard_millis", 1, "60000"),
    millis("limits.deadline_batch_millis", 1, "600000"),
    millis("limits.deadline_longest_millis", 1, "900000"),
    count("limits.attempts", 1, 16, "attempts", "3"),
    count("limits.retry_budget_percent", 0, 100, "percent", "10"),
    millis("timings.lease_millis", 100, "5000"),
    millis("timings.probe_period_millis", 10, "1000"),
    millis("timings.machine_list_period_millis", 50, "2000"),
    millis("timings.claim_window_millis", 1000, "960000"),
    millis("timings.key_value_timeout_millis", 10, "2000"),
    millis("timings.drain_millis", 0, "900000"),
    key(
        "policy.cold_start_weight",
        Kind::Fraction,
        "",
        DefaultValue::Text("0.5"),
    ),
    key("log.level", Kind::LogLevel, "", DefaultValue::Text("\"info\"")),
];

/// The key with a path.
pub fn find(path: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| key.path == path)
}

/// Whether some key lies in a table.
pub fn is_table(name: &str) -> bool {
    KEYS.iter()
        .any(|key| key.path.split_once('.').is_some_and(|(table, _)| table == name))
}
