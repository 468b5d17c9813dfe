//! Puts file, flags and defaults together and checks what must fit together.

use crate::document::{self, Document, Located};
use crate::findings::{Finding, Findings, Place};
use crate::keys::{self, DefaultValue, Key};
use crate::settings::*;
use crate::values::{self, Value};
use std::net::SocketAddr;
use std::time::Duration;

impl Settings {
    /// Reads the text of the file `path`; flags win over it.
    pub fn load(path: &str, text: &str, overrides: &Overrides) -> Result<Settings, Findings> {
        let mut loader = Loader {
            path,
            document: document::read(path, text),
        };
        loader.apply_overrides(overrides);
        loader.apply_defaults();
        loader.check_advertised("listen.peers", "advertise.peers");
        loader.check_advertised("listen.attempts", "advertise.attempts");
        loader.check_deadlines();
        loader.check_order("timings.probe_period_millis", "timings.lease_millis");
        loader.check_order("limits.deadline_longest_millis", "timings.claim_window_millis");
        loader.finish()
    }
}

struct Loader<'a> {
    path: &'a str,
    document: Document,
}

impl Loader<'_> {
    fn report(&mut self, place: Place, problem: String) {
        self.document.findings.push(Finding { place, problem });
    }

    fn apply_overrides(&mut self, overrides: &Overrides) {
        for given in &overrides.keys {
            self.apply_key_override(given);
        }
        for (path, value) in overrides.values() {
            let checked = keys::find(path).map_or(Ok(()), |key| value.check(key.kind));
            self.apply_override(path, checked.map(|()| value));
        }
    }

    fn apply_key_override(&mut self, given: &KeyOverride) {
        let Some(key) = keys::find(&given.key) else {
            self.report(Place::Flags, format!("unknown key {}", given.key));
            return;
        };
        let value = given.value.parse::<toml_edit::Value>();
        let value = value.unwrap_or_else(|_| given.value.as_str().into());
        let item = toml_edit::Item::Value(value);
        self.apply_override(key.path, values::read(key.kind, &item));
    }

    fn apply_override(&mut self, path: &'static str, value: Result<Value, String>) {
        self.document.unreadable.retain(|unreadable| *unreadable != path);
        match value {
            Ok(value) => {
                let located = Located {
                    value,
                    place: Place::Flags,
                    given: true,
                };
                self.document.values.insert(path, located);
            }
            Err(problem) => {
                self.document.unreadable.push(path);
                self.report(Place::Flags, format!("{path} {problem}"));
            }
        }
    }

    fn apply_defaults(&mut self) {
        for key in keys::KEYS {
            let known = self.document.values.contains_key(key.path);
            if known || self.document.unreadable.contains(&key.path) {
                continue;
            }
            match key.default {
                DefaultValue::Derived(_) => {}
                DefaultValue::Text(text) => self.apply_default(key, text),
                DefaultValue::Required => {
                    let place = self.table_place(key.path);
                    self.report(place, format!("{} is missing", key.path));
                }
            }
        }
    }

    fn apply_default(&mut self, key: &'static Key, text: &str) {
        let place = self.table_place(key.path);
        let read = text
            .parse::<toml_edit::Value>()
            .map_err(|error| error.to_string())
            .and_then(|value| values::read(key.kind, &toml_edit::Item::Value(value)));
        match read {
            Ok(value) => {
                let located = Located {
                    value,
                    place,
                    given: false,
                };
                self.document.values.insert(key.path, located);
            }
            Err(problem) => self.report(place, format!("default of {} {problem}", key.path)),
        }
    }

    /// Where a missing key should stand: its table, else the file's start.
    fn table_place(&self, path: &str) -> Place {
        let table = path.split_once('.').map_or(path, |(table, _)| table);
        let start = || Place::File {
            path: self.path.to_string(),
            line: 1,
            column: 1,
        };
        self.document.tables.get(table).cloned().unwrap_or_else(start)
    }

    fn place_of(&self, path: &str) -> Place {
        let located = self.document.values.get(path);
        located.map_or_else(|| self.table_place(path), |located| located.place.clone())
    }

    /// Others cannot connect to an unspecified address.
    fn check_advertised(&mut self, listen: &'static str, advertise: &'static str) {
        let unspecified = |address: Option<SocketAddr>| address.is_some_and(|a| a.ip().is_unspecified());
        if unspecified(self.address(advertise)) {
            let place = self.place_of(advertise);
            self.report(place, format!("{advertise} must name one address"));
        }
        let advertised =
            self.document.values.contains_key(advertise) || self.document.unreadable.contains(&advertise);
        if !advertised && unspecified(self.address(listen)) {
            let place = self.place_of(listen);
            self.report(
                place,
                format!("{listen} names no single address, so {advertise} must be set"),
            );
        }
    }

    fn check_deadlines(&mut self) {
        for class in ["critical", "interactive", "standard", "batch"] {
            let path = format!("limits.deadline_{class}_millis");
            self.check_order(&path, "limits.deadline_longest_millis");
        }
    }

    fn check_order(&mut self, smaller: &str, larger: &str) {
        let (Some(small), Some(large)) = (self.integer(smaller), self.integer(larger)) else {
            return;
        };
        if small > large {
            let given = self.document.values.get(smaller).is_some_and(|found| found.given);
            let place = self.place_of(if given { smaller } else { larger });
            self.report(place, format!("{smaller} {small} is more than {larger} {large}"));
        }
    }

    fn value(&self, path: &str) -> Option<&Value> {
        self.document.values.get(path).map(|located| &located.value)
    }

    fn name(&self, path: &str) -> Option<String> {
        match self.value(path)? {
            Value::Name(name) => Some(name.clone()),
            _ => None,
        }
    }

    fn address(&self, path: &str) -> Option<SocketAddr> {
        match self.value(path)? {
            Value::Address(address) => Some(*address),
            _ => None,
        }
    }

    fn addresses(&self, path: &str) -> Option<Vec<SocketAddr>> {
        match self.value(path)? {
            Value::Addresses(addresses) => Some(addresses.clone()),
            _ => None,
        }
    }

    fn endpoint(&self, path: &str) -> Option<HttpEndpoint> {
        match self.value(path)? {
            Value::Endpoint(endpoint) => Some(*endpoint),
            _ => None,
        }
    }

    fn integer(&self, path: &str) -> Option<u64> {
        match self.value(path)? {
            Value::Integer(number) => Some(*number),
            _ => None,
        }
    }

    fn millis(&self, path: &str) -> Option<Duration> {
        self.integer(path).map(Duration::from_millis)
    }

    fn fraction(&self, path: &str) -> Option<f64> {
        match self.value(path)? {
            Value::Fraction(number) => Some(*number),
            _ => None,
        }
    }

    fn log_level(&self, path: &str) -> Option<LogLevel> {
        match self.value(path)? {
            Value::LogLevel(level) => Some(*level),
            _ => None,
        }
    }

    fn finish(mut self) -> Result<Settings, Findings> {
        let settings = self.build();
        let mut findings = std::mem::take(&mut self.document.findings);
        findings.sort_by_key(|finding| order(&finding.place));
        match settings {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(Findings(findings)),
        }
    }

    /// The settings, if every value is there.
    fn build(&self) -> Option<Settings> {
        Some(Settings {
            node: self.identity()?,
            listen: self.listen()?,
            advertise: AdvertisedAddresses {
                peers: self.address("advertise.peers"),
                attempts: self.address("advertise.attempts"),
            },
            seeds: self.addresses("cluster.seeds")?,
            platform: self.platform()?,
            limits: self.limits()?,
            timings: self.timings()?,
            policy: Policy {
                cold_start_weight: self.fraction("policy.cold_start_weight")?,
            },
            log_level: self.log_level("log.level")?,
        })
    }

    fn identity(&self) -> Option<NodeIdentity> {
        Some(NodeIdentity {
            id: self.name("node.id")?.as_str().into(),
            zone: self.name("node.zone")?.as_str().into(),
            cell: self.name("node.cell")?.as_str().into(),
        })
    }

    fn listen(&self) -> Option<ListenAddresses> {
        Some(ListenAddresses {
            callers: self.address("listen.callers")?,
            operators: self.address("listen.operators")?,
            peers: self.address("listen.peers")?,
            attempts: self.address("listen.attempts")?,
        })
    }

    fn platform(&self) -> Option<PlatformEndpoints> {
        Some(PlatformEndpoints {
            key_value: self.endpoint("platform.key_value")?,
            machine_list: self.endpoint("platform.machine_list")?,
            weight_store: self.endpoint("platform.weight_store")?,
        })
    }

    fn limits(&self) -> Option<Limits> {
        Some(Limits {
            queue_length: self.integer("limits.queue_length")? as usize,
            body_bytes: self.integer("limits.body_bytes")? as usize,
            deadlines: Deadlines {
                critical: self.millis("limits.deadline_critical_millis")?,
                interactive: self.millis("limits.deadline_interactive_millis")?,
                standard: self.millis("limits.deadline_standard_millis")?,
                batch: self.millis("limits.deadline_batch_millis")?,
                longest: self.millis("limits.deadline_longest_millis")?,
            },
            attempts: self.integer("limits.attempts")? as u32,
            retry_budget_percent: self.integer("limits.retry_budget_percent")? as u32,
        })
    }

    fn timings(&self) -> Option<Timings> {
        Some(Timings {
            lease: self.millis("timings.lease_millis")?,
            probe_period: self.millis("timings.probe_period_millis")?,
            machine_list_period: self.millis("timings.machine_list_period_millis")?,
            claim_window: self.millis("timings.claim_window_millis")?,
            key_value_timeout: self.millis("timings.key_value_timeout_millis")?,
            drain: self.millis("timings.drain_millis")?,
        })
    }
}

/// Findings of the file in its order, then those of the flags.
fn order(place: &Place) -> (bool, usize, usize) {
    match place {
        Place::File { line, column, .. } => (false, *line, *column),
        Place::Flags => (true, 0, 0),
    }
}
