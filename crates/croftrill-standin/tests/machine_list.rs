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
