//! Formats responses as text for operators.

use std::fmt::Write;

use serde_json::Value;

/// Formats a node's status as a table.
pub fn status(status: &Value) -> String {
    let text = |name: &str| status[name].as_str().unwrap_or("-").to_string();
    let list = |value: &Value| {
        let names: Vec<&str> = value
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect();
        names.join(" ")
    };
    let mut table = String::new();
    let _ = writeln!(table, "node           {} ({})", text("node"), text("lifecycle"));
    let _ = writeln!(
        table,
        "configuration  version {}",
        status["configuration_version"]
    );
    let _ = writeln!(table, "orderers       {}", list(&status["orderers"]));
    let _ = writeln!(table, "nodes          {}", list(&status["nodes"]));
    let _ = writeln!(
        table,
        "in flight      {} (waiting {})",
        status["in_flight"], status["waiting"]
    );
    for replica in status["replicas"].as_array().into_iter().flatten() {
        let ready = if replica["ready"] == true {
            "ready"
        } else {
            "leaving"
        };
        let id = replica["id"].as_str().unwrap_or("-");
        let load = load(&replica["load"]);
        let _ = writeln!(
            table,
            "replica        {id} {ready}  {}{load}",
            list(&replica["models"])
        );
    }
    for suspect in status["suspects"].as_array().into_iter().flatten() {
        let text = |name: &str| suspect[name].as_str().unwrap_or("-");
        let _ = writeln!(
            table,
            "request        {} {}  (replicas ended: {}, blamed for {})",
            text("fingerprint"),
            text("verdict"),
            suspect["ends"],
            suspect["blamed"]
        );
    }
    for quota in status["quotas"].as_array().into_iter().flatten() {
        let group = quota["group"].as_str().unwrap_or("-");
        let _ = writeln!(
            table,
            "quota kept     {group}  (left: {} tokens)",
            quota["balance"]
        );
    }
    table
}

/// Formats the load that a replica reported and how the node rates it; empty if it reported none.
fn load(load: &Value) -> String {
    if load.is_null() {
        return String::new();
    }
    let flags = [("full", "full, "), ("slow", "slow, ")];
    let flags = flags.iter().filter(|(name, _)| load[name] == true);
    let flags: String = flags.map(|(_, label)| *label).collect();
    let speed = |name: &str| load[name].as_f64().unwrap_or(1.0);
    format!(
        "  ({flags}{}+{} of {}, speed {:.2}, now {:.2}, told {} ms ago)",
        load["running"],
        load["waiting"],
        load["slots"],
        speed("speed"),
        speed("speed_now"),
        load["told_ms_ago"]
    )
}

/// Formats a plan as a list of steps.
pub fn plan(plan: &Value) -> String {
    let steps: Vec<&str> = plan["steps"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    if steps.is_empty() {
        return "nothing would change\n".to_string();
    }
    steps.iter().fold(String::new(), |mut text, step| {
        let _ = writeln!(text, "- {step}");
        text
    })
}

/// Formats an error with all of its findings.
pub fn failure(failure: &Value) -> String {
    let mut text = failure["error"].as_str().unwrap_or("failed").to_string();
    for finding in failure["findings"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
    {
        let _ = write!(text, "\n  {finding}");
    }
    text
}
