//! What the node answered, as text for people.

use crate::table::Table;
use croftrill_protocol::operator::{ModelListing, Plan, PlanAction, Status};
use croftrill_state::configuration::{Adapter, Group, PriorityClass};
use croftrill_state::placement::{Assignment, AssignmentState, Residency};

const MIB_PER_GIB: u64 = 1024;

/// Status of the system.
pub(crate) fn status(status: &Status) -> String {
    let coordinator = status.coordinator.as_deref().unwrap_or("none");
    let key_value = if status.key_value_reachable {
        "reachable"
    } else {
        "not reachable; changes wait, serving goes on"
    };
    let mut nodes = Table::new(&["NODE", "ZONE", "CELL", "STATE"]);
    for node in &status.nodes {
        nodes.row(vec![
            node.node.clone(),
            node.zone.clone(),
            node.cell.clone(),
            node.lifecycle.clone(),
        ]);
    }
    let mut engines = Table::new(&["ENGINE", "ZONE", "OWNER", "STATE", "MEMORY", "MODELS"]);
    for engine in &status.engines {
        let models: Vec<&str> = engine.models.iter().map(|model| model.as_str()).collect();
        engines.row(vec![
            engine.engine.to_string(),
            engine.zone.clone(),
            engine.owner.clone().unwrap_or_else(dash),
            engine.lifecycle.clone(),
            accelerators(&engine.accelerator_memory_mib),
            or_dash(models.join(",")),
        ]);
    }
    format!(
        "node {}, revision {}, coordinator {coordinator}, key-value service {key_value}\n\n{}\n{}",
        status.node,
        status.revision,
        nodes.render(),
        engines.render()
    )
}

fn dash() -> String {
    "-".to_string()
}

fn or_dash(text: String) -> String {
    if text.is_empty() {
        return dash();
    }
    text
}

fn accelerators(memory_mib: &[u64]) -> String {
    let alike = memory_mib.windows(2).all(|pair| pair[0] == pair[1]);
    match memory_mib.first() {
        None => dash(),
        Some(each) if alike => format!("{} x {}", memory_mib.len(), memory(*each)),
        Some(_) => {
            let each: Vec<String> = memory_mib.iter().map(|mib| memory(*mib)).collect();
            each.join(" + ")
        }
    }
}

fn memory(mib: u64) -> String {
    if mib < MIB_PER_GIB {
        return format!("{mib} MiB");
    }
    format!(
        "{}.{} GiB",
        mib / MIB_PER_GIB,
        mib % MIB_PER_GIB * 10 / MIB_PER_GIB
    )
}

fn duration(millis: u64) -> String {
    if millis < 1000 {
        return format!("{millis} ms");
    }
    format!("{}.{} s", millis / 1000, millis % 1000 / 100)
}

/// Groups.
pub(crate) fn groups(groups: &[Group]) -> String {
    let mut table = Table::new(&["GROUP", "SHARE", "HIGHEST PRIORITY"]);
    for group in groups {
        table.row(vec![
            group.id.to_string(),
            group.share_weight.to_string(),
            priority(group.highest_priority).to_string(),
        ]);
    }
    table.render()
}

fn priority(class: PriorityClass) -> &'static str {
    match class {
        PriorityClass::Critical => "critical",
        PriorityClass::Interactive => "interactive",
        PriorityClass::Standard => "standard",
        PriorityClass::Batch => "batch",
    }
}

/// Models.
pub(crate) fn models(models: &[ModelListing]) -> String {
    let mut table = Table::new(&[
        "MODEL",
        "VERSION",
        "ACCELERATORS",
        "MEMORY EACH",
        "CHECKPOINT",
        "REPLICAS",
        "PLACEMENT",
    ]);
    for listing in models {
        let model = &listing.model;
        let placement: Vec<String> = listing.assignments.iter().map(assignment).collect();
        let name = if listing.retiring {
            format!("{} (being deleted)", model.id)
        } else {
            model.id.to_string()
        };
        table.row(vec![
            name,
            model.version.to_string(),
            model.accelerators.to_string(),
            memory(model.memory_mib_per_accelerator),
            memory(model.checkpoint_mib),
            format!("{}..{}", model.min_replicas, model.max_replicas),
            or_dash(placement.join(", ")),
        ]);
    }
    table.render()
}

fn assignment(assignment: &Assignment) -> String {
    let residency = match assignment.residency {
        Residency::Resident { .. } => "kept loaded",
        Residency::OnDemand => "on demand",
    };
    match &assignment.state {
        AssignmentState::Active => format!("{} ({residency})", assignment.engine),
        AssignmentState::WaitingFor { engine } => {
            format!("{} ({residency}, waits for {engine})", assignment.engine)
        }
        AssignmentState::Releasing => format!("{} (being released)", assignment.engine),
    }
}

/// Adapters.
pub(crate) fn adapters(adapters: &[Adapter]) -> String {
    let mut table = Table::new(&["ADAPTER", "BASE", "VERSION", "MEMORY EACH"]);
    for adapter in adapters {
        table.row(vec![
            adapter.id.to_string(),
            adapter.base.to_string(),
            adapter.version.to_string(),
            memory(adapter.memory_mib_per_accelerator),
        ]);
    }
    table.render()
}

/// A plan: every load, move and stop, then the warnings.
pub(crate) fn plan(plan: &Plan) -> String {
    let mut text = format!("plan {} (made from revision {})\n\n", plan.id, plan.base);
    if plan.actions.is_empty() {
        text.push_str("No replica is loaded, moved or stopped.\n");
    } else {
        text.push_str(&actions(&plan.actions));
    }
    for warning in &plan.warnings {
        text.push_str(&format!("\nwarning: {warning}"));
    }
    if !plan.warnings.is_empty() {
        text.push('\n');
    }
    text
}

fn actions(actions: &[PlanAction]) -> String {
    let mut table = Table::new(&["ACTION", "MODEL", "ENGINE", "MEMORY", "EXPECTED TIME"]);
    for action in actions {
        table.row(action_row(action));
    }
    table.render()
}

fn action_row(action: &PlanAction) -> Vec<String> {
    match action {
        PlanAction::Load {
            model,
            engine,
            memory_mib,
            expected_millis,
        } => vec![
            "load".to_string(),
            model.to_string(),
            engine.to_string(),
            memory(*memory_mib),
            duration(*expected_millis),
        ],
        PlanAction::Allow {
            model,
            engine,
            memory_mib,
        } => vec![
            "allow on demand".to_string(),
            model.to_string(),
            engine.to_string(),
            memory(*memory_mib),
            "when asked for".to_string(),
        ],
        PlanAction::Move {
            model,
            from,
            to,
            memory_mib,
            expected_millis,
        } => vec![
            "move".to_string(),
            model.to_string(),
            format!("{from} -> {to}"),
            memory(*memory_mib),
            duration(*expected_millis),
        ],
        PlanAction::Stop {
            model,
            engine,
            memory_mib,
        } => vec![
            "stop".to_string(),
            model.to_string(),
            engine.to_string(),
            memory(*memory_mib),
            "after its requests".to_string(),
        ],
        PlanAction::ChangeOwner { engine, owner } => vec![
            "change owner".to_string(),
            dash(),
            format!("{engine} -> node {owner}"),
            dash(),
            dash(),
        ],
    }
}
