//! Stand-in of the machine list. Changes posted to `/control/machines` (a JSON
//! list of [`MachineChange`]s) become visible only after a lag. Each visible
//! change gives the list a new `ETag`.

use crate::control::MACHINES_PATH;
use crate::server::{self, empty, not_found, ok, read_json, ConnectionCutter, Handler};
use crate::server::{HandlerResult, RunningServer};
use croftrill_platform::machine_list::Machine;
use croftrill_platform::wire::machine_list::{self as wire, MachinesAnswer};
use croftrill_state::placement::Lifecycle;
use http::header::{HeaderValue, ETAG, IF_NONE_MATCH};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct MachineListConfig {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Time until a change becomes visible.
    pub lag: Duration,
    /// Machines visible from the start.
    pub machines: Vec<Machine>,
}

impl Default for MachineListConfig {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            lag: Duration::ZERO,
            machines: Vec::new(),
        }
    }
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum MachineChange {
    /// Adds or replaces a machine.
    Put {
        /// The machine.
        machine: Machine,
    },
    /// Removes a machine.
    Remove {
        /// Its name.
        name: String,
    },
    /// Marks a machine as leaving.
    MarkLeaving {
        /// Its name.
        name: String,
    },
}

/// The stand-in.
pub struct MachineListService {
    state: Mutex<State>,
    lag: Duration,
    /// Tells the lists of two processes apart.
    instance: u64,
}

#[derive(Default)]
struct State {
    visible: BTreeMap<String, Machine>,
    version: u64,
    pending: VecDeque<(Instant, MachineChange)>,
}

/// A running stand-in; stops when dropped.
pub struct RunningMachineList {
    /// The server.
    pub server: RunningServer,
    service: Arc<MachineListService>,
}

impl RunningMachineList {
    /// Changes the list; visible after the lag.
    pub fn change(&self, changes: Vec<MachineChange>) {
        self.service.change(changes);
    }
}

impl MachineListService {
    /// Starts the stand-in.
    pub async fn start(config: MachineListConfig) -> io::Result<RunningMachineList> {
        let mut state = State::default();
        for machine in config.machines {
            apply(&mut state.visible, MachineChange::Put { machine });
        }
        let service = Arc::new(Self {
            state: Mutex::new(state),
            lag: config.lag,
            instance: rand::random(),
        });
        let server = server::start(config.listen, service.clone(), ConnectionCutter::new()).await?;
        Ok(RunningMachineList { server, service })
    }

    fn change(&self, changes: Vec<MachineChange>) {
        let visible_at = Instant::now() + self.lag;
        let mut state = self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let dated = changes.into_iter().map(|change| (visible_at, change));
        state.pending.extend(dated);
    }

    /// The visible machines and the version of the list.
    fn machines(&self) -> (Vec<Machine>, u64) {
        let mut guard = self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let state = &mut *guard;
        let now = Instant::now();
        while state
            .pending
            .front()
            .is_some_and(|(visible_at, _)| *visible_at <= now)
        {
            if let Some((_, change)) = state.pending.pop_front() {
                apply(&mut state.visible, change);
                state.version += 1;
            }
        }
        (state.visible.values().cloned().collect(), state.version)
    }

    fn answer_list(&self, known: Option<&HeaderValue>) -> HandlerResult {
        let (machines, version) = self.machines();
        let tag = format!("\"{:x}-{version}\"", self.instance);
        let unchanged = known.is_some_and(|known| known.as_bytes() == tag.as_bytes());
        let mut response = if unchanged {
            empty(StatusCode::NOT_MODIFIED)
        } else {
            ok(&MachinesAnswer { machines })
        };
        if let Ok(tag) = HeaderValue::from_str(&tag) {
            response.headers_mut().insert(ETAG, tag);
        }
        Ok(response)
    }

    async fn answer(&self, request: Request<Incoming>) -> HandlerResult {
        match request.uri().path() {
            wire::MACHINES_PATH => self.answer_list(request.headers().get(IF_NONE_MATCH)),
            MACHINES_PATH => {
                self.change(read_json(request).await?);
                Ok(ok(&()))
            }
            _ => Ok(not_found()),
        }
    }
}

impl Handler for MachineListService {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        self.answer(request).await
    }
}

fn apply(machines: &mut BTreeMap<String, Machine>, change: MachineChange) {
    match change {
        MachineChange::Put { machine } => {
            machines.insert(name_of(&machine), machine);
        }
        MachineChange::Remove { name } => {
            machines.remove(&name);
        }
        MachineChange::MarkLeaving { name } => match machines.get_mut(&name) {
            Some(Machine::Node(node)) => node.lifecycle = Lifecycle::Leaving,
            Some(Machine::Engine(engine)) => engine.lifecycle = Lifecycle::Leaving,
            None => {}
        },
    }
}

fn name_of(machine: &Machine) -> String {
    match machine {
        Machine::Node(node) => node.id.to_string(),
        Machine::Engine(engine) => engine.id.to_string(),
    }
}
