//! Runs commands.

use crate::arguments::{Action, AdapterOptions, Command, GroupOptions, ModelOptions, Output, Put};
use crate::client::Client;
use crate::exit::{CliError, Exit};
use crate::render;
use croftrill_protocol::operator::{ConfirmOutcome, IntentRequest, Plan};
use croftrill_state::configuration::{Adapter, Group, Model, PriorityClass};
use croftrill_state::entry::Intent;
use croftrill_state::{AdapterId, GroupId, ModelId, PlanId};
use serde::Serialize;
use std::io::Write;

/// The answer to a change with `--yes`, as JSON.
#[derive(Serialize)]
struct Confirmed<'a> {
    plan: &'a Plan,
    confirmation: &'a ConfirmOutcome,
}

/// Runs a command.
pub(crate) async fn run(command: Command, output: &mut dyn Write) -> Result<Exit, CliError> {
    let mut runner = Runner {
        client: Client::new(&command.node),
        format: command.output,
        yes: command.yes,
        output,
    };
    runner.run(command.action).await
}

struct Runner<'a> {
    client: Client,
    format: Output,
    yes: bool,
    output: &'a mut dyn Write,
}

impl Runner<'_> {
    async fn run(&mut self, action: Action) -> Result<Exit, CliError> {
        match action {
            Action::Status => {
                let status = self.client.status().await?;
                self.print(&status, render::status(&status))
            }
            Action::ListGroups => {
                let groups = self.client.groups().await?;
                self.print(&groups, render::groups(&groups))
            }
            Action::ListModels => {
                let models = self.client.models().await?;
                self.print(&models, render::models(&models))
            }
            Action::ListAdapters => {
                let adapters = self.client.adapters().await?;
                self.print(&adapters, render::adapters(&adapters))
            }
            Action::ShowPlan(id) => {
                let plan = self.client.plan(&id).await?;
                self.print(&plan, render::plan(&plan))
            }
            Action::ConfirmPlan(id) => self.confirm(&id).await,
            change => {
                let intent = self.intent(change).await?;
                self.change(intent).await
            }
        }
    }

    async fn intent(&self, action: Action) -> Result<Intent, CliError> {
        match action {
            Action::PutGroup(put, id, options) => self.put_group(put, id, options).await,
            Action::PutModel(put, id, options) => self.put_model(put, id, options).await,
            Action::PutAdapter(put, id, options) => self.put_adapter(put, id, options).await,
            Action::DeleteGroup(id) => Ok(Intent::DeleteGroup(id)),
            Action::DeleteModel(id) => Ok(Intent::DeleteModel(id)),
            Action::DeleteAdapter(id) => Ok(Intent::DeleteAdapter(id)),
            Action::DrainNode(id) => Ok(Intent::DrainNode(id)),
            Action::DrainEngine(id) => Ok(Intent::DrainEngine(id)),
            Action::Status
            | Action::ListGroups
            | Action::ListModels
            | Action::ListAdapters
            | Action::ShowPlan(_)
            | Action::ConfirmPlan(_) => Err(CliError::Usage("this command changes nothing".to_string())),
        }
    }

    async fn put_group(&self, put: Put, id: GroupId, options: GroupOptions) -> Result<Intent, CliError> {
        let groups = self.client.groups().await?;
        let present = groups.into_iter().find(|group| group.id == id);
        let present = required_presence(put, present, "group", id.as_str())?;
        Ok(Intent::PutGroup(Group {
            id,
            share_weight: option_or(options.share, present.as_ref().map(|g| g.share_weight), "share")?,
            highest_priority: options
                .highest_priority
                .or(present.map(|group| group.highest_priority))
                .unwrap_or(PriorityClass::Standard),
        }))
    }

    async fn put_model(&self, put: Put, id: ModelId, options: ModelOptions) -> Result<Intent, CliError> {
        let models = self.client.models().await?;
        let present = models
            .into_iter()
            .filter(|listing| !listing.retiring)
            .map(|listing| listing.model)
            .find(|model| model.id == id);
        let present = required_presence(put, present, "model", id.as_str())?;
        let before = present.as_ref();
        Ok(Intent::PutModel(Model {
            id,
            version: options.weights_version.or(before.map(|m| m.version)).unwrap_or(1),
            accelerators: options
                .accelerators
                .or(before.map(|m| m.accelerators))
                .unwrap_or(1),
            memory_mib_per_accelerator: option_or(
                options.memory_mib,
                before.map(|m| m.memory_mib_per_accelerator),
                "memory-mib",
            )?,
            checkpoint_mib: option_or(
                options.checkpoint_mib,
                before.map(|m| m.checkpoint_mib),
                "checkpoint-mib",
            )?,
            min_replicas: options
                .min_replicas
                .or(before.map(|m| m.min_replicas))
                .unwrap_or(0),
            max_replicas: options
                .max_replicas
                .or(before.map(|m| m.max_replicas))
                .unwrap_or(1),
        }))
    }

    async fn put_adapter(
        &self,
        put: Put,
        id: AdapterId,
        options: AdapterOptions,
    ) -> Result<Intent, CliError> {
        let adapters = self.client.adapters().await?;
        let present = adapters.into_iter().find(|adapter| adapter.id == id);
        let present = required_presence(put, present, "adapter", id.as_str())?;
        let before = present.as_ref();
        Ok(Intent::PutAdapter(Adapter {
            id,
            base: option_or(options.base, before.map(|a| a.base.clone()), "base")?,
            version: options.weights_version.or(before.map(|a| a.version)).unwrap_or(1),
            memory_mib_per_accelerator: option_or(
                options.memory_mib,
                before.map(|a| a.memory_mib_per_accelerator),
                "memory-mib",
            )?,
        }))
    }

    async fn change(&mut self, intent: Intent) -> Result<Exit, CliError> {
        let request = IntentRequest {
            intents: vec![intent],
        };
        let plan = self.client.make_plan(&request).await?;
        if !self.yes {
            self.print(&plan, render::plan(&plan))?;
            return self.hint(&plan.id);
        }
        if self.format == Output::Table {
            self.write(&render::plan(&plan))?;
        }
        let outcome = self.client.confirm(&plan.id).await?;
        let confirmed = Confirmed {
            plan: &plan,
            confirmation: &outcome,
        };
        self.print(&confirmed, outcome_text(&plan.id, &outcome))?;
        Ok(exit_of(&outcome))
    }

    fn hint(&mut self, id: &PlanId) -> Result<Exit, CliError> {
        if self.format == Output::Table {
            self.write(&format!(
                "\nNothing changed yet. To put it in force: croftrill plan confirm {id}\n"
            ))?;
        }
        Ok(Exit::Success)
    }

    async fn confirm(&mut self, id: &PlanId) -> Result<Exit, CliError> {
        let outcome = self.client.confirm(id).await?;
        self.print(&outcome, outcome_text(id, &outcome))?;
        Ok(exit_of(&outcome))
    }

    fn print<T: Serialize>(&mut self, value: &T, text: String) -> Result<Exit, CliError> {
        match self.format {
            Output::Table => self.write(&text)?,
            Output::Json => {
                let json = serde_json::to_string_pretty(value)
                    .map_err(|error| CliError::Failure(format!("the answer cannot be written: {error}")))?;
                self.write(&json)?;
                self.write("\n")?;
            }
        }
        Ok(Exit::Success)
    }

    fn write(&mut self, text: &str) -> Result<(), CliError> {
        self.output.write_all(text.as_bytes())?;
        Ok(())
    }
}

/// `create` wants that there is none, `update` that there is one.
fn required_presence<T>(put: Put, present: Option<T>, kind: &str, name: &str) -> Result<Option<T>, CliError> {
    match (put, &present) {
        (Put::Create, Some(_)) => Err(CliError::Failure(format!("{kind} {name} exists already"))),
        (Put::Update, None) => Err(CliError::Failure(format!("{kind} {name} does not exist"))),
        _ => Ok(present),
    }
}

fn option_or<T>(given: Option<T>, present: Option<T>, option: &str) -> Result<T, CliError> {
    given
        .or(present)
        .ok_or_else(|| CliError::Usage(format!("--{option} is missing")))
}

fn outcome_text(id: &PlanId, outcome: &ConfirmOutcome) -> String {
    match outcome {
        ConfirmOutcome::Confirmed { revision } => format!("In force from revision {revision} on.\n"),
        ConfirmOutcome::Stale { reason, fresh: None } => {
            format!("The plan is stale: {reason}\nNothing changed.\n")
        }
        ConfirmOutcome::Stale {
            reason,
            fresh: Some(fresh),
        } => format!(
            "The plan is stale: {reason}\nNothing changed. A fresh plan for the same intent:\n\n{}\n\
             To put it in force: croftrill plan confirm {}\n",
            render::plan(fresh),
            fresh.id
        ),
        ConfirmOutcome::Unknown => format!("Plan {id} is not known; it may have expired.\n"),
        ConfirmOutcome::Unavailable {
            reason,
            retry_after_millis,
        } => format!("Not confirmed: {reason}.\nTry again in {retry_after_millis} ms.\n"),
        ConfirmOutcome::OutcomeUnknown => format!(
            "It is not known whether the plan took effect. Confirming again is safe and tells:\n\
             croftrill plan confirm {id}\n"
        ),
    }
}

fn exit_of(outcome: &ConfirmOutcome) -> Exit {
    match outcome {
        ConfirmOutcome::Confirmed { .. } => Exit::Success,
        ConfirmOutcome::Stale { .. } => Exit::StalePlan,
        ConfirmOutcome::Unknown => Exit::Failure,
        ConfirmOutcome::Unavailable { .. } | ConfirmOutcome::OutcomeUnknown => Exit::Unavailable,
    }
}
