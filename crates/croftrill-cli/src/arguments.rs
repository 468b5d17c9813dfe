//! Reads the command line.

use crate::exit::CliError;
use crate::NODE_VARIABLE;
use croftrill_state::configuration::PriorityClass;
use croftrill_state::{AdapterId, EngineId, GroupId, ModelId, NodeId, PlanId};
use lexopt::{Arg, Parser, ValueExt};
use std::ffi::OsString;

/// What the command line asks for.
#[derive(Debug)]
pub(crate) enum Invocation {
    Help,
    Version,
    Run(Command),
}

/// A command and how to run it.
#[derive(Debug)]
pub(crate) struct Command {
    /// `ip:port` of the node to ask.
    pub node: String,
    pub output: Output,
    /// Whether to confirm the plan at once.
    pub yes: bool,
    pub action: Action,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Output {
    #[default]
    Table,
    Json,
}

/// What to do.
#[derive(Debug)]
pub(crate) enum Action {
    Status,
    ListGroups,
    ListModels,
    ListAdapters,
    PutGroup(Put, GroupId, GroupOptions),
    PutModel(Put, ModelId, ModelOptions),
    PutAdapter(Put, AdapterId, AdapterOptions),
    DeleteGroup(GroupId),
    DeleteModel(ModelId),
    DeleteAdapter(AdapterId),
    DrainNode(NodeId),
    DrainEngine(EngineId),
    ShowPlan(PlanId),
    ConfirmPlan(PlanId),
}

/// Whether the object must not, or must, exist before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Put {
    Create,
    Update,
}

/// Options of a group.
#[derive(Debug, Default)]
pub(crate) struct GroupOptions {
    pub share: Option<u32>,
    pub highest_priority: Option<PriorityClass>,
}

/// Options of a model.
#[derive(Debug, Default)]
pub(crate) struct ModelOptions {
    pub memory_mib: Option<u64>,
    pub checkpoint_mib: Option<u64>,
    pub accelerators: Option<u32>,
    pub min_replicas: Option<u32>,
    pub max_replicas: Option<u32>,
    pub weights_version: Option<u32>,
}

/// Options of an adapter.
#[derive(Debug, Default)]
pub(crate) struct AdapterOptions {
    pub base: Option<ModelId>,
    pub memory_mib: Option<u64>,
    pub weights_version: Option<u32>,
}

/// Everything on the command line, before it is put together.
#[derive(Default)]
struct Raw {
    words: Vec<String>,
    node: Option<String>,
    output: Output,
    yes: bool,
    share: Option<u32>,
    highest_priority: Option<PriorityClass>,
    memory_mib: Option<u64>,
    checkpoint_mib: Option<u64>,
    accelerators: Option<u32>,
    min_replicas: Option<u32>,
    max_replicas: Option<u32>,
    weights_version: Option<u32>,
    base: Option<String>,
}

/// Reads the arguments that follow the program's name.
pub(crate) fn parse(
    arguments: impl IntoIterator<Item = OsString>,
    node: Option<String>,
) -> Result<Invocation, CliError> {
    let mut parser = Parser::from_args(arguments);
    let mut raw = Raw {
        node,
        ..Raw::default()
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(Invocation::Help),
            Arg::Long("version") => return Ok(Invocation::Version),
            Arg::Value(word) => raw.words.push(word.string()?),
            Arg::Long(name) => {
                let name = name.to_string();
                read_option(&name, &mut parser, &mut raw)?;
            }
            Arg::Short(_) => return Err(argument.unexpected().into()),
        }
    }
    command(raw).map(Invocation::Run)
}

fn read_option(name: &str, parser: &mut Parser, raw: &mut Raw) -> Result<(), CliError> {
    match name {
        "node" => raw.node = Some(parser.value()?.string()?),
        "output" => raw.output = parser.value()?.parse_with(output)?,
        "yes" => raw.yes = true,
        "share" => raw.share = Some(parser.value()?.parse()?),
        "highest-priority" => raw.highest_priority = Some(parser.value()?.parse_with(priority)?),
        "memory-mib" => raw.memory_mib = Some(parser.value()?.parse()?),
        "checkpoint-mib" => raw.checkpoint_mib = Some(parser.value()?.parse()?),
        "accelerators" => raw.accelerators = Some(parser.value()?.parse()?),
        "min-replicas" => raw.min_replicas = Some(parser.value()?.parse()?),
        "max-replicas" => raw.max_replicas = Some(parser.value()?.parse()?),
        "weights-version" => raw.weights_version = Some(parser.value()?.parse()?),
        "base" => raw.base = Some(parser.value()?.string()?),
        _ => return Err(CliError::Usage(format!("unknown option --{name}"))),
    }
    Ok(())
}

fn output(text: &str) -> Result<Output, String> {
    match text {
        "table" => Ok(Output::Table),
        "json" => Ok(Output::Json),
        _ => Err("the output is table or json".to_string()),
    }
}

fn priority(text: &str) -> Result<PriorityClass, String> {
    match text {
        "critical" => Ok(PriorityClass::Critical),
        "interactive" => Ok(PriorityClass::Interactive),
        "standard" => Ok(PriorityClass::Standard),
        "batch" => Ok(PriorityClass::Batch),
        _ => Err("the class is critical, interactive, standard or batch".to_string()),
    }
}

fn command(mut raw: Raw) -> Result<Command, CliError> {
    let words = std::mem::take(&mut raw.words);
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let action = action(&words, &mut raw)?;
    raw.require_all_taken()?;
    let changes = !matches!(
        action,
        Action::Status
            | Action::ListGroups
            | Action::ListModels
            | Action::ListAdapters
            | Action::ShowPlan(_)
            | Action::ConfirmPlan(_)
    );
    if raw.yes && !changes {
        return Err(CliError::Usage("--yes goes with a change only".to_string()));
    }
    let node = raw.node.ok_or_else(|| {
        CliError::Usage(format!(
            "no node is named; give --node ADDRESS or set {NODE_VARIABLE}"
        ))
    })?;
    Ok(Command {
        node,
        output: raw.output,
        yes: raw.yes,
        action,
    })
}

fn action(words: &[&str], raw: &mut Raw) -> Result<Action, CliError> {
    let action = match words {
        ["status"] => Action::Status,
        ["group", "list"] => Action::ListGroups,
        ["model", "list"] => Action::ListModels,
        ["adapter", "list"] => Action::ListAdapters,
        ["group", verb @ ("create" | "update"), name] => {
            Action::PutGroup(put(verb), GroupId::from(*name), raw.take_group())
        }
        ["model", verb @ ("create" | "update"), name] => {
            Action::PutModel(put(verb), ModelId::from(*name), raw.take_model())
        }
        ["adapter", verb @ ("create" | "update"), name] => {
            Action::PutAdapter(put(verb), AdapterId::from(*name), raw.take_adapter())
        }
        ["group", "delete", name] => Action::DeleteGroup(GroupId::from(*name)),
        ["model", "delete", name] => Action::DeleteModel(ModelId::from(*name)),
        ["adapter", "delete", name] => Action::DeleteAdapter(AdapterId::from(*name)),
        ["drain", "node", name] => Action::DrainNode(NodeId::from(*name)),
        ["drain", "engine", name] => Action::DrainEngine(EngineId::from(*name)),
        ["plan", "show", id] => Action::ShowPlan(PlanId::from(*id)),
        ["plan", "confirm", id] => Action::ConfirmPlan(PlanId::from(*id)),
        [] => return Err(CliError::Usage("no command is given".to_string())),
        words => return Err(CliError::Usage(format!("unknown command: {}", words.join(" ")))),
    };
    Ok(action)
}

fn put(verb: &str) -> Put {
    if verb == "create" {
        return Put::Create;
    }
    Put::Update
}

impl Raw {
    fn take_group(&mut self) -> GroupOptions {
        GroupOptions {
            share: self.share.take(),
            highest_priority: self.highest_priority.take(),
        }
    }

    fn take_model(&mut self) -> ModelOptions {
        ModelOptions {
            memory_mib: self.memory_mib.take(),
            checkpoint_mib: self.checkpoint_mib.take(),
            accelerators: self.accelerators.take(),
            min_replicas: self.min_replicas.take(),
            max_replicas: self.max_replicas.take(),
            weights_version: self.weights_version.take(),
        }
    }

    fn take_adapter(&mut self) -> AdapterOptions {
        AdapterOptions {
            base: self.base.take().map(ModelId::new),
            memory_mib: self.memory_mib.take(),
            weights_version: self.weights_version.take(),
        }
    }

    /// An option that the command does not take is an error, never ignored.
    fn require_all_taken(&self) -> Result<(), CliError> {
        let left = [
            ("share", self.share.is_some()),
            ("highest-priority", self.highest_priority.is_some()),
            ("memory-mib", self.memory_mib.is_some()),
            ("checkpoint-mib", self.checkpoint_mib.is_some()),
            ("accelerators", self.accelerators.is_some()),
            ("min-replicas", self.min_replicas.is_some()),
            ("max-replicas", self.max_replicas.is_some()),
            ("weights-version", self.weights_version.is_some()),
            ("base", self.base.is_some()),
        ];
        match left.iter().find(|(_, given)| *given) {
            None => Ok(()),
            Some((name, _)) => Err(CliError::Usage(format!("--{name} does not go with this command"))),
        }
    }
}
