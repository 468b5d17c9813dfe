//! The machine list's adapter against the stand-in.

use croftrill_platform::machine_list::{Machine, MachineList};
use croftrill_platform::{HttpEndpoint, HttpMachineList};
use croftrill_standin::{MachineChange, MachineListConfig, MachineListService};
use croftrill_state::placement::{Engine, Lifecycle, Node};
use croftrill_state::{CellId, EngineId, FencingToken, NodeId, ZoneId};
use std::time::Duration;

fn node(name: &str) -> Machine {
    Machine::Node(Node {
        id: NodeId::new(name),
        zone: ZoneId::new("z1"),
        cell: CellId::new("c1"),
        peer_address: "127.0.0.1:1".to_string(),
        attempt_address: "127.0.0.1:2".to_string(),
        lifecycle: Lifecycle::Live,
    })
}

fn engine(name: &str) -> Machine {
    Machine::Engine(Engine {
        id: EngineId::new(name),
        zone: ZoneId::new("z1"),
        cell: CellId::new("c1"),
        address: "127.0.0.1:3".to_string(),
        accelerator_memory_mib: vec![80_000; 2],
        max_running: 4,
        owner: None,
        fencing_token: FencingToken(0),
        lifecycle: Lifecycle::Live,
    })
}

#[tokio::test]
async fn changes_become_visible() {
    let config = MachineListConfig {
        machines: vec![node("n1")],
        ..Default::default()
    };
    let list = MachineListService::start(config).await.unwrap();
    let client = HttpMachineList::new(HttpEndpoint::new(list.server.address().to_string()));
    list.change(vec![MachineChange::Put {
        machine: engine("e1"),
    }]);
    assert_eq!(client.machines().await.unwrap(), [engine("e1"), node("n1")]);
    list.change(vec![
        MachineChange::MarkLeaving {
            name: "e1".to_string(),
        },
        MachineChange::Remove {
            name: "n1".to_string(),
        },
    ]);
    let machines = client.machines().await.unwrap();
    assert_eq!(machines.len(), 1);
    assert_eq!(machines[0].engine_id(), Some(&EngineId::new("e1")));
    assert_eq!(machines[0].lifecycle(), Lifecycle::Leaving);
}

#[tokio::test]
async fn changes_lag() {
    let config = MachineListConfig {
        machines: vec![node("n1")],
        lag: Duration::from_secs(3600),
        ..Default::default()
    };
    let list = MachineListService::start(config).await.unwrap();
    let client = HttpMachineList::new(HttpEndpoint::new(list.server.address().to_string()));
    list.change(vec![MachineChange::Remove {
        name: "n1".to_string(),
    }]);
    assert_eq!(client.machines().await.unwrap(), [node("n1")]);
}

#[tokio::test]
async fn an_unchanged_list_is_not_sent_again() {
    let config = MachineListConfig {
        machines: vec![node("n1")],
        ..Default::default()
    };
    let list = MachineListService::start(config).await.unwrap();
    let client = HttpMachineList::new(HttpEndpoint::new(list.server.address().to_string()));
    let first = client.machines().await.unwrap();
    let bytes_of_one = client.body_bytes();

    assert_eq!(client.machines().await.unwrap(), first);
    assert_eq!(client.body_bytes(), bytes_of_one);

    list.change(vec![MachineChange::Put {
        machine: engine("e1"),
    }]);
    assert_eq!(client.machines().await.unwrap(), [engine("e1"), node("n1")]);
    assert!(client.body_bytes() > bytes_of_one);
}

#[tokio::test]
async fn a_restarted_list_is_sent_whole() {
    let start = |listen, machines| {
        MachineListService::start(MachineListConfig {
            listen,
            machines,
            ..Default::default()
        })
    };
    let any = MachineListConfig::default().listen;
    let first = start(any, vec![node("n1")]).await.unwrap();
    let address = first.server.address();
    let client = HttpMachineList::new(HttpEndpoint::new(address.to_string()));
    assert_eq!(client.machines().await.unwrap(), [node("n1")]);

    drop(first);
    let mut second = start(address, vec![node("n2")]).await;
    while second.is_err() {
        tokio::task::yield_now().await;
        second = start(address, vec![node("n2")]).await;
    }
    let mut read = client.machines().await;
    while read.is_err() {
        read = client.machines().await;
    }
    assert_eq!(read.unwrap(), [node("n2")]);
}
