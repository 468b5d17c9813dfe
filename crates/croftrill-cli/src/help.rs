//! Texts of `--help` and `--version`.

/// What `--version` prints.
pub(crate) const VERSION: &str = concat!("croftrill ", env!("CARGO_PKG_VERSION"), "\n");

/// What `--help` prints.
pub(crate) const HELP: &str = "\
croftrill: operates a croftrill system through any of its nodes

Usage: croftrill [OPTIONS] COMMAND

Commands:
  status                          nodes, engines and what they may hold
  group list
  group create|update NAME        --share N  --highest-priority CLASS
  group delete NAME
  model list
  model create|update NAME        --memory-mib N  --checkpoint-mib N
                                  --accelerators N  --min-replicas N
                                  --max-replicas N  --weights-version N
  model delete NAME
  adapter list
  adapter create|update NAME      --base MODEL  --memory-mib N
                                  --weights-version N
  adapter delete NAME
  drain node|engine NAME          move all work away
  plan show ID                    print a plan again
  plan confirm ID                 put a plan in force; confirming twice is safe

Every change prints a plan of loads, moves and stops with memory and expected
time. Nothing changes until the plan is confirmed. An update keeps what its
options do not name.

Options:
  --node ADDRESS      operators' address (ip:port) of any node; without it the
                      environment variable CROFTRILL_NODE is taken
  --output FORMAT     table (the default) or json
  --yes               confirm the plan at once
  --share N           the group's share relative to others, at least 1
  --highest-priority CLASS  critical, interactive, standard or batch
  --memory-mib N      memory on each accelerator, in MiB
  --checkpoint-mib N  size of the checkpoint, in MiB
  --accelerators N    accelerators that one replica spans (1)
  --min-replicas N    replicas that stay loaded when idle (0)
  --max-replicas N    replicas that may be loaded at once (1)
  --weights-version N version of the weights (1)
  --base MODEL        the model that an adapter adapts
  --help              print this
  --version           print the version

Exit codes: 0 done, 1 failed or refused, 2 wrong usage, 3 the plan is stale,
4 unavailable or the outcome is unknown.
";
