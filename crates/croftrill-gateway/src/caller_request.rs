//! A caller's request: what its headers and body ask for, checked against the
//! configuration in force.

use crate::errors::CallerError;
use crate::gateway::GatewayConfig;
use crate::json_input::GenerationInput;
use croftrill_protocol::attempt::Generation;
use croftrill_state::cluster::{ClusterState, Target};
use croftrill_state::configuration::PriorityClass;
use croftrill_state::outcome::RefusalCause;
use croftrill_state::{GroupId, IdempotencyKey, Instant, RequestId};
use http::{HeaderMap, StatusCode};

/// Header of the group that is charged.
pub const GROUP_HEADER: &str = "x-croftrill-group";
/// Header of the priority class.
pub const PRIORITY_HEADER: &str = "x-croftrill-priority";
/// Header of the first token's deadline, in milliseconds from now.
pub const FIRST_TOKEN_DEADLINE_HEADER: &str = "x-croftrill-deadline-ms";
/// Header of the whole answer's deadline, in milliseconds from now.
pub const TOTAL_DEADLINE_HEADER: &str = "x-croftrill-total-deadline-ms";
/// Header of the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that marks a request as unrepeatable.
pub const UNREPEATABLE_HEADER: &str = "x-croftrill-unrepeatable";

const LONGEST_KEY: usize = 256;

/// The key of an unrepeatable request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RunOnce {
    pub key: IdempotencyKey,
    /// Whether the caller chose the key. Nobody else can have used a key that
    /// this gateway made.
    pub from_caller: bool,
}

/// A request as it is dispatched.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub id: RequestId,
    pub target: Target,
    pub group: GroupId,
    pub priority: PriorityClass,
    pub arrived_at: Instant,
    pub first_token_deadline: Instant,
    pub total_deadline: Instant,
    pub run_once: Option<RunOnce>,
    pub generation: Generation,
}

impl CallerRequest {
    /// Checks a request that arrived at `now`. `made_key` is the key of an
    /// unrepeatable request whose caller chose none.
    pub fn new(
        id: RequestId,
        headers: &HeaderMap,
        input: GenerationInput,
        state: &ClusterState,
        config: &GatewayConfig,
        now: Instant,
        made_key: impl FnOnce() -> IdempotencyKey,
    ) -> Result<Self, CallerError> {
        let (group, priority) = group_and_priority(headers, state, config)?;
        let target = resolve(&input.model, state)?;
        let default_first_token = config.default_first_token_deadlines.of(priority);
        let first_token = deadline(headers, FIRST_TOKEN_DEADLINE_HEADER, default_first_token, config)?;
        let total = deadline(
            headers,
            TOTAL_DEADLINE_HEADER,
            config.default_total_deadline_millis,
            config,
        )?;
        Ok(Self {
            id,
            target,
            group,
            priority,
            arrived_at: now,
            first_token_deadline: now + first_token.min(total),
            total_deadline: now + total,
            run_once: run_once(headers, made_key)?,
            generation: input.generation,
        })
    }
}

/// A header as text; `None` if it is missing.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, CallerError> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(CallerError::malformed(format!("{name} is given twice")));
    }
    first
        .map(|value| value.to_str())
        .transpose()
        .map_err(|_| CallerError::malformed(format!("{name} is not plain text")))
}

fn group_and_priority(
    headers: &HeaderMap,
    state: &ClusterState,
    config: &GatewayConfig,
) -> Result<(GroupId, PriorityClass), CallerError> {
    let group = match (text(headers, GROUP_HEADER)?, &config.default_group) {
        (Some(name), _) => GroupId::from(name),
        (None, Some(group)) => group.clone(),
        (None, None) => return Err(CallerError::malformed("X-Croftrill-Group is missing")),
    };
    let Some(configured) = state.groups.get(&group) else {
        let message = format!("there is no group {group}");
        return Err(CallerError::invalid(
            StatusCode::FORBIDDEN,
            RefusalCause::UnknownGroup,
            message,
        ));
    };
    let asked = priority(headers)?;
    // A less urgent class compares as greater.
    let priority = asked.max(configured.value.highest_priority);
    Ok((group, priority))
}

fn priority(headers: &HeaderMap) -> Result<PriorityClass, CallerError> {
    match text(headers, PRIORITY_HEADER)? {
        None => Ok(PriorityClass::default()),
        Some("critical") => Ok(PriorityClass::Critical),
        Some("interactive") => Ok(PriorityClass::Interactive),
        Some("standard") => Ok(PriorityClass::Standard),
        Some("batch") => Ok(PriorityClass::Batch),
        Some(_) => Err(CallerError::malformed(
            "X-Croftrill-Priority must be critical, interactive, standard or batch",
        )),
    }
}

fn resolve(name: &str, state: &ClusterState) -> Result<Target, CallerError> {
    state.resolve(name).ok_or_else(|| {
        let message = format!("there is no model {name}");
        CallerError::invalid(StatusCode::NOT_FOUND, RefusalCause::UnknownModel, message)
    })
}

/// The deadline that a header names, else the default one; neither is longer
/// than the longest, because idempotency keys are remembered only for so long.
fn deadline(
    headers: &HeaderMap,
    name: &str,
    default_millis: u64,
    config: &GatewayConfig,
) -> Result<u64, CallerError> {
    let millis = match text(headers, name)? {
        None => default_millis,
        Some(value) => deadline_value(name, value)?,
    };
    Ok(millis.min(config.longest_deadline_millis))
}

fn deadline_value(name: &str, value: &str) -> Result<u64, CallerError> {
    let millis = value
        .parse()
        .map_err(|_| CallerError::malformed(format!("{name} must be a number of milliseconds")))?;
    if millis == 0 {
        return Err(CallerError::malformed(format!("{name} has expired")));
    }
    Ok(millis)
}

fn run_once(
    headers: &HeaderMap,
    made_key: impl FnOnce() -> IdempotencyKey,
) -> Result<Option<RunOnce>, CallerError> {
    if let Some(key) = text(headers, IDEMPOTENCY_KEY_HEADER)? {
        if key.is_empty() || key.len() > LONGEST_KEY {
            let message = format!("Idempotency-Key must have 1 to {LONGEST_KEY} characters");
            return Err(CallerError::malformed(message));
        }
        return Ok(Some(RunOnce {
            key: IdempotencyKey::from(key),
            from_caller: true,
        }));
    }
    match text(headers, UNREPEATABLE_HEADER)? {
        None | Some("false") => Ok(None),
        Some("true") => Ok(Some(RunOnce {
            key: made_key(),
            from_caller: false,
        })),
        Some(_) => Err(CallerError::malformed(
            "X-Croftrill-Unrepeatable must be true or false",
        )),
    }
}
