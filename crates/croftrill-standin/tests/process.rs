//! The stand-ins as processes, controlled over HTTP.

mod support;

use croftrill_platform::engine::EngineClient;
use croftrill_platform::key_value::{KeyValueError, KeyValueService};
use croftrill_platform::machine_list::MachineList;
use croftrill_platform::weight_store::WeightStore;
use croftrill_platform::{
    HttpEndpoint, HttpEngineClient, HttpEngineConfig, HttpKeyValueService, HttpMachineList, HttpWeightStore,
};
use croftrill_standin::control::{FAULTS_PATH, LEDGER_PATH, MACHINES_PATH, MODE_PATH};
use croftrill_standin::key_value::KeyValueChange;
use croftrill_standin::weight_store::WeightStoreLedger;
use croftrill_standin::{
    ControlClient, EngineFaults, EngineLedger, KeyValueFaults, MachineChange, ProxyMode,
};
use croftrill_state::FencingToken;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use support::{collect, eventually, load, request};

/// A process that is killed when dropped.
struct Process {
    child: Child,
    /// The fields of its first line.
    fields: Vec<(String, String)>,
}

impl Process {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_croftrill-standin"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.as_mut().unwrap())
            .read_line(&mut line)
            .unwrap();
        let fields = line
            .strip_prefix("listening ")
            .expect("the first line")
            .split_whitespace();
        let fields = fields.map(|field| field.split_once('=').unwrap());
        let fields = fields
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        Self { child, fields }
    }

    fn field(&self, name: &str) -> String {
        let mut fields = self.fields.iter();
        fields.find(|(found, _)| found == name).unwrap().1.clone()
    }

    fn address(&self) -> String {
        self.field("address")
    }

    fn control(&self) -> ControlClient {
        ControlClient::new(self.address())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::test]
async fn an_engine_loads_from_a_weight_store() {
    let store = Process::start(&["weight-store", "--concurrent-loads", "3"]);
    let engine = Process::start(&[
        "engine",
        "--weight-store",
        &store.address(),
        "--accelerators",
        "2",
    ]);
    let client = HttpEngineClient::new(HttpEngineConfig::new(engine.address()));
    load(&client, FencingToken(1), "m1").await;
    let answer = collect(client.run(request(1, FencingToken(1), "m1", 5)).await.unwrap()).await;
    assert_eq!(answer.tokens, 5);

    let ledger: EngineLedger = engine.control().get(LEDGER_PATH).await.unwrap();
    assert_eq!((ledger.runs.len(), ledger.accelerators.len()), (1, 2));
    engine
        .control()
        .post(FAULTS_PATH, &EngineFaults::default())
        .await
        .unwrap();
    let ledger: WeightStoreLedger = store.control().get(LEDGER_PATH).await.unwrap();
    assert_eq!(ledger.completed, 1);
    let limits = HttpWeightStore::new(HttpEndpoint::new(store.address()))
        .limits()
        .await
        .unwrap();
    assert_eq!(limits.concurrent_loads, 3);
}

#[tokio::test]
async fn a_key_value_service_loses_an_answer_behind_a_proxy() {
    let service = Process::start(&["key-value", "--listen", "127.0.0.1:0"]);
    let proxy = Process::start(&["proxy", "--upstream", &service.address()]);
    let client = HttpKeyValueService::new(HttpEndpoint::new(proxy.address()));
    let faults = KeyValueFaults {
        lose_answers: 1,
        ..Default::default()
    };
    service.control().post(FAULTS_PATH, &faults).await.unwrap();
    let lost = client.write_if("k", vec![1], None, None).await;
    assert!(matches!(lost, Err(KeyValueError::OutcomeUnknown(_))), "{lost:?}");
    let ledger: Vec<KeyValueChange> = service.control().get(LEDGER_PATH).await.unwrap();
    assert!(ledger[0].answer_lost);

    let proxy_control = ControlClient::new(proxy.field("control"));
    proxy_control.post(MODE_PATH, &ProxyMode::Cut).await.unwrap();
    eventually(async || matches!(client.get("k").await, Err(KeyValueError::Unreachable(_)))).await;
}

#[tokio::test]
async fn a_machine_list_takes_changes() {
    let list = Process::start(&["machine-list", "--lag-millis", "0"]);
    let client = HttpMachineList::new(HttpEndpoint::new(list.address()));
    let change = MachineChange::Remove {
        name: "unknown".to_string(),
    };
    list.control().post(MACHINES_PATH, &vec![change]).await.unwrap();
    assert_eq!(client.machines().await.unwrap(), []);
}

#[test]
fn help_is_printed_and_bad_flags_are_refused() {
    let run = |arguments: &[&str]| {
        let program = env!("CARGO_BIN_EXE_croftrill-standin");
        Command::new(program).args(arguments).output().unwrap()
    };
    let help = run(&["engine", "--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8(help.stdout).unwrap().contains("--weight-store"));
    for arguments in [
        &["engine", "--no-such"][..],
        &["engine", "--max-running", "x"],
        &["nothing"],
        &["proxy"],
    ] {
        let refused = run(arguments);
        assert!(!refused.status.success());
        assert!(!refused.stderr.is_empty());
    }
}
