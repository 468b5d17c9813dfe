//! The command line client against an API server in the same process.

#[path = "../../croftrill-operator-api/tests/support/mod.rs"]
mod support;

use croftrill_cli::Exit;
use croftrill_operator_api::OperatorApi;
use croftrill_protocol::operator::{ConfirmOutcome, Plan};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::convert::Infallible;
use std::ffi::OsString;
use std::sync::Arc;
use support::{Cluster, Mode};
use tokio::net::TcpListener;

/// What a command printed and how it ended.
#[derive(Debug)]
struct Printed {
    exit: Exit,
    output: String,
    complaints: String,
}

async fn run(node: Option<&str>, command: &str) -> Printed {
    let arguments: Vec<OsString> = command.split_whitespace().map(OsString::from).collect();
    let (mut output, mut complaints) = (Vec::new(), Vec::new());
    let node = node.map(str::to_string);
    let exit = croftrill_cli::run(arguments, node, &mut output, &mut complaints).await;
    Printed {
        exit,
        output: String::from_utf8(output).unwrap(),
        complaints: String::from_utf8(complaints).unwrap(),
    }
}

async fn serve(api: Arc<OperatorApi>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let api = api.clone();
            let service = service_fn(move |request| {
                let api = api.clone();
                async move { Ok::<_, Infallible>(api.handle(request).await) }
            });
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    address
}

/// A cluster and the address of its first node.
async fn cluster() -> (Cluster, String) {
    let cluster = Cluster::new();
    let address = serve(cluster.first.clone()).await;
    (cluster, address)
}

/// The plan's identifier in a printed plan.
fn plan_id(output: &str) -> String {
    let words: Vec<&str> = output.split_whitespace().collect();
    words[1].to_string()
}

#[tokio::test]
async fn a_model_is_created_by_plan_and_confirmation() {
    let (cluster, node) = cluster().await;
    let create = "model create m --memory-mib 30720 --checkpoint-mib 28000 --min-replicas 1 --max-replicas 2";
    let planned = run(Some(&node), create).await;
    assert_eq!(planned.exit, Exit::Success, "{planned:?}");
    let base = cluster.revision();
    let id = plan_id(&planned.output);
    let expected = format!(
        "plan {id} (made from revision {base})\n\n\
         ACTION           MODEL  ENGINE  MEMORY    EXPECTED TIME\n\
         load             m      e1      30.0 GiB  28.0 s\n\
         allow on demand  m      e2      30.0 GiB  when asked for\n\n\
         Nothing changed yet. To put it in force: croftrill plan confirm {id}\n"
    );
    assert_eq!(planned.output, expected);
    assert_eq!(cluster.revision(), base);

    let shown = run(Some(&node), &format!("plan show {id}")).await;
    assert!(expected.starts_with(&shown.output), "{shown:?}");
    let confirmed = run(Some(&node), &format!("plan confirm {id}")).await;
    assert_eq!(confirmed.exit, Exit::Success);
    assert_eq!(
        confirmed.output,
        format!("In force from revision {} on.\n", base + 1)
    );
    let again = run(Some(&node), &format!("plan confirm {id}")).await;
    assert_eq!(again.output, confirmed.output);

    let listed = run(Some(&node), "model list").await;
    assert_eq!(
        listed.output,
        "MODEL  VERSION  ACCELERATORS  MEMORY EACH  CHECKPOINT  REPLICAS  PLACEMENT\n\
         m      1        1             30.0 GiB     27.3 GiB    1..2      e1 (kept loaded), e2 (on demand)\n"
    );
}

#[tokio::test]
async fn an_update_keeps_what_it_does_not_name() {
    let (cluster, node) = cluster().await;
    let create = "group create g --share 3 --highest-priority interactive --yes";
    assert_eq!(run(Some(&node), create).await.exit, Exit::Success);
    let update = run(Some(&node), "group update g --share 5 --yes").await;
    assert_eq!(update.exit, Exit::Success, "{update:?}");
    let listed = run(Some(&node), "group list").await;
    assert_eq!(
        listed.output,
        "GROUP  SHARE  HIGHEST PRIORITY\ng      5      interactive\n"
    );

    let base = cluster.revision();
    let again = run(Some(&node), "group create g --share 1 --yes").await;
    assert_eq!(again.exit, Exit::Failure);
    assert_eq!(again.complaints, "croftrill: group g exists already\n");
    let absent = run(Some(&node), "adapter update a --memory-mib 1").await;
    assert_eq!(absent.complaints, "croftrill: adapter a does not exist\n");
    assert_eq!(cluster.revision(), base);
}

#[tokio::test]
async fn adapters_drains_and_deletions_go_all_the_way() {
    let (cluster, node) = cluster().await;
    for command in [
        "model create m --memory-mib 1000 --checkpoint-mib 900 --max-replicas 2 --yes",
        "adapter create a --base m --memory-mib 10 --yes",
        "drain engine e1 --yes",
        "drain node n1 --yes",
        "adapter delete a --yes",
        "model delete m --yes",
    ] {
        let done = run(Some(&node), command).await;
        assert_eq!(done.exit, Exit::Success, "{command}: {done:?}");
    }
    assert!(cluster.log.state.load().is_retiring(&"m".into()));
    let status = run(Some(&node), "status").await;
    assert!(status
        .output
        .contains("e1      z1    -      leaving  2 x 78.1 GiB"));
    assert!(status.output.contains("n1    z1    cell  leaving"));
}

#[tokio::test]
async fn a_stale_plan_is_refused_and_the_fresh_one_shown() {
    let (_cluster, node) = cluster().await;
    let first = run(Some(&node), "group create g --share 1").await;
    let second = run(Some(&node), "group create g --share 2").await;
    let confirm = format!("plan confirm {}", plan_id(&first.output));
    assert_eq!(run(Some(&node), &confirm).await.exit, Exit::Success);

    let confirm = format!("plan confirm {}", plan_id(&second.output));
    let stale = run(Some(&node), &confirm).await;
    assert_eq!(stale.exit, Exit::StalePlan);
    assert!(stale
        .output
        .starts_with("The plan is stale: group g changed at revision"));
    let fresh = stale.output.split_whitespace().last().unwrap();
    let confirmed = run(Some(&node), &format!("plan confirm {fresh}")).await;
    assert_eq!(confirmed.exit, Exit::Success, "{confirmed:?}");
}

#[tokio::test]
async fn json_output_carries_the_api_types() {
    let (_cluster, node) = cluster().await;
    let planned = run(Some(&node), "group create g --share 1 --output json").await;
    let plan: Plan = serde_json::from_str(&planned.output).unwrap();
    let confirm = format!("plan confirm {} --output json", plan.id);
    let confirmed = run(Some(&node), &confirm).await;
    let outcome: ConfirmOutcome = serde_json::from_str(&confirmed.output).unwrap();
    assert!(matches!(outcome, ConfirmOutcome::Confirmed { .. }));

    let at_once = run(Some(&node), "group update g --share 2 --yes --output json").await;
    let both: Value = serde_json::from_str(&at_once.output).unwrap();
    assert_eq!(both["confirmation"]["outcome"], "confirmed");
    assert!(both["plan"]["id"].is_string());
    let status = run(Some(&node), "status --output json").await;
    assert!(serde_json::from_str::<Value>(&status.output).is_ok());
}

#[tokio::test]
async fn findings_are_printed_line_by_line() {
    let (_cluster, node) = cluster().await;
    let create = "model create m --memory-mib 100000 --checkpoint-mib 1 --min-replicas 2";
    let refused = run(Some(&node), create).await;
    assert_eq!(refused.exit, Exit::Failure);
    assert_eq!(
        refused.complaints,
        "croftrill: the intents cannot be planned:\n  \
         model m: min_replicas 2 is more than max_replicas 1\n  \
         model m: fits on no engine: it needs 1 accelerators with 100000 MiB each\n"
    );
}

#[tokio::test]
async fn an_outage_and_an_unknown_outcome_end_with_their_own_code() {
    let (cluster, node) = cluster().await;
    let planned = run(Some(&node), "group create g --share 1").await;
    let confirm = format!("plan confirm {}", plan_id(&planned.output));
    cluster.log.set(Mode::Down);
    let down = run(Some(&node), &confirm).await;
    assert_eq!(down.exit, Exit::Unavailable);
    assert!(down
        .output
        .starts_with("Not confirmed: the key-value service is not available"));
    cluster.log.set(Mode::LosesAnswers);
    let unknown = run(Some(&node), &confirm).await;
    assert_eq!(unknown.exit, Exit::Unavailable);
    assert!(unknown.output.contains("Confirming again is safe"));
    cluster.log.set(Mode::Works);
    assert_eq!(run(Some(&node), &confirm).await.exit, Exit::Success);
}

#[tokio::test]
async fn a_node_that_does_not_answer_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let printed = run(Some(&address), "status").await;
    assert_eq!(printed.exit, Exit::Unavailable);
    assert!(printed
        .complaints
        .starts_with(&format!("croftrill: node {address} does not answer")));
}

#[tokio::test]
async fn a_connection_that_breaks_while_confirming_leaves_the_outcome_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0_u8; 1024];
            let _ = tokio::io::AsyncReadExt::read(&mut stream, &mut request).await;
        }
    });
    let printed = run(Some(&address), "plan confirm n1/ff").await;
    assert_eq!(printed.exit, Exit::Unavailable);
    assert!(
        printed
            .output
            .starts_with("It is not known whether the plan took effect"),
        "{printed:?}"
    );
}

#[tokio::test]
async fn wrong_usage_ends_with_2_and_asks_nobody() {
    let cases = [
        "",
        "frobnicate",
        "group create",
        "group create g --share many",
        "group create g --memory-mib 3",
        "status --yes",
        "status --output yaml",
        "status --colour",
        "status -x",
    ];
    for command in cases {
        let printed = run(Some("127.0.0.1:1"), command).await;
        assert_eq!(printed.exit, Exit::Usage, "{command}: {printed:?}");
        assert!(printed.complaints.ends_with("Try 'croftrill --help'.\n"));
    }
    let no_node = run(None, "status").await;
    assert_eq!(no_node.exit, Exit::Usage);
    assert!(no_node.complaints.contains("CROFTRILL_NODE"));
}

#[tokio::test]
async fn help_and_version_need_no_node() {
    let help = run(None, "--help").await;
    assert_eq!((help.exit, help.exit.code()), (Exit::Success, 0));
    assert!(help.output.contains("Usage: croftrill"));
    let version = run(None, "--version").await;
    assert_eq!(
        version.output,
        format!("croftrill {}\n", env!("CARGO_PKG_VERSION"))
    );
}

#[test]
fn exit_codes_are_distinct() {
    let exits = [
        Exit::Success,
        Exit::Failure,
        Exit::Usage,
        Exit::StalePlan,
        Exit::Unavailable,
    ];
    assert_eq!(exits.map(Exit::code), [0, 1, 2, 3, 4]);
}
